package harness

import (
	"context"
	"regexp"
	"strings"
)

// crossingBytes matches the byte counters whose labels tell the region of the peer. A process
// does not know the region of a connection it accepted; the process that opened the
// connection counts both directions.
var crossingBytes = regexp.MustCompile(`^jacinthpost_(?:(gossip)_sent|(peer)_(?:sent|received))_bytes_total\{kind="(\w+)",region="other"\}$`)

// Crossing returns the bytes sent between regions by kind, as counted by the running
// processes. The calls of the store by processes outside its region are included.
func (fle *Fleet) Crossing(ctx context.Context) (map[string]float64, error) {
	total := map[string]float64{}
	add := func(usg Usage, region string) {
		for name, val := range usg.metrics {
			switch parts := crossingBytes.FindStringSubmatch(name); {
			case parts != nil:
				total[parts[1]+parts[2]+" "+parts[3]] += val
			case region != fle.deployment.StoreRegion && (strings.HasPrefix(name, "jacinthpost_table_") || strings.HasPrefix(name, "jacinthpost_object_")) && strings.HasSuffix(name, "_bytes_total"):
				total["store"] += val
			}
		}
	}
	for _, ent := range fle.entries {
		usg, err := ent.Usage(ctx)
		if err != nil {
			return nil, err
		}
		add(usg, ent.region)
	}
	for _, ins := range fle.instances {
		usg, err := ins.Usage(ctx)
		if err != nil {
			return nil, err
		}
		add(usg, ins.region)
	}
	return total, nil
}
