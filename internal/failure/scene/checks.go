package scene

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
)

const (
	// CheckLimit is the deadline of requests that Checks sends.
	CheckLimit = 1500 * time.Millisecond
	// answerSlack allows for late answers on a busy machine.
	answerSlack = time.Second
)

// NewChecks returns a load of checks through the entries of a fleet.
func NewChecks(fle *harness.Fleet) *Checks { return &Checks{fleet: fle} }

// Load returns a load of one booking, through both entries, for every two checks, so that
// each entry receives checks.
func Load(bks *Bookings, cks *Checks) func(ctx context.Context, num int) {
	return func(ctx context.Context, num int) {
		if num%loadCycle == 0 {
			bks.Book(ctx, num)
			return
		}
		cks.Send(ctx, num)
	}
}

// loadCycle is the number of calls of which one is a booking.
const loadCycle = 3

// SettleLoad settles the bookings among the first count calls of a load.
func (bks *Bookings) SettleLoad(ctx context.Context, count int, mayStayUnknown bool) {
	GinkgoHelper()
	InParallel((count+loadCycle-1)/loadCycle, func(num int) { bks.Settle(ctx, loadCycle*num, mayStayUnknown) })
}

// check is the result of a non-idempotent request without a key.
type check struct {
	body    string
	entry   int
	begun   time.Time
	took    time.Duration
	outcome string
	detail  string
}

// Checks sends non-idempotent requests without keys and records their results.
type Checks struct {
	fleet *harness.Fleet
	mu    sync.Mutex
	all   []check
}

// Send sends one check through an entry and verifies that an answer belongs to the request.
func (cks *Checks) Send(ctx context.Context, num int) {
	chk := check{body: fmt.Sprintf("check %d", num), entry: num % len(cks.fleet.Entries()), begun: time.Now()}
	env, err := cks.fleet.Request(ctx, chk.entry, chk.body, "", false, CheckLimit)
	chk.took, chk.outcome, chk.detail = time.Since(chk.begun), env.Outcome, env.Reason+" "+env.Detail
	if err != nil {
		chk.outcome = err.Error()
	}
	if env.Outcome == Answered {
		Expect(env.Body.Body).To(Equal(chk.body))
		Expect(env.Body.RequestID).To(Equal(env.RequestID))
	}
	cks.mu.Lock()
	defer cks.mu.Unlock()
	cks.all = append(cks.all, chk)
}

// Period is a time interval. Without an end, it is unbounded.
type Period struct {
	from, until time.Time
}

// From returns the unbounded period that starts at begin.
func From(begin time.Time) Period { return Period{from: begin} }

// Until returns the period limited by end.
func (per Period) Until(end time.Time) Period {
	per.until = end
	return per
}

func (per Period) contains(now time.Time) bool {
	return now.After(per.from) && (per.until.IsZero() || now.Before(per.until))
}

// ExpectKept verifies that every check ended by its deadline, that its outcome agrees with
// the recorded executions, and that checks sent in the given periods were answered.
func (cks *Checks) ExpectKept(ctx context.Context, answered ...Period) {
	GinkgoHelper()
	InParallel(len(cks.all), func(num int) {
		chk := cks.all[num]
		Expect(chk.took).To(BeNumerically("<", CheckLimit+answerSlack), "time of %s", chk.body)
		for _, per := range answered {
			if per.contains(chk.begun) {
				Expect(chk.outcome).To(Equal(Answered), "%s through entry %d, sent %v after the start of the period in which all must be answered: %s", chk.body, chk.entry, chk.begun.Sub(per.from), chk.detail)
			}
		}
		runs, err := cks.fleet.Executions(ctx, chk.body)
		Expect(err).NotTo(HaveOccurred())
		switch chk.outcome {
		case Answered:
			Expect(runs).To(Equal(1), "executions of %s", chk.body)
		case NotRun:
			Expect(runs).To(BeZero(), "executions of %s, which was not run: %s", chk.body, chk.detail)
		default:
			Expect(runs).To(BeNumerically("<=", 1), "executions of %s", chk.body)
		}
	})
}
