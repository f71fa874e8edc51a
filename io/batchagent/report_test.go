package batchagent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against news that the owner takes for the whole state of a worker, and against measurements
// that are old because the agent sends news only.
var _ = DescribeTable("a whole report is due", func(sdl reportSchedule, session uint64, after time.Duration, due bool) {
	sent := time.Unix(1000, 0)
	sdl.sentAt = sent
	Expect(sdl.isDue(session, sent.Add(after))).To(Equal(due))
},
	Entry("not while the last one is recent", reportSchedule{session: 3}, uint64(3), reportPeriod/2, false),
	Entry("after the period", reportSchedule{session: 3}, uint64(3), reportPeriod, true),
	Entry("in a new session", reportSchedule{session: 3}, uint64(4), time.Millisecond, true),
	Entry("when the description of the worker has changed", reportSchedule{session: 3, due: true}, uint64(3), time.Millisecond, true),
)
