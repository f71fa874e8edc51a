package owner_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/joblog"
	"jacinthpost/io/message"
	"jacinthpost/io/owner"
)

// agents accepts every offer and records it.
type agents struct {
	mu     sync.Mutex
	offers map[string][]message.TaskSpec
}

// Call implements owner.Caller.
func (ags *agents) Call(_ context.Context, addr, method string, args, reply any) error {
	ags.mu.Lock()
	defer ags.mu.Unlock()
	if method != "Agent.Offer" {
		return errUnreachable
	}
	ags.offers[addr] = append(ags.offers[addr], args.(message.OfferArgs).Task)
	*reply.(*message.OfferReply) = message.OfferReply{Accepted: true, Free: message.Resources{MilliCPU: 4000, MemoryMB: 7000}}
	return nil
}

func (ags *agents) offered(addr string) []message.TaskSpec {
	ags.mu.Lock()
	defer ags.mu.Unlock()
	return ags.offers[addr]
}

// member returns an instance of 8 cores that runs a service.
func member(id string, svc fleet.Service, candidate bool) owner.Member {
	hint := job.NewInstance(fleet.NewProcess(fleet.InstanceID(id), 1), fleet.NewLocation("r", "d", fleet.Rack(id)), resource.New(8000, 8000, 0), job.Alive)
	return owner.NewMember(hint.WithService(svc), id, candidate)
}

// Guards against losing measured costs and corrected sizes on the way from the agents to
// the placement, and the placement's terms of offers on the way to the agents.
var _ = It("passes what agents learn to the placement and the terms of offers to the agents", func() {
	synctest.Test(outer, func(t *testing.T) {
		gom := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		sto, ags := &storefake.Store{}, &agents{offers: map[string][]message.TaskSpec{}}
		view := owner.NewView([]owner.Member{member("a", "robust", true), member("b", "sensitive", false)})
		ports := owner.NewPorts(sto, &storefake.ObjectStore{Store: sto}, ags, settings{}).WithView(func() *owner.View { return view })
		dsp := dispatch.New(place.Scored{}, 1, 1)
		own := owner.New(owner.NewConfig(fleet.NewPeer("a", 1, "a"), joblog.NewRows(sto, 1), "r", 1), ports, dsp.Placement)
		var done sync.WaitGroup
		done.Go(func() { own.Run(ctx) })
		defer done.Wait()
		defer cancel()
		svc := own.Service(ctx)
		gom.Eventually(own.Owned).WithArguments(ctx).WithTimeout(time.Minute).Should(HaveLen(1))

		learn := func(args message.LearnArgs) { gom.Expect(svc.Learn(args, &message.LearnReply{})).To(Succeed()) }
		for range 3 {
			learn(message.LearnArgs{Service: "robust", Pairings: []message.Pairing{{Class: "noisy", Cost: 0, Weight: 50}}})
			learn(message.LearnArgs{Service: "sensitive", Pairings: []message.Pairing{{Class: "noisy", Cost: 1.5, Weight: 50}}})
		}
		spc := spec("k", 2)
		spc.Class, spc.Resources = "noisy", message.Resources{MilliCPU: 4000, MemoryMB: 1000}
		var rep message.JobReply
		gom.Expect(svc.Submit(message.SubmitArgs{Spec: spc}, &rep)).To(Succeed())
		gom.Expect(rep.Outcome).To(Equal("answered"), rep.Detail)
		gom.Eventually(func() int { return len(ags.offered("a")) }).WithTimeout(time.Second).Should(Equal(2))
		gom.Expect(ags.offered("b")).To(BeEmpty())
		gom.Expect(ags.offered("a")[0].CostWeight).To(BeNumerically("~", 24, 0.1), "the weight of a message is bounded")

		var committed resource.Vector
		resized := message.TaskSize{Ref: ags.offered("a")[0].Ref, Committed: message.Resources{MilliCPU: 500, MemoryMB: 3000}}
		learn(message.LearnArgs{Sizes: []message.TaskSize{resized}})
		gom.Expect(own.Inspect(ctx, func(time.Time) { committed = dsp.Committed("a") })).To(Succeed())
		gom.Expect(committed).To(Equal(resource.New(4500, 4000, 0)))
	})
})

// learnService is the part of the service that BenchmarkLearn serves, on one goroutine.
type learnService struct {
	dispatcher *dispatch.Dispatcher[place.Scored]
}

// Learn applies a message as the control goroutine does.
func (lsv *learnService) Learn(args message.LearnArgs, _ *message.LearnReply) error {
	for _, pai := range args.Pairings {
		lsv.dispatcher.CostMeasured("robust", fleet.JobClass(pai.Class), pai.Cost, pai.Weight, time.Unix(1_000, 0))
	}
	return nil
}

// BenchmarkLearn measures sending a message of each size from one process to another,
// including the work of both.
func BenchmarkLearn(b *testing.B) {
	for _, size := range []int{1, message.MaxPairings} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dsp := dispatch.New(place.Scored{}, 1, 1)
			dsp.Placement(0).Observe([]job.Instance{member("a", "robust", true).Hint()}, time.Unix(1_000, 0))
			srv, near, far := rpc.NewServer(), &countedConn{}, net.Conn(nil)
			near.Conn, far = net.Pipe()
			if err := srv.RegisterName("Owner", &learnService{dispatcher: dsp}); err != nil {
				b.Fatal(err)
			}
			go srv.ServeConn(far)
			cli := rpc.NewClient(near)
			args := message.LearnArgs{Instance: "agent-0001", Service: "robust"}
			for num := range size {
				args.Pairings = append(args.Pairings, message.Pairing{Class: fmt.Sprint("class-", num), Cost: 0.123456789 + float64(num), Weight: 1.23456789})
			}
			for b.Loop() {
				if err := cli.Call("Owner.Learn", &args, &message.LearnReply{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(near.written)/float64(b.N), "sent-B/op")
			b.ReportMetric(float64(near.read.Load())/float64(b.N), "received-B/op")
		})
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	written int64
	read    atomic.Int64
}

// Read and Write implement net.Conn.
func (con *countedConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.read.Add(int64(num))
	return num, err
}
func (con *countedConn) Write(buf []byte) (int, error) {
	con.written += int64(len(buf))
	return con.Conn.Write(buf)
}
