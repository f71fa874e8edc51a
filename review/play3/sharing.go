package main

import (
	"context"
	"fmt"
	"time"
)

const (
	servingJob = "8f31ad54fc7e692b"
	fillingJob = "9a42be65ad8f703c"
	secondJob  = "ab53cf76be90814d"
)

// serving is a job with a task on each worker that serves users of its own.
func serving() string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":6400,"memMb":13000,"longRunning":true,"antiAffinity":1,"image":"web","targetMs":18}]}`,
		spec("lasts", "1", "serves", "42", "cpu", "6400"), len(sides))
}

// beginSharing starts the fleet with a serving task on each worker. Fills disturb them as far as trouble says.
func (fle *fleet) beginSharing(ctx context.Context, disturbs bool) error {
	for _, wrk := range fle.workers {
		wrk.disturbs = disturbs
	}
	if err := fle.begin(ctx, ""); err != nil {
		return err
	}
	if !fle.submit(ctx, "watch", servingJob, serving()) {
		return errNotAccepted
	}
	if !fle.awaitRuns(ctx, tasksOf(servingJob, len(sides)), 10*time.Second) {
		return fmt.Errorf("the serving tasks don't run")
	}
	pause(ctx, 4*time.Second)
	return nil
}

// workerOf returns the worker that runs a task, nil if none does.
func (fle *fleet) workerOf(task string) *worker {
	for _, wrk := range fle.workers {
		wrk.mu.Lock()
		found := wrk.runs[task] != nil
		wrk.mu.Unlock()
		if found {
			return wrk
		}
	}
	return nil
}

// playFills loses the worker of a task that lasts and fills, while another step of its job runs on.
func playFills(ctx context.Context, fle *fleet, trouble bool) (string, error) {
	if err := fle.beginSharing(ctx, true); err != nil {
		return "", err
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":500,"memMb":1024,"longRunning":true},{"count":1,"cpu":4000,"memMb":1024,"longRunning":true,"fills":true,"image":"batch"}]}`, spec("lasts", "1", "fills", "50", "cpu", "4000"))
	if !fle.submit(ctx, "watch", fillingJob, body) {
		return "", errNotAccepted
	}
	tasks := []string{fillingJob + ".0.0.0", fillingJob + ".0.1.0"}
	if !fle.awaitRuns(ctx, tasks, 10*time.Second) {
		return "", fmt.Errorf("the filling task doesn't run")
	}
	pause(ctx, 8*time.Second)
	if trouble {
		wrk := fle.workerOf(tasks[1])
		if wrk == nil || wrk == fle.workerOf(tasks[0]) {
			return "", fmt.Errorf("the tasks share a worker")
		}
		wrk.crash() // for good
	}
	calm := fle.rec.now()
	pause(ctx, 25*time.Second)
	return fle.lostTask(tasks, calm, room{need: 4000, count: 1, workers: fle.workers}), nil
}

// playGang hands a gang in that fills, after another job with the same image has disturbed those that serve.
func playGang(ctx context.Context, fle *fleet, trouble bool) (string, error) {
	if err := fle.beginSharing(ctx, trouble); err != nil {
		return "", err
	}
	step := `"cpu":4000,"memMb":1024,"fills":true,"image":"batch"`
	work := spec("work", "3000", "fills", "50", "cpu", "4000")
	if !fle.submit(ctx, "build", fillingJob, fmt.Sprintf(`{"spec":%q,"steps":[{"count":11,"estimateMs":3000,%s}]}`, work, step)) {
		return "", errNotAccepted
	}
	pause(ctx, 15*time.Second)
	if !fle.submit(ctx, "build", secondJob, fmt.Sprintf(`{"spec":%q,"steps":[{"count":2,"estimateMs":3000,"gang":true,%s}]}`, work+"&gang=2", step)) {
		return "", errNotAccepted
	}
	pause(ctx, finishFor+idleTime)
	fle.state(ctx, "build", fillingJob)
	fle.state(ctx, "build", secondJob)
	return fle.neverRun(secondJob, room{need: 4000, count: 2, workers: fle.workers}), nil
}
