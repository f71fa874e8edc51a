package simulation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/simulation"
)

// Guards against an owner whose decisions take so long that reports of a large fleet wait behind them,
// so that leases of live workers expire.
var _ = It("answers 240 agents in time on the share of a core that an agent has", func() {
	dep := simulation.LargeDeployment(0.24)
	pat := pattern(dep, "burst")
	pat.Duration = 12 * time.Second
	res := simulation.New(dep, pat, 1, batch.DeadlineOrder{}, batch.SpreadPlacement{}, admission.RefuseLate{}).Run()
	Expect(res.Lapsed()).To(BeZero())
	Expect(res.LongestWait()).To(BeNumerically("<", 500*time.Millisecond), "agents give the owner up")
	checks, _ := res.Class("check")
	expectCompleted(checks, 0.9)
})
