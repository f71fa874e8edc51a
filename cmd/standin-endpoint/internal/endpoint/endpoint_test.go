package endpoint_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/cmd/standin-endpoint/internal/endpoint"
	"jacinthpost/cmd/standin-endpoint/internal/tasks"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	core "jacinthpost/core/worker"
	"jacinthpost/internal/specs"
	client "jacinthpost/io/endpoint"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/worker"
	"jacinthpost/io/worker/workerapi"
)

func TestEndpoint(t *testing.T) {
	specs.Run(t, "endpoint")
}

// instance is a running stand-in and its address.
type instance struct {
	*endpoint.Server
	addr   string
	client *worker.Client
}

func startInstance(inc fleet.Incarnation) instance {
	srv := endpoint.New(endpoint.NewConfig("one", "booking", tasks.NewConfig(inc, resource.New(4000, 8000, 1))).
		WithLimits(2, 4).
		WithServiceTime(5 * time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go srv.Run(ctx)
	web := httptest.NewServer(srv)
	DeferCleanup(web.Close)
	addr := strings.TrimPrefix(web.URL, "http://")
	cli := worker.New(addr)
	DeferCleanup(cli.Close)
	return instance{Server: srv, addr: addr, client: cli}
}

// get reads a JSON answer.
func get[T any](addr, path string) T {
	GinkgoHelper()
	rsp, err := http.Get("http://" + addr + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = rsp.Body.Close() }()
	var msg T
	Expect(json.NewDecoder(rsp.Body).Decode(&msg)).To(Succeed())
	return msg
}

func setFaults(addr string, flt tasks.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(flt)
	Expect(err).NotTo(HaveOccurred())
	rsp, err := http.Post("http://"+addr+"/faults", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(rsp.Body.Close()).To(Succeed())
}

func ref(sequence uint64) core.Ref { return core.NewRef("job", 0, token.New(1, sequence)) }

// order returns an order whose lease begins at the worker's clock.
func order(ctx context.Context, ins instance, rfr core.Ref, lease time.Duration, payload string) core.StartOrder {
	GinkgoHelper()
	rep, err := ins.client.State(ctx)
	Expect(err).NotTo(HaveOccurred())
	return core.NewStartOrder(rfr, rep.Incarnation(), rep.Clock().Add(lease)).
		WithClass("build", "class").
		WithResources(resource.New(1000, 2000, 1)).
		WithPayload([]byte(payload), "work:100")
}

func expectState(ctx context.Context, ins instance, rfr core.Ref, want core.State) core.TaskReport {
	GinkgoHelper()
	var found core.TaskReport
	Eventually(func() core.State {
		rep, err := ins.client.State(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, tsk := range rep.Tasks() {
			if tsk.Ref() == rfr {
				found = tsk
				return tsk.State()
			}
		}
		return core.NotStarted
	}).Within(3 * time.Second).Should(Equal(want))
	return found
}

const longWork = `{"workMillis":60000}`

var _ = Describe("worker client", func() {
	// Guards against a field that is lost between the port and the worker.
	It("carries a task from start to finish", func(ctx SpecContext) {
		ins := startInstance(1)
		res, err := ins.client.Start(ctx, order(ctx, ins, ref(1), time.Minute, `{"workMillis":200}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Started()).To(BeTrue())
		Expect(expectState(ctx, ins, ref(1), core.Running).Resources()).To(Equal(resource.New(1000, 2000, 1)))
		rep := expectState(ctx, ins, ref(1), core.Finished)
		Expect(string(rep.Result())).To(ContainSubstring(`"workMillis":200`))
		Expect(rep.Class()).To(Equal(fleet.JobClass("class")))
		Expect(rep.Progress()).To(Equal(100))
		Expect(ins.client.Forget(ctx, ref(1))).To(Succeed())
		expectState(ctx, ins, ref(1), core.NotStarted)
		Expect(get[endpoint.Peak](ins.addr, "/peak").Resources).To(Equal(workerapi.Resources{MilliCPU: 1000, MemoryMB: 2000, Accelerators: 1}))
		history := get[[]endpoint.HistoryEntry](ins.addr, endpoint.HistoryPath)
		Expect(history).To(HaveLen(1))
		Expect(history[0].StoppedUnixMillis - history[0].StartedUnixMillis).To(BeNumerically("~", 100, 5))
	})

	// Guards against a worker that needs a call to notice the end of a lease:
	// nothing asks it until long after the deadline.
	It("ends a lease without being asked, unless it is renewed", func(ctx SpecContext) {
		ins := startInstance(1)
		ord := order(ctx, ins, ref(1), 100*time.Millisecond, longWork)
		_, err := ins.client.Start(ctx, ord)
		Expect(err).NotTo(HaveOccurred())
		renewed, err := ins.client.Renew(ctx, []core.Lease{core.NewLease(ref(1), ord.Deadline().Add(100*time.Millisecond))})
		Expect(err).NotTo(HaveOccurred())
		Expect(renewed).To(Equal([]core.Ref{ref(1)}))
		expectState(ctx, ins, ref(1), core.Expired)
		ent := get[[]endpoint.HistoryEntry](ins.addr, endpoint.HistoryPath)[0]
		Expect(ent.StoppedUnixMillis - ent.StartedUnixMillis).To(BeNumerically("<=", 200))
	})

	// Guards against a start that arrives late: delayed on the way, behind a
	// newer assignment or a stop, or at the next process of the worker.
	DescribeTable("has a late start refused",
		func(ctx SpecContext, lease time.Duration, prepare func(context.Context, instance), want core.Refusal) {
			ins := startInstance(1)
			ord := order(ctx, ins, ref(2), lease, longWork)
			prepare(ctx, ins)
			res, err := ins.client.Start(ctx, ord)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Refusal()).To(Equal(want))
			Expect(res.Detail()).NotTo(BeEmpty())
		},
		Entry("after its deadline", time.Duration(0), func(context.Context, instance) {}, core.RefusedDeadline),
		Entry("after its stop", time.Minute, func(ctx context.Context, ins instance) {
			rep, err := ins.client.Stop(ctx, ref(2), true)
			Expect(err).NotTo(HaveOccurred())
			Expect(rep.State()).To(Equal(core.NotStarted))
		}, core.RefusedToken),
		Entry("behind a higher token", time.Minute, func(ctx context.Context, ins instance) {
			_, err := ins.client.Start(ctx, order(ctx, ins, ref(3), time.Minute, longWork))
			Expect(err).NotTo(HaveOccurred())
		}, core.RefusedToken),
	)

	It("has a start refused that was for the former process of a worker", func(ctx SpecContext) {
		before := startInstance(1)
		ord := order(ctx, before, ref(1), time.Minute, longWork)
		res, err := startInstance(2).client.Start(ctx, ord)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Refusal()).To(Equal(core.RefusedIncarnation))
	})

	// Guards against a lost answer taken for a refusal: the repetition must find the task started.
	It("reports a lost answer as uncertain and may repeat the call", func(ctx SpecContext) {
		ins := startInstance(1)
		ord := order(ctx, ins, ref(1), time.Minute, longWork)
		setFaults(ins.addr, tasks.Faults{LoseAnswerPercent: 100})
		_, err := ins.client.Start(ctx, ord)
		Expect(err).To(MatchError(core.ErrUncertain))
		setFaults(ins.addr, tasks.Faults{})
		res, err := ins.client.Start(ctx, ord)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Started()).To(BeTrue())
		Expect(get[[]endpoint.HistoryEntry](ins.addr, endpoint.HistoryPath)).To(HaveLen(1))
		rep, err := ins.client.Stop(ctx, ref(1), true)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.State()).To(Equal(core.Checkpointed))
		Expect(rep.Checkpoint()).To(HavePrefix("work:"))
	})

	// Guards against a call without end when the worker is paused.
	It("times out on a frozen worker", func(ctx SpecContext) {
		ins := startInstance(1)
		setFaults(ins.addr, tasks.Faults{FreezeMillis: 500})
		cli := worker.New(ins.addr, httpcall.WithTimeout(50*time.Millisecond))
		_, err := cli.State(ctx)
		Expect(err).To(MatchError(core.ErrUnavailable))
		Expect(cli.Throttle(ctx, ref(1), 50)).To(MatchError(core.ErrUncertain))
	})
})

var _ = Describe("service requests", func() {
	// Guards against a double that cannot tell a repeated execution.
	It("are echoed and counted by request ID", func(ctx SpecContext) {
		ins := startInstance(1)
		cli := client.New(ins.addr)
		for _, reqID := range []string{"a", "b", "a"} {
			ans, out := cli.Serve(ctx, client.NewRequest(reqID, []byte("text of "+reqID)))
			Expect(out).To(Equal(outcome.Answered()))
			var echo endpoint.Echo
			Expect(json.Unmarshal(ans.Body(), &echo)).To(Succeed())
			Expect(echo).To(Equal(endpoint.Echo{RequestID: reqID, Body: "text of " + reqID, Instance: "one", ServiceMicros: 5000}))
		}
		Expect(get[endpoint.Executions](ins.addr, "/executions?requestID=a").Executions).To(Equal(2))
		Expect(get[endpoint.Executions](ins.addr, "/executions")).To(Equal(endpoint.Executions{Executions: 3, Repeated: 1}))
	})

	// Guards against a spec that believes its requests are quick when they are not.
	DescribeTable("take the time set last",
		func(ctx SpecContext, body string, status int, want int64) {
			ins := startInstance(1)
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+ins.addr+endpoint.ServiceTimePath, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			rsp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(rsp.Body.Close()).To(Succeed())
			Expect(rsp.StatusCode).To(Equal(status))
			ans, _ := client.New(ins.addr).Serve(ctx, client.NewRequest("a", nil))
			var echo endpoint.Echo
			Expect(json.Unmarshal(ans.Body(), &echo)).To(Succeed())
			Expect(echo.ServiceMicros).To(Equal(want))
		},
		Entry("from a whole message", `{"micros":700}`, http.StatusOK, int64(700)),
		Entry("not from an empty one", `{}`, http.StatusBadRequest, int64(5000)),
		Entry("not from a negative time", `{"micros":-1}`, http.StatusBadRequest, int64(5000)),
	)

	// Guards against a noisy task that leaves the service time as it is.
	It("slow down beside a noisy task and beyond the slots", func(ctx SpecContext) {
		ins := startInstance(1)
		cli := client.New(ins.addr)
		quiet := duration(ctx, cli)
		_, err := ins.client.Start(ctx, order(ctx, ins, ref(1), 2*time.Second, `{"neverFinishes":true,"noisy":true}`).
			WithResources(resource.New(16_000, 0, 0)))
		Expect(err).NotTo(HaveOccurred())
		Expect(duration(ctx, cli)).To(BeNumerically(">", quiet+25*time.Millisecond))
		Eventually(func() time.Duration { return duration(ctx, cli) }).Within(6*time.Second).
			Should(BeNumerically("<", quiet+25*time.Millisecond), "the task ended and nothing asked the worker")
		Eventually(func() int { return peakOf(ctx, ins, cli, 6) }).Within(6 * time.Second).Should(Equal(6))
	})
})

// peakOf sends a number of requests at once and returns the largest number that the
// endpoint has ever served at the same time. Beside other load the requests of one
// call may not overlap, so that the caller repeats it; the number is never exceeded.
func peakOf(ctx context.Context, ins instance, cli *client.Client, count int) int {
	var grp sync.WaitGroup
	for range count {
		grp.Go(func() { cli.Serve(ctx, client.NewRequest("many", nil)) })
	}
	grp.Wait()
	return get[endpoint.Peak](ins.addr, "/peak").ConcurrentRequests
}

// duration returns the shortest of three calls, which is the least disturbed by other load.
func duration(ctx context.Context, cli *client.Client) time.Duration {
	shortest := time.Hour
	for range 3 {
		begin := time.Now()
		_, out := cli.Serve(ctx, client.NewRequest("timed", nil))
		Expect(out).To(Equal(outcome.Answered()))
		shortest = min(shortest, time.Since(begin))
	}
	return shortest
}

// Guards against an endpoint that exits before its agent has drained it.
var _ = It("announces itself and leaves once the agent is drained", func(ctx SpecContext) {
	ins := startInstance(7)
	seen := make(chan workerapi.Announcement, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		var msg workerapi.Announcement
		Expect(req.Method + req.URL.Path).To(Equal("PUT" + workerapi.AnnouncementPath))
		Expect(json.NewDecoder(req.Body).Decode(&msg)).To(Succeed())
		drained := msg.State == workerapi.EndpointLeaving && len(seen) >= 2
		seen <- msg
		_ = json.NewEncoder(rsp).Encode(workerapi.AnnouncementReply{Drained: drained})
	}))
	DeferCleanup(agent.Close)
	addr := strings.TrimPrefix(agent.URL, "http://")
	ready, stop := context.WithCancel(ctx)
	go ins.Announce(ready, addr, ins.addr)
	Eventually(seen).Within(5 * time.Second).Should(HaveLen(1))
	stop()
	Expect(ins.Leave(ctx, addr, ins.addr)).To(BeTrue())
	Expect(seen).To(HaveLen(3))
	Expect(<-seen).To(Equal(workerapi.Announcement{
		Service: "booking", Address: ins.addr, Incarnation: 7, State: workerapi.EndpointReady, Slots: 2, Connections: 4,
		Capacity: workerapi.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1},
	}))
	Expect((<-seen).State).To(Equal(workerapi.EndpointLeaving))
	Expect(ins.Peak().LeavingSinceUnixMillis).NotTo(BeZero())
})
