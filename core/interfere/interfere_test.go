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

// load is one instance with tasks of known noise and a service of known latency.
type load struct {
	con     *interfere.Controller
	rnd     *rand.Rand
	now     time.Time
	noise   map[string]float64 // slowdown by the whole instance, by task
	percent map[string]int
	factor  float64 // latency that no task explains
	rate    int     // requests a second
	kinds   map[interfere.Kind]int
	evicted explain.Reason // of the latest eviction
}

func newLoad() *load {
	return &load{
		con: interfere.NewController(capacity, interfere.NewService("svc", 0)), rate: requestRate,
		rnd: rand.New(rand.NewPCG(1, 1)), now: time.Unix(0, 0), factor: 1,
		noise: make(map[string]float64), percent: make(map[string]int), kinds: make(map[interfere.Kind]int),
	}
}

func (lod *load) start(id string, cls fleet.JobClass, noise float64) {
	lod.noise[id] = noise
	lod.con.Started(interfere.NewTask(id, cls, resource.New(4_000, 1_000, 0)), lod.now)
}

// slowdown returns the present true slowdown of the service by the tasks.
func (lod *load) slowdown() float64 {
	sum := 0.0
	for id, noise := range lod.noise {
		sum += noise / 4 * float64(100-lod.percent[id]) / 100
	}
	return sum
}

// run advances by whole seconds and carries out the actions.
func (lod *load) run(seconds int) {
	for range 2 * seconds {
		lod.now = lod.now.Add(500 * time.Millisecond)
		for range lod.rate / 2 {
			latency := 5e6 * lod.factor * math.Exp(0.35*lod.rnd.NormFloat64()) * (1 + lod.slowdown()*lod.rnd.ExpFloat64())
			lod.con.ObserveLatency("svc", time.Duration(latency))
		}
		for _, act := range lod.con.Decide(lod.now) {
			lod.kinds[act.Kind()]++
			switch act.Kind() {
			case interfere.Throttle:
				lod.percent[act.Task()] = act.Percent()
			case interfere.Checkpoint:
				lod.con.Checkpointed(act.Task(), lod.now)
			case interfere.Evict:
				lod.evicted = act.Reason()
				delete(lod.noise, act.Task())
				lod.con.Ended(act.Task())
			}
		}
	}
}

// Guards against throttling the quiet task instead of the noisy one, and against a slow service.
var _ = It("throttles the class that hurts and leaves the other alone", func() {
	lod := newLoad()
	lod.run(60)
	lod.start("quiet", "quiet", 0.02)
	lod.start("noisy", "noisy", 2)
	lod.run(120)
	Expect(lod.percent["noisy"]).To(BeNumerically(">=", 60))
	Expect(lod.percent["quiet"]).To(BeNumerically("<=", 20))
	Expect(lod.slowdown()).To(BeNumerically("<", 0.13))
	Expect(lod.kinds[interfere.Evict]).To(BeZero())
	lod.noise["noisy"] = 0.01
	lod.run(900)
	Expect(lod.percent["noisy"]).To(BeNumerically("<", 60), "a class that has become quiet is released")
})

// Guards against tasks that get a tenth of their processors for the whole of
// their leases because of a cost that was only assumed, beside a service without
// requests, and against a service that is not protected once requests come.
var _ = It("throttles for an idle service only when its requests begin", func() {
	lod := newLoad()
	for _, id := range []string{"a", "b", "c", "d"} {
		lod.start(id, "unknown", 2)
	}
	lod.rate = 0
	lod.run(15)
	Expect(lod.kinds[interfere.Throttle]).To(BeZero())
	lod.rate = requestRate
	lod.run(1)
	Expect(lod.slowdown()).To(BeNumerically("<", 1.2), "four tasks at full speed slow it down by 2")
})

// Guards against a wave of evictions when noisy tasks arrive together, and
// against evictions without checkpoint.
var _ = It("answers a wave of noisy tasks with throttling and rare evictions", func() {
	lod := newLoad()
	lod.run(60)
	for _, id := range []string{"a", "b", "c", "d"} {
		lod.start(id, "noisy", 3)
	}
	lod.run(60)
	Expect(lod.kinds[interfere.Evict]).To(BeNumerically("<=", 1))
	Expect(lod.kinds[interfere.Evict]).To(BeNumerically("<=", lod.kinds[interfere.Checkpoint]))
	Expect(lod.slowdown()).To(BeNumerically("<", 0.35))
})

// Guards against evicting tasks for a slowdown that they don't cause.
var _ = It("follows a shift of the load without evicting", func() {
	lod := newLoad()
	lod.run(60)
	lod.start("quiet", "quiet", 0.01)
	lod.run(60)
	lod.factor = 1.5
	lod.run(300)
	Expect(lod.kinds[interfere.Evict]).To(BeZero())
	Expect(lod.con.Explain("svc")).NotTo(BeEmpty())
	lod.run(300)
	Expect(lod.percent["quiet"]).To(BeNumerically("<=", 20), "the new latency is the baseline")
})

// Guards against memory that runs out because a task outgrew its reservation.
var _ = It("evicts the task that outgrew its memory, after a checkpoint", func() {
	lod := newLoad()
	lod.start("fits", "c", 0)
	lod.start("grows", "c", 0)
	lod.con.ObserveUsage("fits", resource.New(1_000, 1_000, 0), lod.now)
	lod.con.ObserveUsage("grows", resource.New(1_000, 62_000, 0), lod.now)
	lod.run(2)
	Expect(lod.noise).To(HaveKey("fits"))
	Expect(lod.noise).NotTo(HaveKey("grows"))
	Expect(lod.kinds[interfere.Checkpoint]).To(Equal(1))
})

// Guards against pairings that are believed too early, or for ever.
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
