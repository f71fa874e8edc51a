package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/route"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/entry"
	"jacinthpost/io/groupcommit"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
)

func TestEntry(t *testing.T) {
	specs.Run(t, "entry")
}

// behaviour is the fault, or none, in one Serve call.
type behaviour int

const (
	succeed        behaviour = iota
	refuse                   // the agent refuses the request as not run
	loseCall                 // the frame is lost and the connection hangs
	delayCall                // the connection hangs and the frame arrives afterwards
	loseReply                // the request runs and the connection hangs
	failDial                 // no connection can be opened
	mismatchReply            // the reply of another request arrives
	truncated                // the body is shorter than its length says
	agentGone                // the request runs, the connection hangs and Resolve calls fail
	behaviourCount = int(iota)
)

// agents is a fake of the agents behind a faulty network. Like the real agents, it refuses fenced
// requests and keeps answers for Resolve.
type agents struct {
	mu          sync.Mutex
	choose      func() behaviour
	answers     map[string]message.ServeReply
	fenced      map[string]bool
	unreachable map[string]bool
	runs        map[string]int // executions by body
	delayed     []message.ServeArgs
	replaced    bool // Resolve calls for requests of the former processes fail
}

func newAgents(choose func() behaviour) *agents {
	return &agents{choose: choose, answers: map[string]message.ServeReply{}, fenced: map[string]bool{}, unreachable: map[string]bool{}, runs: map[string]int{}}
}

func (agt *agents) Call(_ context.Context, _, method string, args, reply any) error {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	if method == "Agent.Resolve" {
		return agt.resolve(args.(message.ResolveArgs).RequestID, reply.(*message.ResolveReply))
	}
	return agt.serve(args.(message.ServeArgs), reply.(*message.ServeReply))
}

func (agt *agents) serve(args message.ServeArgs, reply *message.ServeReply) error {
	switch agt.choose() {
	case refuse:
		*reply = message.ServeReply{RequestID: args.RequestID, Outcome: "notRun", Reason: string(outcome.ReasonQueueFull)}
		return nil
	case loseCall:
		return peer.ErrSilent
	case delayCall:
		agt.delayed = append(agt.delayed, args)
		return peer.ErrSilent
	case loseReply:
		agt.run(args)
		return peer.ErrSilent
	case failDial:
		return peer.ErrNotSent
	case mismatchReply:
		*reply = message.ServeReply{RequestID: "other", Outcome: "answered", Status: 200}
		return nil
	case truncated:
		*reply = agt.run(args)
		reply.BodyLength++
		return nil
	case agentGone:
		agt.run(args)
		agt.unreachable[args.RequestID] = true
		return peer.ErrSilent
	}
	*reply = agt.run(args)
	return nil
}

func (agt *agents) run(args message.ServeArgs) message.ServeReply {
	if agt.fenced[args.RequestID] {
		return message.ServeReply{RequestID: args.RequestID, Outcome: "notRun", Reason: string(outcome.ReasonFenced)}
	}
	agt.runs[string(args.Body)]++
	body := fmt.Appendf(nil, "%s run %d", args.Body, agt.runs[string(args.Body)])
	ans := message.ServeReply{RequestID: args.RequestID, Outcome: "answered", Status: 200, Body: body, BodyLength: len(body)}
	agt.answers[args.RequestID] = ans
	return ans
}

func (agt *agents) resolve(requestID string, reply *message.ResolveReply) error {
	ans, found := agt.answers[requestID]
	switch {
	case agt.unreachable[requestID], agt.replaced:
		return peer.ErrNotSent
	case found:
		*reply = message.ResolveReply{State: message.ResolvedAnswered, Answer: ans}
	default:
		agt.fenced[requestID] = true
		*reply = message.ResolveReply{State: message.ResolvedNotRun}
	}
	return nil
}

// replaceAll replaces the processes of all agents. The new ones know no request.
func (agt *agents) replaceAll() {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.replaced = true
}

// deliverDelayed delivers the delayed frames.
func (agt *agents) deliverDelayed() {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	for _, args := range agt.delayed {
		agt.run(args)
	}
	agt.delayed = nil
}

func (agt *agents) runsOf(body string) int {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.runs[body]
}

var nextID atomic.Int64

// newEntry returns a Requests that uses the store and three endpoints of the agents.
func newEntry(agt *agents, sto *storefake.Store) *entry.Requests[route.TwoChoices] {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	com := groupcommit.New(sto)
	go com.Run(ctx)
	set := new(route.Set)
	for num := range 3 {
		name := fleet.InstanceID(fmt.Sprintf("a%d", num))
		set.Add(fleet.SameDataCentre, route.NewCandidate(name, 1, string(name), new(route.Load)))
	}
	dir := entry.NewDirectory(map[fleet.Service]*route.Set{"svc": set})
	return entry.NewRequests[route.TwoChoices](entry.Ports{
		Caller:    agt,
		Rows:      com,
		Objects:   &storefake.ObjectStore{Store: sto},
		Directory: func() *entry.Directory { return dir },
		NextID:    func() string { return "e." + strconv.FormatInt(nextID.Add(1), 10) },
	})
}

