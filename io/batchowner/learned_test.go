package batchowner

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/pacing"
	"jacinthpost/io/batchstore"
)

// knowledgeOf returns knowledge of pairs of images with names of the given length.
func knowledgeOf(pairs, length int) batch.Knowledge {
	var kno batch.Knowledge
	for num := range pairs {
		img := fmt.Sprint(num) + strings.Repeat("x", length)
		kno.Interference.Effects = append(kno.Interference.Effects, pacing.Effect{Pair: pacing.Pair{Serving: "s", BestEffort: img}, Mean: 1.25, Variance: 0.5})
	}
	return kno
}

func newScheduler(kno batch.Knowledge, now time.Time) *Scheduler {
	sch := batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{}, now)
	sch.RestoreKnowledge(kno, now)
	return sch
}

var _ = Describe("learnedPublisher", func() {
	now := time.Unix(1_700_000_000, 0)

	It("publishes what the next owner needs, when it has changed", func() {
		var pub learnedPublisher
		kno := knowledgeOf(3, 4)
		kno.RunSeconds = map[string]float64{"q": 0.64}
		sch := newScheduler(kno, now)
		data := pub.next(sch, now)
		lrn, err := batchstore.DecodeLearned(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(newScheduler(lrn.Core(), now).Knowledge(10)).To(Equal(sch.Knowledge(10)))
		pub.data = data
		Expect(pub.next(sch, now.Add(learnedPeriod))).To(BeNil())
	})

	// Guards against a row that the store rejects, with all else that the owner has to store.
	It("keeps the row small", func() {
		var pub learnedPublisher
		data := pub.next(newScheduler(knowledgeOf(60, 2000), now), now)
		Expect(len(data)).To(BeNumerically("<=", maxLearnedBytes))
		Expect(data).NotTo(BeEmpty())
	})
})
