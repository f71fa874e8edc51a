package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

const (
	fleetLimit     = 6 * time.Minute
	fleetInstances = 11 // as in both deployments
	fleetService   = "40ms"
	fleetPoll      = 200 * time.Millisecond
	fleetMemoryMB  = 512
)

// fleetStep is one fleet of the part.
type fleetStep struct {
	name, deployment string
	offset           int
	run              func(ctx context.Context, rep *report, fle *harness.Fleet) error
}

// fleetSteps are the fleets of the part. Their ports, 10500 to 12660, are those
// of no other measurement, test or demo.
var fleetSteps = []fleetStep{
	{name: "noise", deployment: "bayou-paddle", offset: -11_000, run: measureNoise},
	{name: "outage", deployment: "sen-vang", offset: -10_500, run: measureTakenOut},
	{name: "loss", deployment: "sen-vang", offset: -9_400, run: measureLoss},
}

// measureFleets runs deployments as real processes under requests and batch
// work. The stand-ins model the time of a request and the work of a task, so the
// load of the machine adds to latencies; see the load average that is printed.
func measureFleets(rep *report, opt options) error {
	return inScratch("fleet", fleetLimit, opt.logs, func(ctx context.Context, scr scratch) error {
		for _, stp := range fleetSteps {
			if err := stp.measure(ctx, rep, scr, opt.filter); err != nil {
				return err
			}
		}
		return nil
	})
}

// measure runs the step if its name contains the filter.
func (stp fleetStep) measure(ctx context.Context, rep *report, scr scratch, filter string) error {
	name := stp.deployment + "." + stp.name
	if !strings.Contains(name, filter) {
		return nil
	}
	fle, err := scr.start(ctx, name, harness.Options{
		Deployment: stp.deployment, PortOffset: stp.offset,
		Instances: fleetInstances, EndpointArgs: []string{"--service-time", fleetService},
	})
	if err != nil {
		return err
	}
	defer fle.Stop()
	reportLoad(rep, name+".before")
	defer reportLoad(rep, name+".after")
	if err := stp.run(ctx, rep, fle); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// reportLoad prints the load average of the last minute, because latencies are
// worth little on a machine that is busy with other work.
func reportLoad(rep *report, name string) {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	var last float64
	if _, err := fmt.Sscan(string(raw), &last); err == nil {
		rep.value(name+".load-average", last, "processes")
	}
}

// taskBatch is a number of like jobs.
type taskBatch struct {
	key, class, kind string
	jobs, tasks      int
	milliCPU, noise  int64 // noise in percent, see the payload of the stand-in
	millis           int   // work of a task, endless when 0
}

// payload names what a task uses. Without it the stand-in uses what is ordered,
// which the owner lowers to what it has learned.
func (bat taskBatch) payload() []byte {
	return fmt.Appendf(nil, `{"workMillis":%d,"neverFinishes":%t,"milliCPU":%d,"memoryMB":%d,"noisePercent":%d}`,
		bat.millis, bat.millis == 0, bat.milliCPU, fleetMemoryMB, bat.noise)
}

// submit submits the jobs and returns their IDs. An entry that refuses "not run"
// is asked again, as an operator would; the key makes this one job.
func (bat taskBatch) submit(ctx context.Context, fle *harness.Fleet) ([]string, error) {
	ids := make([]string, 0, bat.jobs)
	for num := range bat.jobs {
		spc := message.JobSpec{
			Key: fmt.Sprintf("%s-%d", bat.key, num), Workspace: "bench", Team: "default", Class: bat.class, Kind: bat.kind, Tasks: bat.tasks,
			Resources: message.Resources{MilliCPU: bat.milliCPU, MemoryMB: fleetMemoryMB}, Payload: bat.payload(),
		}
		for {
			ans, err := fle.Submit(ctx, num%2, spc)
			if err == nil && ans.Outcome == "answered" {
				ids = append(ids, ans.Job.JobID)
				break
			}
			if err := control.Pause(ctx, fleetPoll); err != nil {
				return nil, errors.Wrapf(err, "submit %s: %s %s", spc.Key, ans.Outcome, ans.Detail)
			}
		}
	}
	return ids, nil
}

// cancelAll cancels jobs and waits until none of their tasks runs.
func cancelAll(ctx context.Context, fle *harness.Fleet, ids []string) error {
	for _, id := range ids {
		for {
			ans, err := fle.Cancel(ctx, 0, id)
			if err == nil && ans.Outcome == "answered" {
				break
			}
			if err := control.Pause(ctx, fleetPoll); err != nil {
				return errors.Wrapf(err, "cancel %s: %s %s", id, ans.Outcome, ans.Detail)
			}
		}
	}
	for {
		runs, err := fle.History(ctx)
		if err == nil && len(inProgress(runs)) == 0 {
			return nil
		}
		if err := control.Pause(ctx, fleetPoll); err != nil {
			return errors.Wrap(err, "tasks run on after their jobs were cancelled")
		}
	}
}

func inProgress(runs []harness.Run) []harness.Run {
	var left []harness.Run
	for _, run := range runs {
		if run.Stopped == 0 {
			left = append(left, run)
		}
	}
	return left
}

// window is a time over which work is counted.
type window struct{ from, until time.Time }

func (win window) seconds() float64 { return win.until.Sub(win.from).Seconds() }

// finishedIn counts the tasks of some jobs that finished in the window.
func (win window) finishedIn(runs []harness.Run, ids []string) int {
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	count := 0
	for _, run := range runs {
		if known[run.Job] && run.State == "finished" && run.Stopped >= win.from.UnixMilli() && run.Stopped < win.until.UnixMilli() {
			count++
		}
	}
	return count
}

// repeatedRuns returns the runs beyond the first one of each task.
func repeatedRuns(runs []harness.Run) int {
	type key struct {
		job   string
		index int
	}
	seen := make(map[key]bool, len(runs))
	for _, run := range runs {
		seen[key{run.Job, run.Index}] = true
	}
	return len(runs) - len(seen)
}

// judgeOverlap checks that no task ran in two places.
func judgeOverlap(rep *report, name string, runs []harness.Run) {
	count := 0.0
	if one, two, found := harness.Overlap(runs); found {
		count = 1
		rep.note(name+".overlap", fmt.Sprintf("%+v and %+v", one, two))
	}
	rep.atMost(name+".tasks-in-two-places", count, 0, "tasks")
}