func request(body string) entry.Request {
	return entry.NewRequest("svc", "cust", "/book", []byte(body), time.Now().Add(2*time.Second))
}

// script returns the behaviours in order, and succeed after the last.
func script(behaviours ...behaviour) func() behaviour {
	return func() behaviour {
		if len(behaviours) == 0 {
			return succeed
		}
		first := behaviours[0]
		behaviours = behaviours[1:]
		return first
	}
}

func expectEnd(ans entry.Answer, kind outcome.Kind, reason outcome.Reason) {
	GinkgoHelper()
	Expect(ans.Outcome().Kind()).To(Equal(kind), ans.Outcome().Detail())
	Expect(ans.Outcome().Reason()).To(Equal(reason))
}

// Guards against a retry of a request that may have run, and against a wrong "not run".
var _ = DescribeTable("a request without a key",
	func(idempotent bool, behaviours []behaviour, kind outcome.Kind, reason outcome.Reason, runs int) {
		agt := newAgents(script(behaviours...))
		req := request("b")
		if idempotent {
			req = req.Idempotent()
		}
		ans := newEntry(agt, new(storefake.Store)).Serve(context.Background(), req)
		expectEnd(ans, kind, reason)
		agt.deliverDelayed()
		Expect(agt.runsOf("b")).To(Equal(runs))
	},
	Entry("sound", false, nil, outcome.KindAnswered, outcome.Reason(""), 1),
	Entry("a refusal is retried elsewhere", false, []behaviour{refuse, failDial}, outcome.KindAnswered, outcome.Reason(""), 1),
	Entry("refused everywhere is not run", false, []behaviour{refuse, refuse, refuse}, outcome.KindNotRun, outcome.ReasonQueueFull, 0),
	Entry("a lost frame is fenced, then retried", false, []behaviour{loseCall}, outcome.KindAnswered, outcome.Reason(""), 1),
	Entry("a delayed frame is fenced, then retried", false, []behaviour{delayCall}, outcome.KindAnswered, outcome.Reason(""), 1),
	Entry("a lost reply is fetched", false, []behaviour{loseReply}, outcome.KindAnswered, outcome.Reason(""), 1),
	Entry("an unreachable agent leaves the outcome unknown", false, []behaviour{agentGone}, outcome.KindUnknown, outcome.ReasonPeerLost, 1),
	Entry("the reply of another request is not passed on", false, []behaviour{mismatchReply}, outcome.KindUnknown, outcome.ReasonBrokenBody, 0),
	Entry("a truncated body is not passed on", false, []behaviour{truncated}, outcome.KindUnknown, outcome.ReasonBrokenBody, 1),
	Entry("an idempotent request is retried after an unknown outcome", true, []behaviour{agentGone}, outcome.KindAnswered, outcome.Reason(""), 2),
	Entry("an unknown outcome is kept when the other agents refuse", true, []behaviour{agentGone, refuse, refuse}, outcome.KindUnknown, outcome.ReasonPeerLost, 1),
)

// Guards against a request that runs twice when its key is sent again to another entry.
var _ = DescribeTable("a keyed request that is sent again to another entry",
	func(behaviours []behaviour, first, second outcome.Kind, runs int) {
		agt := newAgents(script(behaviours...))
		sto := new(storefake.Store)
		ans := newEntry(agt, sto).Serve(context.Background(), request("b").WithKey("k"))
		Expect(ans.Outcome().Kind()).To(Equal(first), ans.Outcome().Detail())
		again := newEntry(agt, sto).Serve(context.Background(), request("b").WithKey("k"))
		Expect(again.Outcome().Kind()).To(Equal(second), again.Outcome().Detail())
		agt.deliverDelayed()
		Expect(agt.runsOf("b")).To(Equal(runs))
	},
	Entry("sound", nil, outcome.KindAnswered, outcome.KindAnswered, 1),
	Entry("refused everywhere, then accepted", []behaviour{refuse, refuse, refuse}, outcome.KindNotRun, outcome.KindAnswered, 1),
	Entry("delayed frame", []behaviour{delayCall}, outcome.KindAnswered, outcome.KindAnswered, 1),
	Entry("lost reply", []behaviour{loseReply}, outcome.KindAnswered, outcome.KindAnswered, 1),
	Entry("truncated, then resolved completely", []behaviour{truncated}, outcome.KindUnknown, outcome.KindAnswered, 1),
	Entry("unreachable agent, stays unknown", []behaviour{agentGone}, outcome.KindUnknown, outcome.KindUnknown, 1),
)

