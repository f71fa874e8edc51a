// Command manyends plays a case: over 500 runs end on each worker while the platform's store is down.
package main

import (
	"fmt"
	"time"

	"jacinthpost/review/standin/harness"
)

const (
	workers  = 3
	jobs     = 2
	tasks    = 990 // of a job, so that a worker has 660
	workTime = 9 * time.Second
	spread   = 3 * time.Second // the longest task takes this longer
	outage   = 4200 * time.Millisecond
	limit    = 100 * time.Second
)

func main() { harness.Main(workers, play) }

func jobID(num int) string { return fmt.Sprintf("5c0e7a21d94b36f%d", num) }

func play(fle *harness.Fleet, trouble bool) int {
	deadline := time.Now().Add(limit)
	rec := fle.Record
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":45,"memMb":100,"estimateMs":9000}]}`, harness.Spec(workTime, spread, false), tasks)
	for num := range jobs {
		if !fle.Submit(jobID(num), body) {
			return harness.CouldNot
		}
	}
	if !harness.Await(20*time.Second, func() bool { return fle.Running() == jobs*tasks }) {
		rec.Say("only %d of %d tasks run at the same time", fle.Running(), jobs*tasks)
		return harness.CouldNot
	}
	for _, wrk := range fle.Workers {
		rec.Say("worker %s runs %d tasks", wrk.Name, wrk.Running())
	}
	if !harness.Await(20*time.Second, func() bool { return fle.Running() < jobs*tasks }) {
		return harness.CouldNot
	}
	rec.Say("the first task has ended")
	if trouble {
		rec.Say("the store is down (503) for %v", outage)
		fle.Store.SetDown(true)
		time.Sleep(outage)
		for _, wrk := range fle.Workers {
			rec.Say("worker %s lists %d ends", wrk.Name, wrk.Ends())
		}
		fle.Store.SetDown(false)
		rec.Say("the store is back")
	}
	for num := range jobs {
		if !harness.Await(time.Until(deadline), func() bool { return fle.State(jobID(num)) == "completed" }) {
			rec.Say("job %s is still %s", jobID(num), fle.State(jobID(num)))
		}
	}
	time.Sleep(3 * time.Second) // the last ends are taken note of
	return harness.JudgeTwice(fle)
}
