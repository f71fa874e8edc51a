package upkeep_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/upkeep"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestUpkeep(t *testing.T) { specs.Run(t, "upkeep") }

var start = time.UnixMilli(1_700_000_000_000)

const maintenance = 2 * time.Second

// pool is a platform with machines, whose requests may be lost, refused or carried out late.
type pool struct {
	now     time.Time
	planner *upkeep.Planner
	ids     []upkeep.MachineID
	runs    map[string]upkeep.Load
	until   map[upkeep.MachineID]time.Time // end of the upkeep
	done    map[upkeep.MachineID]int
	late    map[upkeep.MachineID]time.Time // a request is carried out then
	most    int
	wave    upkeep.Wave
	stored  upkeep.Progress
	told    bool // the wave was said to be complete
	answer  func(req upkeep.Request) (carriedOut bool, after time.Duration, ver upkeep.RequestOutcome)
}

func newPool(num, limit int) *pool {
	pol := &pool{
		now: start, planner: &upkeep.Planner{}, runs: make(map[string]upkeep.Load), until: make(map[upkeep.MachineID]time.Time),
		done: make(map[upkeep.MachineID]int), late: make(map[upkeep.MachineID]time.Time),
		answer: func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return true, 0, upkeep.Confirmed },
	}
	for idx := range num {
		pol.ids = append(pol.ids, upkeep.MachineID(fmt.Sprintf("m%d", idx)))
	}
	pol.wave = upkeep.NewWave(1, pol.ids, limit, time.Minute)
	pol.planner.SetWaves([]upkeep.Wave{pol.wave}, pol.now)
	return pol
}

func worker(id upkeep.MachineID) string { return "w-" + string(id) }

// Load implements upkeep.Site.
func (pol *pool) Load(wrk string) upkeep.Load { return pol.runs[wrk] }

func (pol *pool) down() int {
	num := 0
	for _, end := range pol.until {
		if pol.now.Before(end) {
			num++
		}
	}
	return num
}

func (pol *pool) takeDown(id upkeep.MachineID) {
	if pol.done[id] > 0 {
		return
	}
	pol.done[id]++
	pol.until[id] = pol.now.Add(maintenance)
	pol.most = max(pol.most, pol.down())
}

func (pol *pool) list() {
	var macs []upkeep.Machine
	for _, id := range pol.ids {
		sta := upkeep.Up
		if pol.now.Before(pol.until[id]) {
			sta = upkeep.InUpkeep
		}
		macs = append(macs, upkeep.NewMachine(id, worker(id), sta))
	}
	pol.planner.UpdateMachines(macs, pol.now)
}

// turn plays a moment: late requests, a list, the plan, storing, requests.
func (pol *pool) turn() {
	pol.now = pol.now.Add(100 * time.Millisecond)
	for id, at := range pol.late {
		if !pol.now.Before(at) {
			delete(pol.late, id)
			pol.takeDown(id)
		}
	}
	pol.list()
	for wrk := range pol.planner.Draining(pol, pol.now) {
		lod := pol.runs[wrk]
		pol.runs[wrk] = upkeep.Load{Lasting: max(0, lod.Lasting-1), Short: max(0, lod.Short-1)}
	}
	pol.planner.Plan(pol, pol.now)
	chgs := pol.planner.TakeChanges()
	for _, chg := range chgs {
		pol.stored = chg.Progress
		pol.told = pol.told || chg.Complete
	}
	pol.planner.ChangesStored(chgs)
	for _, req := range pol.planner.Requests(pol.now) {
		carriedOut, after, ver := pol.answer(req)
		switch {
		case carriedOut && after > 0:
			pol.late[req.Machine] = pol.now.Add(after)
		case carriedOut:
			pol.takeDown(req.Machine)
		}
		pol.planner.RequestEnded(req, ver, pol.now)
	}
}

func (pol *pool) turns(dur time.Duration) {
	for end := pol.now.Add(dur); pol.now.Before(end); {
		pol.turn()
	}
}

// takeover replaces the planner by one that knows what was stored.
func (pol *pool) takeover() {
	pol.planner = &upkeep.Planner{}
	pol.planner.SetWaves([]upkeep.Wave{pol.wave}, pol.now)
	pol.planner.Restore(1, pol.stored, pol.now)
}

