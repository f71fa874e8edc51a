package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthpost/core/fleet"
	"jacinthpost/core/pacing"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
	"jacinthpost/internal/proptest"
)

// searchModel is a scheduler with random instances and jobs. Its plans compare each choice with that of
// a plain search.
type searchModel struct {
	*rapid.T
	sch     *Scheduler[DeadlineOrder, SpreadPlacement]
	now     time.Time
	jobs    int
	seqs    map[fleet.InstanceID]uint64
	figures map[RunID]float64
}

const searchInstances = 7

func newSearchModel(t *rapid.T) *searchModel {
	now := time.UnixMilli(1_700_000_000_000)
	opt := Options{LostAfter: 7 * time.Second, RemoteFactor: 1.5}
	mod := &searchModel{
		T: t, now: now, sch: New(DeadlineOrder{}, SpreadPlacement{}, opt, now), seqs: make(map[fleet.InstanceID]uint64), figures: make(map[RunID]float64),
	}
	for num := range searchInstances {
		mod.reportFrom(num, nil)
	}
	return mod
}

func instanceID(num int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%02d", num)) }

// reportFrom applies a report of an instance that lists all runs it has been ordered to start, with
// random measurements.
func (mod *searchModel) reportFrom(num int, evts []Event) {
	id := instanceID(num)
	rep := Report{
		Instance: id, Session: 1, Incarnation: Incarnation(id), Service: "s", Location: fleet.NewLocation("r", fleet.DataCentre(fmt.Sprint("z", num%3)), ""),
		Labels: []string{fmt.Sprint("kind", num%2), fmt.Sprint("rack", num/2)}, Capacity: resource.New(int64(8000+4000*(num%2)), 16_000, 0),
		Draining: rapid.IntRange(0, 30).Draw(mod.T, "draining") == 0, Remaining: time.Second, Events: evts, AckedOrders: 1 << 40,
	}
	for _, att := range mod.sch.instance(id).attempts {
		if !att.released || slices.ContainsFunc(evts, func(evt Event) bool { return evt.ID == att.id() }) {
			continue
		}
		sta := RunState{ID: att.id(), Working: true, Percent: 100, Share: rapid.SampledFrom([]int{0, 100}).Draw(mod.T, "share")}
		sta.Figure = float64(rapid.IntRange(1, 30).Draw(mod.T, "figure"))
		if att.step.spec.BestEffort() {
			sta.Figure *= 100
		}
		rep.Runs = append(rep.Runs, sta)
	}
	mod.sch.ApplyReport(rep, mod.now)
}

func (mod *searchModel) report() {
	num := rapid.IntRange(0, searchInstances-1).Draw(mod.T, "instance")
	var evts []Event
	for _, att := range mod.sch.instance(instanceID(num)).attempts {
		if att.released && rapid.IntRange(0, 3).Draw(mod.T, "ends") == 0 {
			mod.seqs[att.instance]++
			how := rapid.SampledFrom([]EndCause{EndDone, EndDone, EndFailed, EndStopped, EndRefused}).Draw(mod.T, "cause")
			evts = append(evts, Event{Seq: mod.seqs[att.instance], ID: att.id(), Cause: how})
		}
	}
	mod.reportFrom(num, evts)
}

func (mod *searchModel) submit() {
	if mod.jobs >= 25 {
		return
	}
	mod.jobs++
	steps := make([]workload.StepParams, rapid.IntRange(1, 2).Draw(mod.T, "steps"))
	for num := range steps {
		steps[num] = mod.drawStep(num)
	}
	job, err := workload.New(workload.JobParams{
		ID: fmt.Sprint("j", mod.jobs), Queue: "q", Service: "s", Steps: steps, MaxAttempts: 3, Stretch: 2,
		TargetLatencyMillis: 400, Priority: rapid.IntRange(0, 1).Draw(mod.T, "priority"), AcceptedMillis: mod.now.UnixMilli(),
	})
	if err != nil {
		mod.Fatal(err)
	}
	mod.sch.Submit(job, mod.now)
}

func (mod *searchModel) drawStep(num int) workload.StepParams {
	stp := workload.StepParams{
		Count: rapid.IntRange(1, 6).Draw(mod.T, "count"), MilliCPU: int64(500 * rapid.IntRange(1, 6).Draw(mod.T, "cpu")), MemoryMB: 1000, EstimateMillis: 800,
		PerInstance: rapid.SampledFrom([]int{0, 0, 1}).Draw(mod.T, "apart"),
		Label:       rapid.SampledFrom([]string{"", "", "kind1"}).Draw(mod.T, "label"),
		Rack:        rapid.SampledFrom([]string{"", "", "rack1"}).Draw(mod.T, "rack"),
	}
	if num > 0 {
		stp.Dependencies = []int{num - 1}
	}
	switch rapid.IntRange(0, 4).Draw(mod.T, "kind") {
	case 0, 1:
		stp.BestEffort, stp.Checkpointing, stp.Image = true, true, rapid.SampledFrom([]string{"f1", "f2"}).Draw(mod.T, "image")
	case 2:
		stp.LongRunning, stp.TargetMillis, stp.Image = true, 18, rapid.SampledFrom([]string{"s1", "s2"}).Draw(mod.T, "image")
	case 3:
		stp.TightlyCoupled = true
	}
	return stp
}

func (mod *searchModel) advance() {
	mod.now = mod.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(mod.T, "ticks")) * 100 * time.Millisecond)
	mod.sch.Tick(mod.now, mod.now)
}

