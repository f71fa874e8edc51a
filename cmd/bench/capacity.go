package main

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
	"jacinthpost/io/table/tableapi"
)

const (
	capacityPorts = 10500
	settleTime    = 8 * time.Second
	profiledTime  = 20 * time.Second
	tasksEach     = 14 // 19,000 batch tasks on 1,400 workers
	capacityLimit = 10 * time.Minute
)

// measureCapacity runs fleets of several sizes with real processes and prints
// what each role uses for control when no request arrives, without tasks and
// with running tasks. docs/CAPACITY.md derives its slopes from these figures.
func measureCapacity(rep *report, opt options) error {
	sizes := []int{3, 12, 24, 48}
	if len(opt.sizes) > 0 {
		sizes = opt.sizes
	}
	return inScratch("capacity", capacityLimit, false, func(ctx context.Context, scr scratch) error {
		for _, size := range sizes {
			if err := measureFleet(ctx, rep, scr, size, opt); err != nil {
				return err
			}
		}
		return nil
	})
}

func measureFleet(ctx context.Context, rep *report, scr scratch, size int, opt options) error {
	name := fmt.Sprintf("capacity.%d-instances", size)
	fle, err := scr.start(ctx, name, harness.Options{Deployment: "sen-vang", PortOffset: capacityPorts, Instances: size, Partitions: opt.partitions})
	if err != nil {
		return err
	}
	defer fle.Stop()
	if err := observe(ctx, rep, fle, name+".idle", opt); err != nil {
		return err
	}
	if err := startTasks(ctx, fle, size*opt.each, opt.each); err != nil {
		return err
	}
	return observe(ctx, rep, fle, name+fmt.Sprintf(".%d-tasks", size*opt.each), opt)
}

// startTasks submits watches of 100 tasks and waits until all run.
func startTasks(ctx context.Context, fle *harness.Fleet, count, each int) error {
	milli := int64(500 * tasksEach / max(each, tasksEach)) // what one instance has room for
	for num := 0; count > 0; num++ {
		part := min(count, 100)
		count -= part
		ans, err := fle.Submit(ctx, 0, message.JobSpec{
			Key: fmt.Sprint("capacity-", num), Workspace: "bench", Team: "default", Class: "bench", Kind: "watch", Tasks: part,
			Resources: message.Resources{MilliCPU: milli, MemoryMB: 256}, Payload: []byte(`{"neverFinishes":true}`),
		})
		if err != nil || ans.Outcome != "answered" {
			return errors.Errorf("submit: %v %s %s", err, ans.Outcome, ans.Detail)
		}
		if err := awaitRunning(ctx, fle, ans.Job.JobID); err != nil {
			return err
		}
	}
	return nil
}

func awaitRunning(ctx context.Context, fle *harness.Fleet, id string) error {
	for {
		ans, err := fle.Job(ctx, 0, id)
		if err == nil && len(ans.Job.Tasks) > 0 && !slices.ContainsFunc(ans.Job.Tasks, func(tsk message.JobTaskStatus) bool { return tsk.State != "running" }) {
			return nil
		}
		if err := control.Pause(ctx, 200*time.Millisecond); err != nil {
			return errors.Wrapf(err, "tasks of %s do not all run", id)
		}
	}
}

// sample is the state of all counters at one time.
type sample struct {
	at      time.Time
	store   tableapi.Counters
	agents  []harness.Usage
	entries []harness.Usage
}

func takeSample(ctx context.Context, fle *harness.Fleet) (sample, error) {
	smp := sample{at: time.Now()}
	var err error
	if smp.store, err = fle.StoreCounters(ctx); err != nil {
		return smp, err
	}
	for _, ins := range fle.Instances() {
		usg, err := ins.Usage(ctx)
		if err != nil {
			return smp, err
		}
		smp.agents = append(smp.agents, usg)
	}
	for _, ent := range fle.Entries() {
		usg, err := ent.Usage(ctx)
		if err != nil {
			return smp, err
		}
		smp.entries = append(smp.entries, usg)
	}
	return smp, nil
}

