// Command 7 plays review case 7: open connections to the workers go silent after many tasks were cancelled.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"jacinthpost/platform/standin/taskworker"
	"jacinthpost/review/rig"
)

const (
	agents      = 3
	shortTasks  = 48
	lastingTask = 6
	startWait   = 25 * time.Second
	watchTime   = 25 * time.Second
	host        = "q.example"
	lastingJob  = "5c0e7a21d94b36f8"
	shortJob    = "6d1f8b32ea5c4709"
)

func main() { os.Exit(rig.Play(os.Args, play)) }

func play(ctx context.Context, run *rig.Rig, trouble bool) error {
	tasks := run.NewLasting(lastingJob)
	processes, entry, err := start(run, tasks)
	if err != nil {
		return err
	}
	running := func(others int) bool {
		return rig.Await(startWait, func() bool { num, oth := tasks.Counts(); return num == lastingTask && oth == others })
	}
	lasting := fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":400,"longRunning":true}]}`, lastingTask)
	if err := submit(ctx, run, entry, "/watch/"+lastingJob, lasting); err != nil {
		return err
	}
	if !running(0) {
		return errors.New("the tasks that last did not start")
	}
	short := fmt.Sprintf(`{"spec":"build","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":30000}]}`, shortTasks)
	if err := submit(ctx, run, entry, "/term/"+shortJob, short); err != nil {
		return err
	}
	if !running(shortTasks) {
		return errors.New("the other tasks did not start")
	}
	status, text := rig.Call(ctx, http.DefaultClient, http.MethodDelete, entry, host, "/term/"+shortJob, "")
	run.Log("client: DELETE of the job with %d tasks answered with %d %s", shortTasks, status, text)
	if !running(0) {
		return errors.New("the cancelled tasks did not end")
	}
	time.Sleep(time.Second)
	disrupted := time.Now()
	if trouble {
		for _, pro := range processes {
			run.Log("%d open connections from %s to its worker go silent", pro.ToWorker.Silence(), pro.Name)
		}
	}
	return tasks.Watch(ctx, watchTime, disrupted)
}

func submit(ctx context.Context, run *rig.Rig, entry, path, body string) error {
	accepted := rig.Await(startWait, func() bool {
		status, text := rig.Call(ctx, http.DefaultClient, http.MethodPost, entry, host, path, body)
		run.Log("client: POST %s answered with %d %s", path, status, text)
		if status != http.StatusOK {
			time.Sleep(500 * time.Millisecond) // the entry may be starting
		}
		return status == http.StatusOK
	})
	if !accepted {
		return errors.New("the job was not accepted")
	}
	return nil
}

// start starts the platform, the agents with their workers and an entry, and returns the agents and the address for
// callers.
func start(run *rig.Rig, tasks *rig.Lasting) ([]*rig.Process, string, error) {
	store, err := run.StartStore()
	if err != nil {
		return nil, "", err
	}
	if err := run.Configure(1, rig.NewRoute("term-build", host, "/term/"), rig.NewRoute("seat-watch", host, "/watch/")); err != nil {
		return nil, "", err
	}
	var processes []*rig.Process
	for num := range agents {
		wrk := &taskworker.Worker{ID: fmt.Sprintf("i-%03d", num+1), CPU: 32000, MemoryMB: 125000, Observer: tasks}
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
