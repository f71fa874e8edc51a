// Command 10 plays review case 10: open connections to the workers go silent after many tasks were cancelled.
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

	"jacinthpost/platform/standin/taskworker"
	"jacinthpost/review/rig"
)

const (
	agents      = 3
	shortTasks  = 48
	lastingTask = 6
	startWait   = 25 * time.Second
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
	job string

	mu      sync.Mutex
	running map[string]int
	idle    map[string]time.Time // since when a task has no run
	total   int                  // runs of all jobs
}

// Started implements taskworker.Observer.
func (tsk *tasks) Started(worker, task string, run int) {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	tsk.total++
	if strings.HasPrefix(task, tsk.job) {
		tsk.rig.Log("worker %s: start of %s run %d", worker, task, run)
		tsk.running[task]++
		delete(tsk.idle, task)
	}
}

// Ended implements taskworker.Observer.
func (tsk *tasks) Ended(worker, task string, run int, how string) {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	tsk.total--
	if strings.HasPrefix(task, tsk.job) {
		tsk.rig.Log("worker %s: end of %s run %d: %s", worker, task, run, how)
		if tsk.running[task]--; tsk.running[task] == 0 {
			tsk.idle[task] = time.Now()
		}
	}
}

// Noted implements taskworker.Observer.
func (tsk *tasks) Noted(string, string, int, string) {}

func (tsk *tasks) runs() int {
	tsk.mu.Lock()
	defer tsk.mu.Unlock()
	return tsk.total
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
	tsk := &tasks{rig: run, job: "5c0e7a21d94b36f8.", running: make(map[string]int), idle: make(map[string]time.Time)}
	processes, entry, err := start(run, tsk)
	if err != nil {
		return err
	}
	lasting := fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":400,"longRunning":true}]}`, lastingTask)
	if err := submit(ctx, run, entry, "/watch/5c0e7a21d94b36f8", lasting); err != nil {
		return err
	}
	if !rig.Await(startWait, func() bool { return tsk.runs() == lastingTask }) {
		return errors.New("the tasks that last did not start")
	}
	short := fmt.Sprintf(`{"spec":"build","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":30000}]}`, shortTasks)
	if err := submit(ctx, run, entry, "/term/6d1f8b32ea5c4709", short); err != nil {
		return err
	}
	if !rig.Await(startWait, func() bool { return tsk.runs() == lastingTask+shortTasks }) {
		return errors.New("the other tasks did not start")
	}
	status, text := rig.Call(ctx, http.DefaultClient, http.MethodDelete, entry, host, "/term/6d1f8b32ea5c4709", "")
	run.Log("client: DELETE of the job with %d tasks answered with %d %s", shortTasks, status, text)
	if !rig.Await(startWait, func() bool { return tsk.runs() == lastingTask }) {
		return errors.New("the cancelled tasks did not end")
	}
	time.Sleep(time.Second)
	disrupted := time.Now()
	if trouble {
		for _, pro := range processes {
			run.Log("%d open connections from %s to its worker go silent", pro.ToWorker.Silence(), pro.Name)
		}
	}
	return watch(ctx, run, tsk, disrupted)
}

// watch checks the rule until the end of the run.
func watch(ctx context.Context, run *rig.Rig, tsk *tasks, disrupted time.Time) error {
	var first string
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

const host = "q.example"

func submit(ctx context.Context, run *rig.Rig, entry, path, body string) error {
	for range 20 {
		status, text := rig.Call(ctx, http.DefaultClient, http.MethodPost, entry, host, path, body)
		if status == http.StatusOK {
			run.Log("client: POST %s answered with %d", path, status)
			return nil
		}
		run.Log("client: POST %s answered with %d %s", path, status, text)
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("the job was not accepted")
}

// start starts the platform, the agents with their workers and an entry, and returns the agents and the address for callers.
func start(run *rig.Rig, tsk *tasks) ([]*rig.Process, string, error) {
	store, err := run.StartStore()
	if err != nil {
		return nil, "", err
	}
	if err := run.Configure(1, rig.NewRoute("term-build", host, "/term/"), rig.NewRoute("seat-watch", host, "/watch/")); err != nil {
		return nil, "", err
	}
	var processes []*rig.Process
	for num := range agents {
		wrk := &taskworker.Worker{ID: fmt.Sprintf("i-00%d", num+1), CPU: 16000, MemoryMB: 62500, Observer: tsk}
		pro, err := run.StartAgent(fmt.Sprintf("side-bac-hanoi-%d", num+1), store, wrk)
		if err != nil {
			return nil, "", err
		}
		processes = append(processes, pro)
	}
	ent, err := run.StartEntry("edge-bac-hanoi-1", store)
	if err != nil {
		return nil, "", err
	}
	return processes, ent.Front, nil
}
