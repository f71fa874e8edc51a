package guard_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/intake"
	"jacinthpost/core/interfere"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
	"jacinthpost/internal/specs"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/guard"
	"jacinthpost/io/serve"
)

var suite *testing.T

func TestGuard(t *testing.T) {
	suite = t
	specs.Run(t, "guard")
}

// site allows all requests and starts.
type site struct{}

func (site) RequestsAllowed(fleet.Service, time.Time) (outcome.Outcome, bool) {
	return outcome.Outcome{}, true
}
func (site) Limits(fleet.Service, fleet.Workspace) admit.Limits { return admit.Limits{} }
func (site) StartsAllowed(time.Time) (outcome.Outcome, bool)    { return outcome.Outcome{}, true }
func (site) Partition(string) int                               { return 0 }
func (site) Owner(int) (string, bool)                           { return "", false }

// host records the throttle and stop orders that it gets.
type host struct {
	speedPercents []int
	stops         []runner.Stop
}

func (hst *host) Perform(_ *agentstate.State, efs []runner.Effect) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case runner.Throttle:
			hst.speedPercents = append(hst.speedPercents, eff.Percent())
		case runner.Stop:
			hst.stops = append(hst.stops, eff)
		}
	}
}

// instance is the state of an agent with an endpoint and a worker, and its guard.
type instance struct {
	now   time.Time
	state *agentstate.State
	host  *host
	guard *guard.Guard[*interfere.Controller]
	ref   worker.Ref
}

func newInstance() *instance {
	ins := newInstanceWithoutEndpoint()
	ins.announce("service")
	return ins
}

func newInstanceWithoutEndpoint() *instance {
	ins := &instance{now: time.Unix(1_000_000, 0), host: &host{}, ref: worker.NewRef("job", 0, token.New(1, 1))}
	ins.state = agentstate.New(site{}, ledger.NewCapacity(25), intake.DefaultOptions())
	ins.guard = guard.New(nil, ins.host, interfere.NewController, zap.NewNop())
	ins.report()
	return ins
}

func (ins *instance) announce(svc fleet.Service) {
	ins.state.Intake().RecordAnnouncement(admit.NewAnnouncement(svc, "address", 1).WithCapacity(8, 64, resource.Vector{}), ins.now)
}

// report applies a worker report with the running tasks.
func (ins *instance) report(tasks ...worker.TaskReport) {
	rep := worker.NewReport(1, worker.Instant(ins.now.UnixNano()), resource.New(16_000, 16_000, 0)).WithTasks(tasks)
	ins.state.Runner().ApplyReport(rep, ins.now, ins.now)
}

// noisyTask returns the report of a task that uses a third of the processors for tasks, has
// reserved 1000 MB and uses memoryMB.
func (ins *instance) noisyTask(memoryMB int64) worker.TaskReport {
	return ins.task(ins.ref, "noisy", 1000, memoryMB)
}

// task returns the report of a running task that uses 4 processors and the given memory.
func (ins *instance) task(ref worker.Ref, cls fleet.JobClass, reservedMB, usedMB int64) worker.TaskReport {
	return worker.NewTaskReport(ref, worker.Running).WithClass(cls).
		WithResources(resource.New(4000, reservedMB, 0), resource.New(4000, usedMB, 0)).
		WithDeadline(worker.Instant(ins.now.Add(time.Hour).UnixNano()))
}

// serve observes 50 requests in each period and calls Decide at its end. The latency is 5 ms times
// (1 + slowdown) while the task runs at full speed, with a spread of 9%, and falls with its speed.
func (ins *instance) serve(periods int, slowdown float64) {
	for range periods {
		speed := 100
		if num := len(ins.host.speedPercents); num > 0 {
			speed = ins.host.speedPercents[num-1]
		}
		latency := time.Duration(5e6 * (1 + slowdown*float64(speed)/100))
		for num := range 50 {
			took := latency + latency*time.Duration(num%10)/100
			ins.guard.Observe(serve.NewSample("service", false, time.Millisecond, took+time.Millisecond, outcome.Answered()))
		}
		ins.now = ins.now.Add(guard.Period)
		ins.guard.Decide(ins.state, ins.now)
	}
}

