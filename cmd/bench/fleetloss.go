package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

const (
	// takeoverBound is the time of section 7 in which partitions are taken over.
	takeoverBound = 9.0
	lossCallers   = 8
	// lossSettle covers the planned spreading of the partitions 30 s after the
	// start. A partition that changes hands makes its tasks wait for a whole lease.
	lossSettle     = 36 * time.Second
	lossWatch      = 45 * time.Second
	lostDataCentre = "bac-hanoi" // in the store's region, so its agents own partitions; the first entry stays
	askers         = 16
)

// measureLoss kills all agents and endpoints of a data centre at once under requests and tasks.
func measureLoss(ctx context.Context, rep *report, fle *harness.Fleet) error {
	const name = "fleet.sen-vang.loss"
	watches := taskBatch{key: "watch", class: "seat-watch", kind: "watch", jobs: 16, tasks: 4, milliCPU: 1000, noise: 5}
	ids, err := watches.submit(ctx, fle)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if err := awaitRunning(ctx, fle, id); err != nil {
			return err
		}
	}
	// All tasks fit on the instances that stay, so that none waits for room.
	builds := taskBatch{key: "build", class: "term-build", kind: "build", jobs: 10, tasks: 3, milliCPU: 2000, noise: 6, millis: 180_000}
	if _, err := builds.submit(ctx, fle); err != nil {
		return err
	}
	lod := startLoad(ctx, fle, lossCallers, false)
	defer lod.stop()
	if err := control.Pause(ctx, lossSettle); err != nil {
		return err
	}
	lost := slices.DeleteFunc(slices.Clone(fle.Instances()), func(ins *harness.Instance) bool { return ins.DataCentre() != lostDataCentre })
	ends, err := leaseEnds(ctx, lost)
	if err != nil {
		return err
	}
	killed, err := killAll(ctx, fle, lost)
	if err != nil {
		return err
	}
	owned, err := awaitOwners(ctx, fle, killed)
	if err != nil {
		return err
	}
	runs, err := awaitRestarts(ctx, fle, killed)
	if err != nil {
		return err
	}
	lod.stop()
	rep.value(name+".instances-killed", float64(len(lost)), "of 11")
	reportRestarts(rep, name, runs, ends, killed)
	reportOutage(rep, name, lod, killed)
	judgeOverlap(rep, name, runs)
	if err := judgeExecutions(ctx, rep, fle, lod, name); err != nil {
		return err
	}
	rep.atMost(name+".partitions-owned", owned.Seconds(), takeoverBound, "s after the kill")
	return nil
}

// assignment names a run.
type assignment struct {
	job   string
	index int
	epoch uint64
	seq   uint64
}

func assignmentOf(run harness.Run) assignment {
	return assignment{run.Job, run.Index, run.Token.Epoch, run.Token.Sequence}
}

// leaseEnds returns when the leases of the tasks on the instances end at the
// earliest: a renewal between the question and the kill makes it later.
func leaseEnds(ctx context.Context, list []*harness.Instance) (map[assignment]time.Time, error) {
	ends := map[assignment]time.Time{}
	for _, ins := range list {
		asked := time.Now()
		sta, err := ins.Worker(ctx)
		if err != nil {
			return nil, err
		}
		for _, tsk := range sta.Tasks {
			left := time.Duration(tsk.DeadlineMillis-sta.ClockMillis) * time.Millisecond
			ends[assignment{tsk.Job, tsk.Index, tsk.Token.Epoch, tsk.Token.Sequence}] = asked.Add(left)
		}
	}
	return ends, nil
}

// killAll kills the agents and the endpoints at the same moment and returns the time before.
func killAll(ctx context.Context, fle *harness.Fleet, list []*harness.Instance) (time.Time, error) {
	killed := time.Now()
	var agents sync.WaitGroup
	var grp errgroup.Group
	for _, ins := range list {
		agents.Go(ins.Agent().Kill)
		grp.Go(func() error { return fle.KillEndpoint(ctx, ins) })
	}
	agents.Wait()
	return killed, grp.Wait()
}

// awaitOwners waits until every partition has an owner that runs, and returns how long it took.
func awaitOwners(ctx context.Context, fle *harness.Fleet, since time.Time) (time.Duration, error) {
	for {
		list, err := fle.Owners(ctx)
		if err == nil && !slices.ContainsFunc(list, func(ins *harness.Instance) bool { return ins == nil || !ins.Agent().Running() }) {
			return time.Since(since), nil
		}
		if err := control.Pause(ctx, fleetPoll); err != nil {
			return 0, errors.Wrap(err, "partitions have no owner")
		}
	}
}

