package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// report prints measures and collects the bounds that were missed.
type report struct {
	out    io.Writer
	misses []string
}

func newReport(out io.Writer) *report { return &report{out: out} }

// missed returns the names of the bounds that were missed.
func (rep *report) missed() []string { return rep.misses }

func (rep *report) value(name string, val float64, unit string) {
	fmt.Fprintf(rep.out, "%s: %.4g %s\n", name, val, unit)
}

func (rep *report) note(name, text string) { fmt.Fprintf(rep.out, "%s: %s names\n", name, text) }

// spread prints the lowest, median and highest value over the seeds.
func (rep *report) spread(name string, vals []float64, unit string) {
	ordered := slices.Sorted(slices.Values(vals))
	rep.value(name+".lowest", ordered[0], unit)
	rep.value(name+".median", ordered[len(ordered)/2], unit)
	rep.value(name+".highest", ordered[len(ordered)-1], unit)
}

func (rep *report) atMost(name string, val, bound float64, unit string) {
	rep.judge(name, val, bound, unit, "at most", val <= bound)
}

func (rep *report) atLeast(name string, val, bound float64, unit string) {
	rep.judge(name, val, bound, unit, "at least", val >= bound)
}

func (rep *report) judge(name string, val, bound float64, unit, relation string, met bool) {
	state := "met"
	if !met {
		state = "MISSED"
		rep.misses = append(rep.misses, name)
	}
	fmt.Fprintf(rep.out, "%s.bound: %.4g %s (%s %.4g: %s)\n", name, val, unit, relation, bound, state)
}

// evictionRatio judges the worst ratio of the product's evictions to those of
// the least-loaded baseline that evicts the newest task.
func (rep *report) evictionRatio(name string, all []runs) {
	pos := slices.IndexFunc(all, func(rns runs) bool { return strings.HasSuffix(rns.name, "least-loaded+evict-newest") })
	base, ratios := evictions(all[pos]), evictions(all[0])
	for seed := range ratios {
		ratios[seed] /= max(1, base[seed])
	}
	rep.spread(name, ratios, "ratio")
	rep.atMost(name, slices.Max(ratios), evictionBound, "ratio")
}
