// Command bench measures the project against its targets. It prints lines of
// the form "name: value unit" and exits with a non-zero status when a bound is missed.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	quick := flag.Bool("quick", false, "one seed and short runs, for trials; bounds are not judged")
	flag.Parse()
	rep := newReport(os.Stdout)
	measureDecisions(rep, *quick)
	if missed := rep.missed(); len(missed) > 0 && !*quick {
		fmt.Fprintf(os.Stderr, "bounds missed: %v\n", missed)
		os.Exit(1)
	}
}
