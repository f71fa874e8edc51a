package batchowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a chain of times, from a view of the owner to the last start that rests on it, that is longer than the
// users allow after a cancellation or an evacuation (UNASKED, EVAC).
var _ = DescribeTable("the last start that rests on a view", func(lim StartLimits, cancelled, excluded time.Duration) {
	jobs, dirs := time.Unix(1000, 0), time.Unix(1000, int64(300*time.Millisecond))
	planned, ordered := lim.plannedUntil(jobs, dirs), lim.orderedUntil(jobs, dirs)
	Expect(ordered.Add(startCallMargin).Sub(jobs)).To(BeNumerically("<=", cancelled))
	Expect(ordered.Add(startCallMargin).Sub(dirs)).To(BeNumerically("<=", excluded))
	Expect(planned.Add(startOrderMargin).Sub(ordered)).To(BeNumerically("<=", 0))
	Expect(planned.Sub(dirs)).To(BeNumerically("<=", maxDirectivesAge))
	Expect(lim.orderedUntil(jobs, time.Time{})).To(BeZero())
	Expect(lim.plannedUntil(time.Time{}, dirs)).To(BeZero())
},
	Entry("with the default limits", StartLimits{}, defaultCancelled, defaultExcluded),
	Entry("with longer limits for cancellations", StartLimits{Cancelled: 5 * time.Second}, 5*time.Second, defaultExcluded),
	Entry("with a short limit for evacuations", StartLimits{Excluded: 2 * time.Second}, defaultCancelled, 2*time.Second),
)
