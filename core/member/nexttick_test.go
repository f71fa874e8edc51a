package member

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against timeouts and probes that are handled late, and against a process that counts its
// own idle time as a pause.
var _ = DescribeTable("the next tick", func(change func(mac *Machine, now time.Time), want time.Duration) {
	mac, now := New("a", 1, Profile{}, rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	mac.Tick(now)
	mac.nextProbe = now.Add(time.Second)
	change(mac, now)
	Expect(mac.NextTick(now).Sub(now)).To(Equal(want))
	Expect(IdleTickPeriod).To(BeNumerically("<=", PauseThreshold/2))
},
	Entry("comes after the idle period while nothing is in progress", func(*Machine, time.Time) {}, IdleTickPeriod),
	Entry("comes with the next probe", func(mac *Machine, now time.Time) { mac.nextProbe = now.Add(time.Millisecond) }, time.Millisecond),
	Entry("comes after the tick period while a probe is not answered", func(mac *Machine, _ time.Time) { mac.probe.target = "b" }, TickPeriod),
	Entry("comes after the tick period while a relayed ping is not answered", func(mac *Machine, _ time.Time) { mac.relays = make([]relay, 1) }, TickPeriod),
	Entry("comes after the tick period while a member is suspected", func(mac *Machine, _ time.Time) { mac.suspects = []*entry{{}} }, TickPeriod),
	Entry("comes after the tick period while a process waits for an introduction", func(mac *Machine, _ time.Time) { mac.joiners = make([]joiner, 1) }, TickPeriod),
	Entry("comes after the tick period while a profile is missing", func(mac *Machine, _ time.Time) { mac.mayLackProfiles = true }, TickPeriod),
)
