package batchowner

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"jacinthpost/core/decision"
)

// turnKind is what the control thread does in one turn.
type turnKind int

const (
	otherTurn  turnKind = iota
	reportTurn          // applies a report
	newsTurn            // applies news
	ordersTurn          // looks orders up
	tickTurn            // Scheduler.Tick
	planTurn            // plans and collects what to store
	storedTurn          // releases what was stored
	jobsTurn            // applies jobs and cancellations
	turnKinds
)

var turnNames = [turnKinds]string{"other", "report", "news", "orders", "tick", "plan", "stored", "jobs"}

// Limits from which on an owner logs that it is busy. Agents give an owner up that does not answer for
// some hundred milliseconds.
const (
	turnPeriod   = time.Second
	busyFraction = 0.7
	busyWait     = 200 * time.Millisecond
)

// turnMeter measures the turns of the control thread, to which it belongs.
type turnMeter struct {
	kind        turnKind
	since       time.Time // start of the present period
	busy        [turnKinds]time.Duration
	longest     time.Duration
	longestKind turnKind
	longestWait time.Duration // of an event in the queue of the thread
}

// begin records the kind of the present turn, and how long its event has waited.
func (mtr *turnMeter) begin(knd turnKind, wait time.Duration) {
	mtr.kind = knd
	mtr.longestWait = max(mtr.longestWait, wait)
}

// end records how long the present turn has taken.
func (mtr *turnMeter) end(took time.Duration) {
	mtr.busy[mtr.kind] += took
	if took > mtr.longest {
		mtr.longest, mtr.longestKind = took, mtr.kind
	}
	mtr.kind = otherTurn
}

// report counts the turns of a period that is over, and logs them if the thread was busy. It returns
// whether a period is over.
func (mtr *turnMeter) report(now time.Time, log *zap.Logger) bool {
	if mtr.since.IsZero() {
		mtr.since = now
	}
	period := now.Sub(mtr.since)
	if period < turnPeriod {
		return false
	}
	var sum time.Duration
	most := otherTurn
	for knd, took := range mtr.busy {
		metrics.GetOrCreateFloatCounter(`jacinthpost_owner_turn_seconds_total{kind="` + turnNames[knd] + `"}`).Add(took.Seconds())
		sum += took
		if took > mtr.busy[most] {
			most = turnKind(knd)
		}
	}
	metrics.GetOrCreateHistogram(`jacinthpost_owner_longest_turn_seconds`).Update(mtr.longest.Seconds())
	metrics.GetOrCreateHistogram(`jacinthpost_owner_longest_wait_seconds`).Update(mtr.longestWait.Seconds())
	if sum.Seconds() >= busyFraction*period.Seconds() || mtr.longestWait >= busyWait {
		log.Warn(string(decision.OwnerBusy), zap.Duration(decision.KeyTook, sum), zap.String(decision.KeyReason, turnNames[most]), zap.String(decision.KeyDetail, mtr.describe()))
	}
	*mtr = turnMeter{since: now}
	return true
}

func (mtr *turnMeter) describe() string {
	var bld strings.Builder
	for knd, took := range mtr.busy {
		if ms := took.Milliseconds(); ms > 0 {
			fmt.Fprintf(&bld, "%s=%dms ", turnNames[knd], ms)
		}
	}
	fmt.Fprintf(&bld, "longest=%dms (%s) wait=%dms", mtr.longest.Milliseconds(), turnNames[mtr.longestKind], mtr.longestWait.Milliseconds())
	return bld.String()
}

// timed makes a function for the control thread count as a turn of a kind.
func timed[R any](osp *ownership, knd turnKind, fun func(sch *Scheduler, now time.Time) R) func(*Scheduler, time.Time) R {
	posted := osp.cfg.Clock()
	return func(sch *Scheduler, now time.Time) R {
		osp.turns.begin(knd, now.Sub(posted))
		return fun(sch, now)
	}
}
