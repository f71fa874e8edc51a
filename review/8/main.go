// Command 8 plays review case 8: a worker fails all that it starts, and has got several members of a gang.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"jacinthpost/review/rig"
)

const (
	agents      = 11
	members     = 24
	maxAttempts = 2
	work        = 2 * time.Second
	failing     = 6500 * time.Millisecond // for_s of srv_grey on the sheets
	startWait   = 25 * time.Second
	endWait     = 25 * time.Second
	host        = "q.example"
	path        = "/term/5c0e7a21d94b36f8"
)

// gangRuns counts how the runs of the gang ended.
type gangRuns struct {
	rig *rig.Rig

	mu      sync.Mutex
	started map[int]int    // members by run of the gang
	failed  map[int]int    // members that ended as failed, by run of the gang
	most    map[string]int // ends as failed, by task
	done    map[string]bool
}

func (gng *gangRuns) begin(worker, task string, run int) {
	gng.mu.Lock()
	defer gng.mu.Unlock()
	gng.started[run]++
	gng.rig.Log("worker %s: start of %s run %d", worker, task, run)
}

func (gng *gangRuns) end(worker, task string, run int, how string) {
	gng.mu.Lock()
	defer gng.mu.Unlock()
	gng.rig.Log("worker %s: end of %s run %d: %s", worker, task, run, how)
	switch how {
	case "failed":
		gng.failed[run]++
		gng.most[task]++
	case "done":
		gng.done[task] = true
	}
}

// broken returns how a state that a client was shown breaks rule LOST, empty if it does not.
func (gng *gangRuns) broken(state string) string {
	gng.mu.Lock()
	defer gng.mu.Unlock()
	most := 0
	for _, num := range gng.most {
		most = max(most, num)
	}
	if state != "failed" || len(gng.failed) >= maxAttempts || most >= maxAttempts {
		return ""
	}
	return fmt.Sprintf("the job is shown as failed; the gang has failed in %d of %d runs, no task more than %d times, and maxAttempts is %d",
		len(gng.failed), len(gng.started), most, maxAttempts)
}

func main() { os.Exit(rig.Play(os.Args, play)) }

func play(ctx context.Context, run *rig.Rig, trouble bool) error {
	gng := &gangRuns{rig: run, started: make(map[int]int), failed: make(map[int]int), most: make(map[string]int), done: make(map[string]bool)}
	workers, entry, err := start(ctx, run, gng)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all workers have announced themselves
	if trouble {
		workers[0].SetFailing(true)
		run.Log("worker %s fails all that it starts for %v", workers[0].ID, failing)
		time.AfterFunc(failing, func() {
			workers[0].SetFailing(false)
			run.Log("worker %s is sound again", workers[0].ID)
		})
	}
	body := fmt.Sprintf(`{"spec":"build","steps":[{"count":%d,"cpu":2000,"memMb":400,"estimateMs":2000,"gang":true}]}`, members)
	accepted := rig.Await(startWait, func() bool {
		status, _ := rig.Call(ctx, http.DefaultClient, http.MethodPost, entry, host, path, body)
		run.Log("client: POST %s answered with %d", path, status)
		return status == http.StatusOK
	})
	if !accepted {
		return errors.New("the job was not accepted")
	}
	return watch(ctx, run, gng, entry)
}

// watch asks for the state of the job until it is final.
func watch(ctx context.Context, run *rig.Rig, gng *gangRuns, entry string) error {
	last := ""
	for end := time.Now().Add(endWait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		status, text := rig.Call(ctx, http.DefaultClient, http.MethodGet, entry, host, path, "")
		var ans struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &ans) != nil {
			continue
		}
		if ans.State != last {
			run.Log("client: GET %s answered with %s", path, text)
			last = ans.State
		}
		if how := gng.broken(ans.State); how != "" {
			run.Log("rule LOST is broken: %s", how)
			return rig.ErrBroken
		}
		if ans.State == "completed" || ans.State == "failed" {
			run.Log("rule LOST held: the job is %s", ans.State)
			return nil
		}
	}
	return fmt.Errorf("the job did not end, its last state was %q", last)
}

// start starts the platform, the agents with their workers and an entry.
func start(ctx context.Context, run *rig.Rig, gng *gangRuns) ([]*rig.Worker, string, error) {
	store, err := run.StartStore()
	if err != nil {
		return nil, "", err
	}
	route := rig.NewRoute("term-build", host, "/term/")
	route.MaxAttempts = maxAttempts
	if err := run.Configure(1, route); err != nil {
		return nil, "", err
	}
	floor := &rig.Floor{
		Duration: func(string) time.Duration { return work },
		GangSize: func(string) int { return members },
		Started:  gng.begin, Ended: gng.end,
	}
	go floor.Run(ctx)
	var workers []*rig.Worker
	for num := range agents {
		wrk := &rig.Worker{ID: fmt.Sprintf("i-%03d", num+1), Kind: "a", Rack: fmt.Sprintf("r1-%d", num/3), CPU: 32000, MemoryMB: 125000}
		if _, err := run.StartFloorAgent(fmt.Sprintf("side-bac-hanoi-%d", num+1), store, floor, wrk); err != nil {
			return nil, "", err
		}
		workers = append(workers, wrk)
	}
	ent, err := run.StartEntry("edge-bac-hanoi-1", store)
	if err != nil {
		return nil, "", err
	}
	return workers, ent.Front, nil
}
