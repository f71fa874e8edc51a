package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

const (
	pollPause = 100 * time.Millisecond
	// inForce is the promise for configuration changes.
	inForce = 3 * time.Second
)

func spec(key, kind, payload string, tasks int) message.JobSpec {
	return message.JobSpec{
		Key: key, Workspace: "demo", Team: "default", Class: kind + "Class", Kind: kind, Tasks: tasks,
		Resources: message.Resources{MilliCPU: 1000, MemoryMB: 1024}, Payload: []byte(payload),
	}
}

// submit submits a job through an entry.
func (dem *demo) submit(ctx context.Context, ent int, spc message.JobSpec) (string, error) {
	ans, err := dem.fleet.Submit(ctx, ent, spc)
	if err != nil {
		return "", err
	}
	if ans.Outcome != "answered" {
		return "", errors.Errorf("job %s: %s %s %s", spc.Key, ans.Outcome, ans.Reason, ans.Detail)
	}
	return ans.Job.JobID, nil
}

// awaitTasks polls a job until the check holds.
func (dem *demo) awaitTasks(ctx context.Context, ent int, id string, holds func(message.JobStatus) bool) (message.JobStatus, error) {
	for {
		ans, err := dem.fleet.Job(ctx, ent, id)
		if err == nil && ans.Outcome == "answered" && holds(ans.Job) {
			return ans.Job, nil
		}
		if err := control.Pause(ctx, pollPause); err != nil {
			return ans.Job, errors.Wrapf(err, "job %s is %s", id, ans.Job.State)
		}
	}
}

func finished(sta message.JobStatus) bool { return sta.State == "finished" }

func running(sta message.JobStatus) bool {
	for _, tsk := range sta.Tasks {
		if tsk.State != "running" && tsk.State != "assigned" {
			return false
		}
	}
	return true
}

func (dem *demo) batchJob(ctx context.Context) (string, error) {
	spc := spec("demo-build", "build", `{"workMillis":500}`, 6)
	id, err := dem.submit(ctx, 0, spc)
	if err != nil {
		return "", err
	}
	again, err := dem.submit(ctx, 1, spc)
	if err != nil {
		return "", err
	}
	if again != id {
		return "", errors.Errorf("the same submission became job %s and job %s", id, again)
	}
	sta, err := dem.awaitTasks(ctx, 1, id, finished)
	if err != nil {
		return "", err
	}
	runs, err := dem.runsOf(ctx, id)
	if err != nil {
		return "", err
	}
	if len(runs) != len(sta.Tasks) {
		return "", errors.Errorf("%d tasks were started %d times", len(sta.Tasks), len(runs))
	}
	return fmt.Sprintf("6 tasks finished, each started once, on %v; submitted twice, one job", instancesOf(runs)), nil
}

func (dem *demo) runsOf(ctx context.Context, id string) ([]harness.Run, error) {
	all, err := dem.fleet.History(ctx)
	if err != nil {
		return nil, err
	}
	var runs []harness.Run
	for _, run := range all {
		if run.Job == id {
			runs = append(runs, run)
		}
	}
	return runs, nil
}

func instancesOf(runs []harness.Run) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		counts[run.Instance]++
	}
	return counts
}

func (dem *demo) startWatch(ctx context.Context) (string, error) {
	id, err := dem.submit(ctx, 1, spec("demo-watch", "watch", `{"neverFinishes":true}`, 1))
	if err != nil {
		return "", err
	}
	dem.watchID = id
	sta, err := dem.awaitTasks(ctx, 0, id, running)
	if err != nil {
		return "", err
	}
	return "runs on " + sta.Tasks[0].Instance, nil
}

func (dem *demo) changeTicket(ctx context.Context) (string, error) {
	chg := harness.Change{Kind: "workspace", Name: "demo", State: map[string]any{"active": true, "settings": map[string]string{"language": "vi"}}}
	if err := dem.file(ctx, chg, "accepted"); err != nil {
		return "", err
	}
	begun := time.Now()
	if err := dem.awaitHead(ctx); err != nil {
		return "", err
	}
	took := time.Since(begun)
	dem.head--
	if err := dem.file(ctx, chg, "same"); err != nil {
		return "", err
	}
	dem.head--
	chg.State = map[string]any{"active": false}
	if err := dem.file(ctx, chg, "conflict"); err != nil {
		return "", err
	}
	return fmt.Sprintf("ticket %d at both entries after %.0f ms; filed again: same; other content: conflict", dem.head, millis(took)), nil
}

// file files the next ticket and checks what becomes of it.
func (dem *demo) file(ctx context.Context, chg harness.Change, want string) error {
	fld, err := dem.fleet.File(ctx, 0, dem.head+1, chg)
	if err != nil {
		return err
	}
	if fld.Outcome != want {
		return errors.Errorf("ticket %d was %s instead of %s: %s", dem.head+1, fld.Outcome, want, fld.Detail)
	}
	dem.head++
	return nil
}

// awaitHead waits until every entry has the last ticket, at most the promised time.
func (dem *demo) awaitHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForce)
	defer cancel()
	for num := range dem.fleet.Entries() {
		for {
			sta, err := dem.fleet.State(ctx, num)
			if err == nil && sta.Head >= dem.head {
				break
			}
			if err := control.Pause(ctx, 10*time.Millisecond); err != nil {
				return errors.Wrapf(err, "ticket %d is not in force at entry %d within %s", dem.head, num, inForce)
			}
		}
	}
	return nil
}

