package batchhost

import (
	"fmt"
	"strings"
)

func (hst *Host) Debug() string {
	var bld strings.Builder
	fmt.Fprintf(&bld, "cap=%d share=%d ", hst.worker.Capacity.MilliCPU(), len(hst.events))
	for _, rn := range hst.runs {
		if !rn.working {
			continue
		}
		fmt.Fprintf(&bld, "|%s cpu=%d img=%s fill=%v tgt=%v pct=%d share=%d fig=%.0f", rn.order.ID.Task, rn.order.MilliCPU, rn.order.Image, rn.order.Fills, rn.order.Target, rn.state.Percent, rn.share, rn.state.Figure)
	}
	return bld.String()
}
