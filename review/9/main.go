// Command 9 plays review case 9: the machine of the owner is lost for good, with the worker on it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"jacinthpost/review/rig"
)

const (
	agents    = 6
	lasting   = 12
	startWait = 25 * time.Second
	host      = "q.example"
	path      = "/watch/5c0e7a21d94b36f8"
	// From rule LOST: a task that lasts has nothing running for idleLimit, later than idleGrace after its last run, in a
	// time that is calm with the calmBefore before it.
	idleLimit  = 3 * time.Second
	idleGrace  = 6 * time.Second
	calmBefore = 4 * time.Second
	watchTime  = 25 * time.Second
)

// tasks observes the runs of the tasks that last.
type tasks struct {
	rig *rig.Rig

	mu      sync.Mutex
	running map[string]string    // the worker of each task that runs
	idle    map[string]time.Time // since when a task has no run
}

func (tsk *tasks) begin(worker, task string, run int) {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	tsk.rig.Log("worker %s: start of %s run %d", worker, task, run)
	tsk.running[task] = worker
	delete(tsk.idle, task)
}

func (tsk *tasks) end(worker, task string, run int, how string) {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	tsk.rig.Log("worker %s: end of %s run %d: %s", worker, task, run, how)
	delete(tsk.running, task)
	tsk.idle[task] = time.Now()
}

func (tsk *tasks) runs() int {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	return len(tsk.running)
}

// broken returns how the idle times of the tasks break rule LOST, with the last disruption at a time.
func (tsk *tasks) broken(disrupted time.Time) string {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	for task, since := range tsk.idle {
		from := since.Add(idleGrace)
		if calm := disrupted.Add(calmBefore); calm.After(from) {
			from = calm
		}
		if over := time.Since(from); over > idleLimit {
			return fmt.Sprintf("%s has nothing running for %.1f s, the last %.1f s of them more than %v after its last run and %v after the disruption",
				task, time.Since(since).Seconds(), over.Seconds(), idleGrace, calmBefore)
		}
	}
	return ""
}

var errBroken = errors.New("rule LOST is broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := play(ctx, os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// play runs the case. It returns errBroken if the rule was broken, and another error if the case could not run.
func play(ctx context.Context, recordPath, binary string, trouble bool) error {
	run, err := rig.New(ctx, recordPath, binary)
	if err != nil {
		return err
	}
	defer run.Close()
	tsk := &tasks{rig: run, running: make(map[string]string), idle: make(map[string]time.Time)}
	store, err := run.StartStore()
	if err != nil {
		return err
	}
	workers, entry, err := start(ctx, run, tsk, store)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all workers have announced themselves
	body := fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":400,"longRunning":true}]}`, lasting)
	status, text := rig.Call(ctx, http.DefaultClient, http.MethodPost, entry, host, path, body)
	run.Log("client: POST %s answered with %d %s", path, status, text)
	if !rig.Await(startWait, func() bool { return tsk.runs() == lasting }) {
		return errors.New("the tasks did not start")
	}
	time.Sleep(4 * time.Second)
	own, err := run.Owner(ctx, store)
	if err != nil {
		return err
	}
	wrk := workers[own.Name]
	if wrk == nil {
		return fmt.Errorf("%s is no agent", own.Name)
	}
	disrupted := time.Now()
	if trouble {
		run.Log("%s, which was the last to write to the store under a condition, is lost for good, with its worker %s", own.Name, wrk.ID)
		own.Kill()
		wrk.Lose()
	}
	return watch(ctx, run, tsk, disrupted)
}

// watch checks the rule until the end of the run.
func watch(ctx context.Context, run *rig.Rig, tsk *tasks, disrupted time.Time) error {
	first := ""
	for end := time.Now().Add(watchTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if how := tsk.broken(disrupted); how != "" && first == "" {
			first = how
			run.Log("rule LOST is broken: %s", how)
		}
	}
	if first != "" {
		return errBroken
	}
	run.Log("rule LOST held")
	return ctx.Err()
}

// start starts the platform, the agents with their workers and an entry. It returns the workers by the names of their
// agents, and the address for callers.
func start(ctx context.Context, run *rig.Rig, tsk *tasks, store string) (map[string]*rig.Worker, string, error) {
	if err := run.Configure(1, rig.NewRoute("seat-watch", host, strings.TrimSuffix(path, "5c0e7a21d94b36f8"))); err != nil {
		return nil, "", err
	}
	floor := &rig.Floor{
		Duration: func(string) time.Duration { return time.Hour },
		GangSize: func(string) int { return 0 },
		Started:  tsk.begin, Ended: tsk.end,
	}
	go floor.Run(ctx)
	workers := make(map[string]*rig.Worker)
	for num := range agents {
		name := fmt.Sprintf("side-bac-hanoi-%d", num+1)
		workers[name] = &rig.Worker{ID: fmt.Sprintf("i-%03d", num+1), Kind: "a", Rack: fmt.Sprintf("r1-%d", num/3), CPU: 16000, MemoryMB: 62500}
		if _, err := run.StartFloorAgent(name, store, floor, workers[name]); err != nil {
			return nil, "", err
		}
	}
	ent, err := run.StartEntry("edge-bac-hanoi-1", store)
	if err != nil {
		return nil, "", err
	}
	return workers, ent.Front, nil
}
