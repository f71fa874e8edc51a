package harness

import (
	"context"
	"regexp"
	"strings"
)

// countedBytes matches the byte counters that know where the other side is. A
// served connection doesn't know; the process that opened it counts both directions.
var countedBytes = regexp.MustCompile(`^jacinthpost_(?:(gossip)_sent|(peer)_(?:sent|received))_bytes_total\{kind="(\w+)",region="other"\}$`)

// Crossing returns the bytes that have crossed the link between regions, by kind,
// as the running processes counted them. Those of the region without the store
// cross it with their calls of the store.
func (fle *Fleet) Crossing(ctx context.Context) (map[string]float64, error) {
	total := map[string]float64{}
	add := func(usg Usage, region string) {
		for name, val := range usg.metrics {
			switch parts := countedBytes.FindStringSubmatch(name); {
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
