package main

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// playWide loses a worker for good, so that a gang waits for room, and hands in a job of usual tasks of the same size.
func playWide(ctx context.Context, fle *fleet, trouble bool) (string, error) {
	if err := fle.begin(ctx, ""); err != nil {
		return "", err
	}
	if trouble {
		fle.workers[len(fle.workers)-1].crash() // for good
	}
	pause(ctx, 8*time.Second)
	long, work := spec("work", "10000", "cpu", "20000", "gang", strconv.Itoa(len(sides))), spec("work", "3000", "cpu", "20000")
	if !fle.submit(ctx, "build", watchOne, fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":20000,"memMb":1024,"estimateMs":10000,"gang":true}]}`, long, len(sides))) {
		return "", errNotAccepted
	}
	pause(ctx, time.Second)
	if !fle.submit(ctx, "build", watchTwo, fmt.Sprintf(`{"spec":%q,"steps":[{"count":2,"cpu":20000,"memMb":1024,"estimateMs":3000}]}`, work)) {
		return "", errNotAccepted
	}
	pause(ctx, finishFor+idleTime)
	fle.state(ctx, "build", watchOne)
	fle.state(ctx, "build", watchTwo)
	for _, task := range tasksOf(watchOne, len(sides)) {
		fle.rec.notef("gang: %s has had %d runs", task, len(fle.rec.spans(task)))
	}
	return fle.neverRun(watchTwo, room{need: 20000, count: 2, workers: fle.workers}), nil
}
