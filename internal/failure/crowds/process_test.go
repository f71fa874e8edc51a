package crowds_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/platform"
	"jacinthpost/platform/standin/deployment"
	"jacinthpost/platform/standin/rowstore"
	"jacinthpost/platform/standin/taskworker"
)

// Limits in the settings of the processes, and the bounds of the checks that follow from them.
const (
	memoryMB       = 100
	maxDescriptors = 800
	// maxSockets is the part of the descriptors that the platform leaves for sockets and pipes.
	maxSockets = maxDescriptors - 200
)

const (
	startLimit  = 30 * time.Second
	specLimit   = 3 * time.Minute
	answerLimit = 30 * time.Second // of an ordinary request
	settleLimit = 5 * time.Second  // until a process has read what was sent to it, if it reads it
	samplePause = 10 * time.Millisecond
	host        = "crowds.example"
	firstPort   = 13_400
)

// node is a process of the product on the users' platform.
type node struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	sockets *socketWatch
	rows    rowstore.Server
	front   string // address for callers
	own     string // address of the product's own interface
	control string // address for heartbeats of the worker
	standby string // address for agents, at an entry
}

// front returns the address for callers of the platform.
func front(nod *node) string { return nod.front }

// own returns the address of the product's own interface.
func own(nod *node) string { return nod.own }

var nextPort = firstPort

// freeAddress returns an address on a port that no earlier one had.
func freeAddress() string {
	GinkgoHelper()
	for nextPort < firstPort+2000 {
		nextPort++
		lsn, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			Expect(lsn.Close()).To(Succeed())
			return lsn.Addr().String()
		}
	}
	Fail("all ports for tests are in use")
	return ""
}

// serve runs a server until the spec ends, and returns its address.
func serve(srv *http.Server) string {
	GinkgoHelper()
	lsn, err := net.Listen("tcp", freeAddress())
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = srv.Serve(lsn) }() // ends when the server is closed
	DeferCleanup(srv.Close)
	return lsn.Addr().String()
}

// startNode starts a process with lowered limits, which the system enforces for descriptors.
func startNode(rol platform.Role) *node {
	GinkgoHelper()
	nod := &node{ended: make(chan struct{})}
	deployment.Configure(&nod.rows, host, "s")
	for nextPort%10 != 0 {
		nextPort++
	}
	first := nextPort + 1
	nextPort += 4
	local := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	nod.own, nod.standby = local(first), local(first+1)
	nod.front, nod.control = freeAddress(), freeAddress()
	worker := &taskworker.Worker{ID: "w", Service: "s", Zone: "z1", CPU: 4000, MemoryMB: 4000}
	raw, err := deployment.Process{
		Name: "node", IP: "127.0.0.1", Zone: "z1", Zones: []string{"z1"}, InternalPorts: []int{first, first + 2},
		Frontend: nod.front, Ready: freeAddress(), Control: nod.control, Worker: serve(worker.Server()),
		Store: serve(&http.Server{Handler: &nod.rows, ReadHeaderTimeout: time.Minute}), GraceSeconds: 3, Share: 0.8, MemoryMB: memoryMB, MaxFDs: maxDescriptors,
	}.Settings()
	Expect(err).NotTo(HaveOccurred())
	nod.run(rol, raw)
	return nod
}

func (nod *node) run(rol platform.Role, settings []byte) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "node.json")
	Expect(os.WriteFile(path, settings, 0o600)).To(Succeed())
	log, err := os.Create(path + ".log")
	Expect(err).NotTo(HaveOccurred())
	nod.cmd = exec.Command(scene.Binary("jacinthpost"), "platform", string(rol))
	nod.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	nod.cmd.Stdout, nod.cmd.Stderr = log, log
	nod.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(nod.cmd.Start()).To(Succeed())
	lim := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	Expect(unix.Prlimit(nod.cmd.Process.Pid, unix.RLIMIT_NOFILE, &lim, nil)).To(Succeed())
	go func() {
		_ = nod.cmd.Wait() // how it ended stands in its log
		close(nod.ended)
	}()
	nod.sockets = watchSockets(nod.cmd.Process.Pid)
	DeferCleanup(func() {
		_ = nod.cmd.Process.Kill()
		<-nod.ended
		raw, _ := os.ReadFile(path + ".log")
		if CurrentSpecReport().Failed() {
			AddReportEntry("log", ReportEntryVisibilityFailureOrVerbose, string(raw[max(0, len(raw)-6000):]))
		}
		_ = log.Close()
	})
}

