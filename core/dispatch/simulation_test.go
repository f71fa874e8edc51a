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

// instance simulates an agent with its worker. It accepts tasks that fit beside those
// of other owners and runs each for a tenth of its lease.
type instance struct {
	hint      job.Instance
	foreign   resource.Vector // held by tasks of other owners
	busy      bool            // its service gets requests
	faulty    bool            // fails every task
	endsEarly bool            // its answers report running tasks as ended
	runs      []run
	started   int
}

type run struct {
	task      job.Task
	size      resource.Vector
	partition int
	end       time.Time
	stopAt    time.Time // when its checkpoint is complete, zero unless the task is being stopped
}

func (ins *instance) free() resource.Vector {
	free := ins.hint.Capacity().Minus(ins.foreign)
	for _, rnn := range ins.runs {
		free = free.Minus(rnn.size)
	}
	return free
}

// simulation runs partitions that share a dispatcher against simulated instances.
type simulation struct {
	now        time.Time
	dsp        *dispatch.Dispatcher[place.Scored]
	partitions []*job.Partition[*dispatch.Placement[place.Scored]]
	logs       [][]job.Record
	instances  []*instance
	hints      []job.Instance
	absent     map[fleet.InstanceID]bool
	out        map[fleet.DataCentre]bool
	jobs       []job.ID
	lastOffer  job.Task
	usage      map[fleet.JobClass]resource.Vector // of each running task of the class
	violation  string                             // first violated invariant
	lastTag    job.Tag
	// checkpoint is the time that an agent needs to stop a task with a checkpoint.
	checkpoint time.Duration
	step       time.Duration
	stops      int
	startedAt  map[job.ID]time.Time // first start of a task of the job
}

// newSimulation returns a simulation with instances of 8 processors and 8,000 MB. Three
// successive instances share a rack name; data centres are assigned in turn.
func newSimulation(partitions, instances, centres int) *simulation {
	sim := &simulation{
		now: start, dsp: dispatch.New(place.Scored{}, 7, 1),
		usage:  map[fleet.JobClass]resource.Vector{},
		absent: map[fleet.InstanceID]bool{}, out: map[fleet.DataCentre]bool{}, step: step, startedAt: map[job.ID]time.Time{},
	}
	for idx := range instances {
		loc := fleet.NewLocation("region", fleet.DataCentre(fmt.Sprintf("dc-%d", idx%centres)), fleet.Rack(fmt.Sprintf("rack-%d", idx/3)))
		hol := fleet.NewProcess(fleet.InstanceID(fmt.Sprintf("agent-%04d", idx)), 1)
		sim.instances = append(sim.instances, &instance{hint: job.NewInstance(hol, loc, resource.New(8000, 8000, 0), job.Alive)})
	}
	sim.logs = make([][]job.Record, partitions)
	for num := range partitions {
		sim.partitions = append(sim.partitions, nil)
		sim.takeOver(num, 1)
	}
	return sim
}

func (sim *simulation) env() job.Env {
	return job.NewEnv(sim.now, sim.now.Add(time.Hour), func(dce fleet.DataCentre) bool { return !sim.out[dce] })
}

// takeOver replaces a partition by one that is restored from its log.
func (sim *simulation) takeOver(num int, epoch uint64) {
	sim.partitions[num] = job.New(sim.dsp.Placement(num), job.DefaultLimits())
	sim.partitions[num].Replay(sim.logs[num])
	sim.observe()
	sim.collect(num, sim.partitions[num].TakeOver(sim.env(), epoch))
}

// observe passes the present instances to all partitions.
func (sim *simulation) observe() {
	sim.hints = nil
	for _, ins := range sim.instances {
		if !sim.absent[ins.hint.ID()] {
			sim.hints = append(sim.hints, ins.hint)
		}
	}
	for num, par := range sim.partitions {
		if par != nil {
			sim.collect(num, par.Observe(sim.env(), sim.hints))
		}
	}
}

