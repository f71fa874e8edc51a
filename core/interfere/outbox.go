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
	// sendPeriod and sendJitter bound the messages to one receiver, to one in 37 s on average.
	sendPeriod = 30 * time.Second
	sendJitter = 15 * time.Second
	// firstDelay is the time before the first message to a receiver, in which evidence accumulates.
	firstDelay = 5 * time.Second
	// minNewEvidence is the least weight of new evidence about a pairing that is sent. The new
	// evidence must also be at least the part newEvidenceDivisor of all evidence, or contradict
	// it: an owner gets messages from hundreds of agents and needs no more.
	minNewEvidence     = 0.5
	newEvidenceDivisor = 4
	// maxMessageWeight bounds the weight of one pairing in one message.
	maxMessageWeight = 8.0
	// receiverTimeout is how long a receiver is kept after the latest KeepReceiver.
	receiverTimeout = 10 * time.Minute
)

// Outbox collects the observations of a guard until each receiver has acknowledged them. A receiver
// is sent only what is new to it. Memory is bounded by the number of classes of the guard and of
// current receivers. The zero value is ready for use and has the seed zero.
type Outbox struct {
	rnd       *rand.Rand
	totals    map[pair]*total
	receivers map[string]*receiver
}

// total is the evidence about one pairing since the process started. A new receiver gets the
// recent evidence, which decays with time.
type total struct {
	weight float64
	sum    float64 // of the costs by weight
	recent evidence
	at     time.Time
}

type evidence struct{ weight, sum float64 }

type receiver struct {
	sent   map[pair]evidence // the totals at the latest acknowledgement
	due    time.Time         // of the next message
	keptAt time.Time
}

// NewOutbox returns an outbox with the seed of its random delays.
func NewOutbox(seed uint64) *Outbox { return &Outbox{rnd: rand.New(rand.NewPCG(seed, seed))} }

// Add adds new observations to the totals.
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

// KeepReceiver adds a receiver, or extends the time for which it is kept.
func (out *Outbox) KeepReceiver(to string, now time.Time) {
	if out.receivers == nil {
		out.receivers = make(map[string]*receiver)
	}
	rcv := out.receivers[to]
	if rcv == nil {
		rcv = &receiver{sent: make(map[pair]evidence), due: now.Add(firstDelay)}
		out.receivers[to] = rcv
	}
	rcv.keptAt = now
}

// DueReceivers returns the receivers to which a message may be sent now, sorted by name. It deletes
// those whose latest KeepReceiver is older than receiverTimeout. That time lets a receiver get a
// message after its tasks have ended, because tasks may be shorter than the time between messages.
func (out *Outbox) DueReceivers(now time.Time) []string {
	var names []string
	for name, rcv := range out.receivers {
		switch {
		case now.Sub(rcv.keptAt) > receiverTimeout:
			delete(out.receivers, name)
		case !now.Before(rcv.due):
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Unsent returns the observations about a service that are new to a receiver, those with the most
// evidence first, up to a limit.
func (out *Outbox) Unsent(to string, svc fleet.Service, limit int) []Observation {
	rcv := out.receivers[to]
	var obss []Observation
	for key, tot := range out.totals {
		if key.service != svc || rcv == nil {
			continue
		}
		old, found := rcv.sent[key]
		part := evidence{weight: tot.weight - old.weight, sum: tot.sum - old.sum}
		if !found {
			part = tot.recent
		}
		if part.worthSending(tot.recent) {
			obss = append(obss, Observation{service: svc, class: key.class,
				cost: part.sum / part.weight, weight: min(maxMessageWeight, part.weight)})
		}
	}
	slices.SortFunc(obss, func(one, two Observation) int {
		return cmp.Or(cmp.Compare(two.weight, one.weight), cmp.Compare(one.class, two.class))
	})
	return obss[:min(limit, len(obss))]
}

// worthSending reports whether new evidence adds enough to all recent evidence to be sent.
func (evi evidence) worthSending(known evidence) bool {
	if evi.weight < minNewEvidence {
		return false
	}
	diff := evi.sum/evi.weight - known.sum/known.weight
	return evi.weight*newEvidenceDivisor >= known.weight || diff*diff > contradictionFactor*contradictionFactor*squaredError(evi.weight)
}

// Sent records that a message was sent to a receiver, so that the next one is due later.
func (out *Outbox) Sent(to string, now time.Time) {
	if out.rnd == nil {
		out.rnd = rand.New(rand.NewPCG(0, 0))
	}
	if rcv := out.receivers[to]; rcv != nil {
		rcv.due = now.Add(sendPeriod + time.Duration(out.rnd.Int64N(int64(sendJitter))))
	}
}

// Acknowledged records that a receiver has got the observations from Unsent. Evidence about their
// pairings that was added since then counts as acknowledged too and is never sent. It is little,
// and later evidence about the same pairings follows.
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
