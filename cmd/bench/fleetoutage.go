package main

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

const (
	fleetOutageBound = 0.90 // work while a data centre is out to that of the capacity left
	buildMillis      = 3000
	buildWarmUp      = 12 * time.Second // sizes are learned and the fleet fills
	buildTime        = 15 * time.Second
	returnTime       = 30 * time.Second // offers ramp up, section 7
	outageDataCentre = "bac-haiphong"   // no entry is there
)

// measureTakenOut measures the work done before a data centre is taken out by a
// ticket, while it is out, while it returns and after that.
func measureTakenOut(ctx context.Context, rep *report, fle *harness.Fleet) error {
	const name = "fleet.sen-vang.outage"
	bat := taskBatch{key: "build", class: "term-build", kind: "build", jobs: 32, tasks: 180, milliCPU: 2000, millis: buildMillis}
	ids, err := bat.submit(ctx, fle)
	if err != nil {
		return err
	}
	if err := control.Pause(ctx, buildWarmUp); err != nil {
		return err
	}
	var out uint64
	steps := []struct {
		name string
		file func() error
		time time.Duration
	}{
		{"before", func() error { return nil }, buildTime},
		{"out", func() error {
			out, err = fileDataCentre(ctx, fle, 0, map[string]any{"state": "out", "reason": "bench"})
			return err
		}, buildTime},
		{"returning", func() error {
			_, err := fileDataCentre(ctx, fle, out, map[string]any{"state": "in"})
			return err
		}, returnTime},
		{"after", func() error { return nil }, buildTime},
	}
	var wins []window
	for _, stp := range steps {
		win := window{from: time.Now()}
		if err := stp.file(); err != nil {
			return errors.Wrap(err, stp.name)
		}
		if err := control.Pause(ctx, time.Until(win.from.Add(stp.time))); err != nil {
			return err
		}
		win.until = time.Now()
		wins = append(wins, win)
	}
	runs, err := fle.History(ctx)
	if err != nil {
		return err
	}
	rates := make([]float64, len(steps))
	for pos, win := range wins {
		rates[pos] = float64(buildMillis*win.finishedIn(runs, ids)) / win.seconds()
		rep.value(name+"."+steps[pos].name+".work", rates[pos], "task-ms/s")
	}
	left := capacityWithout(fle, outageDataCentre)
	rep.value(name+".starts", float64(len(runs)), "runs")
	rep.value(name+".repeated", float64(repeatedRuns(runs)), "runs")
	rep.value(name+".starts-while-out", float64(startsThere(fle, runs, wins[1])), "runs in "+outageDataCentre+" 3 s after the ticket or later")
	rep.value(name+".unfinished", float64(len(ids)*bat.tasks-finishedTasks(runs)), "tasks")
	judgeOverlap(rep, name, runs)
	if rates[0] == 0 {
		return errors.New("no work was done before the outage")
	}
	rep.value(name+".capacity-left", left, "of the instances")
	rep.value(name+".after-ratio", rates[3]/rates[0], "of the work before")
	rep.atLeast(name+".work-ratio", rates[1]/(rates[0]*left), fleetOutageBound, "of the capacity left")
	return nil
}

// fileDataCentre files the next ticket about the data centre and returns its number.
func fileDataCentre(ctx context.Context, fle *harness.Fleet, base uint64, state any) (uint64, error) {
	for {
		sta, err := fle.State(ctx, 0)
		if err == nil {
			num := sta.Head + 1
			fld, err := fle.File(ctx, 0, num, harness.Change{Kind: "dataCentre", Name: outageDataCentre, BaseVersion: base, State: state})
			if err == nil && (fld.Outcome == "accepted" || fld.Outcome == "same") {
				return num, nil
			}
		}
		if err := control.Pause(ctx, fleetPoll); err != nil {
			return 0, errors.Wrap(err, "file ticket")
		}
	}
}

func capacityWithout(fle *harness.Fleet, dataCentre string) float64 {
	count := 0
	for _, ins := range fle.Instances() {
		if ins.DataCentre() != dataCentre {
			count++
		}
	}
	return float64(count) / float64(len(fle.Instances()))
}

// startsThere counts the runs that began in the data centre when the ticket had to be in force.
func startsThere(fle *harness.Fleet, runs []harness.Run, out window) int {
	const inForce = 3 * time.Second
	count := 0
	for _, run := range runs {
		ins := fle.Instance(run.Instance)
		if ins != nil && ins.DataCentre() == outageDataCentre && run.Started > out.from.Add(inForce).UnixMilli() && run.Started < out.until.UnixMilli() {
			count++
		}
	}
	return count
}

func finishedTasks(runs []harness.Run) int {
	count := 0
	for _, run := range runs {
		if run.State == "finished" {
			count++
		}
	}
	return count
}
