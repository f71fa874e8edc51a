// Package config distributes the configuration and files change tickets.
//
// About one node in 20 of each data centre, and every entry, is a reader: it
// reads the head row of the table each PullPeriod, and the missing tickets when
// the head has moved. All other nodes pull from a reader of their data centre in
// the same period, or from one further away when that fails or has no
// recent confirmation. A node that learns of a ticket nudges a few others, which distributes
// tickets faster than the pulls alone. The head of a node never decreases, whatever
// a source answers.
//
// The control state of a Node is touched only by functions that run on the
// executor passed to it, the control goroutine of the process. Calls to the
// table and to peers run on other goroutines and hand their results over as
// such functions. View, File and the RPC service may be used from any goroutine.
//
// Limit: freshness proves that no newer ticket existed some time ago, not that
// none exists now. The bound of that time is ticket.FreshnessLimit.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/fleet"
	"jacinthpost/core/store"
	"jacinthpost/core/ticket"
	"jacinthpost/io/control"
)

// Timing of the distribution. Timeouts leave room for several tries within ticket.FreshnessLimit.
const (
	PullPeriod   = 500 * time.Millisecond
	choosePeriod = 2 * time.Second // between choices of the readers
	pullTimeout  = 400 * time.Millisecond
	readTimeout  = time.Second
	loadTimeout  = 20 * time.Second
	nudgeLimit   = time.Second // time limit of one nudge
	// maxSourceAge is the age of a reader's confirmation above which a node asks another reader.
	maxSourceAge = 1200 * time.Millisecond
	// fallbackPeriod is how long a node stays with a fallback source before it tries the preferred
	// one again.
	fallbackPeriod = 30 * time.Second
	seenRetention  = time.Minute // age at which reported heads are dropped
)

const (
	nudgeFanout = 3
	replyLimit  = 1 << 20 // bytes of tickets in one reply
	// replayLimit is the number of missing tickets above which loading all objects costs less.
	replayLimit = 256
)

// Caller calls a method of a peer. Package peer implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Node distributes the configuration to and from one process.
type Node struct {
	self   Peer
	table  tableOrigin
	caller Caller
	peers  func() []Peer
	exec   control.Executor
	view   control.Snapshot[View]
	filer  *Filer
	calls  calls
	state  nodeState
}

// calls counts the calls under way, so that Run ends after the last of them.
type calls struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs a call unless the node has ended.
func (cls *calls) start(call func()) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	if !cls.closed {
		cls.group.Go(call)
	}
}

func (cls *calls) finish() {
	cls.mu.Lock()
	cls.closed = true
	cls.mu.Unlock()
	cls.group.Wait()
}

// nodeState is the control state of a node.
type nodeState struct {
	ctx             context.Context // of Run, nil before
	config          ticket.State
	freshness       ticket.Freshness
	reader          bool
	sources         []Peer
	lastPeers       []Peer // from which the sources were chosen
	sourcesChosenAt time.Time
	downSince       time.Time
	reading         bool
	pulling         bool
	pullNext        *Peer // sender of a nudge that arrived during a pull
	source          int   // position in the list of sources
	sourceChangedAt time.Time
	nudgedHead      ticket.Number
	seen            map[string]headSeen
	random          *rand.Rand
}

type headSeen struct {
	head ticket.Number
	at   time.Time
}

// NewNode returns the node of a process. The function peers returns the current
// processes of the system; it must be quick and safe for use from any goroutine.
func NewNode(self Peer, tab store.Table, cal Caller, peers func() []Peer, exec control.Executor) *Node {
	seed := weight(xxhash.Sum64String("seed"), self.id)
	return &Node{self: self, table: tableOrigin{tab}, caller: cal, peers: peers, exec: exec,
		state: nodeState{seen: make(map[string]headSeen), random: rand.New(rand.NewPCG(seed, 1))}}
}

// SetFiler lets the node file tickets. It must be called before Run.
func (nod *Node) SetFiler(fil *Filer) { nod.filer = fil }

// View returns the present configuration, nil before the first one.
func (nod *Node) View() *View { return nod.view.Load() }

// Run distributes the configuration until the context ends, and returns when all its calls have ended.
func (nod *Node) Run(ctx context.Context) {
	defer nod.calls.finish()
	if nod.exec.Execute(ctx, func(time.Time) { nod.state.ctx = ctx }) != nil {
		return
	}
	// Nodes that start at the same time must not read and pull at the same time.
	first := time.Duration(weight(xxhash.Sum64String("phase"), nod.self.id) % uint64(PullPeriod))
	wait := time.NewTimer(first)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
			nod.exec.TryExecute(nod.tick)
			wait.Reset(PullPeriod)
		}
	}
}

