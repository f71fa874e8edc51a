package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

const step = 500 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// instance is an agent with its worker. It accepts what fits beside the tasks of
// other owners and runs it for a time that the payload of the job names.
type instance struct {
	hint    job.Instance
	foreign resource.Vector
	busy    bool // its service gets requests
	bad     bool // fails every task
	early   bool // its answers count tasks as ended that the owner still knows
	runs    []run
	started int
}

type run struct {
	task   job.Task
	size   resource.Vector
	part   int
	end    time.Time
	stopAt time.Time // when the checkpoint of a stop is taken, zero without a stop
}

func (ins *instance) free() resource.Vector {
	free := ins.hint.Capacity().Minus(ins.foreign)
	for _, rnn := range ins.runs {
		free = free.Minus(rnn.size)
	}
	return free
}

// world drives partitions that share a dispatcher against simulated instances.
type world struct {
	now       time.Time
	dsp       *dispatch.Dispatcher[place.Scored]
	parts     []*job.Partition[*dispatch.Placement[place.Scored]]
	logs      [][]job.Record
	instances []*instance
	hints     []job.Instance
	gone      map[fleet.InstanceID]bool
	out       map[fleet.DataCentre]bool
	jobs      []job.ID
	last      job.Task // the latest offer
	uses      map[fleet.JobClass]resource.Vector
	broken    string
	tags      job.Tag
	// checkpoint is how long a stop takes.
	checkpoint time.Duration
	step       time.Duration
	stops      int
	startedAt  map[job.ID]time.Time
}

// newWorld returns a world with instances of 8 processors in racks of three, over data centres in turn.
func newWorld(partitions, instances, centres int) *world {
	wld := &world{
		now: start, dsp: dispatch.New(place.Scored{}, 7, 1),
		uses: map[fleet.JobClass]resource.Vector{},
		gone: map[fleet.InstanceID]bool{}, out: map[fleet.DataCentre]bool{}, step: step, startedAt: map[job.ID]time.Time{},
	}
	for idx := range instances {
		loc := fleet.NewLocation("region", fleet.DataCentre(fmt.Sprintf("dc-%d", idx%centres)), fleet.Rack(fmt.Sprintf("rack-%d", idx/3)))
		hol := fleet.NewProcess(fleet.InstanceID(fmt.Sprintf("agent-%04d", idx)), 1)
		wld.instances = append(wld.instances, &instance{hint: job.NewInstance(hol, loc, resource.New(8000, 8000, 0), job.Alive)})
	}
	wld.logs = make([][]job.Record, partitions)
	for num := range partitions {
		wld.parts = append(wld.parts, nil)
		wld.takeOver(num, 1)
	}
	return wld
}

func (wld *world) env() job.Env {
	return job.NewEnv(wld.now, wld.now.Add(time.Hour), func(dce fleet.DataCentre) bool { return !wld.out[dce] })
}

// takeOver gives a partition a new tenure that knows only its log.
func (wld *world) takeOver(num int, epoch uint64) {
	wld.parts[num] = job.New(wld.dsp.Placement(num), job.DefaultLimits())
	wld.parts[num].Replay(wld.logs[num])
	wld.observe()
	wld.collect(num, wld.parts[num].TakeOver(wld.env(), epoch))
}

// observe tells all partitions which instances are there.
func (wld *world) observe() {
	wld.hints = nil
	for _, ins := range wld.instances {
		if !wld.gone[ins.hint.ID()] {
			wld.hints = append(wld.hints, ins.hint)
		}
	}
	for num, par := range wld.parts {
		if par != nil {
			wld.collect(num, par.Observe(wld.env(), wld.hints))
		}
	}
}

// setOut takes a data centre out by ticket or brings it back.
func (wld *world) setOut(dce fleet.DataCentre, out bool) {
	if wld.out[dce] = out; !out {
		delete(wld.out, dce)
	}
	wld.dsp.SetOutOfService(slices.Sorted(maps.Keys(wld.out)), wld.now)
}

// submit sends a job to a partition. A payload that starts with "poison" makes
// every task fail; the lease stands for the run time.
func (wld *world) submit(num int, spc job.Spec, key string) job.ID {
	spc = spc.WithKey("workspace", key)
	wld.tags++
	wld.collect(num, wld.parts[num].Submit(wld.env(), wld.tags, spc))
	id := job.NewID("workspace", key)
	if _, known := wld.parts[num].Status(id); known {
		wld.jobs = append(wld.jobs, id)
	}
	return id
}

func (wld *world) find(id fleet.InstanceID) *instance {
	return wld.instances[slices.IndexFunc(wld.instances, func(ins *instance) bool { return ins.hint.ID() == id })]
}

// collect logs the records of an event and carries out its effects.
func (wld *world) collect(num int, out *job.Output) {
	wld.logs[num] = append(wld.logs[num], out.Records()...)
	wld.check()
	for _, eff := range out.Effects() {
		switch eff := eff.(type) {
		case job.Offer:
			wld.offered(num, eff)
		case job.Stop:
			wld.stopped(num, eff)
		case job.Adopt:
			ins := wld.find(eff.To())
			var held []job.Ref
			for _, rnn := range ins.runs {
				if rnn.part == num {
					held = append(held, rnn.task.Ref())
				}
			}
			if !wld.gone[eff.To()] {
				wld.collect(num, wld.parts[num].Adopted(wld.env(), ins.hint.Holder(), true, held))
				for _, rnn := range ins.runs {
					wld.parts[num].Placement().Resized(rnn.task.Ref(), rnn.size, wld.now)
				}
			}
		}
	}
}

