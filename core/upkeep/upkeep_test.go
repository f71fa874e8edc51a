package upkeep_test

import (
	"fmt"
	"maps"
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

const upkeepDuration = 2 * time.Second

// fakePlatform simulates a platform with machines and drives a planner. Requests may be lost, refused
// or executed late, as answer decides.
type fakePlatform struct {
	now              time.Time
	planner          *upkeep.Planner
	ids              []upkeep.MachineID
	loads            map[string]upkeep.Load
	upkeepEnd        map[upkeep.MachineID]time.Time
	upkeeps          map[upkeep.MachineID]int
	delayed          map[upkeep.MachineID]time.Time // when a delayed request is executed
	maxDown          int
	wave             upkeep.Wave
	stored           upkeep.Stored
	reportedComplete bool
	latestComplete   bool // as in the latest change
	answer           func(req upkeep.Request) (carriedOut bool, after time.Duration, out upkeep.RequestOutcome)
}

func newFakePlatform(num, limit int) *fakePlatform {
	fak := &fakePlatform{
		now: start, planner: &upkeep.Planner{}, loads: make(map[string]upkeep.Load), upkeepEnd: make(map[upkeep.MachineID]time.Time),
		upkeeps: make(map[upkeep.MachineID]int), delayed: make(map[upkeep.MachineID]time.Time),
		answer: func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return true, 0, upkeep.Confirmed },
	}
	for idx := range num {
		fak.ids = append(fak.ids, upkeep.MachineID(fmt.Sprintf("m%d", idx)))
	}
	fak.wave = upkeep.NewWave(1, fak.ids, limit, time.Minute)
	fak.planner.SetWaves([]upkeep.Wave{fak.wave}, fak.now)
	fak.planner.Restore(nil, fak.now)
	return fak
}

func worker(id upkeep.MachineID) string { return "w-" + string(id) }

// Load implements upkeep.LoadSource.
func (fak *fakePlatform) Load(wrk string) upkeep.Load { return fak.loads[wrk] }

func (fak *fakePlatform) down() int {
	num := 0
	for _, end := range fak.upkeepEnd {
		if fak.now.Before(end) {
			num++
		}
	}
	return num
}

func (fak *fakePlatform) takeDown(id upkeep.MachineID) {
	if fak.upkeeps[id] > 0 {
		return
	}
	fak.upkeeps[id]++
	fak.upkeepEnd[id] = fak.now.Add(upkeepDuration)
	fak.maxDown = max(fak.maxDown, fak.down())
}

func (fak *fakePlatform) list() {
	var macs []upkeep.Machine
	for _, id := range fak.ids {
		sta := upkeep.Up
		if fak.now.Before(fak.upkeepEnd[id]) {
			sta = upkeep.InUpkeep
		}
		macs = append(macs, upkeep.NewMachine(id, worker(id), sta))
	}
	fak.planner.UpdateMachines(macs, fak.now)
}

// step simulates 100 ms: it executes delayed requests, lists the machines, moves tasks away from
// draining workers, plans, stores the changes and makes the requests.
func (fak *fakePlatform) step() {
	fak.now = fak.now.Add(100 * time.Millisecond)
	for id, at := range fak.delayed {
		if !fak.now.Before(at) {
			delete(fak.delayed, id)
			fak.takeDown(id)
		}
	}
	fak.list()
	for wrk := range fak.planner.Draining(fak, fak.now) {
		lod := fak.loads[wrk]
		fak.loads[wrk] = upkeep.Load{LongRunning: max(0, lod.LongRunning-1), Short: max(0, lod.Short-1)}
	}
	fak.planner.Plan(fak, fak.now)
	fak.store()
	for _, req := range fak.planner.Requests(fak.now) {
		carriedOut, after, out := fak.answer(req)
		switch {
		case carriedOut && after > 0:
			fak.delayed[req.Machine] = fak.now.Add(after)
		case carriedOut:
			fak.takeDown(req.Machine)
		}
		fak.planner.RequestEnded(req, out, fak.now)
	}
}

// store stores the changes of the planner.
func (fak *fakePlatform) store() {
	chgs := fak.planner.TakeChanges()
	for _, chg := range chgs {
		fak.stored = chg.Stored
		fak.reportedComplete, fak.latestComplete = fak.reportedComplete || chg.Complete, chg.Complete
	}
	fak.planner.ChangesStored(chgs)
}

func (fak *fakePlatform) advance(dur time.Duration) {
	for end := fak.now.Add(dur); fak.now.Before(end); {
		fak.step()
	}
}

// takeover replaces the planner by one that is restored from the stored progress. If storedFirst is set,
// the new owner stores its changes between getting the waves and reading the progress, as it does when
// the read is slow.
func (fak *fakePlatform) takeover(storedFirst bool) {
	fak.planner = &upkeep.Planner{}
	fak.planner.SetWaves([]upkeep.Wave{fak.wave}, fak.now)
	if storedFirst {
		fak.store()
	}
	fak.planner.Restore(map[int]upkeep.Stored{1: fak.stored}, fak.now)
}

// expectInvariants checks that the limit was kept, that no machine had two upkeeps, and that the wave
// was not reported as complete too early.
func (fak *fakePlatform) expectInvariants(gom Gomega) {
	gom.Expect(fak.maxDown).To(BeNumerically("<=", fak.wave.Limit()), "machines down at once")
	for _, id := range fak.ids {
		gom.Expect(fak.upkeeps[id]).To(BeNumerically("<=", 1))
		if fak.reportedComplete {
			gom.Expect(fak.upkeeps[id]).To(Equal(1), "%s has had no upkeep, but the wave was reported as complete", id)
		}
	}
}

