package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	cancelPart   = 0.1 // of the accepted jobs
)

// submission is what a caller knows of a job.
type submission struct {
	accepted  bool
	refused   bool // every try was answered with "not run"
	cancelled bool // a cancellation was sent
	final     string
}

// ledger holds what is known of all jobs.
type ledger struct {
	mu          sync.Mutex
	submissions map[string]*submission
	names       []string
}

func (led *ledger) add(id string) *submission {
	led.mu.Lock()
	defer led.mu.Unlock()
	sub := &submission{}
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
		sub := cal.ledger.add(id)
		cal.submit(ctx, id, sub)
		if known := cal.ledger.all(); len(known) > 0 {
			cal.check(ctx, known)
		}
	}
}

// submit hands a job in and cancels some.
func (cal *caller) submit(ctx context.Context, id string, sub *submission) {
	body := deployment.Job(1 + cal.rnd.IntN(4))
	refused := true
	for range tries {
		status, _ := cal.call(ctx, http.MethodPost, id, body)
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
	accepted := false
	cal.ledger.change(sub, func(sub *submission) { sub.refused, accepted = refused && !sub.accepted, sub.accepted })
	if accepted && cal.rnd.Float64() < cancelPart {
		cal.ledger.change(sub, func(sub *submission) { sub.cancelled = true })
		cal.call(ctx, http.MethodDelete, id, "")
	}
}

// check asks for a job and compares the answer with what is known.
func (cal *caller) check(ctx context.Context, known map[string]submission) {
	cal.ledger.mu.Lock()
	id := cal.ledger.names[cal.rnd.IntN(len(cal.ledger.names))]
	cal.ledger.mu.Unlock()
	cal.look(ctx, id, known[id])
}

// look asks for the state of a job and returns it, empty when there was no answer.
func (cal *caller) look(ctx context.Context, id string, before submission) string {
	status, body := cal.call(ctx, http.MethodGet, id, "")
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
		cal.ledger.mu.Lock()
		cal.ledger.submissions[id].final = ans.State
		cal.ledger.mu.Unlock()
	}
	return ans.State
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// call asks an entry. The status is zero without an answer.
func (cal *caller) call(ctx context.Context, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	ent := cal.fleet.entries[cal.rnd.IntN(len(cal.fleet.entries))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ent.entry+deployment.Path(id), strings.NewReader(body))
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