// setOut takes a data centre out of service by ticket or returns it to service.
func (sim *simulation) setOut(dce fleet.DataCentre, out bool) {
	if sim.out[dce] = out; !out {
		delete(sim.out, dce)
	}
	sim.dsp.SetOutOfService(slices.Sorted(maps.Keys(sim.out)), sim.now)
}

// submit sends a job to a partition. Every task fails if the payload starts with
// "poison". A tenth of the lease is the run time.
func (sim *simulation) submit(num int, spc job.Spec, key string) job.ID {
	spc = spc.WithKey("workspace", key)
	sim.lastTag++
	sim.collect(num, sim.partitions[num].Submit(sim.env(), sim.lastTag, spc))
	id := job.NewID("workspace", key)
	if _, known := sim.partitions[num].Status(id); known {
		sim.jobs = append(sim.jobs, id)
	}
	return id
}

func (sim *simulation) find(id fleet.InstanceID) *instance {
	return sim.instances[slices.IndexFunc(sim.instances, func(ins *instance) bool { return ins.hint.ID() == id })]
}

// collect appends the records of an event to the log and carries out its effects.
func (sim *simulation) collect(num int, out *job.Output) {
	sim.logs[num] = append(sim.logs[num], out.Records()...)
	sim.check()
	for _, eff := range out.Effects() {
		switch eff := eff.(type) {
		case job.Offer:
			sim.offered(num, eff)
		case job.Stop:
			sim.stopped(num, eff)
		case job.Adopt:
			ins := sim.find(eff.To())
			var held []job.Ref
			for _, rnn := range ins.runs {
				if rnn.partition == num {
					held = append(held, rnn.task.Ref())
				}
			}
			if !sim.absent[eff.To()] {
				sim.collect(num, sim.partitions[num].Adopted(sim.env(), ins.hint.Holder(), true, held))
				for _, rnn := range ins.runs {
					sim.partitions[num].Placement().Resized(rnn.task.Ref(), rnn.size, sim.now)
				}
			}
		}
	}
}

// check checks that the commitments on each instance are within its capacity.
func (sim *simulation) check() {
	for _, ins := range sim.instances {
		if com := sim.dsp.Committed(ins.hint.ID()); !com.FitsIn(ins.hint.Capacity()) || !com.Valid() {
			sim.fail("%s is committed with %v", ins.hint.ID(), com)
		}
	}
}

func (sim *simulation) fail(text string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(text, args...)
	}
}

func (sim *simulation) offered(num int, off job.Offer) {
	ins, ref := sim.find(off.To().Instance()), off.Task().Ref()
	sim.lastOffer = off.Task()
	if sim.out[ins.hint.Location().DataCentre()] {
		sim.fail("offer to %s, whose data centre is out", ins.hint.ID())
	}
	if sim.absent[ins.hint.ID()] {
		sim.fail("offer to %s, which is gone", ins.hint.ID())
	}
	size, _, _ := sim.partitions[num].Placement().Terms(off.Task())
	fits := size.FitsIn(ins.free())
	if fits {
		ins.started++
		if _, again := sim.startedAt[ref.Job()]; !again {
			sim.startedAt[ref.Job()] = sim.now
		}
		ins.runs = append(ins.runs, run{task: off.Task(), size: size, partition: num, end: sim.now.Add(off.Task().Spec().Lease() / 10)})
	}
	free := ins.free()
	if ins.endsEarly {
		free = ins.hint.Capacity()
	}
	ans := job.NewAnswer(ref, ins.hint.ID(), fits, "capacity", free).WithIdle(!ins.busy)
	sim.collect(num, sim.partitions[num].Answered(sim.env(), ans))
	if fits {
		sim.lastTag++
		sim.collect(num, sim.partitions[num].Claim(sim.env(), sim.lastTag, ref, ins.hint.Holder()))
	}
}

