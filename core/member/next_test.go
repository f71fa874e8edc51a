package member

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against timeouts that are noticed late, against probes that come late,
// and against a process that takes its own sleep for a pause.
var _ = DescribeTable("the next tick", func(change func(mac *Machine, now time.Time), want time.Duration) {
	mac, now := New("a", 1, Profile{}, rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	mac.Tick(now)
	mac.nextProbe = now.Add(time.Second)
	change(mac, now)
	Expect(mac.NextTick(now).Sub(now)).To(Equal(want))
	Expect(IdleTickPeriod).To(BeNumerically("<=", PauseThreshold/2))
},
	Entry("is far while nothing is under way", func(*Machine, time.Time) {}, IdleTickPeriod),
	Entry("comes with the next probe", func(mac *Machine, now time.Time) { mac.nextProbe = now.Add(time.Millisecond) }, time.Millisecond),
	Entry("is near while a probe is not answered", func(mac *Machine, _ time.Time) { mac.probe.target = "b" }, TickPeriod),
	Entry("is near while a relayed ping is not answered", func(mac *Machine, _ time.Time) { mac.relays = make([]relay, 1) }, TickPeriod),
	Entry("is near while a member is suspected", func(mac *Machine, _ time.Time) { mac.suspects = []*entry{{}} }, TickPeriod),
	Entry("is near while a process waits for an introduction", func(mac *Machine, _ time.Time) { mac.joiners = make([]joiner, 1) }, TickPeriod),
	Entry("is near while a profile is missing", func(mac *Machine, _ time.Time) { mac.lacking = true }, TickPeriod),
)
