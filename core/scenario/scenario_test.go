package scenario_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/interfere"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
	"jacinthpost/core/scenario"
	"jacinthpost/internal/specs"
)

func TestScenario(t *testing.T) {
	specs.Run(t, "scenario")
}

func controller(room resource.Vector, svc interfere.Service) *interfere.Controller {
	return interfere.NewController(room, svc)
}

func newRunner(cfg scenario.Config, seed uint64) *scenario.Runner[place.Scored, *interfere.Controller] {
	return scenario.New(cfg, place.Scored{}, controller, seed)
}

// Guards against overcommitted workers, tasks that run twice, lost tasks and starts in a data centre
// during its outage.
var _ = DescribeTable("keeps the invariants in every step",
	func(cfg scenario.Config, seed uint64) {
		run := newRunner(cfg, seed)
		for run.Step() {
			Expect(run.Violations()).To(BeEmpty())
		}
	},
	Entry("sen-vang, outage of a data centre", scenario.SenVang().WithTimes(14*time.Minute, 6*time.Minute, 9*time.Minute), uint64(1)),
	Entry("sen-vang, another seed", scenario.SenVang().WithTimes(14*time.Minute, 5*time.Minute, 12*time.Minute), uint64(2)),
	Entry("bayou-paddle with a wave of maintenance tasks", scenario.BayouPaddle().WithTimes(18*time.Minute, 0, 0), uint64(3)),
)

// Guards against decisions that depend on the order of maps or on anything else than the seed.
var _ = It("makes the same decisions for the same seed and others for another seed", func() {
	cfg := scenario.SenVang().WithTimes(8*time.Minute, 4*time.Minute, 6*time.Minute)
	first, second, other := newRunner(cfg, 1).Run(), newRunner(cfg, 1).Run(), newRunner(cfg, 2).Run()
	Expect(first.Hash()).To(Equal(second.Hash()))
	Expect(first.Hash()).NotTo(Equal(other.Hash()))
	Expect(first.Starts()).To(BeNumerically(">", 100))
})
