package owner_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/resource"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/token"
	"jacinthpost/io/joblog"
	"jacinthpost/io/message"
	"jacinthpost/io/owner"
	"jacinthpost/io/peer"
)

// benchOwner is an owner of one partition whose tasks each run on an instance of their
// own, as nearly all do at the planned size of 340 tasks per partition and 1,400 instances.
type benchOwner struct {
	service *owner.Service[*job.SimplePlacement]
	table   *storefake.Store
	mu      sync.Mutex
	refs    []message.TaskRef
	holders []string
	claimed sync.WaitGroup
}

// Call implements owner.Caller: it accepts every offer and claims it.
func (bow *benchOwner) Call(_ context.Context, addr, _ string, args, reply any) error {
	off, isOffer := args.(message.OfferArgs)
	if !isOffer {
		return errUnreachable
	}
	*reply.(*message.OfferReply) = message.OfferReply{Accepted: true}
	go func() {
		var rep message.ClaimReply
		if bow.service.Claim(message.ClaimArgs{Ref: off.Task.Ref, Instance: addr, Incarnation: 1}, &rep) != nil || !rep.Granted {
			return
		}
		bow.mu.Lock()
		defer bow.mu.Unlock()
		bow.refs, bow.holders = append(bow.refs, off.Task.Ref), append(bow.holders, addr)
		bow.claimed.Done()
	}()
	return nil
}

// newBenchOwner submits a job, waits until all its tasks are claimed and serves the
// owner on a loopback address, which it returns.
func newBenchOwner(b *testing.B, tasks int) (*benchOwner, string) {
	list := []owner.Member{owner.NewMember(job.NewInstance(fleet.NewProcess("owner", 1), fleet.Location{}, resource.Vector{}, job.Alive), "", true)}
	for num := range tasks {
		id := fmt.Sprintf("agent-%04d", num)
		hint := job.NewInstance(fleet.NewProcess(fleet.InstanceID(id), 1), fleet.NewLocation("r", "d", "k"), resource.New(1000, 1000, 0), job.Alive)
		list = append(list, owner.NewMember(hint, id, false))
	}
	view, tab := owner.NewView(list), &storefake.Store{}
	bow := &benchOwner{table: tab}
	ports := owner.NewPorts(tab, &storefake.ObjectStore{Store: tab}, bow, settings{}).WithView(func() *owner.View { return view })
	own := owner.New(owner.NewConfig(fleet.NewPeer("owner", 1, "owner"), joblog.NewRows(tab, 1), "r", 1), ports, func(int) *job.SimplePlacement { return &job.SimplePlacement{} })
	bow.service = own.Service(b.Context())
	go own.Run(b.Context())
	for nums, _ := own.Owned(b.Context()); len(nums) == 0; nums, _ = own.Owned(b.Context()) {
		<-time.After(50 * time.Millisecond)
	}
	bow.claimed.Add(tasks)
	var rep message.JobReply
	spc := message.JobSpec{Key: "k", Workspace: "c", Kind: "watch", Tasks: tasks, Resources: message.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	if err := bow.service.Submit(message.SubmitArgs{Spec: spc}, &rep); err != nil || rep.Outcome != "answered" {
		b.Fatal(err, rep)
	}
	bow.claimed.Wait()
	lsn, err := net.Listen("tcp", "127.0.0.1:30871")
	if err != nil {
		b.Fatal(err)
	}
	srv := peer.NewServer()
	srv.Register("Owner", bow.service)
	go func() { _ = srv.Serve(b.Context(), lsn) }()
	return bow, lsn.Addr().String()
}

// meteredConn adds the bytes of a connection to counters that connections may share.
type meteredConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (mcn meteredConn) Read(buf []byte) (int, error) {
	num, err := mcn.Conn.Read(buf)
	mcn.received.Add(int64(num))
	return num, err
}

func (mcn meteredConn) Write(buf []byte) (int, error) {
	num, err := mcn.Conn.Write(buf)
	mcn.sent.Add(int64(num))
	return num, err
}

func cpuTime() time.Duration {
	var usg syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usg)
	return time.Duration(usg.Utime.Nano() + usg.Stime.Nano())
}

// BenchmarkRenew measures 340 agents that each renew one lease over their own
// connection, by list and by set. With burst=0 the calls follow each other without a
// pause. Otherwise they come in bursts of 1 or 68 at 68 calls per second, the rate of
// 340 agents that renew every 5 s, so that the results include the cost of wake-ups.
// The results include the work of the agents.
func BenchmarkRenew(b *testing.B) {
	const tasks, rate = 340, 68
	bow, addr := newBenchOwner(b, tasks)
	var sent, received atomic.Int64
	clients := make([]*rpc.Client, tasks)
	call := func(num int, set bool) message.RenewReply {
		ref := bow.refs[num]
		args := message.RenewArgs{Instance: bow.holders[num], Incarnation: 1, Tasks: []message.TaskStatus{{Ref: ref, ProgressPercent: 50, Usage: message.Resources{MilliCPU: 500, MemoryMB: 256}}}}
		if held := (lease.Set{}).With(ref.Job, ref.Index, token.New(ref.Token.Epoch, ref.Token.Sequence)); set {
			args.Tasks, args.HeldCount, args.HeldDigest = nil, 1, held.Digest()
		}
		var rep message.RenewReply
		if err := clients[num].Call("Owner.Renew", &args, &rep); err != nil {
			b.Error(err)
		}
		return rep
	}
	for num := range clients {
		con, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		clients[num] = rpc.NewClient(meteredConn{con, &sent, &received})
		call(num, false) // sends the gob type descriptions and makes the sets agree
	}
	for _, set := range []bool{false, true} {
		for _, burst := range []int{0, 1, rate} {
			b.Run(fmt.Sprintf("set=%t/burst=%d", set, burst), func(b *testing.B) {
				tkr := time.NewTicker(time.Second * time.Duration(max(burst, 1)) / rate)
				defer tkr.Stop()
				b.ReportAllocs()
				up, down, used, num := sent.Load(), received.Load(), cpuTime(), 0
				for b.Loop() {
					if burst > 0 {
						<-tkr.C
					}
					var calls sync.WaitGroup
					for range max(burst, 1) {
						pos := num % tasks
						calls.Go(func() {
							if rep := call(pos, set); len(rep.Granted) == 0 && !rep.Agreed {
								b.Error("lease not renewed: reply grants no lease and the sets do not agree")
							}
						})
						num++
					}
					calls.Wait()
				}
				b.ReportMetric(float64(sent.Load()-up)/float64(num), "B-received/call")
				b.ReportMetric(float64(received.Load()-down)/float64(num), "B-sent/call")
				b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(num), "µs-processor/call")
			})
		}
	}
}
