package main

import (
	"fmt"
	"io"
)

// report prints measures and collects the bounds that were missed.
type report struct {
	out    io.Writer
	misses []string
}

func newReport(out io.Writer) *report { return &report{out: out} }

func (rep *report) value(name string, val float64, unit string) {
	fmt.Fprintf(rep.out, "%s: %.4g %s\n", name, val, unit)
}

func (rep *report) missed() []string { return rep.misses }

func measureDecisions(rep *report, _ bool) { rep.value("decisions.started", 1, "") }