// dataCentreOut takes the data centre of the watch out. The watch must move and
// no task may start there after the promised time.
func (dem *demo) dataCentreOut(ctx context.Context) (string, error) {
	dc, err := dem.watchDataCentre(ctx)
	if err != nil {
		return "", err
	}
	if err := dem.file(ctx, harness.Change{Kind: "dataCentre", Name: dc, State: map[string]any{"state": "out", "reason": "demo"}}, "accepted"); err != nil {
		return "", err
	}
	out := time.Now().Add(inForce)
	if err := dem.awaitHead(ctx); err != nil {
		return "", err
	}
	sta, err := dem.awaitTasks(ctx, 0, dem.watchID, func(sta message.JobStatus) bool {
		return running(sta) && dem.dataCentreOf(sta.Tasks[0].Instance) != dc
	})
	if err != nil {
		return "", err
	}
	if err := control.Pause(ctx, time.Until(out)); err != nil {
		return "", err
	}
	id, err := dem.submit(ctx, 0, spec("demo-while-out", "plan", `{"workMillis":200}`, 8))
	if err != nil {
		return "", err
	}
	if _, err := dem.awaitTasks(ctx, 0, id, finished); err != nil {
		return "", err
	}
	all, err := dem.fleet.History(ctx)
	if err != nil {
		return "", err
	}
	for _, run := range all {
		if dem.dataCentreOf(run.Instance) == dc && run.Started > out.UnixMilli() {
			return "", errors.Errorf("task %s/%d started in %s after it was taken out", run.Job, run.Index, dc)
		}
	}
	return fmt.Sprintf("%s is out, the watch moved to %s, 8 tasks ran elsewhere", dc, sta.Tasks[0].Instance), nil
}

func (dem *demo) dataCentreOf(instance string) string {
	for _, ins := range dem.fleet.Instances() {
		if ins.ID() == instance {
			return ins.DataCentre()
		}
	}
	return ""
}

func (dem *demo) watchDataCentre(ctx context.Context) (string, error) {
	ans, err := dem.fleet.Job(ctx, 0, dem.watchID)
	if err != nil {
		return "", err
	}
	if len(ans.Job.Tasks) != 1 {
		return "", errors.Errorf("the watch is not known: %s %s", ans.Outcome, ans.Reason)
	}
	return dem.dataCentreOf(ans.Job.Tasks[0].Instance), nil
}

// dataCentreIn brings the data centre back and waits until tasks run there again.
func (dem *demo) dataCentreIn(ctx context.Context) (string, error) {
	dc, base, err := dem.outDataCentre(ctx)
	if err != nil {
		return "", err
	}
	if err := dem.file(ctx, harness.Change{Kind: "dataCentre", Name: dc, BaseVersion: base, State: map[string]any{"state": "in"}}, "accepted"); err != nil {
		return "", err
	}
	back := time.Now()
	for num := 0; ; num++ {
		id, err := dem.submit(ctx, 1, spec(fmt.Sprintf("demo-return-%d", num), "plan", `{"workMillis":100}`, 12))
		if err != nil {
			return "", err
		}
		if _, err := dem.awaitTasks(ctx, 1, id, finished); err != nil {
			return "", err
		}
		runs, err := dem.runsOf(ctx, id)
		if err != nil {
			return "", err
		}
		for _, run := range runs {
			if dem.dataCentreOf(run.Instance) == dc {
				return fmt.Sprintf("%s is back, tasks start there again after %.1f s", dc, time.Since(back).Seconds()), nil
			}
		}
	}
}

// outDataCentre returns the data centre that is out and the version of its object.
func (dem *demo) outDataCentre(ctx context.Context) (string, uint64, error) {
	sta, err := dem.fleet.State(ctx, 0)
	if err != nil {
		return "", 0, err
	}
	for _, obj := range sta.Objects {
		if obj.Kind == "dataCentre" {
			return obj.Name, obj.Version, nil
		}
	}
	return "", 0, errors.New("no data centre is out")
}

// cancelWatch cancels the watch. While its partition changes hands the entry
// refuses or does not know, and the operator asks again.
func (dem *demo) cancelWatch(ctx context.Context) error {
	for {
		ans, err := dem.fleet.Cancel(ctx, 1, dem.watchID)
		if err == nil && ans.Outcome == "answered" {
			return nil
		}
		if err := control.Pause(ctx, pollPause); err != nil {
			return errors.Wrapf(err, "cancel: %s %s %s", ans.Outcome, ans.Reason, ans.Detail)
		}
	}
}

// invariants cancels the watch and checks what the stand-ins recorded.
func (dem *demo) invariants(ctx context.Context) (string, error) {
	if err := dem.cancelWatch(ctx); err != nil {
		return "", err
	}
	if _, err := dem.awaitTasks(ctx, 1, dem.watchID, func(sta message.JobStatus) bool { return sta.State == "cancelled" }); err != nil {
		return "", err
	}
	all, err := dem.fleet.History(ctx)
	if err != nil {
		return "", err
	}
	if one, two, found := harness.Overlap(all); found {
		return "", errors.Errorf("task %s/%d ran on %s and on %s at once", one.Job, one.Index, one.Instance, two.Instance)
	}
	svc := dem.fleet.Deployment().Service
	for _, ins := range dem.fleet.Instances() {
		if !ins.Endpoint().Running() {
			continue
		}
		pek, err := dem.fleet.Peak(ctx, ins)
		if err != nil {
			return "", err
		}
		if pek.MilliCPU > svc.MilliCPU || pek.MemoryMB > svc.MemoryMB || pek.ConcurrentRequests > svc.Slots {
			return "", errors.Errorf("%s was overcommitted: %+v", ins.ID(), pek)
		}
	}
	return fmt.Sprintf("%d task starts, no task in two places, no instance overcommitted", len(all)), nil
}
