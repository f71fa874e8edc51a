package main

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
	"jacinthpost/core/scenario"
)

// Bounds of the scheduling decisions, from section 8 of the design page. They
// are targets and are never adjusted to measurements.
const (
	p99Bound        = 1.10
	throughputBound = 1.25
	evictionBound   = 1.0 / 3
	outageBound     = 0.90
	urgentBound     = 1.1 // seconds
	placementBound  = 28_500
	scaleBound      = 1.5
	memoryBound     = 64 // MB
)

// variant runs a scenario with one combination of policy, guard and static limit.
type variant struct {
	name string
	run  func(cfg scenario.Config, seed uint64) *scenario.Result
}

func combine[P place.Policy, G interfere.Guard](name string, pol P, grd func(resource.Vector, interfere.Service) G, part float64) variant {
	return variant{name: name, run: func(cfg scenario.Config, seed uint64) *scenario.Result {
		return scenario.New(cfg.WithBatchFraction(part), pol, grd, seed).Run()
	}}
}

func controller(room resource.Vector, svc interfere.Service) *interfere.Controller {
	return interfere.NewController(room, svc)
}

func evictNewest(room resource.Vector, svc interfere.Service) *interfere.EvictNewest {
	return interfere.NewEvictNewest(room, svc)
}

func throttleAll(room resource.Vector, svc interfere.Service) *interfere.ThrottleAll {
	return interfere.NewThrottleAll(room, 1, svc)
}

// throttleEarly is throttleAll with an aim at which it keeps the allowed tail latency.
func throttleEarly(room resource.Vector, svc interfere.Service) *interfere.ThrottleAll {
	return interfere.NewThrottleAll(room, 0.7, svc)
}

func unguarded(resource.Vector, interfere.Service) interfere.Unguarded { return interfere.Unguarded{} }

// baselines returns the placement baselines, each with every way to protect
// the services that does not know about interference.
func baselines() []variant {
	vars := append(protections("uniform", place.Uniform{}), protections("first-fit", place.FirstFit{})...)
	return append(vars, protections("least-loaded", place.LeastLoaded{})...)
}

func protections[P place.Policy](name string, pol P) []variant {
	vars := []variant{
		combine(name+"+evict-newest", pol, evictNewest, 1),
		combine(name+"+throttle-all", pol, throttleAll, 1),
		combine(name+"+throttle-early", pol, throttleEarly, 1),
	}
	for _, part := range []float64{0.2, 0.3, 0.4, 0.5, 0.6} {
		vars = append(vars, combine(fmt.Sprintf("%s+limit-%.0f%%", name, part*100), pol, unguarded, part))
	}
	return vars
}

// product is the combination that the product uses.
func product() variant { return combine("product", place.Scored{}, controller, 1) }

// alternatives are parts of the product with the rest replaced, to show what each part gains.
func alternatives() []variant {
	return []variant{
		combine("scored+throttle-all", place.Scored{}, throttleAll, 1),
		combine("learned-sizes+controller", place.LeastLoadedLearned{}, controller, 1),
		combine("least-loaded+controller", place.LeastLoaded{}, controller, 1),
	}
}

// runs holds the results of one variant for all seeds, in the order of the seeds.
type runs struct {
	name    string
	results []*scenario.Result
}

// runAll runs every variant with every seed, a bounded number at once.
func runAll(cfg scenario.Config, vars []variant, seeds seedRange) []runs {
	all := make([]runs, len(vars))
	gate := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wtg sync.WaitGroup
	for pos, vnt := range vars {
		all[pos] = runs{name: vnt.name, results: make([]*scenario.Result, seeds.count)}
		for seed := range seeds.count {
			wtg.Add(1)
			go func() {
				defer wtg.Done()
				gate <- struct{}{}
				all[pos].results[seed] = vnt.run(cfg, seeds.at(seed))
				<-gate
			}()
		}
	}
	wtg.Wait()
	return all
}

// each applies a measure to every seed.
func (rns runs) each(measure func(seed int, res *scenario.Result) float64) []float64 {
	vals := make([]float64, len(rns.results))
	for seed, res := range rns.results {
		vals[seed] = measure(seed, res)
	}
	return vals
}

func p99Ratios(rns, alone runs) []float64 {
	return rns.each(func(seed int, res *scenario.Result) float64 {
		return float64(res.Latencies().Quantile(0.99)) / float64(alone.results[seed].Latencies().Quantile(0.99))
	})
}

