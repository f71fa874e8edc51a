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

// register is the row in the store: versions and compare-and-set.
type register struct {
	sgt partition.Observation
}

func (reg *register) commit(act partition.Action) bool {
	if act.Version() != reg.sgt.Version() {
		return false
	}
	ver, epochVer := reg.sgt.Version()+1, reg.sgt.EpochVersion()
	if act.Kind() == partition.Acquire {
		epochVer = ver
	}
	reg.sgt = partition.NewObservation(act.Row(), ver, epochVer)
	return true
}

// process is one candidate with its own clock, which runs up to one percent fast or slow.
type process struct {
	own    *partition.Ownership
	offset time.Duration
	drift  int64 // thousandths
	act    partition.Action
	early  *partition.Observation // the row after a write that took effect before its answer arrives
	loose  []partition.Action     // writes whose answer was lost and that may still take effect
}

func (prc *process) clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(prc.offset + now + now*time.Duration(prc.drift)/1000)
}

// step lets one process act at a real time with the given choice of faults.
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
	prc.own.Observe(local, reg.sgt)
	act := prc.own.Decide(local, 0, 0)
	if choice == 7 && act.Kind() == partition.Idle {
		act = prc.own.BeginRelease(local)
	}
	if act.Kind() != partition.Lost {
		prc.act = act
	}
}

// finish ends the pending write: applied, refused, its answer lost, or delayed.
func (prc *process) finish(reg *register, local time.Time, choice int) {
	if prc.early == nil && choice == 9 {
		return // the answer takes longer
	}
	pending := prc.act
	prc.act = partition.Action{}
	switch {
	case prc.early != nil && choice == 2:
		prc.own.Resolve(local, reg.sgt)
		prc.early = nil
		return
	case prc.early != nil:
		prc.own.Written(local, prc.early.Version())
		prc.early = nil
		return
	case choice >= 5 && choice <= 7:
		if reg.commit(pending) {
			sgt := reg.sgt
			prc.early, prc.act = &sgt, pending
			return
		}
	}
	switch choice {
	case 1:
		prc.own.Refused(local, nil)
	case 2:
		reg.commit(pending)
		prc.own.Resolve(local, reg.sgt)
	case 3:
		prc.loose = append(prc.loose, pending)
		prc.own.Resolve(local, reg.sgt)
	default:
		if reg.commit(pending) {
			prc.own.Written(local, reg.sgt.Version())
		} else {
			prc.own.Refused(local, &reg.sgt)
		}
	}
}

// jumps are steps of real time in milliseconds. The long one falls between the
// lease end by a fast clock and by a slow one.
var jumps = []int{0, 0, 0, 1, 300, 1200, 5920}

var _ = Describe("ownership", func() {
	// Guards against two owners at the same real time when clocks drift, processes
	// pause, writes are delayed and their answers are lost.
	It("has one owner at a time and a growing epoch", func() {
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
				now += time.Duration(rapid.SampledFrom(jumps).Draw(rt, "milliseconds")) * time.Millisecond
				prc := prcs[rapid.IntRange(0, 1).Draw(rt, "process")]
				choice := rapid.IntRange(0, 9).Draw(rt, "choice")
				if choice == 4 && len(prc.loose) > 0 {
					reg.commit(prc.loose[0])
					prc.loose = prc.loose[1:]
				}
				prc.step(reg, now, choice)
				if prc.own.Awaiting() != (prc.act.Kind() != partition.Idle) {
					rt.Fatalf("the result of %v would be taken for another write", prc.act.Kind())
				}
				if reg.sgt.Row().Epoch() < epoch {
					rt.Fatalf("epoch fell from %d to %d", epoch, reg.sgt.Row().Epoch())
				}
				if reg.sgt.Row().Epoch() > epoch {
					takeovers++
				}
				epoch = reg.sgt.Row().Epoch()
				if prcs[0].own.Owns(prcs[0].clock(now)) && prcs[1].own.Owns(prcs[1].clock(now)) {
					rt.Fatalf("2 owners at %v", now)
				}
			}
		})
		fmt.Printf("%d takeovers\n", takeovers)
		Expect(takeovers).To(BeNumerically(">", 300))
	})

	// Guards against a planned stop that leaves the partition without an owner for a lease time.
	It("is taken over at once after a release", func() {
		reg, now := &register{}, time.Second
		one := &process{own: partition.NewOwnership(fleet.NewPeer("a", 1, ""))}
		two := &process{own: partition.NewOwnership(fleet.NewPeer("b", 1, ""))}
		for _, choice := range []int{0, 0, 7, 0} {
			one.step(reg, now, choice)
		}
		Expect(reg.sgt.Row().Released()).To(BeTrue())
		two.step(reg, now, 0)
		two.step(reg, now, 0)
		Expect(two.own.Owns(two.clock(now))).To(BeTrue())
		Expect(one.own.Owns(one.clock(now))).To(BeFalse())
	})

	// Guards against partitions that pile up on one process or far from the store.
	It("spreads partitions over the candidates near the store", func() {
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
