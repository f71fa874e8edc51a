// Package failure proves the invariants of the design page with real processes
// under faults. Each spec starts a deployment of its own on loopback; the specs
// run one after another. What counts is what the stand-ins recorded.
package failure_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
	"jacinthpost/io/table/tableapi"
)

const (
	repo = "../.."
	// inForce is the promise for configuration and for leaving endpoints.
	inForce = 3 * time.Second
	// callPause paces each caller of a load.
	callPause = 5 * time.Millisecond
	// Offsets keep clear of the demo and stay below the ephemeral ports, which
	// begin at 32768, and of the ports from 29000 that other measurements use: the
	// highest port of the settings is 22303.
	firstOffset = 2000
	offsetStep  = 400
	lastOffset  = 6000
)

var (
	binaries   string
	nextOffset = firstOffset
)

func TestFailure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failure")
}

var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	binaries, err = os.MkdirTemp("", "jacinthpost-failure.")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	Expect(harness.BuildBinaries(ctx, repo, binaries)).To(Succeed())
}, NodeTimeout(2*time.Minute))

// startFleet starts a deployment that ends with the spec. The logs of its
// processes are printed when the spec fails.
func startFleet(ctx context.Context, deployment string, endpointArgs ...string) *harness.Fleet {
	GinkgoHelper()
	folder := GinkgoT().TempDir()
	fle, err := harness.Start(ctx, harness.Options{
		Deployment: deployment, Repo: repo, Binaries: binaries, Folder: folder,
		PortOffset: freeOffset(), EndpointArgs: endpointArgs,
	})
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

// freeOffset rotates through the offsets, so that no fleet hears from processes of
// the fleet before it, and passes over those at which a store of either deployment runs.
func freeOffset() int {
	for {
		off := nextOffset
		nextOffset += offsetStep
		if nextOffset > lastOffset {
			nextOffset = firstOffset
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

// awaitComplete waits until every entry knows every instance again.
func awaitComplete(ctx context.Context, fle *harness.Fleet) {
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

// hold keeps a fault up for some time.
func hold(ctx context.Context, dur time.Duration) {
	GinkgoHelper()
	Expect(harness.Pause(ctx, dur)).To(Succeed())
}

func setStore(ctx context.Context, fle *harness.Fleet, flt tableapi.Faults) {
	GinkgoHelper()
	Expect(fle.SetStoreFaults(ctx, flt)).To(Succeed())
}

// loseAnswers makes the store lose a share of its answers, chosen by a fixed seed.
func loseAnswers(ctx context.Context, fle *harness.Fleet, percent int) {
	GinkgoHelper()
	setStore(ctx, fle, tableapi.Faults{LoseAnswerPercent: percent, Seed: 20261204})
}

// storeDown takes the store down for some time.
func storeDown(ctx context.Context, fle *harness.Fleet, dur time.Duration) {
	GinkgoHelper()
	setStore(ctx, fle, tableapi.Faults{Mode: tableapi.ModeDown})
	hold(ctx, dur)
	setStore(ctx, fle, tableapi.Faults{})
}

// underLoad runs callers while the fault lasts and returns how many calls they
// made. Each call gets a number of its own.
func underLoad(ctx context.Context, callers int, call func(ctx context.Context, num int), fault func()) int {
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

// inParallel calls the function for each number below count.
func inParallel(count int, call func(num int)) {
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
