package interfere_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
)

func TestInterfere(t *testing.T) {
	specs.Run(t, "interfere")
}

var capacity = resource.New(16_000, 64_000, 0)

// requestRate is the usual number of requests a second.
const requestRate = 40

// fakeInstance simulates a service of known latency and tasks that slow it down by known amounts.
type fakeInstance struct {
	con     *interfere.Controller
	rnd     *rand.Rand
	now     time.Time
	noise   map[string]float64 // slowdown by the whole instance, by task
	percent map[string]int
	factor  float64 // latency that no task explains
	rate    int     // requests a second
	actions map[interfere.Kind]int
	evicted explain.Reason // of the latest eviction
}

func newFakeInstance() *fakeInstance {
	return &fakeInstance{
		con: interfere.NewController(capacity, interfere.NewService("svc", 0)), rate: requestRate,
		rnd: rand.New(rand.NewPCG(1, 1)), now: time.Unix(0, 0), factor: 1,
		noise: make(map[string]float64), percent: make(map[string]int), actions: make(map[interfere.Kind]int),
	}
}

func (fin *fakeInstance) start(id string, cls fleet.JobClass, noise float64) {
	fin.noise[id] = noise
	fin.con.Started(interfere.NewTask(id, cls, resource.New(4_000, 1_000, 0)), fin.now)
}

// slowdown returns the true slowdown of the service by the tasks.
func (fin *fakeInstance) slowdown() float64 {
	sum := 0.0
	for id, noise := range fin.noise {
		sum += noise / 4 * float64(100-fin.percent[id]) / 100
	}
	return sum
}

// run simulates a number of seconds and carries out the actions of the guard.
func (fin *fakeInstance) run(seconds int) {
	for range 2 * seconds {
		fin.now = fin.now.Add(500 * time.Millisecond)
		for range fin.rate / 2 {
			latency := 5e6 * fin.factor * math.Exp(0.35*fin.rnd.NormFloat64()) * (1 + fin.slowdown()*fin.rnd.ExpFloat64())
			fin.con.ObserveLatency("svc", time.Duration(latency))
		}
		for _, act := range fin.con.Decide(fin.now) {
			fin.actions[act.Kind()]++
			switch act.Kind() {
			case interfere.Throttle:
				fin.percent[act.Task()] = act.Percent()
			case interfere.Checkpoint:
				fin.con.Checkpointed(act.Task(), fin.now)
			case interfere.Evict:
				fin.evicted = act.Reason()
				delete(fin.noise, act.Task())
				fin.con.Ended(act.Task())
			}
		}
	}
}

// Guards against throttling the quiet task instead of the noisy one, and against a slow service.
var _ = It("throttles the noisy class and not the quiet one", func() {
	fin := newFakeInstance()
	fin.run(60)
	fin.start("quiet", "quiet", 0.02)
	fin.start("noisy", "noisy", 2)
	fin.run(120)
	Expect(fin.percent["noisy"]).To(BeNumerically(">=", 60))
	Expect(fin.percent["quiet"]).To(BeNumerically("<=", 20))
	Expect(fin.slowdown()).To(BeNumerically("<", 0.13))
	Expect(fin.actions[interfere.Evict]).To(BeZero())
	fin.noise["noisy"] = 0.01
	fin.run(900)
	Expect(fin.percent["noisy"]).To(BeNumerically("<", 60), "a class that has become quiet is released")
})

// Guards against tasks next to a service without requests that are throttled to a tenth of their
// processors until their leases end, because of an assumed cost. Also guards against a service that
// is not protected when its requests begin.
var _ = It("throttles for an idle service only when its requests begin", func() {
	fin := newFakeInstance()
	for _, id := range []string{"a", "b", "c", "d"} {
		fin.start(id, "unknown", 2)
	}
	fin.rate = 0
	fin.run(15)
	Expect(fin.actions[interfere.Throttle]).To(BeZero())
	fin.rate = requestRate
	fin.run(1)
	Expect(fin.slowdown()).To(BeNumerically("<", 1.2), "four tasks at full speed slow it down by 2")
})

// Guards against many evictions when several noisy tasks start at once, and against evictions
// without a checkpoint.
var _ = It("throttles noisy tasks that start at once and evicts few of them", func() {
	fin := newFakeInstance()
	fin.run(60)
	for _, id := range []string{"a", "b", "c", "d"} {
		fin.start(id, "noisy", 3)
	}
	fin.run(60)
	Expect(fin.actions[interfere.Evict]).To(BeNumerically("<=", 1))
	Expect(fin.actions[interfere.Evict]).To(BeNumerically("<=", fin.actions[interfere.Checkpoint]))
	Expect(fin.slowdown()).To(BeNumerically("<", 0.35))
})

// Guards against evicting tasks for a slowdown that they don't cause.
var _ = It("adapts the baseline to a change of the load and evicts no task", func() {
	fin := newFakeInstance()
	fin.run(60)
	fin.start("quiet", "quiet", 0.01)
	fin.run(60)
	fin.factor = 1.5
	fin.run(300)
	Expect(fin.actions[interfere.Evict]).To(BeZero())
	Expect(fin.con.Explain("svc")).NotTo(BeEmpty())
	fin.run(300)
	Expect(fin.percent["quiet"]).To(BeNumerically("<=", 20), "the new latency is the baseline")
})

// Guards against using up the memory of an instance because a task exceeds its reservation.
var _ = It("evicts the task that exceeds its memory reservation, after a checkpoint", func() {
	fin := newFakeInstance()
	fin.start("fits", "c", 0)
	fin.start("grows", "c", 0)
	fin.con.ObserveUsage("fits", resource.New(1_000, 1_000, 0), fin.now)
	fin.con.ObserveUsage("grows", resource.New(1_000, 62_000, 0), fin.now)
	fin.run(2)
	Expect(fin.noise).To(HaveKey("fits"))
	Expect(fin.noise).NotTo(HaveKey("grows"))
	Expect(fin.actions[interfere.Checkpoint]).To(Equal(1))
})

// Guards against pairings that count as known after too little evidence, and against estimates that
// don't follow a change.
var _ = It("learns a pairing from evidence and follows a change", func() {
	var prs interfere.Pairings
	now := time.Unix(0, 0)
	observe := func(cost float64, count int) interfere.Estimate {
		for range count {
			now = now.Add(5 * time.Second)
			prs.Observe("svc", "c", cost, 1, now)
		}
		return prs.Find("svc", "c").Estimate()
	}
	Expect(observe(0.5, 2).Known()).To(BeFalse())
	est := observe(0.5, 20)
	Expect(est.Known()).To(BeTrue())
	Expect(est.Cost()).To(BeNumerically("~", 0.5, 0.1))
	Expect(observe(2, 20).Cost()).To(BeNumerically("~", 2, 0.3))
})
