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

func newRunner(shp scenario.Config, seed uint64) *scenario.Runner[place.Scored, *interfere.Controller] {
	return scenario.New(shp, place.Scored{}, controller, seed)
}

// Guards against overcommitted workers, tasks in two places, lost tasks and
// starts in a data centre that is out, checked after every step.
var _ = DescribeTable("keeps the invariants in every step",
	func(shp scenario.Config, seed uint64) {
		run := newRunner(shp, seed)
		for run.Step() {
			Expect(run.Violations()).To(BeEmpty())
		}
	},
	Entry("sen-vang, data centre out", scenario.SenVang().WithTimes(14*time.Minute, 6*time.Minute, 9*time.Minute), uint64(1)),
	Entry("sen-vang, another seed", scenario.SenVang().WithTimes(14*time.Minute, 5*time.Minute, 12*time.Minute), uint64(2)),
	Entry("bayou-paddle with a noisy wave", scenario.BayouPaddle().WithTimes(18*time.Minute, 0, 0), uint64(3)),
)

// Guards against decisions that depend on map order or on anything but the events and the seed.
var _ = It("repeats itself for the same seed and differs for another", func() {
	shp := scenario.SenVang().WithTimes(8*time.Minute, 4*time.Minute, 6*time.Minute)
	first, second, other := newRunner(shp, 1).Run(), newRunner(shp, 1).Run(), newRunner(shp, 2).Run()
	Expect(first.Hash()).To(Equal(second.Hash()))
	Expect(first.Hash()).NotTo(Equal(other.Hash()))
	Expect(first.Starts()).To(BeNumerically(">", 100))
})
