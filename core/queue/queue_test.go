package queue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/queue"
	"jacinthpost/internal/specs"
)

func TestQueue(t *testing.T) {
	specs.Run(t, "queue")
}

var start = time.Unix(100, 0)

func drain(que *queue.Queue[string, int]) []string {
	var keys []string
	for ent, found := que.Pop(); found; ent, found = que.Pop() {
		keys = append(keys, ent.Key())
	}
	return keys
}

// Guards against entries that are popped before those of a lower class number, an earlier deadline
// or an earlier arrival.
var _ = It("pops entries by class, then deadline, then arrival, and those without a deadline last in their class", func() {
	var que queue.Queue[string, int]
	que.Push("no deadline", 0, time.Time{}, 1)
	que.Push("late", 0, start.Add(time.Second), 2)
	que.Push("second class", 1, start, 3)
	que.Push("early", 0, start, 4)
	que.Push("early too", 0, start, 5)
	Expect(drain(&que)).To(Equal([]string{"early", "early too", "late", "no deadline", "second class"}))
})

// Guards against a queue that exceeds its capacity or accepts a key twice.
var _ = It("refuses entries beyond its capacity and keys that are already queued", func() {
	que := queue.New[string, int](2)
	Expect(que.Push("a", 0, start, 1)).To(BeTrue())
	Expect(que.Push("a", 0, start, 2)).To(BeFalse())
	Expect(que.Push("b", 0, start, 3)).To(BeTrue())
	Expect(que.Push("c", 0, start, 4)).To(BeFalse())
	_, removed := que.Remove("a")
	Expect(removed).To(BeTrue())
	Expect(que.Push("c", 0, start, 5)).To(BeTrue())
	Expect(drain(que)).To(Equal([]string{"b", "c"}))
})

// Guards against expired entries that stay in the queue behind unexpired entries of a class that is
// popped first.
var _ = It("pops expired entries of every class", func() {
	var que queue.Queue[string, int]
	que.Push("fresh", 0, start.Add(time.Hour), 1)
	que.Push("old", 3, start, 2)
	ent, found := que.PopExpired(start)
	Expect(found).To(BeTrue())
	Expect(ent.Key()).To(Equal("old"))
	_, found = que.PopExpired(start)
	Expect(found).To(BeFalse())
	next, _ := que.NextDeadline()
	Expect(next).To(Equal(start.Add(time.Hour)))
})
