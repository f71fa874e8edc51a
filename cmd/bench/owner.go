package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/member"
	"jacinthpost/core/partition"
	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

// Limits of the control cost of a node, from section 1 of docs/design.md.
const (
	processorLimit = 1.7 // percent of a core
	memoryLimit    = 128 // MB
	trafficLimit   = 21  // KB/s in both directions together
)

const (
	ownerPorts     = 11200
	ownerPartLimit = 25 * time.Minute
	jobTasks       = 100
	handOverTime   = partition.RebalanceDelay + 5*time.Second // by when the partition is with its preferred owner
	calmPeriod     = 10 * time.Second
	calmLimit      = 40 * time.Second
	calmRate       = 3_000 // bytes a second in both directions; a fleet at rest has 2,000
	measuredAgent  = 2     // neither this one nor its region owns a partition
	measuredTasks  = 14    // of one instance at the two-year size
)

// measureOwner measures two processes whose callers are light ones in this process:
// the owner of a partition whose tasks are each on another agent, and an agent
// that holds tasks of several owners. The fleet beside them is the smallest one.
func measureOwner(rep *report, opt options) error {
	sizes, owners := []int{40, 120, 340}, []int{1, 4, 13}
	if opt.quick {
		sizes, owners = sizes[:1], owners[:1]
	}
	return inScratch("owner", ownerPartLimit, false, func(ctx context.Context, scr scratch) error {
		for _, count := range sizes {
			name := fmt.Sprintf("owner.%d-agents", count)
			if err := besideFleet(ctx, scr, opt, name, func(ctx context.Context, fle *harness.Fleet) error {
				return ownerOf(ctx, rep, fle, scr.logs(name), name, count, opt.observe)
			}); err != nil {
				return err
			}
		}
		for _, count := range owners {
			name := fmt.Sprintf("agent.%d-owners", count)
			if err := besideFleet(ctx, scr, opt, name, func(ctx context.Context, fle *harness.Fleet) error {
				return agentOf(ctx, rep, fle, scr.logs(name), name, count, opt.observe)
			}); err != nil {
				return err
			}
		}
		return nil
	})
}

