// Command backlog plays a case: all processes lose power while a job is due each second, so that many of its
// occurrences are due when they are back.
package main

import (
	"fmt"
	"time"

	"jacinthpost/review/standin/harness"
)

const (
	workers = 11

	timedID   = "5c0e7a21d94b36f8"
	interval  = time.Second // between occurrences
	width     = 280         // tasks of an occurrence
	timedWork = 2 * time.Second
	repeats   = 300

	usual     = 8 * time.Second         // of the timed job before the disruption
	outage    = 9500 * time.Millisecond // how long the machines are without power
	recovery  = 12 * time.Second        // recoveryS
	finish    = 14 * time.Second        // finish_s
	idle      = 3 * time.Second         // a job must not have nothing running for so long
	smallJobs = 8
	smallGap  = time.Second
	smallWork = 300 * time.Millisecond
)

func main() { harness.Main(workers, play) }

func play(fle *harness.Fleet, trouble bool) int {
	rec := fle.Record
	first := time.Now().Add(interval)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":10,"memMb":20,"estimateMs":2000}],"repeatCount":%d,"firstRunMs":%d,"intervalMs":%d}`,
		harness.Spec(timedWork, 0, false), width, repeats, first.UnixMilli(), interval.Milliseconds())
	if !fle.Submit(timedID, body) {
		return harness.CouldNot
	}
	time.Sleep(usual)
	before := handIn(fle, "a")
	time.Sleep(finish)
	if num := served(fle, before); num < smallJobs || fle.Store.Count("over the limits") > 0 {
		rec.Say("before the disruption %d of %d small jobs have run, %d transactions were over the limits", num, smallJobs, fle.Store.Count("over the limits"))
		return harness.CouldNot
	}
	rec.Say("before the disruption: all %d small jobs have run, %d tasks of the timed job are done", smallJobs, fle.Monitor.Done(timedID))
	if trouble {
		if err := fle.KillAll(outage); err != nil {
			rec.Say("%v", err)
			return harness.CouldNot
		}
	}
	time.Sleep(recovery)
	done := fle.Monitor.Done(timedID)
	after := handIn(fle, "b")
	time.Sleep(finish + idle)
	num := served(fle, after)
	rec.Say("LOST: of %d small jobs accepted later than recoveryS after the machines were back, %d have had a run %v after the last was handed in", len(after), num, finish+idle)
	rec.Say("since then %d tasks of the timed job have ended done; %d runs on all workers; %d transactions were over the limits of the store", fle.Monitor.Done(timedID)-done,
		fle.Running(), fle.Store.Count("over the limits"))
	if num < len(after) {
		return harness.Broken
	}
	return harness.Held
}

// handIn hands in small jobs and returns those that were accepted.
func handIn(fle *harness.Fleet, letter string) []string {
	var ids []string
	for num := range smallJobs {
		id := fmt.Sprintf("%s0000000000000%02d", letter, num)
		if fle.Submit(id, fmt.Sprintf(`{"spec":%q,"steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":300}]}`, harness.Spec(smallWork, 0, false))) {
			ids = append(ids, id)
		}
		time.Sleep(smallGap)
	}
	return ids
}

// served returns how many jobs have had a run.
func served(fle *harness.Fleet, ids []string) int {
	num := 0
	for _, id := range ids {
		if fle.Monitor.Begun(id) > 0 {
			num++
			continue
		}
		fle.Record.Say("job %s is %s, and none of its tasks was ever started", id, fle.State(id))
	}
	return num
}