// expectKept checks what always holds: the limit, one upkeep a machine, and no early end.
func (pol *pool) expectKept(gom Gomega) {
	gom.Expect(pol.most).To(BeNumerically("<=", pol.wave.Limit()), "machines down at once")
	for _, id := range pol.ids {
		gom.Expect(pol.done[id]).To(BeNumerically("<=", 1))
		if pol.told {
			gom.Expect(pol.done[id]).To(Equal(1), "%s has had no upkeep, but the wave was said to be complete", id)
		}
	}
}

var _ = Describe("Planner", func() {
	// Guards against waves that never end, and against more machines down than allowed.
	It("takes every machine down once, within the limit", func() {
		pol := newPool(5, 2)
		pol.turns(15 * time.Second)
		Expect(pol.told).To(BeTrue())
		Expect(pol.most).To(Equal(2))
		pol.expectKept(Default)
	})

	// Guards against work that is cut off although it could have moved away.
	It("waits until lasting tasks have moved away", func() {
		pol := newPool(1, 1)
		pol.runs[worker("m0")] = upkeep.Load{Lasting: 30}
		pol.turns(2 * time.Second)
		Expect(pol.done).To(BeEmpty())
		pol.turns(4 * time.Second)
		Expect(pol.done).To(HaveLen(1))
	})

	// Guards against a wave that waits for ever for tasks that don't end.
	It("gives short tasks some seconds only", func() {
		pol := newPool(1, 1)
		pol.runs[worker("m0")] = upkeep.Load{Short: 1000}
		pol.turns(4 * time.Second)
		Expect(pol.done).To(BeEmpty())
		pol.turns(4 * time.Second)
		Expect(pol.done).To(HaveLen(1))
	})

	// Guards against a worker that stays without work because its machine is refused.
	It("lets a refused machine work in between", func() {
		pol := newPool(1, 1)
		pol.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return false, 0, upkeep.Refused }
		idle := 0
		for range 600 {
			pol.turn()
			if len(pol.planner.Draining(pol, pol.now)) > 0 {
				idle++
			}
		}
		Expect(idle).To(BeNumerically("<", 60))
		Expect(pol.told).To(BeFalse())
	})

	// Guards against a machine beyond the limit when a request takes effect after its answer was lost.
	It("counts a request without an answer as a machine that is down", func() {
		pol := newPool(3, 1)
		first := true
		pol.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) {
			if first {
				first = false
				return true, 8 * time.Second, upkeep.Unknown
			}
			return false, 0, upkeep.Refused
		}
		pol.turns(7 * time.Second)
		pol.takeover()
		pol.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return true, 0, upkeep.Confirmed }
		pol.turns(30 * time.Second)
		Expect(pol.told).To(BeTrue())
		pol.expectKept(Default)
	})

	// Guards against a wave that waits for a machine that is not there any more.
	It("completes without a machine that is gone, and waits for one that comes back", func() {
		pol := newPool(2, 1)
		all := pol.ids
		pol.ids = all[:1]
		pol.turns(300 * time.Millisecond)
		pol.ids = all
		pol.turns(10 * time.Second)
		Expect(pol.told).To(BeTrue())
		pol.expectKept(Default)
	})
})

// TestRandomWaves plays lost, late, refused and confirmed requests with takeovers at any
// moment. It guards against more machines down than allowed and against a wave that is said
// to be complete too early.
func TestRandomWaves(t *testing.T) {
	if err := proptest.Setup(400, 12); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rpt *rapid.T) {
		pol := newPool(rapid.IntRange(1, 6).Draw(rpt, "machines"), rapid.IntRange(1, 3).Draw(rpt, "limit"))
		pol.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) {
			switch rapid.IntRange(0, 5).Draw(rpt, "answer") {
			case 0:
				return false, 0, upkeep.Refused
			case 1:
				return false, 0, upkeep.Unknown
			case 2:
				return true, time.Duration(rapid.IntRange(2, 12).Draw(rpt, "late")) * time.Second, upkeep.Unknown
			case 3:
				return true, 0, upkeep.Unknown
			default:
				return true, 0, upkeep.Confirmed
			}
		}
		gom := NewGomega(func(msg string, _ ...int) { rpt.Fatal(msg) })
		for range rapid.IntRange(1, 12).Draw(rpt, "parts") {
			pol.turns(time.Duration(rapid.IntRange(1, 40).Draw(rpt, "turns")) * 100 * time.Millisecond)
			pol.expectKept(gom)
			if rapid.Bool().Draw(rpt, "takeover") {
				pol.takeover()
			}
		}
	})
}
