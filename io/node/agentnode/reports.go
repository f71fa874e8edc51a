package agentnode

import (
	"context"
	"time"

	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
	"jacinthpost/io/control"
)

// reportTimeout bounds a report so that it ends before the next one is due.
const reportTimeout = quota.ReportPeriod * 3 / 4

// report reports what the teams hold through this process to the quota allocator, as long as the
// process owns partitions and whenever the dispatcher has a report due.
func (pow *placedOwner) report(ctx context.Context) {
	control.Every(ctx, quota.ReportPeriod, func() { pow.reportOnce(ctx) })
}

func (pow *placedOwner) reportOnce(ctx context.Context) {
	var (
		complete, due bool
		uses          []quota.Use
		granularity   resource.Vector
	)
	err := pow.partitions.Inspect(ctx, func(now time.Time) {
		if due = pow.dispatcher.Owns() && pow.dispatcher.ReportDue(now); due {
			complete, uses, granularity = pow.dispatcher.Report(now)
		}
	})
	if err != nil || !due {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	ans, err := pow.client.ReportUse(limited, pow.self, complete, uses, granularity)
	_ = pow.partitions.Inspect(ctx, func(time.Time) { // fails only when the process ends
		if err != nil {
			pow.dispatcher.ReportLost()
			return
		}
		pow.dispatcher.ReportAnswered(uses, ans)
	})
}