var _ = Describe("Guard", func() {
	// Guards against throttle decisions that do not reach the worker.
	It("throttles a noisy task and repeats the order", func() {
		ins := newInstance()
		ins.serve(10, 0)
		Expect(ins.host.speedPercents).To(BeEmpty())
		ins.report(ins.noisyTask(1000))
		ins.serve(8, 9)
		Expect(ins.host.speedPercents).To(ContainElement(10), "it keeps a tenth of its speed")
		Expect(ins.host.stops).To(BeEmpty())
		before := len(ins.host.speedPercents)
		ins.serve(24, 9)
		Expect(len(ins.host.speedPercents)).To(BeNumerically(">", before), "a lost order is repeated")
	})

	// Guards against an eviction without a checkpoint, and against the eviction of a task that uses
	// only free memory or stays within its reservation.
	It("evicts a task that uses memory reserved by others, with a checkpoint", func() {
		ins := newInstance()
		neighbour := worker.NewRef("neighbour", 0, token.New(1, 1))
		quiet := ins.task(neighbour, "quiet", 6000, 4000)
		ins.report(ins.noisyTask(1000), quiet)
		ins.serve(4, 0)
		ins.report(ins.noisyTask(6000), quiet)
		ins.serve(4, 0)
		Expect(ins.host.stops).To(BeEmpty())
		ins.report(ins.noisyTask(7900), quiet)
		ins.serve(4, 0)
		Expect(ins.host.stops).To(HaveLen(1))
		Expect(ins.host.stops[0].Ref()).To(Equal(ins.ref))
		Expect(ins.host.stops[0].Checkpoint()).To(BeTrue())
	})

	// Guards against a task that keeps the speed that an earlier agent process has ordered, because the order
	// for full speed was lost.
	It("repeats the order for full speed until the worker has confirmed it", func() {
		ins := newInstance()
		ins.report(ins.noisyTask(1000))
		ins.serve(1, 0)
		Expect(ins.host.speedPercents).To(HaveExactElements(100))
		ins.serve(24, 0)
		Expect(ins.host.speedPercents).To(HaveExactElements(100, 100))
		ins.state.Runner().Throttled(ins.ref, 100)
		ins.serve(60, 0)
		Expect(ins.host.speedPercents).To(HaveLen(2))
	})

	// Guards against tasks that keep the speed that an earlier agent process has ordered, because the endpoint
	// they were throttled for has gone, and against a guard that ignores them when an endpoint comes.
	It("removes throttles when there is no endpoint", func() {
		ins := newInstanceWithoutEndpoint()
		ins.report(ins.noisyTask(1000))
		ins.serve(1, 0)
		Expect(ins.host.speedPercents).To(HaveExactElements(100))
		ins.state.Runner().Throttled(ins.ref, 100)
		ins.serve(60, 0)
		Expect(ins.host.speedPercents).To(HaveLen(1))
		ins.announce("service")
		ins.serve(10, 0)
		ins.report(ins.noisyTask(1000))
		ins.serve(16, 9)
		Expect(ins.host.speedPercents).To(ContainElement(10))
	})

	// Guards against a task that stays throttled after the controller that throttled it was replaced.
	It("removes throttles when the service changes", func() {
		ins := newInstance()
		ins.serve(10, 0)
		ins.report(ins.noisyTask(1000))
		ins.serve(8, 9)
		Expect(ins.host.speedPercents).To(ContainElement(10))
		ins.host.speedPercents = nil
		ins.announce("other")
		ins.serve(1, 9)
		Expect(ins.host.speedPercents).To(HaveExactElements(100))
	})
})