// startEntry starts an entry and waits until it accepts jobs.
func startEntry() *node {
	GinkgoHelper()
	nod := startNode(platform.EntryRole)
	Eventually(func() error { return nod.submit("first") }).WithTimeout(startLimit).Should(Succeed())
	return nod
}

const ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10}]}`

// submit hands an ordinary job in at the interface for callers of the platform.
func (nod *node) submit(id string) error {
	return ask(http.MethodPost, nod.front, "/q/"+id, ordinaryJob)
}

// submitOwn hands an ordinary job in at the product's own interface.
func (nod *node) submitOwn(id string) error {
	return ask(http.MethodPut, nod.own, "/v1/queues/q/jobs/"+id, ownJob)
}

// announce sends an ordinary heartbeat of the worker beside an agent.
func (nod *node) announce() error {
	return ask(http.MethodPut, nod.control, "/-/instances/w",
		`{"service":"s","address":"127.0.0.1:1","zone":"z1","state":"ready","capacity":{"cpu":1000,"memMb":100},"clockMs":1,"sequence":1}`)
}

// ask makes a call on a connection of its own, and returns an error unless the status is 200.
func ask(method, addr, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(answerLimit.Milliseconds(), 10))
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	text, err := io.ReadAll(rsp.Body)
	if err == nil && rsp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", rsp.StatusCode, text)
	}
	return err
}

// socketWatch records the most open sockets of a process until the spec ends.
type socketWatch struct{ most atomic.Int64 }

func watchSockets(pid int) *socketWatch {
	GinkgoHelper()
	wat := &socketWatch{}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		tkr := time.NewTicker(samplePause)
		defer tkr.Stop()
		for ctx.Err() == nil {
			wat.most.Store(max(wat.most.Load(), sockets(pid)))
			<-tkr.C
		}
	}()
	return wat
}

func (wat *socketWatch) expectWithin(limit int64) {
	GinkgoHelper()
	AddReportEntry("most sockets", wat.most.Load())
	Expect(wat.most.Load()).To(BeNumerically("<=", limit), "most open sockets")
}

// expectWithinLimits waits until the process has read what was sent to it. It expects that the process lives and
// never had more memory or more sockets than its machine leaves it.
func (nod *node) expectWithinLimits() {
	GinkgoHelper()
	settle(nod.front, nod.own, nod.control)
	Consistently(nod.ended).WithTimeout(10*samplePause).ShouldNot(BeClosed(), "the process lives")
	expectMemory(nod.cmd.Process.Pid, memoryMB)
	nod.sockets.expectWithin(maxSockets)
}

// settle waits until nothing that was sent to addresses is unread, for at most settleLimit.
func settle(addresses ...string) {
	GinkgoHelper()
	for begin := time.Now(); time.Since(begin) < settleLimit && unread(addresses) > 0; {
		time.Sleep(samplePause)
	}
}

// unread returns the number of bytes that were received at addresses and not read, and of connections that were not accepted.
func unread(addresses []string) int64 {
	GinkgoHelper()
	raw, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	total := int64(0)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line) // number, local address, remote address, state, sent:received
		_, port, _ := strings.Cut(fields[1], ":")
		_, received, _ := strings.Cut(fields[4], ":")
		for _, addr := range addresses {
			if fmt.Sprintf("%04X", portOf(addr)) == port {
				num, err := strconv.ParseInt(received, 16, 64)
				Expect(err).NotTo(HaveOccurred())
				total += num
			}
		}
	}
	return total
}

func portOf(addr string) int {
	GinkgoHelper()
	_, text, err := net.SplitHostPort(addr)
	Expect(err).NotTo(HaveOccurred())
	port, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return port
}

// expectMemory expects that the peak of the resident memory of a process is within a number of MB.
func expectMemory(pid, limit int) {
	GinkgoHelper()
	peak := peakMemory(pid)
	AddReportEntry("peak memory in MB", peak)
	Expect(peak).To(BeNumerically("<=", limit), "peak memory in MB")
}

// peakMemory returns the peak of the resident memory of a process in MB.
func peakMemory(pid int) int {
	GinkgoHelper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(raw)) {
		if txt, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.Atoi(strings.Fields(txt)[0])
			Expect(err).NotTo(HaveOccurred())
			return kib >> 10
		}
	}
	Fail("no peak of memory in /proc")
	return 0
}

// sockets returns the number of open sockets of a process, zero if it has ended.
func sockets(pid int) int64 {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // fails only for a malformed pattern
	num := int64(0)
	for _, name := range names {
		if dst, err := os.Readlink(name); err == nil && strings.HasPrefix(dst, "socket:") {
			num++
		}
	}
	return num
}
