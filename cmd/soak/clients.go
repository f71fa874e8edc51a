package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jacinthpost/io/control"
	"jacinthpost/platform/standin/deployment"
)

const (
	clients      = 3
	submitPeriod = 250 * time.Millisecond // of a client
	callLimit    = 3 * time.Second
	tries        = 4
	retryPause   = 400 * time.Millisecond
	cancelPart   = 0.1 // of the accepted batch jobs
	// longRunningPart is the part of the jobs that are long-running. All of them are cancelled, on average
	// after half of longestRun, so that about half of the processors of their workers are reserved.
	longRunningPart = 0.25
	longestRun      = 8 * time.Second
)

// submission is what a caller knows of a job.
type submission struct {
	path         string
	longRunning  bool
	accepted     bool
	refused      bool      // every try was answered with "not run"
	cancelAt     time.Time // a cancellation is sent then, or never if it is zero
	cancelled    bool      // a cancellation was sent
	acknowledged bool      // a cancellation was answered as carried out
	final        string
}

// exists reports whether an answer has shown that the job was accepted.
func (sub submission) exists() bool { return sub.accepted || sub.acknowledged }

// cancelDue reports whether a cancellation must be sent, also again because it has had no answer.
func (sub submission) cancelDue(now time.Time) bool {
	return !sub.acknowledged && !sub.cancelAt.IsZero() && now.After(sub.cancelAt)
}

// ledger holds what is known of all jobs.
type ledger struct {
	mu          sync.Mutex
	submissions map[string]*submission
	names       []string
}

func (led *ledger) add(id string, longRunning bool) *submission {
	led.mu.Lock()
	defer led.mu.Unlock()
	sub := &submission{path: deployment.Path(id), longRunning: longRunning}
	if longRunning {
		sub.path = "/l/" + id
	}
	led.submissions[id] = sub
	led.names = append(led.names, id)
	return sub
}

// change applies a change to a submission.
func (led *ledger) change(sub *submission, change func(sub *submission)) {
	led.mu.Lock()
	defer led.mu.Unlock()
	change(sub)
}

// changeJob applies a change to the submission of a job.
func (led *ledger) changeJob(id string, change func(sub *submission)) {
	led.mu.Lock()
	defer led.mu.Unlock()
	change(led.submissions[id])
}

// all returns the jobs with copies of what is known.
func (led *ledger) all() map[string]submission {
	led.mu.Lock()
	defer led.mu.Unlock()
	out := make(map[string]submission, len(led.submissions))
	for id, sub := range led.submissions {
		out[id] = *sub
	}
	return out
}

// caller is one client with connections of its own.
type caller struct {
	fleet  *fleet
	ledger *ledger
	mon    *monitor
	rnd    *rand.Rand
	name   string
	http   *http.Client
}

func (cal *caller) run(ctx context.Context) {
	for num := 0; control.Pause(ctx, submitPeriod/2+time.Duration(cal.rnd.Int64N(int64(submitPeriod)))) == nil; num++ {
		id := fmt.Sprintf("%s%d", cal.name, num)
		cal.submit(ctx, cal.ledger.add(id, cal.rnd.Float64() < longRunningPart))
		cal.cancelDue(ctx, cal.name, time.Now())
		if known := cal.ledger.all(); len(known) > 0 {
			cal.check(ctx, known)
		}
	}
}

// submit hands a job in. Some batch jobs are to be cancelled at once, and all long-running ones at a later
// time, also those that may have been accepted.
func (cal *caller) submit(ctx context.Context, sub *submission) {
	body := deployment.Job(1 + cal.rnd.IntN(4))
	if sub.longRunning {
		body = fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":300,"memMb":100,"longRunning":true}]}`, 1+cal.rnd.IntN(3))
	}
	refused := true
	for range tries {
		status, _ := cal.call(ctx, http.MethodPost, sub.path, body)
		if status == http.StatusOK {
			cal.ledger.change(sub, func(sub *submission) { sub.accepted = true })
			break
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		if control.Pause(ctx, retryPause) != nil {
			refused = false
			break
		}
	}
	cancel, after := cal.rnd.Float64() < cancelPart, time.Duration(cal.rnd.Int64N(int64(longestRun)))
	cal.ledger.change(sub, func(sub *submission) {
		sub.refused = refused && !sub.accepted
		switch {
		case sub.longRunning && !sub.refused:
			sub.cancelAt = time.Now().Add(after)
		case sub.accepted && cancel:
			sub.cancelAt = time.Now()
		}
	})
}

// cancelDue sends the cancellations that are due, of the jobs with a prefix.
func (cal *caller) cancelDue(ctx context.Context, prefix string, now time.Time) {
	known := cal.ledger.all()
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if known[id].cancelDue(now) && strings.HasPrefix(id, prefix) {
			cal.cancel(ctx, id, known[id])
		}
	}
}

// check asks for a job and compares the answer with what is known.
func (cal *caller) check(ctx context.Context, known map[string]submission) {
	cal.ledger.mu.Lock()
	id := cal.ledger.names[cal.rnd.IntN(len(cal.ledger.names))]
	cal.ledger.mu.Unlock()
	cal.look(ctx, id, known[id])
}

// cancel sends a cancellation. It is not repeated for a job that was not accepted.
func (cal *caller) cancel(ctx context.Context, id string, sub submission) {
	cal.ledger.changeJob(id, func(sub *submission) { sub.cancelled = true })
	status, _ := cal.call(ctx, http.MethodDelete, sub.path, "")
	switch status {
	case http.StatusOK:
		cal.ledger.changeJob(id, func(sub *submission) { sub.acknowledged = true })
		cal.mon.jobEnded(id)
	case http.StatusGone:
		cal.ledger.changeJob(id, func(sub *submission) { sub.cancelAt = time.Time{} })
		if sub.accepted {
			cal.mon.report("job %s: accepted and not known any more to a cancellation", id)
		}
	}
}

// look asks for the state of a job and returns it, empty when there was no answer.
func (cal *caller) look(ctx context.Context, id string, before submission) string {
	status, body := cal.call(ctx, http.MethodGet, before.path, "")
	if status == http.StatusGone && before.accepted {
		cal.mon.report("job %s: accepted and not known any more", id)
	}
	if status != http.StatusOK {
		return ""
	}
	var ans struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &ans); err != nil {
		cal.mon.report("job %s: answer %q: %v", id, body, err)
		return ""
	}
	if before.final != "" && before.final != ans.State {
		cal.mon.report("job %s: shown as %s after %s", id, ans.State, before.final)
	}
	if final(ans.State) {
		cal.ledger.changeJob(id, func(sub *submission) { sub.final = ans.State })
		cal.mon.jobEnded(id)
	}
	return ans.State
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// call asks an entry. The status is zero without an answer.
func (cal *caller) call(ctx context.Context, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	ent := cal.fleet.entries[cal.rnd.IntN(len(cal.fleet.entries))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ent.entry+path, strings.NewReader(body))
	if err != nil {
		cal.mon.report("request: %v", err)
		return 0, ""
	}
	req.Host = queueHost
	rsp, err := cal.http.Do(req)
	if err != nil {
		return 0, "" // the entry may be away
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, ""
	}
	return rsp.StatusCode, string(data)
}