func works(rns runs) []float64 {
	return rns.each(func(_ int, res *scenario.Result) float64 { return res.Work() / 3600 })
}

func evictions(rns runs) []float64 {
	return rns.each(func(_ int, res *scenario.Result) float64 { return float64(res.Evictions()) })
}

// measures are the parts of the measurement of the scheduling decisions.
var measures = []struct {
	name string
	run  func(rep *report, seeds seedRange)
}{
	{"bayou-paddle", measureTail},
	{"sen-vang", measureThroughput},
	{"two-year", measureUrgent},
	{"identical-runs", func(rep *report, _ seedRange) { measureRepeat(rep) }},
	{"placement", func(rep *report, _ seedRange) { measurePlacement(rep) }},
	{"cancellation", func(rep *report, _ seedRange) { measureCancellation(rep) }},
	{"memory", func(rep *report, _ seedRange) { measureMemory(rep) }},
}

// measureDecisions runs the parts whose name contains the filter.
func measureDecisions(rep *report, seeds seedRange, filter string) {
	for _, mea := range measures {
		if strings.Contains(mea.name, filter) {
			mea.run(rep, seeds)
		}
	}
}

// measureTail compares the tail latency in waves of noisy tasks and the evictions it costs.
func measureTail(rep *report, seeds seedRange) {
	cfg := scenario.BayouPaddle()
	alone := runAll(cfg.WithoutBatch(), []variant{product()}, seeds)[0]
	all := runAll(cfg, append([]variant{product()}, append(baselines(), alternatives()...)...), seeds)
	for _, rns := range all {
		rep.spread("decisions.bayou-paddle.p99-ratio."+rns.name, p99Ratios(rns, alone), "ratio")
		rep.spread("decisions.bayou-paddle.work."+rns.name, works(rns), "core-hours")
		rep.spread("decisions.bayou-paddle.evictions."+rns.name, evictions(rns), "evictions")
	}
	rep.atMost("decisions.bayou-paddle.p99-ratio", slices.Max(p99Ratios(all[0], alone)), p99Bound, "ratio")
	rep.evictionRatio("decisions.bayou-paddle.eviction-ratio", all)
}

// measureThroughput compares the useful work at the allowed tail latency, and
// the work done while a data centre leaves and returns.
func measureThroughput(rep *report, seeds seedRange) {
	cfg := scenario.SenVang()
	alone := runAll(cfg.WithoutBatch(), []variant{product()}, seeds)[0]
	all := runAll(cfg, append([]variant{product()}, append(baselines(), alternatives()...)...), seeds)
	best := make([]float64, seeds.count)
	names := make([]string, seeds.count)
	for pos, rns := range all {
		ratios, wrk := p99Ratios(rns, alone), works(rns)
		rep.spread("decisions.sen-vang.p99-ratio."+rns.name, ratios, "ratio")
		rep.spread("decisions.sen-vang.work."+rns.name, wrk, "core-hours")
		rep.spread("decisions.sen-vang.evictions."+rns.name, evictions(rns), "evictions")
		for seed := range seeds.count {
			if pos > 0 && pos <= len(baselines()) && ratios[seed] <= p99Bound && wrk[seed] > best[seed] {
				best[seed], names[seed] = wrk[seed], rns.name
			}
		}
	}
	gains := all[0].each(func(seed int, res *scenario.Result) float64 { return res.Work() / 3600 / max(1, best[seed]) })
	rep.note("decisions.sen-vang.best-baseline", fmt.Sprint(names))
	rep.spread("decisions.sen-vang.throughput-gain", gains, "ratio")
	rep.atMost("decisions.sen-vang.p99-ratio", slices.Max(p99Ratios(all[0], alone)), p99Bound, "ratio")
	rep.atLeast("decisions.sen-vang.throughput-gain", slices.Min(gains), throughputBound, "ratio")
	rep.evictionRatio("decisions.sen-vang.eviction-ratio", all)
	measureOutage(rep, cfg, all[0], seeds)
}

