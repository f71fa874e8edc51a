package agentnode

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/ticket"
	"jacinthpost/internal/specs"
)

func TestAgentNode(t *testing.T) {
	specs.Run(t, "agentnode")
}

// configuration is a configuration that never changes.
type configuration struct{ state ticket.State }

func (cfg configuration) State() ticket.State         { return cfg.state }
func (cfg configuration) Freshness() ticket.Freshness { return ticket.Freshness{} }

// newSite returns the site of one of three agents under an admission ticket.
func newSite(adm ticket.Admission) *site {
	sta, _ := ticket.State{}.Apply(ticket.New(1, "operator", "test", ticket.NewChange("service", 0, adm)))
	return &site{config: configuration{state: sta}, serving: func(fleet.Service) int { return 3 }}
}

var _ = Describe("site", func() {
	// Guards against a workspace rate that is used as a limit of outstanding requests, or
	// that each agent grants in full.
	It("admits the agent's part of the rate of each workspace", func() {
		sit, start := newSite(ticket.NewAdmission(10, 30, 1)), time.Unix(1000, 0)
		passed := map[fleet.Workspace]int{}
		for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
			for _, wsp := range []fleet.Workspace{"one", "two"} {
				if out, ok := sit.Permit("service", wsp, start.Add(at)); ok {
					passed[wsp]++
				} else {
					Expect(out.Detail()).To(ContainSubstring("30 requests a second"))
				}
			}
			_, ok := sit.Permit("other", "one", start.Add(at))
			Expect(ok).To(BeTrue(), "no ticket limits the other service")
		}
		Expect(passed).To(HaveEach(BeNumerically("~", 110, 2)))
	})

	// Guards against batch requests that get more or fewer slots than the ticket says.
	DescribeTable("keeps the slots that batch requests may not use", func(share float64, slots, want int) {
		sit := newSite(ticket.NewAdmission(10, 0, share))
		got, set := sit.CriticalSlots("service", slots)
		Expect(set).To(BeTrue())
		Expect(got).To(Equal(want))
		Expect(sit.Limits("service", "").PerService()).To(Equal(10+slots), "running requests do not wait")
		_, set = sit.CriticalSlots("other", slots)
		Expect(set).To(BeFalse())
	},
		Entry("none", 0.0, 8, 8),
		Entry("a fraction", 0.3, 8, 6),
		Entry("less than one slot", 0.01, 8, 7),
		Entry("all", 1.0, 8, 0),
		Entry("no endpoint yet", 0.5, 0, 0),
	)
})
