package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

const (
	noiseBound   = 1.10 // p99 during a wave to p99 without batch work
	noiseCallers = 24
	quietTime    = 12 * time.Second
	waveTime     = 40 * time.Second
	waveSlice    = 5 * time.Second
	waveJobs     = 4 // of each class
)

// waveClasses are the batch work of a wave, with the processors and the noise of
// the same classes in core/scenario and shorter run times. All of it together is
// what the fleet could do in the time at full speed.
var waveClasses = []struct {
	name            string
	tasks           int // of each job
	milliCPU, noise int64
	millis          int
}{
	{name: "rotation-plan", tasks: 125, milliCPU: 1000, noise: 10, millis: 8000},
	{name: "maintenance", tasks: 28, milliCPU: 2000, noise: 150, millis: 6000},
}

// measureNoise measures requests without batch work, in a wave of batch work
// under the interference control, and in a wave whose workers carry out no
// throttle orders. Each wave has classes of its own, so that neither profits from
// what was learned in the other.
func measureNoise(ctx context.Context, rep *report, fle *harness.Fleet) error {
	const name = "fleet.bayou-paddle"
	lod := startLoad(ctx, fle, noiseCallers, true)
	defer lod.stop()
	// The first requests open connections.
	if err := control.Pause(ctx, 3*time.Second); err != nil {
		return err
	}
	before, err := quietPhase(ctx, lod)
	if err != nil {
		return err
	}
	guarded, err := runWave(ctx, rep, fle, lod, name+".wave")
	if err != nil {
		return err
	}
	if err := fle.SetWorkerFaults(ctx, harness.WorkerFaults{IgnoreThrottle: true}); err != nil {
		return err
	}
	baseline, err := runWave(ctx, rep, fle, lod, name+".wave-unthrottled")
	if err != nil {
		return err
	}
	after, err := quietPhase(ctx, lod)
	if err != nil {
		return err
	}
	reportCalls(rep, name+".quiet-before", before)
	reportCalls(rep, name+".quiet-after", after)
	quiet := reportCalls(rep, name+".quiet", append(before, after...))
	if quiet.whole == 0 {
		return errors.New("no request was answered without batch work")
	}
	rep.value(name+".wave-unthrottled.p99-ratio", baseline.whole/quiet.whole, "times")
	rep.value(name+".wave-unthrottled.service-time.p99-ratio", baseline.served/quiet.served, "times")
	// The time at the endpoint is what tasks change. The whole time also has what
	// other work on the machine adds, in the quiet phases and in the waves.
	rep.atMost(name+".wave.service-time.p99-ratio", guarded.served/quiet.served, noiseBound, "times")
	rep.atMost(name+".wave.p99-ratio", guarded.whole/quiet.whole, noiseBound, "times")
	return nil
}

func quietPhase(ctx context.Context, lod *requestLoad) ([]call, error) {
	win := window{from: time.Now()}
	if err := control.Pause(ctx, quietTime); err != nil {
		return nil, err
	}
	win.until = time.Now()
	return lod.during(win), nil
}

// runWave submits more batch work than the fleet can do in the time, prints what
// it did to the requests and what was done, cancels the rest and returns the p99.
func runWave(ctx context.Context, rep *report, fle *harness.Fleet, lod *requestLoad, name string) (tails, error) {
	acted, err := guardCounts(ctx, fle)
	if err != nil {
		return tails{}, err
	}
	win := window{from: time.Now()}
	ids := map[string][]string{}
	var all []string
	for _, cls := range waveClasses {
		bat := taskBatch{key: name + cls.name, class: name + cls.name, kind: "plan", jobs: waveJobs, tasks: cls.tasks, milliCPU: cls.milliCPU, noise: cls.noise, millis: cls.millis}
		if ids[cls.name], err = bat.submit(ctx, fle); err != nil {
			return tails{}, err
		}
		all = append(all, ids[cls.name]...)
	}
	if err := control.Pause(ctx, time.Until(win.from.Add(waveTime))); err != nil {
		return tails{}, err
	}
	win.until = time.Now()
	now, err := guardCounts(ctx, fle)
	if err != nil {
		return tails{}, err
	}
	runs, err := fle.History(ctx)
	if err != nil {
		return tails{}, err
	}
	if err := cancelAll(ctx, fle, all); err != nil {
		return tails{}, err
	}
	for _, cls := range waveClasses {
		rep.value(name+"."+cls.name+".work", float64(cls.millis*win.finishedIn(runs, ids[cls.name]))/win.seconds(), "task-ms/s")
		rep.value(name+"."+cls.name+".most-on-an-instance", float64(mostAtOnce(runs, ids[cls.name])), "tasks at once")
	}
	for pos, cnt := range guardCounters {
		rep.value(name+"."+cnt.name, now[pos]-acted[pos], "in the wave")
	}
	for slice := (window{win.from, win.from.Add(waveSlice)}); slice.until.Before(win.until.Add(time.Second)); slice = (window{slice.until, slice.until.Add(waveSlice)}) {
		if times := timesOf(lod.during(slice), call.atEndpoint); len(times) > 0 {
			rep.value(name+".service-time.p99-to-"+slice.until.Sub(win.from).String(), millisOf(times, 99), "ms")
		}
	}
	judgeOverlap(rep, name, runs)
	return reportCalls(rep, name, lod.during(win)), nil
}

// mostAtOnce returns the highest number of tasks of some jobs that ran on one instance at once.
func mostAtOnce(runs []harness.Run, ids []string) int {
	type change struct {
		at    int64
		count int
	}
	changes := map[string][]change{}
	for _, run := range runs {
		if !slices.Contains(ids, run.Job) {
			continue
		}
		changes[run.Instance] = append(changes[run.Instance], change{run.Started, 1})
		if run.Stopped != 0 {
			changes[run.Instance] = append(changes[run.Instance], change{run.Stopped, -1})
		}
	}
	most := 0
	for _, list := range changes {
		slices.SortFunc(list, func(one, two change) int {
			return cmp.Or(cmp.Compare(one.at, two.at), cmp.Compare(one.count, two.count))
		})
		now := 0
		for _, chg := range list {
			now += chg.count
			most = max(most, now)
		}
	}
	return most
}

// guardCounters are what the agents did to tasks.
var guardCounters = []struct{ name, prefix string }{
	{"throttles", "jacinthpost_interference_throttles_total"},
	{"evictions", "jacinthpost_interference_evictions_total"},
	{"evictions-for-room", "jacinthpost_owner_evictions_total"},
}

// guardCounts returns the sums over all agents in the order of guardCounters.
func guardCounts(ctx context.Context, fle *harness.Fleet) ([]float64, error) {
	sums := make([]float64, len(guardCounters))
	for _, ins := range fle.Instances() {
		usg, err := ins.Usage(ctx)
		if err != nil {
			return nil, err
		}
		for pos, cnt := range guardCounters {
			sums[pos] += usg.Sum(cnt.prefix)
		}
	}
	return sums, nil
}
