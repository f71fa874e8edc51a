package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"jacinthpost/platform/standin/rowstore"
)

// randomJob returns a job of one of the kinds of the pages.
func randomJob(rnd *rand.Rand) *jobDef {
	length := func() time.Duration { return time.Duration(150+rnd.IntN(1500)) * time.Millisecond }
	job := &jobDef{Spec: fmt.Sprintf("spec <%x> & \"é\" %d", rnd.Uint64(), rnd.IntN(1000))}
	step := func() stepDef {
		stp := stepDef{Count: 1 + rnd.IntN(5), CPU: 200 + rnd.IntN(1200), MemMB: 100 + rnd.IntN(600), length: length(), fails: 0.05}
		stp.EstimateMs = float64(stp.length.Milliseconds())
		if rnd.IntN(2) == 0 {
			stp.Checkpointing, stp.saves = true, true
		}
		if rnd.IntN(4) == 0 {
			stp.AntiAffinity = 2
		}
		if rnd.IntN(8) == 0 {
			stp.Requires = "r-bac-hanoi"
		}
		return stp
	}
	switch kind := rnd.IntN(10); {
	case kind < 3: // steps one after another
		for num := range 1 + rnd.IntN(3) {
			stp := step()
			if num > 0 {
				stp.After = []int{num - 1}
			}
			job.Steps = append(job.Steps, stp)
		}
	case kind < 6: // a gang, and a step after it
		stp := step()
		stp.Gang, stp.Count, stp.Requires, stp.AntiAffinity = true, 2+rnd.IntN(3), "", 0
		job.Steps = append(job.Steps, stp)
		if rnd.IntN(2) == 0 {
			nxt := step()
			nxt.After = []int{0}
			job.Steps = append(job.Steps, nxt)
		}
	case kind < 8: // due several times
		stp := step()
		if rnd.IntN(3) == 0 {
			stp.Gang, stp.Count, stp.AntiAffinity, stp.Requires = true, 2, 0, ""
		}
		job.Steps = []stepDef{stp}
		job.FirstRunMs = time.Now().Add(time.Duration(rnd.IntN(3000)) * time.Millisecond).UnixMilli()
		job.RepeatCount, job.IntervalMs = 1+rnd.IntN(4), int64(300+rnd.IntN(2000))
	case kind < 9:
		stp := step()
		stp.Speculative = true
		job.Steps = []stepDef{stp}
	default:
		job.Steps = []stepDef{{Count: 1 + rnd.IntN(3), CPU: 400, MemMB: 200, LongRunning: true, length: 200 * time.Millisecond, MayMiss: 1}}
	}
	if rnd.IntN(20) == 0 && !job.lasting() {
		job.hopeless = true
		job.Steps[0].fails = 1
	}
	return job
}

// explore injects random faults and returns the number of broken rules.
func explore(seed uint64, length time.Duration, binary, folder string) (int, error) {
	dir := filepath.Join(folder, "seed-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	rec, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = rec.Close() }()
	wld := newWorld(dir, binary, fmt.Sprintf("127.%d.%d.9", 50+seed/250%100, 1+seed%250), rec)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer wld.stop()
	if err := wld.startFleet(ctx, 5, nil); err != nil {
		return 0, err
	}
	time.Sleep(2500 * time.Millisecond)
	var grp sync.WaitGroup
	traffic, end := context.WithTimeout(ctx, length)
	defer end()
	grp.Go(func() { wld.submitRandomly(traffic, rand.New(rand.NewPCG(seed, 8)), length, &grp) })
	grp.Go(func() { wld.lookRandomly(traffic) })
	inj := &injector{wld: wld, rnd: rand.New(rand.NewPCG(seed, 7)), grp: &grp}
	inj.run(traffic)
	grp.Wait()
	wld.calm()
	wld.expectEnds(45 * time.Second)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	fmt.Printf("seed %d: %d jobs, %d starts, ends %v, broken %d\n", seed, len(wld.jobs), wld.starts, wld.counts, len(wld.violations))
	for _, vio := range wld.violations {
		fmt.Println("   ", vio)
	}
	return len(wld.violations), nil
}

// submitRandomly hands jobs in, and cancels some, until the context ends.
func (wld *world) submitRandomly(ctx context.Context, rnd *rand.Rand, length time.Duration, grp *sync.WaitGroup) {
	for ctx.Err() == nil {
		job := randomJob(rnd)
		grp.Go(func() {
			wld.submit(ctx, job)
			if job.lasting() || rand.IntN(12) == 0 {
				time.Sleep(rand.N(length / 2))
				wld.cancel(ctx, job)
			}
		})
		time.Sleep(100*time.Millisecond + rand.N(400*time.Millisecond))
	}
}

// lookRandomly asks for the states of jobs until the context ends.
func (wld *world) lookRandomly(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		wld.mu.Lock()
		var some []*jobDef
		for _, job := range wld.jobs {
			if job.accepted {
				some = append(some, job)
			}
		}
		wld.mu.Unlock()
		if len(some) > 0 {
			wld.look(some[rand.IntN(len(some))])
		}
	}
}