// check looks at the bookkeeping of the dispatcher.
func (wld *world) check() {
	for _, ins := range wld.instances {
		if com := wld.dsp.Committed(ins.hint.ID()); !com.FitsIn(ins.hint.Capacity()) || !com.Valid() {
			wld.fail("%s is committed with %v", ins.hint.ID(), com)
		}
	}
}

func (wld *world) fail(text string, args ...any) {
	if wld.broken == "" {
		wld.broken = fmt.Sprintf(text, args...)
	}
}

func (wld *world) offered(num int, off job.Offer) {
	ins, ref := wld.find(off.To().Instance()), off.Task().Ref()
	wld.last = off.Task()
	if wld.out[ins.hint.Location().DataCentre()] {
		wld.fail("offer to %s, whose data centre is out", ins.hint.ID())
	}
	if wld.gone[ins.hint.ID()] {
		wld.fail("offer to %s, which is gone", ins.hint.ID())
	}
	size, _, _ := wld.parts[num].Placement().Terms(off.Task())
	fits := size.FitsIn(ins.free())
	if fits {
		ins.started++
		if _, again := wld.startedAt[ref.Job()]; !again {
			wld.startedAt[ref.Job()] = wld.now
		}
		ins.runs = append(ins.runs, run{task: off.Task(), size: size, part: num, end: wld.now.Add(off.Task().Spec().Lease() / 10)})
	}
	free := ins.free()
	if ins.early {
		free = ins.hint.Capacity()
	}
	ans := job.NewAnswer(ref, ins.hint.ID(), fits, "capacity", free).WithIdle(!ins.busy)
	wld.collect(num, wld.parts[num].Answered(wld.env(), ans))
	if fits {
		wld.tags++
		wld.collect(num, wld.parts[num].Claim(wld.env(), wld.tags, ref, ins.hint.Holder()))
	}
}

func (wld *world) stopped(num int, stp job.Stop) {
	ins := wld.find(stp.To())
	for _, ord := range stp.Orders() {
		pos := slices.IndexFunc(ins.runs, func(rnn run) bool { return rnn.task.Ref() == ord.Ref() })
		if pos < 0 || wld.gone[stp.To()] {
			continue
		}
		wld.stops++
		ins.runs[pos].stopAt = wld.now.Add(wld.checkpoint)
		if wld.checkpoint == 0 {
			ins.runs = slices.Delete(ins.runs, pos, pos+1)
			wld.report(num, ord.Ref(), job.NewEnd(job.EndCheckpointed, "c"))
		}
	}
}

func (wld *world) report(num int, ref job.Ref, end job.End) {
	wld.tags++
	wld.collect(num, wld.parts[num].Report(wld.env(), wld.tags, []job.Report{job.NewReport(ref, end)}))
}

// pass lets time pass: tasks renew and end.
func (wld *world) pass(steps int) {
	for range steps {
		wld.now = wld.now.Add(wld.step)
		for _, ins := range wld.instances {
			if !wld.gone[ins.hint.ID()] {
				wld.work(ins)
			}
		}
		for num, par := range wld.parts {
			wld.collect(num, par.Tick(wld.env()))
		}
	}
}

func (wld *world) work(ins *instance) {
	for _, rnn := range slices.Clone(ins.runs) {
		if stp := rnn.stopAt; !stp.IsZero() && !wld.now.Before(stp) {
			ins.runs = slices.DeleteFunc(ins.runs, func(oth run) bool { return oth.task.Ref() == rnn.task.Ref() })
			wld.report(rnn.part, rnn.task.Ref(), job.NewEnd(job.EndCheckpointed, "c"))
			continue
		}
		poison := strings.HasPrefix(string(rnn.task.Spec().Payload()), "poison")
		if failing := poison || ins.bad; !failing && wld.now.Before(rnn.end) {
			wld.tags++
			wld.parts[rnn.part].Placement().Used(rnn.task.Ref(), wld.uses[rnn.task.Spec().Class()], wld.now)
			wld.collect(rnn.part, wld.parts[rnn.part].Renew(wld.env(), wld.tags, ins.hint.Holder(), []job.Progress{job.NewProgress(rnn.task.Ref(), 1, "")}))
			continue
		}
		ins.runs = slices.DeleteFunc(ins.runs, func(oth run) bool { return oth.task.Ref() == rnn.task.Ref() })
		end := job.NewEnd(job.EndFinished, "")
		if poison || ins.bad {
			end = job.NewEnd(job.EndFailed, "").WithResult(nil, "exit status 1")
		}
		wld.report(rnn.part, rnn.task.Ref(), end)
	}
}

// statuses returns the states of all jobs.
func (wld *world) statuses() []job.Status {
	var list []job.Status
	for _, par := range wld.parts {
		for _, id := range wld.jobs {
			if sta, known := par.Status(id); known {
				list = append(list, sta)
			}
		}
	}
	return list
}

// open describes the first task that has neither ended nor is parked with an explanation.
func (wld *world) open() string {
	for _, sta := range wld.statuses() {
		for idx, tsk := range sta.Tasks() {
			if !tsk.State().Final() {
				return fmt.Sprintf("task %d of %s (%v) is %v; %v", idx, sta.ID(), sta.Spec().Resources(), tsk.State(), wld.dsp.ExplainJob(sta))
			}
			if tsk.State() == job.Parked && !strings.Contains(tsk.Detail(), "instances") {
				return fmt.Sprintf("task %d of %s is parked with the explanation %q", idx, sta.ID(), tsk.Detail())
			}
		}
	}
	return ""
}

// running returns the processors that the tasks of a team use.
func (wld *world) running(tea fleet.Team) int64 {
	sum := int64(0)
	for _, ins := range wld.instances {
		for _, rnn := range ins.runs {
			if rnn.task.Spec().Team() == tea {
				sum += rnn.task.Spec().Resources().MilliCPU()
			}
		}
	}
	return sum
}