// besideFleet runs a measurement beside the smallest fleet if its name contains
// the filter. What the measurement started ends with its context.
func besideFleet(ctx context.Context, scr scratch, opt options, name string, run func(ctx context.Context, fle *harness.Fleet) error) error {
	if !strings.Contains(name, opt.filter) {
		return nil
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	fle, err := scr.start(ctx, name, harness.Options{Deployment: "sen-vang", PortOffset: ownerPorts, Partitions: 1})
	if err != nil {
		return err
	}
	defer fle.Stop()
	if err := run(ctx, fle); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// ownerOf measures an owner of as many tasks as there are light agents, first when
// renewals tell nothing new and then when each does.
func ownerOf(ctx context.Context, rep *report, fle *harness.Fleet, folder, name string, count int, span time.Duration) error {
	var seeds []member.Address
	for _, ins := range fle.Instances() {
		addr, err := addressOf(folder, ins, "gossipAddress")
		if err != nil {
			return err
		}
		seeds = append(seeds, member.Address(addr))
	}
	swm, started := &swarm{}, time.Now()
	for num := range count {
		if _, err := startLight(ctx, swm, num, seeds...); err != nil {
			return err
		}
	}
	for left, num := count, 0; left > 0; num++ {
		part := min(left, jobTasks)
		left -= part
		if err := submitLight(ctx, fle, num, part); err != nil {
			return err
		}
	}
	for swm.held.Load() < int64(count) {
		if err := control.Pause(ctx, heldPoll); err != nil {
			return errors.Wrapf(err, "%d of %d tasks are held", swm.held.Load(), count)
		}
	}
	rep.value(name+".filled-after", time.Since(started).Seconds(), "s")
	if err := control.Pause(ctx, time.Until(started.Add(handOverTime))); err != nil {
		return err
	}
	if err := awaitCalm(ctx, fle); err != nil {
		return err
	}
	rep.value(name+".observed-after", time.Since(started).Seconds(), "s")
	for _, mode := range []string{"quiet", "news"} {
		swm.news.Store(mode == "news")
		swm.lost.Store(0)
		if err := watchOne(ctx, rep, fle, name+"."+mode, span, busiestOwner); err != nil {
			return err
		}
		rep.value(name+"."+mode+".renewals-not-agreed", float64(swm.lost.Load()), "calls")
	}
	return nil
}

// awaitCalm waits until the fleet has joined, for at most calmLimit: the gossip of
// hundreds of new members takes more of an agent than its tasks do.
func awaitCalm(ctx context.Context, fle *harness.Fleet) error {
	last, began := 0.0, time.Now()
	for time.Since(began) < calmLimit {
		usg, err := fle.Instances()[0].Usage(ctx)
		if err != nil {
			return err
		}
		now := usg.Sum("jacinthpost_gossip_sent_bytes_total") + usg.Sum("jacinthpost_gossip_received_bytes_total")
		if last > 0 && now-last < calmRate*calmPeriod.Seconds() {
			return nil
		}
		last = now
		if err := control.Pause(ctx, calmPeriod); err != nil {
			return err
		}
	}
	return nil
}

// heldPoll is the time between looks at the number of claimed tasks.
const heldPoll = 100 * time.Millisecond

// submitLight submits a job as soon as the light agents are known, without which it is too large.
func submitLight(ctx context.Context, fle *harness.Fleet, num, tasks int) error {
	for {
		ans, err := fle.Submit(ctx, 0, message.JobSpec{Key: fmt.Sprint("light-", num), Workspace: "bench", Team: "default",
			Class: "bench", Kind: "watch", Tasks: tasks, Resources: lightTask})
		if err == nil && ans.Outcome == "answered" {
			return nil
		}
		if errPause := control.Pause(ctx, time.Second); errPause != nil {
			return errors.Wrapf(errPause, "submit: %v %s %s", err, ans.Outcome, ans.Detail)
		}
	}
}

// agentOf measures an agent whose tasks belong to several owners.
func agentOf(ctx context.Context, rep *report, fle *harness.Fleet, folder, name string, count int, span time.Duration) error {
	if err := control.Pause(ctx, settleTime); err != nil {
		return err
	}
	addr, err := addressOf(folder, fle.Instances()[measuredAgent], "peerAddress")
	if err != nil {
		return err
	}
	for num := range count {
		tasks := measuredTasks / count
		if num < measuredTasks%count {
			tasks++
		}
		if err := startOwner(ctx, addr, num, tasks); err != nil {
			return err
		}
	}
	return watchOne(ctx, rep, fle, name, span, func(_, _ []harness.Usage) int { return measuredAgent })
}

// addressOf reads an address from the settings that the harness wrote for an instance.
func addressOf(folder string, ins *harness.Instance, key string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(folder, "settings-"+ins.ID()+".json"))
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	var set map[string]any
	if err := json.Unmarshal(raw, &set); err != nil {
		return "", errors.Wrap(err, "decode settings")
	}
	addr, found := set[key].(string)
	if !found {
		return "", errors.Errorf("no %s for %s", key, ins.ID())
	}
	return addr, nil
}

// watchOne prints what one agent uses over an interval, beside what the idlest
// agent uses, and judges it by the limits of a node.
func watchOne(ctx context.Context, rep *report, fle *harness.Fleet, name string, span time.Duration, pick func(one, two []harness.Usage) int) error {
	if err := control.Pause(ctx, settleTime); err != nil {
		return err
	}
	one, err := takeSample(ctx, fle)
	if err != nil {
		return err
	}
	if err := control.Pause(ctx, span); err != nil {
		return err
	}
	two, err := takeSample(ctx, fle)
	if err != nil {
		return err
	}
	num, secs := pick(one.agents, two.agents), two.at.Sub(one.at).Seconds()
	reportRole(rep, name, one.agents[num:num+1], two.agents[num:num+1], secs)
	processor := func(pos int) float64 {
		return 100 * (two.agents[pos].Processor() - one.agents[pos].Processor()).Seconds() / secs
	}
	var others []float64
	for pos := range one.agents {
		if pos != num {
			others = append(others, processor(pos))
		}
	}
	rep.value(name+".processor.idlest-agent", slices.Min(others), "% of a core")
	bytes := 0.0
	for _, trf := range traffic {
		if strings.HasPrefix(trf.name, "gossip") || strings.HasPrefix(trf.name, "all-peers") {
			bytes += two.agents[num].Sum(trf.prefix) - one.agents[num].Sum(trf.prefix)
		}
	}
	rep.atMost(name+".processor", processor(num), processorLimit, "% of a core")
	rep.atMost(name+".memory", float64(two.agents[num].Memory())/(1<<20), memoryLimit, "MB")
	rep.atMost(name+".traffic", bytes/secs/1000, trafficLimit, "KB/s")
	return nil
}