var _ = Describe("Planner", func() {
	// Guards against waves that never complete and against more machines down than allowed.
	It("takes every machine down once, within the limit", func() {
		fak := newFakePlatform(5, 2)
		fak.advance(15 * time.Second)
		Expect(fak.reportedComplete).To(BeTrue())
		Expect(fak.maxDown).To(Equal(2))
		fak.expectInvariants(Default)
	})

	// Guards against stopping long-running tasks that could have moved away.
	It("waits until long-running tasks have moved away", func() {
		fak := newFakePlatform(1, 1)
		fak.loads[worker("m0")] = upkeep.Load{LongRunning: 30}
		fak.advance(2 * time.Second)
		Expect(fak.upkeeps).To(BeEmpty())
		fak.advance(4 * time.Second)
		Expect(fak.upkeeps).To(HaveLen(1))
	})

	// Guards against a wave that waits forever for short tasks that do not end.
	It("waits for short tasks for some seconds only", func() {
		fak := newFakePlatform(1, 1)
		fak.loads[worker("m0")] = upkeep.Load{Short: 1000}
		fak.advance(4 * time.Second)
		Expect(fak.upkeeps).To(BeEmpty())
		fak.advance(4 * time.Second)
		Expect(fak.upkeeps).To(HaveLen(1))
	})

	// Guards against a worker that keeps draining, and so has no work, while its machine is refused.
	It("returns a refused machine to normal use between requests", func() {
		fak := newFakePlatform(1, 1)
		fak.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return false, 0, upkeep.Refused }
		idle := 0
		for range 600 {
			fak.step()
			if len(fak.planner.Draining(fak, fak.now)) > 0 {
				idle++
			}
		}
		Expect(idle).To(BeNumerically("<", 60))
		Expect(fak.reportedComplete).To(BeFalse())
	})

	// Guards against too many machines down when a request is executed after its answer was lost.
	It("counts a machine as down after a request without an answer", func() {
		fak := newFakePlatform(3, 1)
		first := true
		fak.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) {
			if first {
				first = false
				return true, 8 * time.Second, upkeep.Unknown
			}
			return false, 0, upkeep.Refused
		}
		fak.advance(7 * time.Second)
		fak.takeover(false)
		fak.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) { return true, 0, upkeep.Confirmed }
		fak.advance(30 * time.Second)
		Expect(fak.reportedComplete).To(BeTrue())
		fak.expectInvariants(Default)
	})

	// Guards against a new owner that replaces the stored progress of a wave before it has read it. It would
	// take down a further machine while the one that the former owner asked for may still go down.
	It("keeps the stored progress when a new owner reads it late", func() {
		fak := newFakePlatform(2, 1)
		fak.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) {
			return true, 8 * time.Second, upkeep.Unknown
		}
		fak.step()
		fak.step()
		Expect(fak.stored.Progress).To(HaveLen(1))
		asked := maps.Clone(fak.stored.Progress)
		fak.takeover(true)
		Expect(fak.stored.Progress).To(Equal(asked))
	})

	// Guards against a wave that is shown to the operators as running after it was complete, and against one
	// that is never reported because the owner was replaced between the store and the report.
	It("reports a complete wave as complete after a takeover", func() {
		fak := newFakePlatform(2, 2)
		fak.advance(5 * time.Second)
		Expect(fak.latestComplete).To(BeTrue())
		fak.takeover(false)
		chgs := fak.planner.TakeChanges()
		Expect(chgs).To(HaveExactElements(HaveField("Complete", true)))
	})

	// Guards against a wave that misses its time limit because each new owner waits for short tasks again.
	It("does not wait for short tasks again after a takeover in the second half of the time limit", func() {
		fak := newFakePlatform(2, 1)
		fak.loads[worker("m0")] = upkeep.Load{LongRunning: 1000}
		fak.loads[worker("m1")] = upkeep.Load{LongRunning: 1000}
		fak.advance(31 * time.Second)
		Expect(fak.upkeeps).To(BeEmpty())
		fak.takeover(false)
		fak.loads[worker("m0")] = upkeep.Load{Short: 1000}
		fak.loads[worker("m1")] = upkeep.Load{Short: 1000}
		fak.advance(time.Second)
		Expect(fak.upkeeps).To(HaveLen(1))
	})

	// Guards against a wave that waits for a machine that no longer exists.
	It("completes without a machine that is gone, but waits for one that returns", func() {
		fak := newFakePlatform(2, 1)
		all := fak.ids
		fak.ids = all[:1]
		fak.advance(300 * time.Millisecond)
		fak.ids = all
		fak.advance(10 * time.Second)
		Expect(fak.reportedComplete).To(BeTrue())
		fak.expectInvariants(Default)
	})
})

// TestRandomWaves draws lost, late, refused and confirmed requests and takeovers at any time. It
// guards against more machines down than allowed and against a wave that is reported as complete too
// early.
func TestRandomWaves(t *testing.T) {
	if err := proptest.Setup(400, 12); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rpt *rapid.T) {
		fak := newFakePlatform(rapid.IntRange(1, 6).Draw(rpt, "machines"), rapid.IntRange(1, 3).Draw(rpt, "limit"))
		fak.answer = func(upkeep.Request) (bool, time.Duration, upkeep.RequestOutcome) {
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
			fak.advance(time.Duration(rapid.IntRange(1, 40).Draw(rpt, "turns")) * 100 * time.Millisecond)
			fak.expectInvariants(gom)
			if rapid.Bool().Draw(rpt, "takeover") {
				fak.takeover(rapid.Bool().Draw(rpt, "changes stored before the progress is read"))
			}
		}
	})
}
