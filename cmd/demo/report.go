package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/message"
)

// report asks for the report of the demo's jobs until every partition is in it.
func (dem *demo) report(ctx context.Context) (string, error) {
	target := dem.fleet.Entries()[0].Address() + "/v1/report?period=1h"
	for {
		var rpt message.Report
		if _, err := harness.Call(ctx, "GET", target, nil, nil, &rpt); err != nil {
			return "", err
		}
		if len(rpt.MissingPartitions) == 0 {
			return checkReport(rpt)
		}
		if err := control.Pause(ctx, pollPause); err != nil {
			return "", errors.Wrapf(err, "no report from partitions %v", rpt.MissingPartitions)
		}
	}
}

// checkReport checks that all jobs of the demo have ended well.
func checkReport(rpt message.Report) (string, error) {
	finished, cancelled := 0, 0
	for _, row := range rpt.Rows {
		if row.Parked+row.Running+row.Waiting > 0 {
			return "", errors.Errorf("jobs that have not ended: %+v", row)
		}
		finished, cancelled = finished+row.Finished, cancelled+row.Cancelled
	}
	if finished == 0 || cancelled == 0 || len(rpt.Concerns) > 0 {
		return "", errors.Errorf("%d finished, %d cancelled, need attention: %v", finished, cancelled, rpt.Concerns)
	}
	return fmt.Sprintf("%d jobs finished, %d cancelled, none needs attention", finished, cancelled), nil
}