func (mod *searchModel) cancel() {
	mod.sch.Cancel(fmt.Sprint("j", rapid.IntRange(1, max(1, mod.jobs)).Draw(mod.T, "job")), mod.now)
}

func (mod *searchModel) exclude() {
	mod.sch.SetExcluded(map[fleet.DataCentre]bool{fleet.DataCentre(fmt.Sprint("z", rapid.IntRange(0, 4).Draw(mod.T, "zone"))): true})
}

// plan places the waiting steps as Plan does and checks each choice.
func (mod *searchModel) plan() {
	sch := mod.sch
	cans := slices.Clone(sch.candidates(mod.now))
	mod.expectCandidates(cans)
	slices.SortFunc(cans, func(fst, snd waitingStep) int {
		if sch.order.Before(fst.Candidate, snd.Candidate) {
			return -1
		}
		return 1
	})
	pln := planner{now: mod.now}
	for _, can := range cans {
		sea := sch.newSearch(can)
		for idx, tsk := range can.step.tasks {
			if !tsk.ready(mod.now) {
				continue
			}
			pln.unplaceable = nil // a plain search learns nothing from other steps
			want := sch.plainChoice(can, tsk, mod.now)
			got := sch.chooseInstance(&pln, sea, tsk)
			if got.instance != want.instance {
				mod.Fatalf("task %d of %s: the search chose %v, a plain search %v", idx, can.job.spec.ID(), name(got), name(want))
			}
			if got.instance == nil {
				sch.recordBlocked(can, can.step, mod.now)
				break
			}
			sch.assign(can.step, tsk, idx, got, tsk.run+1, mod.now)
			sch.updateOption(&pln, sea, got.instance)
		}
	}
	sch.Committed(sch.NextBatch(1000), mod.now)
}

func name(cho choice) string {
	if cho.instance == nil {
		return "none"
	}
	return fmt.Sprintf("%s at %g", cho.instance.id, cho.cost)
}

// expectCandidates compares the candidates with those found by looking at all jobs.
func (mod *searchModel) expectCandidates(cans []waitingStep) {
	found := make(map[*stepState]bool)
	for _, can := range cans {
		found[can.step] = true
	}
	num := 0
	for _, job := range mod.sch.jobs {
		for _, occ := range job.occurrences {
			for idx, stp := range occ.steps {
				if job.state.Final() || !occ.dependenciesDone(idx) || !stp.startable(mod.now) {
					continue
				}
				num++
				if !found[stp] {
					mod.Fatalf("step %d of %s waits and is not a candidate", idx, job.spec.ID())
				}
			}
		}
	}
	if num != len(cans) {
		mod.Fatalf("%d candidates, %d steps wait", len(cans), num)
	}
}

// plainChoice looks at all instances for each task, and uses nothing that an earlier search has learned.
func (sch *Scheduler[O, P]) plainChoice(can waitingStep, tsk *task, now time.Time) choice {
	stp := can.step
	cnd := sch.conditionsOf(can, now)
	var best choice
	for _, ins := range sch.instances {
		if !sch.serves(ins, can.job) || !sch.admits(ins, can.job, stp, now) || !cnd.headroom && !ins.hasAmpleRoom(stp) {
			continue
		}
		asg := sch.assignment(stp, ins)
		asg.Starved, asg.FailedBefore = cnd.starved, tsk.failedOnInstance(ins.id)
		if !sch.placement.Fits(asg, ins.info()) {
			continue
		}
		asg.Interference = sch.plainInterference(ins, stp)
		if !sch.placement.Acceptable(asg) {
			continue
		}
		cost := sch.placement.Cost(asg, ins.info())
		if best.instance == nil || cost < best.cost || cost == best.cost && ins.id < best.instance.id {
			best = choice{instance: ins, cost: cost}
		}
	}
	return best
}

// plainInterference sums the uses of the attempts up again. The loads are those of the last report.
func (sch *Scheduler[O, P]) plainInterference(ins *instance, stp *stepState) float64 {
	sums := make(map[string]int64)
	for _, att := range ins.attempts {
		if att.step.spec.BestEffort() {
			sums[att.step.spec.Image()] += att.step.spec.MilliCPU()
		}
	}
	var uss pacing.Uses
	for img, sum := range sums {
		uss = uss.With(img, float64(sum)/ins.totalCPU())
	}
	switch {
	case stp.spec.Target() > 0:
		return sch.interferenceModel.Load(stp.spec.Image(), uss)
	case stp.spec.BestEffort():
		if !slices.Equal(uss, ins.bestEffortUses()) {
			return -1000
		}
		return sch.prospect(ins).AddedViolations(stp.spec.Image(), ins.cpuFraction(stp))
	default:
		return 0
	}
}

// TestSearch guards against choices that differ from those of a plain search because an instance or a
// step has changed without notice.
func TestSearch(t *testing.T) {
	if err := proptest.Setup(150, 60); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		mod := newSearchModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"report": func(*rapid.T) { mod.report() }, "reportAgain": func(*rapid.T) { mod.report() }, "submit": func(*rapid.T) { mod.submit() },
			"advance": func(*rapid.T) { mod.advance() }, "cancel": func(*rapid.T) { mod.cancel() }, "exclude": func(*rapid.T) { mod.exclude() },
			"plan": func(*rapid.T) { mod.plan() }, "planAgain": func(*rapid.T) { mod.plan() },
		})
	})
}
