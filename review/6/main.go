// Command 6 plays review case 6: the machines of a rack, among them that of the owner, are lost for good.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"jacinthpost/review/rig"
)

const (
	agents    = 9
	perRack   = 3
	lasting   = 18
	startWait = 25 * time.Second
	settle    = 4 * time.Second // after it all workers have announced themselves, and the start counts as over
	watchTime = 25 * time.Second
	host      = "q.example"
	prefix    = "/watch/"
	job       = "5c0e7a21d94b36f8"
)

// machine is a side machine with its agent and its worker.
type machine struct {
	agent  *rig.Process
	worker *rig.Worker
}

func main() { os.Exit(rig.Play(os.Args, play)) }

func play(ctx context.Context, run *rig.Rig, trouble bool) error {
	store, err := run.StartStore()
	if err != nil {
		return err
	}
	tasks := run.NewLasting(job)
	machines, entry, err := start(ctx, run, tasks, store)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	body := fmt.Sprintf(`{"spec":"watch","steps":[{"count":%d,"cpu":500,"memMb":400,"estimateMs":400,"longRunning":true}]}`, lasting)
	status, text := rig.Call(ctx, http.DefaultClient, http.MethodPost, entry, host, prefix+job, body)
	run.Log("client: POST %s answered with %d %s", prefix+job, status, text)
	if !rig.Await(startWait, func() bool { num, _ := tasks.Counts(); return num == lasting }) {
		return errors.New("the tasks did not start")
	}
	time.Sleep(settle)
	own, err := run.Owner(ctx, store)
	if err != nil {
		return err
	}
	lost := machines[own.Name]
	if lost == nil {
		return fmt.Errorf("%s is no agent", own.Name)
	}
	disrupted := time.Now()
	if trouble {
		run.Log("rack %s is lost for good, with %s, which was the last to write to the store under a condition", lost.worker.Rack, own.Name)
		tasks.Ignore(lost.worker.ID) // an earlier case tells of the owner's own worker
		for _, mac := range machines {
			if mac.worker.Rack == lost.worker.Rack {
				mac.agent.Kill()
				mac.worker.Lose()
			}
		}
	}
	return tasks.Watch(ctx, watchTime, disrupted)
}

// start starts the agents with their workers and an entry. It returns the machines by the names of their agents, and the
// address for callers.
func start(ctx context.Context, run *rig.Rig, tasks *rig.Lasting, store string) (map[string]*machine, string, error) {
	if err := run.Configure(1, rig.NewRoute("seat-watch", host, prefix)); err != nil {
		return nil, "", err
	}
	floor := &rig.Floor{
		Duration: func(string) time.Duration { return time.Hour },
		GangSize: func(string) int { return 0 },
		Started:  tasks.Started, Ended: tasks.Ended,
	}
	go floor.Run(ctx)
	machines := make(map[string]*machine)
	for num := range agents {
		name := fmt.Sprintf("side-bac-hanoi-%d", num+1)
		wrk := &rig.Worker{ID: fmt.Sprintf("i-%03d", num+1), Kind: "a", Rack: fmt.Sprintf("r1-%d", num/perRack+1), CPU: 32000, MemoryMB: 125000}
		pro, err := run.StartFloorAgent(name, store, floor, wrk)
		if err != nil {
			return nil, "", err
		}
		machines[name] = &machine{agent: pro, worker: wrk}
	}
	ent, err := run.StartEntry("edge-bac-hanoi-1", store)
	if err != nil {
		return nil, "", err
	}
	return machines, ent.Front, nil
}
