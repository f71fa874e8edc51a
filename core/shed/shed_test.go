package shed_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/shed"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestShed(t *testing.T) { specs.Run(t, "shed") }

const (
	kib      = int64(1) << 10
	bodySize = 256 * kib
	places   = 100
	atWork   = 10
	memory   = 100*shed.ConnectionBytes + 8*bodySize
)

// clients plays clients against a table, with a clock of its own.
type clients struct {
	table *shed.Table[string, shed.LeastProgress]
	now   time.Time
	gone  map[string]bool // that had to give way
}

func newClients() *clients {
	return &clients{
		table: shed.New[string, shed.LeastProgress](shed.NewLimits(places, atWork, memory)),
		now:   time.Unix(1000, 0), gone: make(map[string]bool),
	}
}

func (cls *clients) evict(ver shed.Verdict[string]) bool {
	for _, key := range ver.Victims() {
		cls.gone[key] = true
		cls.table.Close(key)
	}
	return ver.Granted()
}

func (cls *clients) open(key string) bool { return cls.evict(cls.table.Open(key, cls.now)) }

// send lets a client send a part of its request, and reports whether there was memory for it.
func (cls *clients) send(key string, num int64) bool {
	cls.table.SetPhase(key, shed.Receiving, cls.now)
	cls.table.Progress(key, num, cls.now)
	ver := cls.table.Grow(key, num, cls.now)
	if cls.evict(ver); ver.Awaited() { // the memory of those that gave way is free now
		ver = cls.table.Grow(key, num, cls.now)
		cls.evict(ver)
	}
	return ver.Granted()
}

func (cls *clients) pass(dur time.Duration) { cls.now = cls.now.Add(dur) }

// crowd opens clients that send a large body but for its end.
func (cls *clients) crowd(size int) {
	for num := range size {
		key := fmt.Sprintf("crowd %d", num)
		if cls.open(key) {
			cls.send(key, bodySize)
		}
	}
}

func (cls *clients) expectServed(key string, num int64) {
	GinkgoHelper()
	Expect(cls.open(key)).To(BeTrue(), "%s has a place", key)
	Expect(cls.send(key, num)).To(BeTrue(), "%s has memory", key)
	Expect(cls.table.Work(key, cls.now)).To(BeTrue(), "%s is at work", key)
	Expect(cls.gone).NotTo(HaveKey(key))
}

func (cls *clients) expectWithinLimits() {
	GinkgoHelper()
	Expect(cls.table.Len()).To(BeNumerically("<=", places))
	Expect(cls.table.Held()).To(BeNumerically("<=", memory))
	Expect(cls.table.Working()).To(BeNumerically("<=", atWork))
}

// Guards against clients that stop just short of their end and lock ordinary callers out.
var _ = DescribeTable("an ordinary caller is served beside a crowd that has stopped",
	func(size int, wait time.Duration) {
		cls := newClients()
		cls.crowd(size)
		cls.pass(wait)
		cls.expectServed("ordinary", kib)
		cls.expectWithinLimits()
	},
	Entry("of few connections", 8, time.Duration(0)),
	Entry("that fills the memory, at once", 12, time.Duration(0)),
	Entry("that fills the memory, later", 12, 10*time.Second),
	Entry("that takes all places, at once", 2*places, time.Duration(0)),
	Entry("that takes all places, later", 2*places, 10*time.Second),
)

// Guards against a policy that takes a slow but honest caller for one that has stopped.
var _ = It("a slow caller finishes beside a crowd that has stopped and is renewed", func() {
	cls := newClients()
	Expect(cls.open("slow")).To(BeTrue())
	for num := range 64 { // 16 s at 16 KiB/s
		Expect(cls.send("slow", bodySize/64)).To(BeTrue(), "part %d", num)
		cls.pass(250 * time.Millisecond)
		key := fmt.Sprintf("renewed %d", num)
		if cls.open(key) {
			cls.send(key, bodySize)
		}
		cls.expectWithinLimits()
	}
	Expect(cls.table.Work("slow", cls.now)).To(BeTrue())
	Expect(cls.gone).NotTo(HaveKey("slow"))
})

// Guards against a client that keeps its memory for good by a byte now and then.
var _ = It("clients that send a byte a second give way before others", func() {
	cls := newClients()
	const size = 14
	cls.crowd(size)
	for range 5 {
		for num := range size {
			cls.send(fmt.Sprintf("crowd %d", num), 1)
		}
		cls.pass(time.Second)
	}
	cls.expectServed("one", bodySize)
	cls.expectServed("two", bodySize)
	Expect(cls.gone).NotTo(BeEmpty())
})