// measureOutage compares the work from the loss of a data centre until the end
// of the ramp after its return with the part that the remaining workers have
// in the average rate of a run of the same seed without the loss.
func measureOutage(rep *report, cfg scenario.Config, lost runs, seeds seedRange) {
	whole := runAll(cfg.WithoutOutage(), []variant{product()}, seeds)[0]
	parts := lost.each(func(seed int, res *scenario.Result) float64 {
		rate := whole.results[seed].SteadyWork() / (cfg.Length() - cfg.Settled()).Seconds()
		return res.OutageWork() / (rate * cfg.OutagePeriod().Seconds() * cfg.RemainingFraction())
	})
	rep.spread("decisions.sen-vang.outage-work", parts, "of remaining capacity")
	rep.atLeast("decisions.sen-vang.outage-work", slices.Min(parts), outageBound, "of remaining capacity")
}

// measureUrgent runs the two-year size at its peak of starts.
func measureUrgent(rep *report, seeds seedRange) {
	cfg := scenario.TwoYearGrowth()
	all := runAll(cfg, []variant{product(), combine("least-loaded+unguarded", place.LeastLoaded{}, unguarded, 1)}, seeds)
	for _, rns := range all {
		waits := rns.each(func(_ int, res *scenario.Result) float64 { return res.UrgentWaitAfterSettled().Seconds() })
		starts := rns.each(func(_ int, res *scenario.Result) float64 {
			return float64(res.SteadyStarts()) / (cfg.Length() - cfg.Settled()).Seconds()
		})
		fills := rns.each(func(_ int, res *scenario.Result) float64 { return res.UrgentWaitBeforeSettled().Seconds() })
		rep.spread("decisions.two-year.urgent-wait."+rns.name, waits, "s")
		rep.spread("decisions.two-year.urgent-wait-while-filling."+rns.name, fills, "s")
		rep.spread("decisions.two-year.starts."+rns.name, starts, "starts/s")
		if rns.name == product().name {
			rep.atMost("decisions.two-year.urgent-wait", slices.Max(waits), urgentBound, "s")
		}
	}
}

// measureRepeat checks that the same events and seed give the same decisions.
func measureRepeat(rep *report) {
	same := 1.0
	for _, cfg := range []scenario.Config{scenario.SenVang(), scenario.BayouPaddle(), scenario.TwoYearGrowth()} {
		all := runAll(cfg, []variant{product(), product()}, seedRange{first: 1, count: 1})
		if all[0].results[0].Hash() != all[1].results[0].Hash() {
			same = 0
		}
	}
	rep.atLeast("decisions.identical-runs", same, 1, "boolean")
}

// runningTask is what ends a task. It is small, because the list of running
// tasks belongs to the benchmark and should not take the cache from the scheduler.
type runningTask struct {
	id       place.TaskID
	instance fleet.InstanceID
	size     resource.Vector
}

// filledScheduler is a scheduler filled to a number of workers with 15.6 tasks each.
type filledScheduler struct {
	scheduler *place.Scheduler[place.Scored]
	free      map[fleet.InstanceID]resource.Vector
	running   []runningTask
	serial    int
	now       time.Time
}

const (
	tasksPerWorker = 21_800.0 / 1_400
	twoYearWorkers = 1_400
	smallWorkers   = twoYearWorkers / 10
)

func newFilledScheduler(workers int) *filledScheduler {
	fis := &filledScheduler{scheduler: place.NewScheduler(place.Scored{}, 1), free: make(map[fleet.InstanceID]resource.Vector), now: time.Unix(0, 0)}
	room := resource.New(32_000, 125_000, 0)
	for pos := range workers {
		sit := pos % 7
		loc := fleet.NewLocation(fleet.Region(fmt.Sprint("region-", sit/4)), fleet.DataCentre(fmt.Sprint("dc-", sit)), fleet.Rack(fmt.Sprint("rack-", sit, "-", pos/140)))
		id := fleet.InstanceID(fmt.Sprint("worker-", pos))
		fis.free[id] = room
		fis.scheduler.Join(place.NewInstance(id, loc, room, room, "catalog-core"), fis.now)
	}
	for pos := range 20 {
		fis.scheduler.ObserveCost("catalog-core", className(pos), 0.01*float64(pos%5), 100, fis.now)
	}
	for range int(float64(workers) * tasksPerWorker) {
		fis.submit()
	}
	fis.place()
	return fis
}

func className(pos int) fleet.JobClass { return fleet.JobClass(fmt.Sprint("class-", pos%20)) }

func (fis *filledScheduler) submit() {
	fis.serial++
	num := fis.serial
	job := fmt.Sprint("job-", num/20)
	tsk := place.NewTask(place.TaskID(fmt.Sprint(job, "/", num%20)), job, fleet.Team(fmt.Sprint("team-", num/20%50)),
		className(num/20), resource.New(int64(500+num%7*200), int64(2_000+num%5*1_000), 0))
	fis.scheduler.Submit(tsk, fis.now)
}

