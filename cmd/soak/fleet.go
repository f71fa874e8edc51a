package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/platform"
	"jacinthpost/platform/standin/deployment"
	"jacinthpost/platform/standin/rowstore"
	"jacinthpost/platform/standin/taskworker"
)

const (
	queueHost = "soak.example"
	// configuration has a queue for batch jobs and one for long-running jobs. Their tasks run on different
	// workers, because a stand-in of a worker either ends all its tasks after a time or none.
	configuration = `{"version":1,"routes":[
		{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"s","maxAttempts":3,"stretch":2,"targetLatencyMs":500},
		{"name":"l","host":"soak.example","pathPrefix":"/l/","service":"l","maxAttempts":3,"stretch":2}],"limits":{}}`
	// longRunningAgents are the agents with workers for long-running jobs, one in each data centre.
	longRunningAgents = 2

	taskTime   = 300 * time.Millisecond
	beatPeriod = 300 * time.Millisecond
	graceTime  = 3.0 // seconds
	firstPort  = 21000
	portsEach  = 8 // ports of a process
)

// storeLink is the way of one process to the store.
type storeLink struct {
	store    http.Handler
	mode     atomic.Int32
	accepted atomic.Int64 // number of the last connection
	silent   atomic.Int64 // connections with a number up to this one are silent
}

type linkConnKey struct{}

// server returns a server that knows its connections by their numbers.
func (lnk *storeLink) server() *http.Server {
	number := func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, linkConnKey{}, lnk.accepted.Add(1))
	}
	return &http.Server{Handler: lnk, ConnContext: number, ReadHeaderTimeout: time.Minute}
}

// silence makes all open connections silent.
func (lnk *storeLink) silence() { lnk.silent.Store(lnk.accepted.Load()) }

// Modes of a link.
const (
	linkOpen int32 = iota
	linkHangs
	linkResets
)

// ServeHTTP implements http.Handler.
func (lnk *storeLink) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	if num, _ := req.Context().Value(linkConnKey{}).(int64); num <= lnk.silent.Load() {
		<-req.Context().Done()
		return
	}
	switch lnk.mode.Load() {
	case linkHangs:
		<-req.Context().Done()
	case linkResets:
		panic(http.ErrAbortHandler)
	default:
		lnk.store.ServeHTTP(wrt, req)
	}
}

// process is one entry or agent.
type process struct {
	name      string
	role      platform.Role
	binary    string
	path      string // of its settings; the log lies beside them
	entry     string // address for callers
	storeLink *storeLink

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// start runs the process if it does not run.
func (pro *process) start() error {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	if pro.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(pro.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(pro.binary, "platform", string(pro.role))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+pro.path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, pro.name)
	}
	end := make(chan struct{})
	pro.cmd, pro.end = cmd, end
	go func() {
		_ = cmd.Wait() // how it ended stands in its log
		_ = out.Close()
		pro.mu.Lock()
		pro.cmd = nil
		pro.mu.Unlock()
		close(end)
	}()
	return nil
}

