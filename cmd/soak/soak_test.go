package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/specs"
)

func TestSoak(t *testing.T) { specs.Run(t, "soak") }

const (
	shortSoak  = 15 * time.Second
	buildLimit = 3 * time.Minute
)

var _ = Describe("The soak", func() {
	// A short run, so that the soak itself stays in order. Seeds that failed once are entries
	// here with the cause; longer runs are made by hand.
	DescribeTable("finds every promise kept", func(seed uint64) {
		dir := GinkgoT().TempDir()
		ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
		defer cancel()
		binary := filepath.Join(dir, "jacinthpost")
		out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "jacinthpost/cmd/jacinthpost").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		res, err := soak(ctx, options{binary: binary, folder: dir, seed: seed, length: shortSoak, agents: 4, entries: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.faults).To(BeEmpty())
		Expect(res.accepted).To(BeNumerically(">", 0))
		Expect(res.injected).To(BeNumerically(">", 0))
	},
		Entry("seed 1", uint64(1)),
		// A restarted worker executed starts that were meant for its former life, and their tasks ran again.
		Entry("seed 243", uint64(243)),
		// A worker restarted unnoticed, and a request that waited for ends made it forget them.
		Entry("seed 32030", uint64(32030)),
	)
})

var _ = Describe("The monitor", func() {
	var mon *monitor
	var now time.Time
	BeforeEach(func() {
		mon, now = newMonitor(), time.UnixMilli(1_700_000_000_000)
		mon.clock = func() time.Time { return now }
	})
	expectFaults := func(num int) {
		GinkgoHelper()
		_, faults := mon.result()
		Expect(faults).To(HaveLen(num))
	}

	It("finds two runs of a task at one time", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.Started("b", "j.0.0.0", 2)
		expectFaults(1)
	})

	It("finds a start after the end was noted", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.Ended("a", "j.0.0.0", 1, "done")
		mon.Noted("a", "j.0.0.0", 1, "done")
		mon.Started("b", "j.0.0.0", 2)
		expectFaults(1)
	})

	It("accepts a run after one that failed or was given up", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.Ended("a", "j.0.0.0", 1, "lapsed")
		mon.Noted("a", "j.0.0.0", 1, "lapsed")
		mon.Started("b", "j.0.0.0", 2)
		expectFaults(0)
	})

	// expectFaultsAfter expects a number of faults after a check at a later time.
	expectFaultsAfter := func(dur time.Duration, num int) {
		GinkgoHelper()
		now = now.Add(dur)
		mon.checkAllStopped()
		expectFaults(num)
	}

	It("finds a run that goes on after the end of its job, once", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.Started("a", "k.0.0.0", 1)
		mon.jobEnded("j")
		expectFaultsAfter(stopLimit, 0)
		expectFaultsAfter(time.Millisecond, 1)
		expectFaultsAfter(time.Second, 1)
	})

	It("counts from the first answer that showed the end of the job", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.jobEnded("j")
		now = now.Add(stopLimit)
		mon.jobEnded("j")
		expectFaultsAfter(time.Millisecond, 1)
	})

	It("finds a run that went on between two checks", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.jobEnded("j")
		now = now.Add(stopLimit + time.Millisecond)
		mon.Ended("a", "j.0.0.0", 1, "done")
		expectFaults(1)
	})

	It("finds a run that begins long after the end of its job", func() {
		mon.jobEnded("j")
		now = now.Add(stopLimit + time.Millisecond)
		mon.Started("a", "j.0.0.0", 1)
		expectFaultsAfter(0, 1)
	})

	It("accepts a run that ends in time", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.jobEnded("j")
		now = now.Add(stopLimit)
		mon.Ended("a", "j.0.0.0", 1, "stopped")
		expectFaultsAfter(time.Minute, 0)
	})

	It("accepts a run that goes on during faults and until leases have expired", func() {
		mon.Started("a", "j.0.0.0", 1)
		mon.jobEnded("j")
		mon.faultBegins()
		mon.faultBegins()
		expectFaultsAfter(time.Minute, 0)
		mon.faultEnds()
		expectFaultsAfter(time.Minute, 0)
		mon.faultEnds()
		expectFaultsAfter(leaseLimit+stopLimit, 0)
		expectFaultsAfter(time.Millisecond, 1)
	})
})