var _ = Describe("a keyed request", func() {
	It("is refused as not run while the store is down", func() {
		agt := newAgents(script())
		sto := new(storefake.Store)
		sto.SetDown(true)
		expectEnd(newEntry(agt, sto).Serve(context.Background(), request("b").WithKey("k")), outcome.KindNotRun, outcome.ReasonStoreUnavailable)
		Expect(agt.runsOf("b")).To(BeZero())
	})
	It("conflicts when its key was used for another request", func() {
		agt := newAgents(script())
		ent := newEntry(agt, new(storefake.Store))
		ent.Serve(context.Background(), request("b").WithKey("k"))
		Expect(ent.Serve(context.Background(), request("c").WithKey("k")).Conflict()).To(BeTrue())
		Expect(agt.runsOf("c")).To(BeZero())
	})
	// Guards against a planned stop that leaves an answer unrecorded. The outcome would become unknown when
	// the agent is replaced as well.
	It("is recorded before a planned stop ends, after an outage of the store too", func(ctx SpecContext) {
		sto := new(storefake.Store)
		agt := newAgents(func() behaviour {
			sto.SetDown(true)
			return succeed
		})
		ent := newEntry(agt, sto)
		expectEnd(ent.Serve(ctx, request("b").WithKey("k")), outcome.KindAnswered, "")
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(ent.Drain(limited)).To(MatchError(context.DeadlineExceeded))
		sto.SetDown(false)
		Expect(ent.Drain(ctx)).To(Succeed())
		Expect(newEntry(agt, sto).Serve(ctx, request("b").WithKey("k")).Replayed()).To(BeTrue())
		Expect(ent.Drain(ctx)).To(Succeed())
	})
	// Guards against a refusal that only the process and the agent know. After both are replaced, a repeated
	// request would have an unknown outcome for ever.
	DescribeTable("runs when it is repeated after a refusal that the store was down for", func(ctx SpecContext, refusals int) {
		sto := new(storefake.Store)
		behaviours := script(slices.Repeat([]behaviour{refuse}, refusals)...)
		calls := 0
		agt := newAgents(func() behaviour {
			calls++
			sto.SetDown(calls == refusals)
			return behaviours()
		})
		ent := newEntry(agt, sto)
		Expect(ent.Serve(ctx, request("b").WithKey("k")).Outcome().Kind()).To(Equal(outcome.KindNotRun))
		sto.SetDown(false)
		Expect(ent.Drain(ctx)).To(Succeed())
		agt.replaceAll()
		Expect(newEntry(agt, sto).Serve(ctx, request("b").WithKey("k")).Outcome().Kind()).To(Equal(outcome.KindAnswered))
		Expect(agt.runsOf("b")).To(Equal(1))
	},
		Entry("of the first agent", 1),
		Entry("of all agents", 3),
	)
	It("replays an answer that is too large for a row", func() {
		agt := newAgents(script())
		sto := new(storefake.Store)
		ent := newEntry(agt, sto)
		large := string(make([]byte, 100<<10))
		first := ent.Serve(context.Background(), request(large).WithKey("k"))
		Eventually(func() bool { return ent.Serve(context.Background(), request(large).WithKey("k")).Replayed() }).Should(BeTrue())
		Expect(ent.Serve(context.Background(), request(large).WithKey("k")).Body()).To(Equal(first.Body()))
	})
})

// atMostOnce is the sequential model of a keyed request: the first execution determines the answer of
// all requests with the key.
var atMostOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		body := output.(string)
		if body == "" { // not run or unknown: says nothing about the state
			return true, state
		}
		return state == "" || state == body, body
	},
}

// seeds returns the seeds from 1 to JACINTHPOST_SEEDS, or to 20 if it is not set.
func seeds() []uint64 {
	count, err := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS"))
	if err != nil {
		count = 20
	}
	list := make([]uint64, count)
	for num := range list {
		list[num] = uint64(num + 1)
	}
	return list
}

// Guards against two executions of a key that several entries serve at once, while frames and replies
// are lost or delayed and the store loses calls and answers.
var _ = Describe("racing entries", func() {
	It("run each key at most once and agree on its answer", func() {
		for _, seed := range seeds() {
			runRacingEntries(seed)
		}
	})
})

func runRacingEntries(seed uint64) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, 1))
	agt := newAgents(func() behaviour { return behaviour(rng.IntN(behaviourCount)) })
	sto := new(storefake.Store)
	entries := []*entry.Requests[route.TwoChoices]{newEntry(agt, sto), newEntry(agt, sto)}
	for range 6 {
		sto.Inject(storefake.None, storefake.LoseAnswer, storefake.None, storefake.LoseCall)
	}
	for key := range 4 {
		name := fmt.Sprintf("key%d", key)
		history := callConcurrently(entries, name)
		agt.deliverDelayed()
		Expect(agt.runsOf(name)).To(BeNumerically("<=", 1), "seed %d", seed)
		Expect(porcupine.CheckOperations(atMostOnce, history)).To(BeTrue(), "seed %d", seed)
	}
}

func callConcurrently(entries []*entry.Requests[route.TwoChoices], name string) []porcupine.Operation {
	history := make([]porcupine.Operation, 6)
	var wgr sync.WaitGroup
	for num := range history {
		wgr.Go(func() {
			begun := time.Now().UnixNano()
			ans := entries[num%2].Serve(context.Background(), request(name).WithKey(name))
			output := ""
			if ans.Outcome().Kind() == outcome.KindAnswered {
				output = string(ans.Body())
			}
			history[num] = porcupine.Operation{ClientId: num, Input: name, Output: output, Call: begun, Return: time.Now().UnixNano()}
		})
	}
	wgr.Wait()
	return history
}
