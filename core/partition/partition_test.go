package partition_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/fleet"
	"jacinthpost/core/partition"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestPartition(t *testing.T) {
	if err := proptest.Setup(2000, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "partition")
}

// register simulates the partition row in the store, which is written by compare-and-set on its version.
type register struct {
	obs partition.Observation
}

func (reg *register) commit(act partition.Action) bool {
	if act.Version() != reg.obs.Version() {
		return false
	}
	ver, epochVer := reg.obs.Version()+1, reg.obs.EpochVersion()
	if act.Kind() == partition.Acquire {
		epochVer = ver
	}
	reg.obs = partition.NewObservation(act.Row(), ver, epochVer)
	return true
}

// process is one candidate with its own clock, which may start at an offset and run fast or slow.
type process struct {
	own        *partition.Ownership
	offset     time.Duration
	drift      int64 // thousandths
	act        partition.Action
	applied    *partition.Observation // the row after a write that took effect and whose answer has not arrived yet
	unresolved []partition.Action     // writes whose answer was lost and that may still take effect
}

func (prc *process) clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(prc.offset + now + now*time.Duration(prc.drift)/1000)
}

// step lets one process act at a real time. The choice selects a fault or a voluntary step: 7 releases
// the partition if nothing else is due, 8 forfeits it, and finish describes the others.
func (prc *process) step(reg *register, now time.Duration, choice int) {
	local := prc.clock(now)
	if choice == 8 {
		prc.own.Forfeit()
		return
	}
	if prc.act.Kind() != partition.Idle {
		prc.finish(reg, local, choice)
		return
	}
	prc.own.Observe(local, reg.obs)
	act := prc.own.Decide(local, 0, 0)
	if choice == 7 && act.Kind() == partition.Idle {
		act = prc.own.BeginRelease(local)
	}
	if act.Kind() != partition.Lost {
		prc.act = act
	}
}

// finish determines the result of the pending write. By choice: 1 refuses it, 2 loses its answer, 3 loses
// its answer and delays the write itself, 5 to 7 apply it and delay its answer, 9 leaves it pending,
// and the others apply it or refuse it if the version has changed.
func (prc *process) finish(reg *register, local time.Time, choice int) {
	if prc.applied == nil && choice == 9 {
		return // the answer takes longer
	}
	pending := prc.act
	prc.act = partition.Action{}
	switch {
	case prc.applied != nil && choice == 2:
		prc.own.Resolve(local, reg.obs)
		prc.applied = nil
		return
	case prc.applied != nil:
		prc.own.Written(local, prc.applied.Version())
		prc.applied = nil
		return
	case choice >= 5 && choice <= 7:
		if reg.commit(pending) {
			obs := reg.obs
			prc.applied, prc.act = &obs, pending
			return
		}
	}
	switch choice {
	case 1:
		prc.own.Refused(local, nil)
	case 2:
		reg.commit(pending)
		prc.own.Resolve(local, reg.obs)
	case 3:
		prc.unresolved = append(prc.unresolved, pending)
		prc.own.Resolve(local, reg.obs)
	default:
		if reg.commit(pending) {
			prc.own.Written(local, reg.obs.Version())
		} else {
			prc.own.Refused(local, &reg.obs)
		}
	}
}

// timeSteps are steps of real time in milliseconds. The longest one lies between the end of a lease by a
// fast clock and its end by a slow one.
var timeSteps = []int{0, 0, 0, 1, 300, 1200, 5920}

var _ = Describe("ownership", func() {
	// Guards against two owners at the same real time when clocks drift, processes pause, writes are
	// delayed or the answers to writes are lost.
	It("has at most one owner at a time and an epoch that never decreases", func() {
		takeovers := 0
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			reg := &register{}
			var prcs []*process
			for idx := range 2 {
				self := fleet.NewPeer(fleet.InstanceID(rune('a'+idx)), 1, "")
				prcs = append(prcs, &process{own: partition.NewOwnership(self), offset: time.Duration(idx) * time.Hour,
					drift: rapid.SampledFrom([]int64{-4, 0, 4}).Draw(rt, "drift")})
			}
			now, epoch := time.Duration(0), uint64(0)
			for range rapid.IntRange(1, 200).Draw(rt, "steps") {
				now += time.Duration(rapid.SampledFrom(timeSteps).Draw(rt, "milliseconds")) * time.Millisecond
				prc := prcs[rapid.IntRange(0, 1).Draw(rt, "process")]
				choice := rapid.IntRange(0, 9).Draw(rt, "choice")
				if choice == 4 && len(prc.unresolved) > 0 {
					reg.commit(prc.unresolved[0])
					prc.unresolved = prc.unresolved[1:]
				}
				prc.step(reg, now, choice)
				if prc.own.Awaiting() != (prc.act.Kind() != partition.Idle) {
					rt.Fatalf("the result of %v would be taken for another write", prc.act.Kind())
				}
				if reg.obs.Row().Epoch() < epoch {
					rt.Fatalf("epoch fell from %d to %d", epoch, reg.obs.Row().Epoch())
				}
				if reg.obs.Row().Epoch() > epoch {
					takeovers++
				}
				epoch = reg.obs.Row().Epoch()
				if prcs[0].own.Owns(prcs[0].clock(now)) && prcs[1].own.Owns(prcs[1].clock(now)) {
					rt.Fatalf("2 owners at %v", now)
				}
			}
		})
		fmt.Printf("%d takeovers\n", takeovers)
		Expect(takeovers).To(BeNumerically(">", 300))
	})

	// Guards against a release after which the partition has no owner until the lease would have ended.
	It("is acquired immediately after a release", func() {
		reg, now := &register{}, time.Second
		one := &process{own: partition.NewOwnership(fleet.NewPeer("a", 1, ""))}
		two := &process{own: partition.NewOwnership(fleet.NewPeer("b", 1, ""))}
		for _, choice := range []int{0, 0, 7, 0} {
			one.step(reg, now, choice)
		}
		Expect(reg.obs.Row().Released()).To(BeTrue())
		two.step(reg, now, 0)
		two.step(reg, now, 0)
		Expect(two.own.Owns(two.clock(now))).To(BeTrue())
		Expect(one.own.Owns(one.clock(now))).To(BeFalse())
	})

	// Guards against an uneven distribution of partitions and against owners outside the store's region.
	It("distributes partitions evenly over the candidates in the store's region", func() {
		var cans []partition.Candidate
		for idx := range 20 {
			cans = append(cans, partition.NewCandidate(fleet.InstanceID(fmt.Sprintf("i%d", idx)), idx < 10))
		}
		owned := map[fleet.InstanceID]int{}
		for num := range 640 {
			for _, can := range cans {
				if partition.Rank(num, can, cans) == 0 {
					owned[can.Instance()]++
				}
			}
		}
		Expect(owned).To(HaveLen(10))
		for ins, num := range owned {
			Expect(num).To(BeNumerically("~", 64, 32), "partitions of %s", ins)
		}
	})
})