// tick starts the read or pull that is due. One that is still under way is not repeated.
func (nod *Node) tick(now time.Time) {
	sta := &nod.state
	if now.Sub(sta.sourcesChosenAt) >= choosePeriod || len(sta.sources) == 0 {
		nod.chooseSources(now)
	}
	if sta.reader && !sta.reading {
		nod.startRead(now)
	}
	if (!sta.reader || !sta.downSince.IsZero()) && !sta.pulling {
		nod.startPull(now)
	}
	for id, hed := range sta.seen {
		if now.Sub(hed.at) > seenRetention {
			delete(sta.seen, id)
		}
	}
	nod.publish()
}

// chooseSources decides whether the node is a reader and what it pulls from, unless the
// peers are the same slice as before.
func (nod *Node) chooseSources(now time.Time) {
	sta := &nod.state
	peers := nod.peers()
	sta.sourcesChosenAt = now
	if len(peers) > 0 && len(peers) == len(sta.lastPeers) && &peers[0] == &sta.lastPeers[0] {
		return
	}
	sta.lastPeers = peers
	sta.reader, sta.sources = sourcesOf(nod.self, peers)
}

// publish makes the state visible to traffic goroutines.
func (nod *Node) publish() {
	sta := &nod.state
	nod.view.Publish(&View{state: sta.config, freshness: sta.freshness, reader: sta.reader, downSince: sta.downSince})
}

// background runs a call outside the control goroutine and its result on it.
func (nod *Node) background(call func(ctx context.Context) func(now time.Time)) {
	ctx := nod.state.ctx
	if ctx == nil {
		return // nudged before Run
	}
	nod.calls.start(func() {
		result := call(ctx)
		_ = nod.exec.Execute(ctx, result) // fails only when the process stops
	})
}

// adopt applies tickets that follow the head and ignores older ones.
func (nod *Node) adopt(tickets []ticket.Ticket) {
	sta := &nod.state
	for _, tic := range tickets {
		if tic.Number() <= sta.config.Head() {
			continue
		}
		next, out := sta.config.Apply(tic)
		if out.Kind() != ticket.OutcomeAccepted {
			metrics.GetOrCreateCounter("jacinthpost_config_rejected_tickets_total").Inc()
			return
		}
		sta.config = next
	}
}

// adoptState replaces the configuration by a loaded one unless that is older.
func (nod *Node) adoptState(loaded ticket.State) {
	if loaded.Head() > nod.state.config.Head() {
		nod.state.config = loaded
	}
}

// publishAndNudge publishes the state and nudges other nodes if the head has moved.
func (nod *Node) publishAndNudge() {
	nod.publish()
	sta := &nod.state
	if sta.config.Head() <= sta.nudgedHead {
		return
	}
	sta.nudgedHead = sta.config.Head()
	args := NudgeArgs{Instance: string(nod.self.id), Head: uint64(sta.nudgedHead)}
	for _, per := range nod.nudgeTargets() {
		nod.background(func(ctx context.Context) func(time.Time) {
			limited, cancel := context.WithTimeout(ctx, nudgeLimit)
			defer cancel()
			_ = nod.caller.Call(limited, per.address, methodNudge, args, &NudgeReply{}) // a lost nudge is made up for by the next pull
			return func(time.Time) {}
		})
	}
}

// nudgeTargets returns random peers: most in the data centre, now and then one
// elsewhere, so that few nudges cross the link between regions.
func (nod *Node) nudgeTargets() []Peer {
	random := nod.state.random
	farthest := fleet.SameDataCentre
	switch random.IntN(8) {
	case 0:
		farthest = fleet.OtherRegion
	case 1, 2:
		farthest = fleet.SameRegion
	}
	var targets []Peer
	for _, per := range nod.peers() {
		if per.id != nod.self.id && per.address != "" && nod.self.location.TierTo(per.location) <= farthest {
			targets = append(targets, per)
		}
	}
	random.Shuffle(len(targets), func(one, two int) { targets[one], targets[two] = targets[two], targets[one] })
	return targets[:min(nudgeFanout, len(targets))]
}

// adoptFiled applies a ticket that was just accepted, or starts a read if earlier ones are missing.
func (nod *Node) adoptFiled(now time.Time, tic ticket.Ticket) {
	sta := &nod.state
	switch {
	case tic.Number() == sta.config.Head()+1:
		nod.adopt([]ticket.Ticket{tic})
		nod.publishAndNudge()
	case tic.Number() > sta.config.Head() && !sta.reading:
		nod.startRead(now)
	}
}

// File files a ticket through the table and spreads it if it was accepted.
func (nod *Node) File(ctx context.Context, tic ticket.Ticket) ticket.Outcome {
	out := nod.filer.File(ctx, tic)
	if out.InSequence() {
		nod.exec.TryExecute(func(now time.Time) { nod.adoptFiled(now, tic) })
	}
	return out
}