// calm ends all faults.
func (wld *world) calm() {
	wld.rows.SetFault(rowstore.None)
	for _, pro := range wld.processes {
		pro.signal(syscall.SIGCONT)
		pro.link.mode.Store(linkOpen)
		_ = pro.start() // a process that can't start is missed by the jobs
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, wrk := range wld.workers {
		wrk.lateShare = 0
		if !wrk.up {
			wrk.begin(wrk.id)
		}
	}
	wld.note("all faults are over")
}

// expectEnds waits until every accepted job with an end has one.
func (wld *world) expectEnds(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, job := range wld.jobs {
		if !job.accepted || job.lasting() {
			continue
		}
		for job.final == "" {
			sta := wld.look(job)
			if job.final == "" && time.Now().After(deadline) {
				wld.mu.Lock()
				wld.violate("LOST", "%s is %s at the end", job.id, sta)
				wld.mu.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// injector injects random faults that overlap.
type injector struct {
	wld *world
	rnd *rand.Rand
	grp *sync.WaitGroup
}

func (inj *injector) run(ctx context.Context) {
	kinds := []func(context.Context){
		inj.kill, inj.kill, inj.freeze, inj.freeze, inj.terminate, inj.cut, inj.storeFault, inj.compact,
		inj.crash, inj.crash, inj.late, inj.late, inj.leave,
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(inj.span(300, 2500)):
		}
		inj.wld.mu.Lock()
		for _, pro := range inj.wld.processes {
			pro.disturbedAt = time.Now() // no machine counts as in touch
		}
		inj.wld.mu.Unlock()
		kinds[inj.rnd.IntN(len(kinds))](ctx)
	}
}

// span draws a time between two numbers of milliseconds.
func (inj *injector) span(least, most int) time.Duration {
	return time.Duration(least+inj.rnd.IntN(most-least)) * time.Millisecond
}

func (inj *injector) process() *process {
	return inj.wld.processes[inj.rnd.IntN(len(inj.wld.processes))]
}

func (inj *injector) worker() *worker {
	return inj.wld.workers[inj.rnd.IntN(len(inj.wld.workers))]
}

// later runs the end of a fault after a time, or when the context ends.
func (inj *injector) later(ctx context.Context, dur time.Duration, end func()) {
	inj.grp.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(dur):
		}
		end()
	})
}

func (inj *injector) kill(ctx context.Context) {
	pro := inj.process()
	inj.wld.log("FAULT kill %s", pro.name)
	pro.signal(syscall.SIGKILL)
	inj.later(ctx, inj.span(100, 3500), func() {
		pro.ended(time.Second)
		_ = pro.start() // see calm
	})
}

func (inj *injector) freeze(ctx context.Context) {
	pro := inj.process()
	inj.wld.log("FAULT freeze %s", pro.name)
	pro.signal(syscall.SIGSTOP)
	inj.later(ctx, inj.span(500, 4000), func() {
		pro.signal(syscall.SIGCONT)
		inj.wld.log("%s wakes", pro.name)
	})
}

func (inj *injector) terminate(ctx context.Context) {
	pro := inj.process()
	inj.wld.log("FAULT terminate %s", pro.name)
	pro.signal(syscall.SIGTERM)
	inj.later(ctx, inj.span(3000, 6500), func() {
		pro.ended(time.Second)
		_ = pro.start() // see calm
	})
}

func (inj *injector) cut(ctx context.Context) {
	pro, mode := inj.process(), []int32{linkSilent, linkResets, linkBusy, linkLoses}[inj.rnd.IntN(4)]
	inj.wld.log("FAULT store link of %s: mode %d", pro.name, mode)
	pro.link.mode.Store(mode)
	inj.later(ctx, inj.span(500, 7000), func() {
		pro.link.mode.Store(linkOpen)
		inj.wld.log("store link of %s heals", pro.name)
	})
}

func (inj *injector) storeFault(ctx context.Context) {
	flt := []rowstore.Fault{rowstore.Busy, rowstore.LoseAnswer, rowstore.Hang}[inj.rnd.IntN(3)]
	inj.wld.log("FAULT store: fault %d", flt)
	inj.wld.rows.SetFault(flt)
	inj.later(ctx, inj.span(500, 4500), func() {
		inj.wld.rows.SetFault(rowstore.None)
		inj.wld.log("store heals")
	})
}

func (inj *injector) compact(context.Context) {
	inj.wld.log("FAULT compact")
	inj.wld.rows.Compact()
}

// crash ends a worker, which starts again under its id or another one.
func (inj *injector) crash(ctx context.Context) {
	wrk, same := inj.worker(), inj.rnd.IntN(2) == 0
	inj.wld.mu.Lock()
	defer inj.wld.mu.Unlock()
	if !wrk.up {
		return
	}
	inj.wld.note("FAULT worker %s crashes", wrk.id)
	wrk.crash()
	inj.later(ctx, inj.span(20, 4000), func() {
		inj.wld.mu.Lock()
		defer inj.wld.mu.Unlock()
		if wrk.up {
			return
		}
		if same {
			wrk.begin(wrk.id)
			return
		}
		wrk.begin(fmt.Sprintf("i-%x", rand.Uint32()))
	})
}

func (inj *injector) late(ctx context.Context) {
	wrk := inj.worker()
	inj.wld.mu.Lock()
	wrk.lateShare = 0.06 + 0.3*inj.rnd.Float64()
	inj.wld.note("FAULT worker %s carries out orders late", wrk.id)
	inj.wld.mu.Unlock()
	inj.later(ctx, inj.span(1000, 6000), func() {
		inj.wld.mu.Lock()
		defer inj.wld.mu.Unlock()
		wrk.lateShare = 0
	})
}

// leave empties a worker and takes it away. Another one comes.
func (inj *injector) leave(ctx context.Context) {
	wrk := inj.worker()
	inj.wld.mu.Lock()
	defer inj.wld.mu.Unlock()
	if !wrk.up || wrk.draining {
		return
	}
	wrk.draining, wrk.beatAt = true, time.Now()
	inj.wld.note("FAULT worker %s drains", wrk.id)
	born := wrk.born
	inj.later(ctx, inj.span(3500, 6000), func() { inj.wld.replace(wrk, born) })
}

// replace lets a worker leave if its incarnation lives. Another one comes a second later.
func (wld *world) replace(wrk *worker, born int64) {
	wld.mu.Lock()
	if wrk.up && wrk.born == born {
		wrk.leaving, wrk.beatAt = true, time.Now()
	}
	wld.mu.Unlock()
	time.Sleep(time.Second)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	if wrk.up && wrk.born == born {
		wrk.crash()
	}
	if !wrk.up {
		wrk.begin(fmt.Sprintf("i-%x", rand.Uint32()))
	}
}
