package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/message"
	"jacinthpost/io/table/tableapi"
)

const (
	capacityPorts = 10500
	settleTime    = 8 * time.Second
	observedTime  = 15 * time.Second
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
	folder, err := os.MkdirTemp("", "jacinthpost-capacity")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), capacityLimit)
	defer cancel()
	binaries := filepath.Join(folder, "bin")
	if err := harness.BuildBinaries(ctx, ".", binaries); err != nil {
		return err
	}
	for _, size := range sizes {
		own := filepath.Join(folder, fmt.Sprint(size))
		if err := os.Mkdir(own, 0o755); err != nil {
			return errors.Wrap(err, "make folder")
		}
		fleet := harness.Options{Deployment: "sen-vang", Repo: ".", Binaries: binaries, Folder: own, PortOffset: capacityPorts, Instances: size}
		if err := measureFleet(ctx, rep, fleet); err != nil {
			return errors.Wrapf(err, "%d instances", size)
		}
	}
	return nil
}

func measureFleet(ctx context.Context, rep *report, opt harness.Options) error {
	fle, err := harness.Start(ctx, opt)
	if err != nil {
		return err
	}
	defer fle.Stop()
	name := fmt.Sprintf("capacity.%d-instances", opt.Instances)
	if err := observe(ctx, rep, fle, name+".idle"); err != nil {
		return err
	}
	if err := startTasks(ctx, fle, opt.Instances*tasksEach); err != nil {
		return err
	}
	return observe(ctx, rep, fle, name+fmt.Sprintf(".%d-tasks", opt.Instances*tasksEach))
}

// startTasks submits watches of 100 tasks and waits until all run.
func startTasks(ctx context.Context, fle *harness.Fleet, count int) error {
	for num := 0; count > 0; num++ {
		part := min(count, 100)
		count -= part
		ans, err := fle.Submit(ctx, 0, message.JobSpec{
			Key: fmt.Sprint("capacity-", num), Customer: "bench", Team: "default", Class: "bench", Kind: "watch", Tasks: part,
			Resources: message.Resources{MilliCPU: 500, MemoryMB: 256}, Payload: []byte(`{"neverFinishes":true}`),
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
		if err := harness.Pause(ctx, 200*time.Millisecond); err != nil {
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
func observe(ctx context.Context, rep *report, fle *harness.Fleet, name string) error {
	if err := harness.Pause(ctx, settleTime); err != nil {
		return err
	}
	one, err := takeSample(ctx, fle)
	if err != nil {
		return err
	}
	if err := harness.Pause(ctx, observedTime); err != nil {
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
	reportRole(rep, name+".entry", one.entries, two.entries, span)
	return nil
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

// reportRole prints the mean and the highest use of the processes of a role.
func reportRole(rep *report, name string, one, two []harness.Usage, span float64) {
	var cpu, mem []float64
	for num := range one {
		cpu = append(cpu, 100*(two[num].Processor()-one[num].Processor()).Seconds()/span)
		mem = append(mem, float64(two[num].Memory())/(1<<20))
	}
	rep.value(name+".processor.mean", mean(cpu), "% of a core")
	rep.value(name+".processor.highest", slices.Max(cpu), "% of a core")
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
