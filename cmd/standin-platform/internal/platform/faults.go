package platform

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"jacinthpost/io/table/tableapi"
)

// verdict is what happens to one request.
type verdict int

const (
	hangUp    verdict = iota // close the connection without an effect
	loseReply                // take effect and close the connection
	throttled                // answer 429
	refuse                   // answer 503
	serve
)

// faultState decides the fate of each request.
type faultState struct {
	faults   tableapi.Faults
	random   *rand.Rand
	limits   [2]*rate.Limiter
	counters tableapi.Counters
}

// operation distinguishes the two rate limits.
type operation int

const (
	reading operation = iota
	writing
)

func validFaults(flt tableapi.Faults) error {
	switch flt.Mode {
	case "", tableapi.ModeUp, tableapi.ModeDown, tableapi.ModeRefuse:
	default:
		return errors.Errorf("mode is %q, expected up, down or refuse", flt.Mode)
	}
	if flt.LatencyMillis < 0 || flt.WritesPerSecond < 0 || flt.ReadsPerSecond < 0 {
		return errors.New("latencyMillis, writesPerSecond and readsPerSecond must not be negative")
	}
	if flt.LoseAnswerPercent < 0 || flt.LoseAnswerPercent > 100 {
		return errors.Errorf("loseAnswerPercent is %d, expected 0 to 100", flt.LoseAnswerPercent)
	}
	return nil
}

func (sta *faultState) set(flt tableapi.Faults) {
	if flt.Mode == "" {
		flt.Mode = tableapi.ModeUp
	}
	sta.faults = flt
	sta.random = rand.New(rand.NewPCG(flt.Seed, flt.Seed))
	sta.limits = [2]*rate.Limiter{reading: limiter(flt.ReadsPerSecond), writing: limiter(flt.WritesPerSecond)}
}

// limiter allows bursts of a tenth of a second.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// admit decides whether a request that has just arrived is refused.
func (sta *faultState) admit(opn operation, now time.Time) verdict {
	vdt := serve
	switch {
	case sta.faults.Mode == tableapi.ModeDown:
		vdt = hangUp
	case sta.faults.Mode == tableapi.ModeRefuse:
		vdt = refuse
	case !sta.limits[opn].AllowN(now, 1):
		vdt = throttled
	}
	if vdt != serve {
		sta.counters.Refused++
	}
	return vdt
}

// apply runs the effect unless the service went down during the latency, and
// decides whether the answer is lost.
func (sta *faultState) apply(opn operation, effect func()) verdict {
	if sta.faults.Mode == tableapi.ModeDown {
		sta.counters.Refused++
		return hangUp
	}
	effect()
	if opn == writing {
		sta.counters.Writes++
	} else {
		sta.counters.Reads++
	}
	if sta.faults.LoseAnswerPercent > sta.random.IntN(100) {
		sta.counters.LostAnswers++
		return loseReply
	}
	return serve
}

func (sta *faultState) latency() time.Duration {
	return time.Duration(sta.faults.LatencyMillis) * time.Millisecond
}
