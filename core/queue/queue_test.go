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

// Guards against low classes, late deadlines or late arrivals that are served first.
var _ = It("serves by class, then deadline, then arrival, and tasks without deadline last", func() {
	var que queue.Queue[string, int]
	que.Push("no deadline", 0, time.Time{}, 1)
	que.Push("late", 0, start.Add(time.Second), 2)
	que.Push("second class", 1, start, 3)
	que.Push("early", 0, start, 4)
	que.Push("early too", 0, start, 5)
	Expect(drain(&que)).To(Equal([]string{"early", "early too", "late", "no deadline", "second class"}))
})

// Guards against a queue that exceeds its bound or accepts one key twice.
var _ = It("refuses beyond its capacity and a key that waits", func() {
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

// Guards against expired entries of a low class that stay behind entries of a high class.
var _ = It("finds expired entries in every class", func() {
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
