// Command bench measures the project against its targets. It prints lines of
// the form "name: value unit" and exits with a non-zero status when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// options are the flags of the command.
type options struct {
	quick  bool
	seeds  seedRange
	filter string
	sizes  []int
	// The rest changes the capacity part.
	each       int
	partitions int
	profiles   string
	observe    time.Duration
	logs       bool // of the fleet part
}

// parts are the parts of the benchmark in the order in which they run.
var parts = []struct {
	name string
	run  func(rep *report, opt options) error
	ask  bool // runs only when named by -only
}{
	{name: "latency", run: measureLatency},
	{name: "decisions", run: func(rep *report, opt options) error { measureDecisions(rep, opt.seeds, opt.filter); return nil }},
	{name: "capacity", run: measureCapacity, ask: true},
	{name: "owner", run: measureOwner, ask: true},
	{name: "fleet", run: measureFleets, ask: true},
	{name: "jobowner", run: measureJobOwner, ask: true},
}

// maxSize is the largest size of a fleet in a part. The capacity part takes up to 60 processes.
const maxSize = 1400

// addSizes reads a list of fleet sizes.
func (opt *options) addSizes(list string) error {
	for txt := range strings.SplitSeq(list, ",") {
		size, err := strconv.Atoi(txt)
		if err != nil || size < 3 || size > maxSize {
			return fmt.Errorf("%q is no size from 3 to %d", txt, maxSize)
		}
		opt.sizes = append(opt.sizes, size)
	}
	return nil
}

func main() {
	var opt options
	flag.BoolVar(&opt.quick, "quick", false, "short runs of processes, for trials")
	opt.seeds = seedRange{first: 1, count: 5}
	flag.Func("seeds", "number of seeds of each scenario from 1 on, or a range such as 101-110 (default 5)", opt.seeds.set)
	flag.StringVar(&opt.filter, "filter", "", "run only the decision measures or the steps of the fleet part whose name contains this")
	flag.Func("sizes", "fleet sizes of the capacity part (default 3,12,24,48) or the jobowner part (default 11,55,120,240), separated by commas", opt.addSizes)
	flag.IntVar(&opt.each, "tasks-each", tasksEach, "tasks of each instance in the capacity part")
	flag.IntVar(&opt.partitions, "partitions", 0, "job partitions in the capacity part, those of the deployment when 0; few make owners of many tasks")
	flag.StringVar(&opt.profiles, "profiles", "", "folder for processor profiles of the busiest owner and the least busy agent of the capacity part, and of the owner of the jobowner part")
	flag.DurationVar(&opt.observe, "observe", 15*time.Second, "time over which the capacity part observes a fleet; a tick of processor time is 10 ms")
	only := flag.String("only", "", "parts to run, separated by commas: latency, decisions, capacity, owner, fleet, jobowner; the first two when empty")
	flag.BoolVar(&opt.logs, "keep-logs", false, "keep the settings and logs of the fleet part")
	flag.Parse()
	rep := newReport(os.Stdout)
	for _, prt := range parts {
		if *only == "" && prt.ask || *only != "" && !slices.Contains(strings.Split(*only, ","), prt.name) {
			continue
		}
		if err := prt.run(rep, opt); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n", prt.name, err.Error())
			os.Exit(1)
		}
	}
	if missed := rep.missed(); len(missed) > 0 {
		fmt.Fprintf(os.Stderr, "bounds missed: %v\n", missed)
		os.Exit(1)
	}
}
