// Command bench measures the project against its targets. It prints lines of
// the form "name: value unit" and exits with a non-zero status when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

// measures are the parts of the benchmark in the order in which they run.
var measures = []struct {
	name string
	run  func(rep *report, quick bool) error
	ask  bool // runs only when named by -only
}{
	{name: "latency", run: measureLatency},
	{name: "decisions", run: func(rep *report, quick bool) error { measureDecisions(rep, quick); return nil }},
	{name: "capacity", run: measureCapacity, ask: true},
}

func main() {
	quick := flag.Bool("quick", false, "one seed and short runs, for trials; bounds are not judged")
	only := flag.String("only", "", "parts to run, separated by commas; all but capacity when empty")
	flag.Parse()
	rep := newReport(os.Stdout)
	for _, msr := range measures {
		if *only == "" && msr.ask || *only != "" && !slices.Contains(strings.Split(*only, ","), msr.name) {
			continue
		}
		if err := msr.run(rep, *quick); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %s\n", msr.name, err.Error())
			os.Exit(1)
		}
	}
	if missed := rep.missed(); len(missed) > 0 && !*quick {
		fmt.Fprintf(os.Stderr, "bounds missed: %v\n", missed)
		os.Exit(1)
	}
}
