// Command config shows what else the fault of case 7 does: open connections from an entry to the store go silent, and
// the entry does not hear of a new configuration. It exits with 1 if rule CONFIG was broken, 0 if it held, and 2 if it
// could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"jacinthpost/platform/standin/taskworker"
	"jacinthpost/review/rig"
)

const (
	agents    = 3
	callers   = 8 // that ask at the same time
	rounds    = 3
	startWait = 20 * time.Second
	host      = "q.example"
	oneTask   = `{"spec":"check","steps":[{"count":1,"cpu":500,"memMb":100,"estimateMs":300}]}`
	// From rule CONFIG, for a machine in touch.
	applyBound = 2500 * time.Millisecond
	touch      = 4 * time.Second
	watchTime  = 20 * time.Second
)

func main() { os.Exit(rig.Play(os.Args, play)) }

func play(ctx context.Context, run *rig.Rig, trouble bool) error {
	entry, err := start(run)
	if err != nil {
		return err
	}
	if err := callAtOnce(ctx, run, entry.Front); err != nil {
		return err
	}
	disrupted := time.Now()
	if trouble {
		run.Log("%d open connections from the entry to the store go silent", entry.ToStore.Silence())
	}
	time.Sleep(200 * time.Millisecond)
	if err := run.Configure(2, rig.NewRoute("term-build", host, "/term/"), rig.NewRoute("new", host, "/new/")); err != nil {
		return err
	}
	acknowledged := time.Now()
	run.Log("operator: configuration 2 with route /new/ is acknowledged")
	return watch(ctx, run, entry.Front, disrupted, acknowledged)
}

// callAtOnce hands jobs in and asks for their states, with several callers at the same time.
func callAtOnce(ctx context.Context, run *rig.Rig, front string) error {
	path := func(num int) string { return fmt.Sprintf("/term/5c0e7a21d94b36%02d", num) }
	accepted := rig.Await(startWait, func() bool {
		status, _ := rig.Call(ctx, http.DefaultClient, http.MethodPost, front, host, path(0), oneTask)
		return status == http.StatusOK
	})
	if !accepted {
		return errors.New("no job was accepted")
	}
	for round := range rounds {
		var grp sync.WaitGroup
		for num := range callers {
			grp.Go(func() {
				if round == 0 {
					rig.Call(ctx, http.DefaultClient, http.MethodPost, front, host, path(num), oneTask)
					return
				}
				rig.Call(ctx, http.DefaultClient, http.MethodGet, front, host, path(num), "")
			})
		}
		grp.Wait()
	}
	run.Log("%d callers have handed in jobs and asked for them", callers)
	return nil
}

// watch hands a job in at the new route twice a second.
func watch(ctx context.Context, run *rig.Rig, front string, disrupted, acknowledged time.Time) error {
	late := 0
	for num := 0; time.Since(acknowledged) < watchTime && ctx.Err() == nil; num++ {
		sent := time.Now()
		status, text := rig.Call(ctx, http.DefaultClient, http.MethodPost, front, host, fmt.Sprintf("/new/6d1f8b32ea5c47%02d", num), oneTask)
		run.Log("client: POST to /new/ answered with %d %s", status, text)
		if status == http.StatusNotFound && sent.Sub(acknowledged) > applyBound && sent.Sub(disrupted) > touch {
			late++
		}
		if status == http.StatusOK {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if late > 0 {
		run.Log("rule CONFIG is broken: %d requests to a route that is there got 404 from a machine in touch", late)
		return rig.ErrBroken
	}
	run.Log("rule CONFIG held")
	return ctx.Err()
}

// start starts the platform, the agents with their workers and an entry.
func start(run *rig.Rig) (*rig.Process, error) {
	store, err := run.StartStore()
	if err != nil {
		return nil, err
	}
	if err := run.Configure(1, rig.NewRoute("term-build", host, "/term/")); err != nil {
		return nil, err
	}
	for num := range agents {
		wrk := &taskworker.Worker{ID: fmt.Sprintf("i-%03d", num+1), CPU: 16000, MemoryMB: 62500, TaskTime: 300 * time.Millisecond}
		if _, err := run.StartAgent(fmt.Sprintf("side-bac-hanoi-%d", num+1), store, wrk); err != nil {
			return nil, err
		}
	}
	return run.StartEntry("edge-bac-hanoi-1", store)
}
