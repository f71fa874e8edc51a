package job_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// bench is a partition whose tasks all run on 1,400 instances.
type bench struct {
	part    *job.Partition[*job.SimplePlacement]
	now     time.Time
	running []job.Ref
	holders []fleet.Process // of the running tasks
	events  int
	key     int
	lost    bool // the partition lease has ended
}

func (ben *bench) env() job.Env {
	end := ben.now.Add(time.Minute)
	if ben.lost {
		end = ben.now
	}
	return job.NewEnv(ben.now, end, func(fleet.DataCentre) bool { return true })
}

func newBench() *bench {
	ben := &bench{part: job.New(&job.SimplePlacement{}, job.NewLimits(20_000, 1<<20, 1<<20, time.Second)), now: start}
	var list []job.Instance
	for idx := range 1400 {
		list = append(list, ben.instance(idx))
	}
	ben.part.Observe(ben.env(), list)
	ben.part.TakeOver(ben.env(), 1)
	return ben
}

func (*bench) instance(idx int) job.Instance {
	loc := fleet.NewLocation("r", fleet.DataCentre(fmt.Sprint("d", idx%7)), fleet.Rack(fmt.Sprint("k", idx/3)))
	return job.NewInstance(fleet.NewProcess(fleet.InstanceID(fmt.Sprintf("i%04d", idx)), 1), loc, resource.New(32000, 125000, 0), job.Alive)
}

// submit submits a job and claims every offer that follows.
func (ben *bench) submit(tasks int) {
	ben.key++
	spc := job.NewSpec(job.KindBuild, tasks, resource.New(1000, 4000, 0)).WithKey("c", fmt.Sprint(ben.key))
	ben.events++
	ben.claim(ben.part.Submit(ben.env(), 0, spc))
}

func (ben *bench) claim(out *job.Output) {
	for _, eff := range out.Effects() {
		off, isOffer := eff.(job.Offer)
		if !isOffer {
			continue
		}
		ref := off.Task().Ref()
		ben.part.Answered(ben.env(), job.NewAnswer(ref, off.To().Instance(), true, "", resource.New(31000, 121000, 0)))
		ben.part.Claim(ben.env(), 0, ref, off.To())
		ben.running = append(ben.running, ref)
		ben.holders = append(ben.holders, off.To())
		ben.events += 2
	}
}

// fill submits jobs of 20 tasks until the given number of tasks runs.
func (ben *bench) fill(tasks int) {
	for len(ben.running) < tasks {
		ben.submit(20)
	}
}

// step renews a few tasks, ends one, starts another and lets time pass.
func (ben *bench) step() {
	ben.now = ben.now.Add(5 * time.Millisecond)
	ref := ben.running[0]
	ben.running, ben.holders = ben.running[1:], ben.holders[1:]
	for pos, oth := range ben.running[:5] {
		ben.part.Renew(ben.env(), 0, ben.holders[pos], []job.Progress{job.NewProgress(oth, 50, "")})
	}
	ben.part.Report(ben.env(), 0, []job.Report{job.NewReport(ref, job.NewEnd(job.EndFinished, ""))})
	ben.submit(1)
	ben.claim(ben.part.Tick(ben.env()))
	ben.events += 7
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

func BenchmarkPartition(b *testing.B) {
	for _, tasks := range []int{340, 2000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			sized := newBench()
			before := heap()
			sized.fill(tasks)
			sized.running, sized.holders = nil, nil
			bytes := float64(heap()-before) / float64(tasks)
			runtime.KeepAlive(sized)
			ben := newBench()
			ben.fill(tasks)
			ben.events = 0
			for b.Loop() {
				ben.step()
			}
			b.ReportMetric(float64(ben.events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(bytes, "bytes/task")
			b.ReportMetric(0, "ns/op")
		})
	}
}