// observe prints the rates over an interval after the fleet has settled.
func observe(ctx context.Context, rep *report, fle *harness.Fleet, name string, opt options) error {
	if err := control.Pause(ctx, settleTime); err != nil {
		return err
	}
	one, err := takeSample(ctx, fle)
	if err != nil {
		return err
	}
	if err := control.Pause(ctx, opt.observe); err != nil {
		return err
	}
	two, err := takeSample(ctx, fle)
	if err != nil {
		return err
	}
	span := two.at.Sub(one.at).Seconds()
	rep.value(name+".store.reads", float64(two.store.Reads-one.store.Reads)/span, "/s")
	rep.value(name+".store.writes", float64(two.store.Writes-one.store.Writes)/span, "/s")
	reportRole(rep, name+".agent", one.agents, two.agents, span)
	own := busiestOwner(one.agents, two.agents)
	reportRole(rep, name+".owner", one.agents[own:own+1], two.agents[own:own+1], span)
	reportRole(rep, name+".entry", one.entries, two.entries, span)
	if opt.profiles == "" {
		return nil
	}
	return profile(ctx, fle, one.agents, two.agents, filepath.Join(opt.profiles, name))
}

// busiestOwner returns the agent that has renewed most leases, or with none
// renewed the one that owns most partitions.
func busiestOwner(one, two []harness.Usage) int {
	const renewed, owned = "jacinthpost_owner_leases_renewed_total", "jacinthpost_owner_partitions"
	weight := func(num int) float64 {
		return two[num].Sum(renewed) - one[num].Sum(renewed) + two[num].Sum(owned)
	}
	most := 0
	for num := range one {
		if weight(num) > weight(most) {
			most = num
		}
	}
	return most
}

// profile writes processor profiles of the busiest owner and of the agent that used least.
func profile(ctx context.Context, fle *harness.Fleet, one, two []harness.Usage, prefix string) error {
	used := func(num int) time.Duration { return two[num].Processor() - one[num].Processor() }
	idlest := 0
	for num := range one {
		if used(num) < used(idlest) {
			idlest = num
		}
	}
	if err := fle.Instances()[busiestOwner(one, two)].Profile(ctx, profiledTime, prefix+".owner.pprof"); err != nil {
		return err
	}
	return fle.Instances()[idlest].Profile(ctx, profiledTime, prefix+".idlest.pprof")
}

// traffic lists the byte counters by what they carry.
var traffic = []struct{ name, prefix string }{
	{"gossip-sent", "jacinthpost_gossip_sent_bytes_total"},
	{"gossip-received", "jacinthpost_gossip_received_bytes_total"},
	{"config-sent", `jacinthpost_peer_sent_bytes_total{kind="config"`},
	{"jobs-sent", `jacinthpost_peer_sent_bytes_total{kind="jobs"`},
	{"served-sent", `jacinthpost_peer_sent_bytes_total{kind="served"`},
	{"all-peers-sent", "jacinthpost_peer_sent_bytes_total"},
	{"all-peers-received", "jacinthpost_peer_received_bytes_total"},
}

// counts lists counters that the load of the machine changes little.
var counts = []struct {
	name string
	read func(usg harness.Usage) float64
}{
	{"waits", func(usg harness.Usage) float64 { return float64(usg.Switches()) }},
	{"allocations", func(usg harness.Usage) float64 { return usg.Sum("go_memstats_mallocs_total") }},
	{"renewed", func(usg harness.Usage) float64 { return usg.Sum("jacinthpost_owner_leases_renewed_total") }},
}

// reportRole prints the mean and the highest use of the processes of a role.
func reportRole(rep *report, name string, one, two []harness.Usage, span float64) {
	var cpu, mem []float64
	for num := range one {
		cpu = append(cpu, 100*(two[num].Processor()-one[num].Processor()).Seconds()/span)
		mem = append(mem, float64(two[num].Memory())/(1<<20))
	}
	rep.value(name+".processor.mean", mean(cpu), "% of a core")
	rep.value(name+".processor.highest", slices.Max(cpu), "% of a core")
	for _, cnt := range counts {
		var rate []float64
		for num := range one {
			rate = append(rate, (cnt.read(two[num])-cnt.read(one[num]))/span)
		}
		rep.value(name+"."+cnt.name+".mean", mean(rate), "/s")
		rep.value(name+"."+cnt.name+".highest", slices.Max(rate), "/s")
	}
	rep.value(name+".memory.mean", mean(mem), "MB")
	rep.value(name+".memory.highest", slices.Max(mem), "MB")
	for _, trf := range traffic {
		var rate []float64
		for num := range one {
			rate = append(rate, (two[num].Sum(trf.prefix)-one[num].Sum(trf.prefix))/span/1000)
		}
		rep.value(name+"."+trf.name+".mean", mean(rate), "KB/s")
		rep.value(name+"."+trf.name+".highest", slices.Max(rate), "KB/s")
	}
}

func mean(vals []float64) float64 {
	total := 0.0
	for _, val := range vals {
		total += val
	}
	return total / float64(len(vals))
}