func (sim *simulation) stopped(num int, stp job.Stop) {
	ins := sim.find(stp.To())
	for _, ord := range stp.Orders() {
		pos := slices.IndexFunc(ins.runs, func(rnn run) bool { return rnn.task.Ref() == ord.Ref() })
		if pos < 0 || sim.absent[stp.To()] {
			continue
		}
		sim.stops++
		ins.runs[pos].stopAt = sim.now.Add(sim.checkpoint)
		if sim.checkpoint == 0 {
			ins.runs = slices.Delete(ins.runs, pos, pos+1)
			sim.report(num, ord.Ref(), job.NewEnd(job.EndCheckpointed, "c"))
		}
	}
}

func (sim *simulation) report(num int, ref job.Ref, end job.End) {
	sim.lastTag++
	sim.collect(num, sim.partitions[num].Report(sim.env(), sim.lastTag, []job.Report{job.NewReport(ref, end)}))
}

// pass advances the time by steps, in which tasks renew their leases or end.
func (sim *simulation) pass(steps int) {
	for range steps {
		sim.now = sim.now.Add(sim.step)
		for _, ins := range sim.instances {
			if !sim.absent[ins.hint.ID()] {
				sim.advance(ins)
			}
		}
		for num, par := range sim.partitions {
			sim.collect(num, par.Tick(sim.env()))
		}
	}
}

func (sim *simulation) advance(ins *instance) {
	for _, rnn := range slices.Clone(ins.runs) {
		if stp := rnn.stopAt; !stp.IsZero() && !sim.now.Before(stp) {
			ins.runs = slices.DeleteFunc(ins.runs, func(oth run) bool { return oth.task.Ref() == rnn.task.Ref() })
			sim.report(rnn.partition, rnn.task.Ref(), job.NewEnd(job.EndCheckpointed, "c"))
			continue
		}
		poison := strings.HasPrefix(string(rnn.task.Spec().Payload()), "poison")
		if failing := poison || ins.faulty; !failing && sim.now.Before(rnn.end) {
			sim.lastTag++
			sim.partitions[rnn.partition].Placement().Used(rnn.task.Ref(), sim.usage[rnn.task.Spec().Class()], sim.now)
			sim.collect(rnn.partition, sim.partitions[rnn.partition].Renew(sim.env(), sim.lastTag, ins.hint.Holder(), []job.Progress{job.NewProgress(rnn.task.Ref(), 1, "")}))
			continue
		}
		ins.runs = slices.DeleteFunc(ins.runs, func(oth run) bool { return oth.task.Ref() == rnn.task.Ref() })
		end := job.NewEnd(job.EndFinished, "")
		if poison || ins.faulty {
			end = job.NewEnd(job.EndFailed, "").WithResult(nil, "exit status 1")
		}
		sim.report(rnn.partition, rnn.task.Ref(), end)
	}
}

// statuses returns the statuses of all jobs.
func (sim *simulation) statuses() []job.Status {
	var list []job.Status
	for _, par := range sim.partitions {
		for _, id := range sim.jobs {
			if sta, known := par.Status(id); known {
				list = append(list, sta)
			}
		}
	}
	return list
}

// unfinished describes the first task that has not ended or is parked without an
// explanation. It returns an empty string if there is none.
func (sim *simulation) unfinished() string {
	for _, sta := range sim.statuses() {
		for idx, tsk := range sta.Tasks() {
			if !tsk.State().Final() {
				return fmt.Sprintf("task %d of %s (%v) is %v; %v", idx, sta.ID(), sta.Spec().Resources(), tsk.State(), sim.dsp.ExplainJob(sta))
			}
			if tsk.State() == job.Parked && !strings.Contains(tsk.Detail(), "instances") {
				return fmt.Sprintf("task %d of %s is parked with the explanation %q", idx, sta.ID(), tsk.Detail())
			}
		}
	}
	return ""
}

// running returns the processors, in thousandths, that the running tasks of a team declare.
func (sim *simulation) running(tea fleet.Team) int64 {
	sum := int64(0)
	for _, ins := range sim.instances {
		for _, rnn := range ins.runs {
			if rnn.task.Spec().Team() == tea {
				sum += rnn.task.Spec().Resources().MilliCPU()
			}
		}
	}
	return sum
}
