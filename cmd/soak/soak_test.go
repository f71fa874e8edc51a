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
	shortSoak  = 6 * time.Second
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
		res, err := soak(ctx, options{binary: binary, folder: dir, seed: seed, length: shortSoak, agents: 3, entries: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.faults).To(BeEmpty())
		Expect(res.accepted).To(BeNumerically(">", 0))
		Expect(res.injected).To(BeNumerically(">", 0))
	},
		Entry("seed 1", uint64(1)),
	)
})

var _ = Describe("The monitor", func() {
	var mon *monitor
	BeforeEach(func() { mon = newMonitor() })
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
})