// interrupted maps each run that the kill ended to the next run of its task, zero when there is none.
func interrupted(runs []harness.Run) map[assignment]harness.Run {
	next := map[assignment]harness.Run{}
	for _, old := range runs {
		if old.State != "killed" {
			continue
		}
		var first harness.Run
		for _, run := range runs {
			if run.Job == old.Job && run.Index == old.Index && run.Started >= old.Stopped && (first.Started == 0 || run.Started < first.Started) {
				first = run
			}
		}
		next[assignmentOf(old)] = first
	}
	return next
}

// awaitRestarts returns the runs once every interrupted task has started again or the time is up.
func awaitRestarts(ctx context.Context, fle *harness.Fleet, since time.Time) ([]harness.Run, error) {
	for {
		runs, err := fle.History(ctx)
		if err != nil {
			return nil, err
		}
		waiting := 0
		for _, run := range interrupted(runs) {
			if run.Started == 0 {
				waiting++
			}
		}
		if waiting == 0 || time.Since(since) > lossWatch {
			return runs, nil
		}
		if err := control.Pause(ctx, time.Second); err != nil {
			return nil, err
		}
	}
}

// reportRestarts prints when the interrupted tasks ran again, and checks that
// none did so before its lease had ended.
func reportRestarts(rep *report, name string, runs []harness.Run, ends map[assignment]time.Time, killed time.Time) {
	var after, beyond []float64
	missing, early, unknown := 0, 0, 0
	for old, run := range interrupted(runs) {
		end, known := ends[old]
		switch {
		case run.Started == 0:
			missing++
			continue
		case !known:
			unknown++ // began after the leases were read
		case run.Started < end.UnixMilli():
			early++
		}
		after = append(after, float64(run.Started-killed.UnixMilli())/1000)
		if known {
			beyond = append(beyond, float64(run.Started-end.UnixMilli())/1000)
		}
	}
	rep.value(name+".interrupted", float64(len(after)+missing), "tasks")
	rep.value(name+".interrupted-lease-unknown", float64(unknown), "tasks")
	rep.atMost(name+".not-running-again", float64(missing), 0, "tasks")
	rep.atMost(name+".restarted-before-lease-end", float64(early), 0, "tasks")
	if len(after) > 0 {
		rep.spread(name+".running-again", after, "s after the kill")
	}
	if len(beyond) > 0 {
		rep.spread(name+".running-again-beyond-lease", beyond, "s after the end of the lease")
	}
}

// reportOutage prints the calls that were not answered and when the last of them began.
func reportOutage(rep *report, name string, lod *requestLoad, killed time.Time) {
	after := lod.during(window{killed.Add(-fleetDeadline), time.Now()})
	last, worst := 0.0, time.Duration(0)
	ends := map[string]int{}
	for _, cal := range after {
		worst = max(worst, cal.took)
		if cal.outcome == "answered" {
			continue
		}
		ends[cal.outcome+" "+cal.reason]++
		last = max(last, cal.begun.Add(cal.took).Sub(killed).Seconds())
	}
	rep.value(name+".requests-after", float64(len(after)), "requests")
	for _, end := range slices.Sorted(maps.Keys(ends)) {
		rep.value(name+".requests-not-answered."+end, float64(ends[end]), "requests")
	}
	rep.value(name+".requests-answered-again", last, "s after the kill")
	rep.value(name+".requests-slowest", float64(worst.Milliseconds()), "ms")
}

// judgeExecutions checks that no request ran twice at the endpoints that still
// run, and that none ran there that was refused as not run.
func judgeExecutions(ctx context.Context, rep *report, fle *harness.Fleet, lod *requestLoad, name string) error {
	var mu sync.Mutex
	twice, untrue := 0, 0
	grp, ctx := errgroup.WithContext(ctx)
	grp.SetLimit(askers)
	for _, cal := range lod.calls {
		grp.Go(func() error {
			runs, err := fle.Executions(ctx, cal.body)
			mu.Lock()
			defer mu.Unlock()
			if runs > 1 {
				twice++
			}
			if runs > 0 && cal.outcome == "notRun" {
				untrue++
			}
			return err
		})
	}
	if err := grp.Wait(); err != nil {
		return err
	}
	rep.value(name+".requests", float64(len(lod.calls)), "requests")
	rep.atMost(name+".requests-run-twice", float64(twice), 0, "requests")
	rep.atMost(name+".requests-run-after-refusal", float64(untrue), 0, "requests")
	return nil
}
