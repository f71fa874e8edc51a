package scene

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
)

// Bookings sends requests with idempotency keys and records the answers for each key.
type Bookings struct {
	fleet   *harness.Fleet
	mu      sync.Mutex
	answers map[string][]harness.Envelope
}

func (bks *Bookings) key(num int) string { return fmt.Sprintf("booking %d", num) }

// send sends a request with a key through an entry and records the answer.
func (bks *Bookings) send(ctx context.Context, ent int, key string) (harness.Envelope, error) {
	env, err := bks.fleet.Request(ctx, ent, key, key, false, RequestLimit)
	if err == nil && env.Outcome == Answered {
		bks.mu.Lock()
		defer bks.mu.Unlock()
		bks.answers[key] = append(bks.answers[key], env)
	}
	return env, err
}

// Book sends a key through both entries concurrently. If both report "not run", it checks
// that the request was not executed.
func (bks *Bookings) Book(ctx context.Context, num int) {
	key := bks.key(num)
	outcomes := make(chan string, len(bks.fleet.Entries()))
	for ent := range bks.fleet.Entries() {
		go func() {
			env, err := bks.send(ctx, ent, key)
			if err != nil {
				env.Outcome = err.Error()
			}
			outcomes <- env.Outcome
		}()
	}
	refused := true
	for range bks.fleet.Entries() {
		refused = <-outcomes == NotRun && refused
	}
	if refused {
		Expect(bks.fleet.Executions(ctx, key)).To(BeZero(), "%s was executed although every caller was told that it was not run", key)
	}
}

// Settle sends a key again through both entries until its outcome is known, and checks
// that the request was executed at most once and that all answers are equal. With
// mayStayUnknown, it accepts an unknown outcome.
func (bks *Bookings) Settle(ctx context.Context, num int, mayStayUnknown bool) {
	key := bks.key(num)
	known := func(gom Gomega) {
		for ent := range bks.fleet.Entries() {
			env, err := bks.send(ctx, ent, key)
			gom.Expect(err).NotTo(HaveOccurred())
			if env.Outcome == "unknown" && mayStayUnknown {
				continue
			}
			gom.Expect(env.Outcome).To(Equal(Answered), "%s: %s %s", key, env.Reason, env.Detail)
		}
	}
	Eventually(known).WithContext(ctx).Within(20 * time.Second).Should(Succeed())
	runs, err := bks.fleet.Executions(ctx, key)
	Expect(err).NotTo(HaveOccurred())
	Expect(runs).To(BeNumerically("<=", 1), "executions of %s", key)
	answers := bks.answersOf(key)
	if len(answers) > 0 {
		Expect(runs).To(Equal(1), "executions of %s, which was answered", key)
	}
	for _, env := range answers {
		Expect(env.Body).To(Equal(answers[0].Body), "answers for %s", key)
		Expect(env.Body.Body).To(Equal(key))
	}
}

func (bks *Bookings) answersOf(key string) []harness.Envelope {
	bks.mu.Lock()
	defer bks.mu.Unlock()
	return bks.answers[key]
}

// NewBookings returns a load of bookings through both entries of a fleet.
func NewBookings(fle *harness.Fleet) *Bookings {
	return &Bookings{fleet: fle, answers: map[string][]harness.Envelope{}}
}

// Answered returns how many keys were answered.
func (bks *Bookings) Answered() int {
	bks.mu.Lock()
	defer bks.mu.Unlock()
	return len(bks.answers)
}
