package serve_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admit"
	"jacinthpost/core/intake"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/agentstate/sitefake"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
	"jacinthpost/io/serve"
)

func TestServe(t *testing.T) {
	specs.Run(t, "serve")
}

// endpoint echoes the body of a request. Calls block until the channel gate is closed.
type endpoint struct {
	gate  chan struct{}
	out   outcome.Outcome
	calls atomic.Int64
	done  atomic.Int64
}

func (end *endpoint) Call(ctx context.Context, req serve.Request) (int, []byte, outcome.Outcome) {
	end.calls.Add(1)
	defer end.done.Add(1)
	select {
	case <-end.gate:
		return http.StatusOK, req.Body(), end.out
	case <-ctx.Done():
		return 0, nil, outcome.Unknown(outcome.ReasonTimeout, "")
	}
}

// agent is a service on a running loop whose endpoint has two slots.
type agent struct {
	*serve.Service
	end *endpoint
	ctx context.Context
}

func newAgent(ctx context.Context, open bool) *agent {
	end := &endpoint{gate: make(chan struct{}), out: outcome.Answered()}
	if open {
		close(end.gate)
	}
	sta := agentstate.New(sitefake.Site{}, ledger.NewCapacity(ledger.DefaultReservePercent), intake.DefaultOptions())
	sta.Ledger().MarkReady(resource.New(8000, 8000, 0))
	sta.Intake().RecordAnnouncement(admit.NewAnnouncement("svc", "addr", 1).WithCapacity(2, 64, resource.Vector{}), time.Now().Add(time.Hour))
	lop := control.NewLoop(sta, 1024, nil)
	go lop.Run(ctx)
	svc := serve.New(ctx, lop, end, 7, nil)
	go svc.Run(ctx)
	return &agent{Service: svc, end: end, ctx: ctx}
}

func startAgent(open bool) *agent {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	return newAgent(ctx, open)
}

func serveArgs(counter int, timeout time.Duration) message.ServeArgs {
	return message.ServeArgs{
		RequestID: fmt.Sprintf("entry/1/%d", counter), Service: "svc", Workspace: "cus",
		Body: fmt.Append(nil, "body-", counter), RemainingMillis: timeout.Milliseconds(),
	}
}

func (agt *agent) serve(counter int, timeout time.Duration) message.ServeReply {
	var rep message.ServeReply
	if err := agt.Serve(serveArgs(counter, timeout), &rep); err != nil {
		panic(err)
	}
	return rep
}

func (agt *agent) resolve(counter int, inc uint64) message.ResolveReply {
	var rep message.ResolveReply
	Expect(agt.Resolve(message.ResolveArgs{RequestID: fmt.Sprintf("entry/1/%d", counter), Incarnation: inc}, &rep)).To(Succeed())
	return rep
}

// Guards against answers that reach the wrong caller when many callers share a connection.
var _ = It("gives every caller over one connection its own answer", func() {
	agt := startAgent(true)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	srv, poo := peer.NewServer(), peer.NewPool("test")
	DeferCleanup(poo.Close)
	srv.Register("Agent", agt.Service)
	go func() { _ = srv.Serve(agt.ctx, lsn) }()
	var grp sync.WaitGroup
	var wrongReplies atomic.Int64
	for num := 1; num <= 200; num++ {
		grp.Go(func() {
			var rep message.ServeReply
			arg := serveArgs(num, 10*time.Second)
			err := poo.Call(agt.ctx, lsn.Addr().String(), "Agent.Serve", &arg, &rep)
			if err != nil || rep.RequestID != arg.RequestID || string(rep.Body) != string(arg.Body) || rep.BodyLength != len(arg.Body) || rep.Incarnation != 7 {
				wrongReplies.Add(1)
			}
		})
	}
	grp.Wait()
	Expect(wrongReplies.Load()).To(BeZero())
	Expect(agt.end.calls.Load()).To(Equal(int64(200)))
})

// Guards against a second run of a request that is delivered several times.
var _ = It("runs a request once however often it is delivered", func() {
	agt := startAgent(false)
	var grp sync.WaitGroup
	for range 50 {
		grp.Go(func() { agt.serve(1, 5*time.Second) })
	}
	Eventually(agt.end.calls.Load).Should(Equal(int64(1)))
	Expect(agt.resolve(1, 7).State).To(Equal(message.ResolvedRunning))
	close(agt.end.gate)
	grp.Wait()
	Expect(agt.serve(1, time.Second).Body).To(BeEquivalentTo("body-1"), "the answer is kept")
	Expect(agt.end.calls.Load()).To(Equal(int64(1)))
})