// place sends offers until nothing fits and accepts them all.
func (fis *filledScheduler) place() int {
	count := 0
	for {
		off, found := fis.scheduler.Next(fis.now)
		if !found {
			return count
		}
		count++
		fis.free[off.Instance()] = fis.free[off.Instance()].Minus(off.Size())
		fis.scheduler.Accepted(off.Task().ID(), fis.free[off.Instance()])
		fis.running = append(fis.running, runningTask{id: off.Task().ID(), instance: off.Instance(), size: off.Size()})
	}
}

// turn ends the oldest task and places a new one.
func (fis *filledScheduler) turn() {
	tsk := fis.running[0]
	fis.running = fis.running[1:]
	fis.free[tsk.instance] = fis.free[tsk.instance].Plus(tsk.size)
	fis.now = fis.now.Add(time.Second / 570)
	fis.scheduler.Ended(tsk.id, place.Finished, tsk.size, "", fis.now)
	fis.submit()
	fis.place()
}

// processorTime returns the processor time used by the process, collection of
// garbage included. Unlike wall time it does not count the time in which other
// programs use the core.
func processorTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

const (
	placementRounds = 15
	turnsPerRound   = 20_000
)

// turnsPerSecond measures whole cycles of submit, place, accept and end per
// second of processor time, which is what one core does.
func turnsPerSecond(workers int) float64 {
	fis := newFilledScheduler(workers)
	runtime.GC()
	begin := processorTime()
	for range turnsPerRound {
		fis.turn()
	}
	return turnsPerRound / (processorTime() - begin).Seconds()
}

// measurePlacement measures both sizes in turn, each alone in memory, and judges
// the median of the ratios of neighbouring runs. The speed of the machine changes
// within seconds when other programs share its caches: the same size was seen
// with 13.6 and 19.2 microseconds a turn within a minute.
func measurePlacement(rep *report) {
	old := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(old)
	var small, large, ratios []float64
	for range placementRounds {
		one, two := turnsPerSecond(smallWorkers), turnsPerSecond(twoYearWorkers)
		small, large, ratios = append(small, one), append(large, two), append(ratios, one/two)
	}
	rep.spread("decisions.placement.rate-at-140-workers", small, "placements/s")
	rep.spread("decisions.placement.rate-at-1400-workers", large, "placements/s")
	rep.spread("decisions.placement.cost-ratio-1400-to-140", ratios, "ratio")
	rep.atLeast("decisions.placement.rate-at-1400-workers", median(large), placementBound, "placements/s")
	rep.atMost("decisions.placement.cost-ratio-1400-to-140", median(ratios), scaleBound, "ratio")
}

func median(vals []float64) float64 { return slices.Sorted(slices.Values(vals))[len(vals)/2] }

// measureCancellation compares the cost of one cancellation in a short and a long queue.
func measureCancellation(rep *report) {
	for _, waiting := range []int{1_000, 20_000} {
		sch := place.NewScheduler(place.Scored{}, 1)
		for pos := range waiting {
			sch.Submit(place.NewTask(place.TaskID(fmt.Sprint(pos)), "job", "team", "class", resource.New(1, 1, 0)), time.Unix(0, 0))
		}
		begin := time.Now()
		for pos := range waiting {
			sch.Cancel(place.TaskID(fmt.Sprint(pos)), "job")
		}
		rep.value(fmt.Sprintf("decisions.cancellation-cost-of-%d", waiting), float64(time.Since(begin).Nanoseconds())/float64(waiting), "ns")
	}
}

// measureMemory counts the live heap of a full scheduler with 8,300 waiting tasks.
func measureMemory(rep *report) {
	before := liveHeap()
	fis := newFilledScheduler(twoYearWorkers)
	for range 8_300 {
		fis.submit()
	}
	fis.free, fis.running = nil, nil
	used := liveHeap() - before
	rep.value("decisions.memory.placed", float64(fis.scheduler.Placed()), "tasks")
	rep.atMost("decisions.memory", float64(used)/(1<<20), memoryBound, "MB")
	runtime.KeepAlive(fis)
}

func liveHeap() int64 {
	var mem runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&mem)
	return int64(mem.HeapAlloc)
}