// Guards against a refusal of a request that may already have been carried out.
var _ = Describe("requests at work", func() {
	It("don't give way", func() {
		cls := newClients()
		for num := range 3 {
			cls.expectServed(fmt.Sprint(num), bodySize)
		}
		cls.pass(time.Minute)
		cls.crowd(2 * places)
		Expect(cls.table.Working()).To(Equal(3))
		Expect(cls.gone).NotTo(HaveKey("0"))
		cls.expectWithinLimits()
	})

	It("are bounded in number, so that others can give way to new callers", func() {
		cls := newClients()
		for num := range atWork {
			cls.expectServed(fmt.Sprint(num), kib)
		}
		Expect(cls.open("next")).To(BeTrue())
		Expect(cls.table.Work("next", cls.now)).To(BeFalse())
		cls.table.SetPhase("0", shed.Answering, cls.now)
		Expect(cls.table.Work("next", cls.now)).To(BeTrue())
	})

	It("are bounded in memory, also when they grow", func() {
		cls := newClients()
		cls.expectServed("one", 5*bodySize)
		Expect(cls.open("two")).To(BeTrue())
		Expect(cls.send("two", 5*bodySize)).To(BeTrue())
		Expect(cls.table.Work("two", cls.now)).To(BeFalse())
		Expect(cls.table.Grow("one", 8*bodySize, cls.now).Awaited()).To(BeTrue())
		cls.expectWithinLimits()
	})
})

// Guards against open connections without requests that keep new callers out.
var _ = It("the connection that has been silent for longest gives its place to a new one", func() {
	cls := newClients()
	for num := range places {
		Expect(cls.open(fmt.Sprint(num))).To(BeTrue())
		cls.pass(time.Millisecond)
	}
	cls.table.Progress("0", 1, cls.now)
	Expect(cls.open("new")).To(BeTrue())
	Expect(cls.gone).To(Equal(map[string]bool{"1": true}))
	cls.expectWithinLimits()
})

var _ = It("a table without limits refuses nothing", func() {
	var tab shed.Table[int, shed.LeastProgress]
	for num := range 2 * places {
		Expect(tab.Open(num, time.Time{}).Granted()).To(BeTrue())
		Expect(tab.Grow(num, bodySize, time.Time{}).Granted()).To(BeTrue())
		Expect(tab.Work(num, time.Time{})).To(BeTrue())
	}
})

// Guards against memory or places that are lost, or counted twice, when connections end in any phase.
var _ = It("holds no more than the limits, and nothing once all connections are closed", func() {
	Expect(proptest.Setup(200, 60)).To(Succeed())
	rapid.Check(GinkgoT(), func(rtt *rapid.T) {
		cls := newClients()
		key := rapid.Custom(func(rtt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 2*places).Draw(rtt, "key")) })
		open := make(map[string]bool)
		rtt.Repeat(map[string]func(*rapid.T){
			"open": func(rtt *rapid.T) {
				if nam := key.Draw(rtt, "key"); !open[nam] {
					open[nam] = cls.open(nam)
				}
			},
			"send":   func(rtt *rapid.T) { cls.send(key.Draw(rtt, "key"), rapid.Int64Range(1, 2*bodySize).Draw(rtt, "bytes")) },
			"work":   func(rtt *rapid.T) { cls.table.Work(key.Draw(rtt, "key"), cls.now) },
			"answer": func(rtt *rapid.T) { cls.table.SetPhase(key.Draw(rtt, "key"), shed.Answering, cls.now) },
			"shrink": func(rtt *rapid.T) {
				cls.table.Shrink(key.Draw(rtt, "key"), rapid.Int64Range(0, bodySize).Draw(rtt, "bytes"))
			},
			"close": func(rtt *rapid.T) {
				nam := key.Draw(rtt, "key")
				cls.table.Close(nam)
				delete(open, nam)
			},
			"wait": func(rtt *rapid.T) {
				cls.pass(time.Duration(rapid.IntRange(0, 5000).Draw(rtt, "ms")) * time.Millisecond)
			},
			"": func(rtt *rapid.T) {
				for nam := range cls.gone {
					delete(open, nam)
				}
				clear(cls.gone)
				if cls.table.Held() > memory || cls.table.Len() > places || cls.table.Working() > atWork {
					rtt.Fatalf("%d bytes, %d connections, %d at work", cls.table.Held(), cls.table.Len(), cls.table.Working())
				}
			},
		})
		for nam := range open {
			cls.table.Close(nam)
		}
		if cls.table.Held() != 0 || cls.table.Len() != 0 || cls.table.Working() != 0 {
			rtt.Fatalf("%d bytes, %d connections, %d at work are left", cls.table.Held(), cls.table.Len(), cls.table.Working())
		}
	})
})