// signal sends a signal if the process runs.
func (pro *process) signal(sig syscall.Signal) {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	if pro.cmd != nil {
		_ = pro.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// ended waits until the process is gone, at most for a time, and kills it then.
func (pro *process) ended(limit time.Duration) {
	pro.mu.Lock()
	end, runs := pro.end, pro.cmd != nil
	pro.mu.Unlock()
	if !runs {
		return
	}
	select {
	case <-end:
	case <-time.After(limit):
		pro.signal(syscall.SIGCONT)
		pro.signal(syscall.SIGKILL)
		<-end
	}
}

// fleet is the processes of one seed with the stand-ins around them.
type fleet struct {
	rows      rowstore.Server
	workers   []*taskworker.Worker
	processes []*process
	entries   []*process
	// longRunning are the agents with long-running jobs.
	longRunning []*process
	ip          string
	port        int
	folder      string
	options     options
}

// newFleet starts the stand-ins and the processes. The stand-ins end with the context.
func newFleet(ctx context.Context, opt options, mon *monitor) (*fleet, error) {
	fle := &fleet{
		ip: fmt.Sprintf("127.%d.%d.1", 100+opt.seed/250%100, 1+opt.seed%250), port: firstPort,
		folder: filepath.Join(opt.folder, "seed-"+strconv.FormatUint(opt.seed, 10)), options: opt,
	}
	if err := os.MkdirAll(fle.folder, 0o755); err != nil {
		return nil, err
	}
	fle.rows.Put("op", "", "config", base64.StdEncoding.EncodeToString([]byte(configuration)))
	for num := range opt.agents + longRunningAgents {
		wrk := &taskworker.Worker{Service: "s", Zone: zoneOf(num), CPU: 4000, MemoryMB: 4000, TaskTime: taskTime, Observer: mon}
		if num >= opt.agents {
			wrk.Service, wrk.TaskTime = "l", 0
		}
		if err := fle.addAgent(ctx, "agent-"+strconv.Itoa(num), wrk); err != nil {
			return nil, err
		}
	}
	for num := range opt.entries {
		pro, err := fle.addProcess(ctx, "entry-"+strconv.Itoa(num), platform.EntryRole, zoneOf(num), "")
		if err != nil {
			return nil, err
		}
		fle.entries = append(fle.entries, pro)
	}
	for _, pro := range fle.processes {
		if err := pro.start(); err != nil {
			return nil, err
		}
	}
	return fle, nil
}

func zoneOf(num int) string { return [...]string{"z1", "z2"}[num%2] }

func (fle *fleet) addAgent(ctx context.Context, name string, wrk *taskworker.Worker) error {
	wrk.ID = "w-" + name
	addr, err := fle.serve(ctx, wrk.Server())
	if err != nil {
		return err
	}
	pro, err := fle.addProcess(ctx, name, platform.AgentRole, wrk.Zone, addr)
	if err != nil {
		return err
	}
	go wrk.Run(ctx)
	go wrk.Announce(ctx, pro.entry, beatPeriod)
	fle.workers = append(fle.workers, wrk)
	if wrk.TaskTime == 0 {
		fle.longRunning = append(fle.longRunning, pro)
	}
	return nil
}

// serve runs a server on a port of the fleet until the context ends, and returns its address.
func (fle *fleet) serve(ctx context.Context, srv *http.Server) (string, error) {
	addr := fle.address()
	lsn, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lsn) }() // ends when the server is closed
	return addr, nil
}

func (fle *fleet) address() string {
	fle.port++
	return net.JoinHostPort(fle.ip, strconv.Itoa(fle.port))
}

// addProcess writes the settings of a process. The entry of an agent is its control address.
func (fle *fleet) addProcess(ctx context.Context, name string, role platform.Role, zone, app string) (*process, error) {
	lnk := &storeLink{store: &fle.rows}
	store, err := fle.serve(ctx, lnk.server())
	if err != nil {
		return nil, err
	}
	fle.port += portsEach
	front, ready := fle.address(), fle.address()
	raw, err := deployment.Process{
		Name: name, IP: fle.ip, Zone: zone, Zones: []string{zoneOf(0), zoneOf(1)}, InternalPorts: []int{fle.port + 1, fle.port + 3},
		Frontend: front, Ready: ready, Control: front, Worker: app, Store: store, GraceSeconds: graceTime, Share: fle.share(role),
	}.Settings()
	if err != nil {
		return nil, err
	}
	fle.port += 3
	pro := &process{name: name, role: role, binary: fle.options.binary, path: filepath.Join(fle.folder, name+".json"), entry: front, storeLink: lnk}
	fle.processes = append(fle.processes, pro)
	return pro, os.WriteFile(pro.path, raw, 0o600)
}

// share returns the share of a core of a machine. With every other seed the machines of agents are too
// small for the load, so that entries own the jobs.
func (fle *fleet) share(role platform.Role) float64 {
	switch {
	case role == platform.EntryRole:
		return 0.8
	case fle.options.seed%2 == 0:
		return 1e-6
	default:
		return 0
	}
}

// stop ends all processes.
func (fle *fleet) stop() {
	for _, pro := range fle.processes {
		pro.signal(syscall.SIGCONT)
		pro.signal(syscall.SIGKILL)
	}
	for _, pro := range fle.processes {
		pro.ended(time.Second)
	}
}

// restore ends all faults and starts what does not run.
func (fle *fleet) restore() error {
	fle.rows.SetFault(rowstore.None)
	for _, zone := range []string{zoneOf(0), zoneOf(1)} {
		deployment.SetOut(&fle.rows, zone, false)
	}
	for _, pro := range fle.processes {
		pro.storeLink.mode.Store(linkOpen)
		pro.signal(syscall.SIGCONT)
		if err := pro.start(); err != nil {
			return err
		}
	}
	return nil
}
