// Package scene provides what specs with real processes share: a fleet for each spec,
// fault injection, load, jobs that run while a fault is injected, and checks of what the
// stand-ins of the platform recorded.
package scene

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/table/tableapi"
)

// Outcomes of requests.
const (
	Answered = "answered"
	NotRun   = "notRun"
)

const (
	// InForce is the time within which a ticket must be in force at every process, and a
	// stopping endpoint must receive no more requests.
	InForce = 3 * time.Second
	// RequestLimit is the deadline of requests.
	RequestLimit = 3 * time.Second
	// LeadTime is the duration of a load before and after a fault.
	LeadTime = 500 * time.Millisecond

	// callPause is the delay between two calls of one caller of a load.
	callPause = 5 * time.Millisecond
	// offsetStep is the difference between the port offsets of successive fleets.
	offsetStep = 400
)

// suite is the state shared by the specs of one test binary.
var suite struct {
	repo              string
	binaries          string
	first, last, next int // offsets of ports
}

// Suite builds the programs before the specs of a package run. Its fleets add offsets
// between first and last to the ports in the settings. Packages are tested concurrently, so
// these ranges must not overlap.
func Suite(repo string, first, last int) bool {
	suite.repo, suite.first, suite.last, suite.next = repo, first, last, first
	return BeforeSuite(func(ctx SpecContext) {
		var err error
		suite.binaries, err = os.MkdirTemp("", "jacinthpost-failure.")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, suite.binaries)
		Expect(harness.BuildBinaries(ctx, repo, suite.binaries)).To(Succeed())
	}, NodeTimeout(2*time.Minute))
}

// Binary returns the path of a compiled program.
func Binary(name string) string { return filepath.Join(suite.binaries, name) }

// StartFleet starts a deployment that ends with the spec. The logs of its
// processes are printed when the spec fails.
func StartFleet(ctx context.Context, deployment string, endpointArgs ...string) *harness.Fleet {
	GinkgoHelper()
	return Start(ctx, harness.Options{Deployment: deployment, EndpointArgs: endpointArgs})
}

// Start is like StartFleet, but takes all options except those that the suite sets.
func Start(ctx context.Context, opt harness.Options) *harness.Fleet {
	GinkgoHelper()
	folder := GinkgoT().TempDir()
	opt.Repo, opt.Binaries, opt.Folder, opt.PortOffset = suite.repo, suite.binaries, folder, freeOffset()
	fle, err := harness.Start(ctx, opt)
	DeferCleanup(func() {
		if fle != nil {
			fle.Stop()
		}
		if CurrentSpecReport().Failed() {
			printLogs(folder)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	return fle
}

// freeOffset rotates through the offsets, so that no fleet receives messages from processes
// of the previous one, and skips those at which the port of either deployment's store is in
// use.
func freeOffset() int {
	for {
		off := suite.next
		suite.next += offsetStep
		if suite.next > suite.last {
			suite.next = suite.first
		}
		if free(21000+off) && free(22000+off) {
			return off
		}
	}
}

func free(port int) bool {
	lsn, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	return lsn.Close() == nil
}

// logTail is the number of bytes printed of each log.
const logTail = 6000

func printLogs(folder string) {
	names, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, name := range names {
		raw, _ := os.ReadFile(name)
		AddReportEntry(filepath.Base(name), ReportEntryVisibilityFailureOrVerbose, string(raw[max(0, len(raw)-logTail):]))
	}
}

// AwaitComplete waits until every entry knows all instances and every instance is ready.
func AwaitComplete(ctx context.Context, fle *harness.Fleet) {
	GinkgoHelper()
	Eventually(func(gom Gomega) {
		for num := range fle.Entries() {
			gom.Expect(fle.Complete(ctx, num)).To(BeTrue())
		}
		for _, ins := range fle.Instances() {
			gom.Expect(ins.Ready(ctx)).To(BeTrue(), ins.ID())
		}
	}).WithContext(ctx).Within(30 * time.Second).Should(Succeed())
}

// Hold waits while a fault or a load is in effect.
func Hold(ctx context.Context, dur time.Duration) {
	GinkgoHelper()
	Expect(control.Pause(ctx, dur)).To(Succeed())
}

// SetStore replaces the faults of the store.
func SetStore(ctx context.Context, fle *harness.Fleet, flt tableapi.Faults) {
	GinkgoHelper()
	Expect(fle.SetStoreFaults(ctx, flt)).To(Succeed())
}

// LoseAnswers makes the store drop a percentage of its answers, selected with a fixed seed.
func LoseAnswers(ctx context.Context, fle *harness.Fleet, percent int) {
	GinkgoHelper()
	SetStore(ctx, fle, tableapi.Faults{LoseAnswerPercent: percent, Seed: 20261204})
}

// StoreDown makes the store unavailable for dur.
func StoreDown(ctx context.Context, fle *harness.Fleet, dur time.Duration) {
	GinkgoHelper()
	SetStore(ctx, fle, tableapi.Faults{Mode: tableapi.ModeDown})
	Hold(ctx, dur)
	SetStore(ctx, fle, tableapi.Faults{})
}

// UnderLoad runs concurrent callers until fault returns, and returns the number of their
// calls. Each call gets a unique number, counted from 0.
func UnderLoad(ctx context.Context, callers int, call func(ctx context.Context, num int), fault func()) int {
	GinkgoHelper()
	stop := make(chan struct{})
	var wgr sync.WaitGroup
	var mut sync.Mutex
	next := 0
	number := func() int {
		mut.Lock()
		defer mut.Unlock()
		next++
		return next - 1
	}
	for range callers {
		wgr.Go(func() {
			defer GinkgoRecover()
			for {
				call(ctx, number())
				select {
				case <-stop:
					return
				case <-time.After(callPause):
				}
			}
		})
	}
	func() {
		defer wgr.Wait()
		defer close(stop)
		fault()
	}()
	return next
}

// InParallel calls the function concurrently for each number below count.
func InParallel(count int, call func(num int)) {
	const width = 16
	var wgr sync.WaitGroup
	for first := range width {
		wgr.Go(func() {
			defer GinkgoRecover()
			for num := first; num < count; num += width {
				call(num)
			}
		})
	}
	wgr.Wait()
}

// Around returns a fault that waits for LeadTime before and after the given one.
func Around(ctx context.Context, fault func()) func() {
	return func() {
		Hold(ctx, LeadTime)
		fault()
		Hold(ctx, LeadTime)
	}
}