// Guards against a wrong outcome, reason or resolved state; each entry is one way in which a request
// can end.
var _ = DescribeTable("a request",
	func(prepare func(agt *agent), open bool, kind outcome.Kind, reason outcome.Reason, calls int, resolved string) {
		agt := startAgent(open)
		prepare(agt)
		before := agt.end.calls.Load()
		rep := agt.serve(9, 100*time.Millisecond)
		Expect([]string{rep.Outcome, rep.Reason}).To(Equal([]string{kind.String(), string(reason)}))
		Expect(agt.end.calls.Load() - before).To(BeEquivalentTo(calls))
		Expect(agt.resolve(9, 7).State).To(Equal(resolved))
		Expect(agt.resolve(9, 6).State).To(Equal(message.ResolvedUnknown), "of another agent process")
	},
	Entry("is answered", func(*agent) {}, true, outcome.KindAnswered, outcome.Reason(""), 1, message.ResolvedAnswered),
	Entry("is refused by the endpoint", func(agt *agent) { agt.end.out = outcome.NotRun(outcome.ReasonEndpointRefused, "") },
		true, outcome.KindNotRun, outcome.ReasonEndpointRefused, 1, message.ResolvedNotRun),
	Entry("gets no answer in time", func(*agent) {}, false, outcome.KindUnknown, outcome.ReasonTimeout, 1, message.ResolvedRunning),
	Entry("gets no slot in time", func(agt *agent) {
		for num := range 2 {
			go agt.serve(num+1, 10*time.Second)
		}
		Eventually(agt.end.calls.Load).Should(Equal(int64(2)))
	}, false, outcome.KindNotRun, outcome.ReasonDeadline, 0, message.ResolvedNotRun),
	Entry("was fenced", func(agt *agent) { Expect(agt.resolve(9, 7).State).To(Equal(message.ResolvedNotRun)) },
		true, outcome.KindNotRun, outcome.ReasonFenced, 0, message.ResolvedNotRun),
	Entry("comes after the drain", func(agt *agent) { Expect(agt.Drain(agt.ctx)).To(Succeed()) },
		true, outcome.KindNotRun, outcome.ReasonLeaving, 0, message.ResolvedNotRun),
)

// Guards against a slot that is freed while the endpoint still runs the request, and against the loss
// of a late answer.
var _ = It("keeps a late answer for Resolve", func() {
	agt := startAgent(false)
	Expect(agt.serve(1, 20*time.Millisecond).Outcome).To(Equal("unknown"))
	Expect(agt.resolve(1, 7).State).To(Equal(message.ResolvedRunning))
	close(agt.end.gate)
	Eventually(func() string { return agt.resolve(1, 7).State }).Should(Equal(message.ResolvedAnswered))
	Expect(string(agt.resolve(1, 7).Answer.Body)).To(Equal("body-1"))
})

// Guards against a drain that interrupts requests, and against one that outlasts its context.
var _ = It("drains without interrupting a request, until its context ends", func() {
	agt := startAgent(false)
	replies := make(chan message.ServeReply, 4)
	for num := range 4 { // two run, two are queued
		go func() { replies <- agt.serve(num+1, 10*time.Second) }()
	}
	Eventually(agt.end.calls.Load).Should(Equal(int64(2)))
	short, cancel := context.WithTimeout(agt.ctx, 20*time.Millisecond)
	defer cancel()
	Expect(agt.Drain(short)).To(MatchError(context.DeadlineExceeded))
	drained := make(chan error, 1)
	go func() { drained <- agt.Drain(agt.ctx) }()
	Consistently(drained, "50ms").ShouldNot(Receive())
	close(agt.end.gate)
	Eventually(drained).Should(Receive(BeNil()))
	for range 4 {
		Expect((<-replies).Outcome).To(Equal("answered"))
	}
})

// Guards against incomplete or unknown content of announcements that is accepted.
var _ = DescribeTable("an announcement",
	func(body string, status int, reply string) {
		agt, rec := startAgent(true), httptest.NewRecorder()
		agt.Announcements().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, "/v1/endpoint", strings.NewReader(body)))
		Expect(rec.Code).To(Equal(status))
		if reply != "" {
			Expect(rec.Body).To(MatchJSON(reply))
		}
	},
	Entry("is accepted", announcementJSON("ready", 2, ""), 200, `{"accepted":true,"drained":false}`),
	Entry("of a leaving endpoint without work", announcementJSON("leaving", 2, ""), 200, `{"accepted":true,"drained":true}`),
	Entry("with an unknown field", announcementJSON("ready", 2, `,"slotz":1`), 400, ""),
	Entry("with an unknown state", announcementJSON("gone", 2, ""), 400, ""),
	Entry("without slots", announcementJSON("ready", 0, ""), 400, ""),
	Entry("followed by more", announcementJSON("ready", 2, "")+"{}", 400, ""),
	Entry("cut short", announcementJSON("ready", 2, "")[:40], 400, ""),
	Entry("too long", strings.Repeat(" ", 5000)+announcementJSON("ready", 2, ""), 400, ""),
)

func announcementJSON(state string, slots int, more string) string {
	return fmt.Sprintf(`{"service":"svc","address":"127.0.0.1:80","incarnation":2,"state":%q,"slots":%d,"connections":4,`+
		`"capacity":{"milliCPU":1000,"memoryMB":100,"accelerators":0}%s}`, state, slots, more)
}

// BenchmarkServe measures events per second through the control loop; a request posts two.
func BenchmarkServe(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	agt := newAgent(ctx, true)
	var counter atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			agt.serve(int(counter.Add(1)), time.Minute)
		}
	})
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
