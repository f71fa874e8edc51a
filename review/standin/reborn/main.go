// Command reborn plays a case: workers crash, one at a time, and start again under the ids that they had.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"jacinthpost/review/standin/harness"
)

const (
	workers   = 11
	rounds    = 30
	downTime  = 500 * time.Millisecond
	firstBeat = 50 * time.Millisecond // from the start of a worker to its first heartbeat; later ones come each heartbeatMs
	roundTime = 2 * time.Second
	usual     = 3 * time.Second // before the first crash
	settle    = 10 * time.Second
	jobGap    = 140 * time.Millisecond
)

func main() { harness.Main(workers, play) }

func play(fle *harness.Fleet, trouble bool) int {
	rec := fle.Record
	var clients sync.WaitGroup
	over := make(chan struct{})
	accepted := 0
	clients.Go(func() {
		for num := 0; ; num++ {
			select {
			case <-over:
				return
			case <-time.After(jobGap):
			}
			body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":10,"cpu":500,"memMb":256,"estimateMs":800}]}`, harness.Spec(600*time.Millisecond, 400*time.Millisecond, false))
			if status, _ := fle.Call(http.MethodPost, fmt.Sprintf("5c0e7a21%08d", num), body); status == http.StatusOK {
				accepted++
			}
		}
	})
	time.Sleep(usual)
	crashes := 0
	for round := range rounds {
		wrk := fle.Workers[round%workers]
		if trouble {
			wrk.FirstBeat = firstBeat
			wrk.Crash()
			crashes++
		}
		time.Sleep(downTime)
		if trouble {
			if err := wrk.StartAgain(); err != nil {
				rec.Say("%v", err)
				close(over)
				return harness.CouldNot
			}
		}
		time.Sleep(roundTime - downTime)
	}
	close(over)
	clients.Wait()
	time.Sleep(settle)
	rec.Say("%d jobs of 10 tasks were accepted, %d workers crashed for %v", accepted, crashes, downTime)
	if accepted < 100 {
		return harness.CouldNot
	}
	return harness.JudgeTwice(fle)
}
