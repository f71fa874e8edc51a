package interfere

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Constants of the outbox.
const (
	// sendPeriod and sendJitter bound the messages to one receiver: one in 37 s on average.
	sendPeriod = 30 * time.Second
	sendJitter = 15 * time.Second
	// firstDelay lets evidence accumulate before the first message to a receiver.
	firstDelay = 5 * time.Second
	// worthSending is the least new evidence about a pairing that is worth its
	// bytes. It must also be a part, by worthPart, of what is known, or contradict
	// it: an owner that hears from hundreds of agents needs no more.
	worthSending = 0.5
	worthPart    = 4
	// heaviestReport bounds the evidence about one pairing in one message.
	heaviestReport = 8.0
	// forgetReceiver is how long a receiver that was not mentioned is remembered.
	forgetReceiver = 10 * time.Minute
)

// Outbox collects what a guard has learned until each receiver has got it. A
// receiver gets only what is new to it, and nothing when nothing is. Memory is
// bounded by the classes of the guard and the receivers mentioned lately. The
// zero value works and uses the seed zero.
type Outbox struct {
	rnd       *rand.Rand
	totals    map[pair]*total
	receivers map[string]*receiver
}

// total is the evidence about one pairing since the process started. The recent
// part of it decays; it is what a new receiver gets.
type total struct {
	weight float64
	sum    float64 // of the costs by weight
	recent evidence
	at     time.Time
}

type evidence struct{ weight, sum float64 }

type receiver struct {
	sent      map[pair]evidence // the totals when it last got something
	due       time.Time
	mentioned time.Time
}

// NewOutbox returns an outbox with the seed of its random delays.
func NewOutbox(seed uint64) *Outbox { return &Outbox{rnd: rand.New(rand.NewPCG(seed, seed))} }

// Add takes in what was learned.
func (out *Outbox) Add(obss []Observation, now time.Time) {
	if out.totals == nil {
		out.totals = make(map[pair]*total)
	}
	for _, obs := range obss {
		key := pair{obs.service, obs.class}
		tot := out.totals[key]
		if tot == nil {
			tot = &total{at: now}
			out.totals[key] = tot
		}
		keep := math.Exp2(-float64(now.Sub(tot.at)) / float64(pairingHalfLife))
		tot.at = now
		tot.weight, tot.sum = tot.weight+obs.weight, tot.sum+obs.weight*obs.cost
		tot.recent = evidence{weight: tot.recent.weight*keep + obs.weight, sum: tot.recent.sum*keep + obs.weight*obs.cost}
	}
}

// Mention notes that a receiver has to do with the instance now.
func (out *Outbox) KeepReceiver(to string, now time.Time) {
	if out.receivers == nil {
		out.receivers = make(map[string]*receiver)
	}
	rcv := out.receivers[to]
	if rcv == nil {
		rcv = &receiver{sent: make(map[pair]evidence), due: now.Add(firstDelay)}
		out.receivers[to] = rcv
	}
	rcv.mentioned = now
}

// Due returns the receivers to which a message may be sent now, in the order of
// their names. It forgets those that were not mentioned for long: tasks can be
// too short to run whenever a message is due.
func (out *Outbox) DueReceivers(now time.Time) []string {
	var names []string
	for name, rcv := range out.receivers {
		switch {
		case now.Sub(rcv.mentioned) > forgetReceiver:
			delete(out.receivers, name)
		case !now.Before(rcv.due):
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Take returns what is new to a receiver about a service, the pairings with the
// most evidence first, up to a limit.
func (out *Outbox) Unsent(to string, svc fleet.Service, limit int) []Observation {
	rcv := out.receivers[to]
	var obss []Observation
	for key, tot := range out.totals {
		if key.service != svc || rcv == nil {
			continue
		}
		old, told := rcv.sent[key]
		part := evidence{weight: tot.weight - old.weight, sum: tot.sum - old.sum}
		if !told {
			part = tot.recent
		}
		if part.worth(tot.recent) {
			obss = append(obss, Observation{service: svc, class: key.class,
				cost: part.sum / part.weight, weight: min(heaviestReport, part.weight)})
		}
	}
	slices.SortFunc(obss, func(one, two Observation) int {
		return cmp.Or(cmp.Compare(two.weight, one.weight), cmp.Compare(one.class, two.class))
	})
	return obss[:min(limit, len(obss))]
}

// worth reports whether new evidence is worth a message beside all that is known.
func (evi evidence) worth(known evidence) bool {
	if evi.weight < worthSending {
		return false
	}
	diff := evi.sum/evi.weight - known.sum/known.weight
	return evi.weight*worthPart >= known.weight || diff*diff > surpriseFactor*surpriseFactor*errorOf(evi.weight)
}

// Sent notes that a message is on its way, so that no other is due for a while.
func (out *Outbox) Sent(to string, now time.Time) {
	if out.rnd == nil {
		out.rnd = rand.New(rand.NewPCG(0, 0))
	}
	if rcv := out.receivers[to]; rcv != nil {
		rcv.due = now.Add(sendPeriod + time.Duration(out.rnd.Int64N(int64(sendJitter))))
	}
}

// Received notes that a receiver has got what was taken for it. What came in
// between counts as received too; it is little and the rest of the evidence follows.
func (out *Outbox) Acknowledged(to string, obss []Observation) {
	rcv := out.receivers[to]
	if rcv == nil {
		return
	}
	for _, obs := range obss {
		key := pair{obs.service, obs.class}
		if tot := out.totals[key]; tot != nil {
			rcv.sent[key] = evidence{weight: tot.weight, sum: tot.sum}
		}
	}
}
