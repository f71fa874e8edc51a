package main

import (
	"context"
	"fmt"
	"time"
)

const (
	watchOne = "5c0e7a21d94b36f8"
	watchTwo = "6d1f8b32ea5c4709"
)

// pinned is the rack with one worker, and pinnedWorker that worker.
const (
	pinned       = "r1-2"
	pinnedWorker = 3
)

// watch returns a job of tasks that last on the workers of a rack, of which one may be missing.
func watch(count int, more string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":2000,"memMb":1024,"longRunning":true%s}]}`, spec("lasts", "1", "cpu", "2000"), count, more)
}

// playUpkeep requests the upkeep of one machine while two tasks that last can run on it only.
func playUpkeep(ctx context.Context, fle *fleet, trouble bool) (string, error) {
	if err := fle.begin(ctx, ""); err != nil {
		return "", err
	}
	traffic, end := context.WithCancel(ctx)
	defer end()
	go fle.checks(traffic)
	if !fle.submit(ctx, "watch", watchOne, watch(2, `,"mayMiss":1,"requires":"`+pinned+`"`)) {
		return "", errNotAccepted
	}
	tasks := tasksOf(watchOne, 2)
	if !fle.awaitRuns(ctx, tasks, 5*time.Second) {
		return "", fmt.Errorf("the tasks don't run")
	}
	pause(ctx, 5*time.Second)
	if trouble {
		fle.put("wave/1", fmt.Sprintf(`{"wave":1,"machines":[%q],"deadlineS":20,"cap":1}`, machineName(pinnedWorker)))
	}
	calm := fle.rec.now()
	pause(ctx, 30*time.Second)
	late := "7e209c43fb6d581a" // a job of usual tasks for the same worker, handed in last
	if !fle.submit(ctx, "check", late, `{"spec":"`+spec("work", "800", "cpu", "480")+`","steps":[{"count":1,"cpu":480,"memMb":960,"estimateMs":800,"requires":"`+pinned+`"}]}`) {
		return "", errNotAccepted
	}
	end()
	pause(ctx, finishFor+4*time.Second)
	fle.state(ctx, "watch", watchOne)
	fle.state(ctx, "check", late)
	if verdict := fle.neverRun(late, room{need: 480, count: 1, workers: fle.workers[pinnedWorker : pinnedWorker+1]}); verdict != "" {
		return verdict, nil
	}
	return fle.lostTask(tasks, calm, room{need: 2000, count: 1, workers: fle.workers[pinnedWorker : pinnedWorker+1]}), nil
}

// playFailing makes a worker fail everything for some seconds while tasks that last can run on it only.
func playFailing(ctx context.Context, fle *fleet, trouble bool) (string, error) {
	if err := fle.begin(ctx, ""); err != nil {
		return "", err
	}
	traffic, end := context.WithCancel(ctx)
	defer end()
	go fle.checks(traffic)
	var tasks []string
	for _, id := range []string{watchOne, watchTwo} {
		if !fle.submit(ctx, "watch", id, watch(2, `,"requires":"`+pinned+`"`)) {
			return "", errNotAccepted
		}
		tasks = append(tasks, tasksOf(id, 2)...)
	}
	if !fle.awaitRuns(ctx, tasks, 5*time.Second) {
		return "", fmt.Errorf("the tasks don't run")
	}
	pause(ctx, 5*time.Second)
	if trouble {
		fle.workers[pinnedWorker].setFailing(true)
		pause(ctx, 6500*time.Millisecond)
		fle.workers[pinnedWorker].setFailing(false)
	}
	calm := fle.rec.now()
	pause(ctx, 20*time.Second)
	return fle.lostTask(tasks, calm, room{need: 2000, count: 1, workers: fle.workers[pinnedWorker : pinnedWorker+1]}), nil
}
