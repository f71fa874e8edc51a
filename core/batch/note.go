package batch

import (
	"fmt"
	"strings"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// Note is one decision with the facts behind it, for the decision log.
type Note struct {
	At       time.Time
	Kind     decision.Kind
	Job      string
	ID       RunID
	Instance fleet.InstanceID
	Detail   string
}

// maxNotes bounds what is kept between two calls of Notes.
const maxNotes = 1024

func (sch *Scheduler[O, P]) note(now time.Time, knd decision.Kind, job string, rid RunID, ins fleet.InstanceID, detail string) {
	if len(sch.notes) < maxNotes {
		sch.notes = append(sch.notes, Note{At: now, Kind: knd, Job: job, ID: rid, Instance: ins, Detail: detail})
	}
}

// describe tells the shape of a job: its queue and for each step the tasks, processors, memory, estimate and kind.
func describe(spec workload.Job) string {
	var bld strings.Builder
	fmt.Fprintf(&bld, "queue=%s priority=%d", spec.Queue(), spec.Priority())
	for _, stp := range spec.Steps() {
		fmt.Fprintf(&bld, " [%dx %dmCPU %dMB %v", stp.Count(), stp.MilliCPU(), stp.Need().MemoryMB(), stp.Estimate().Round(time.Millisecond))
		for name, set := range map[string]bool{"fills": stp.BestEffort(), "lasting": stp.LongRunning(), "gang": stp.Gang(), "speculative": stp.Speculative()} {
			if set {
				bld.WriteString(" " + name)
			}
		}
		fmt.Fprintf(&bld, " %s target=%v apart=%d after=%v]", stp.Image(), stp.Target(), stp.PerInstance(), stp.Dependencies())
	}
	return bld.String()
}

// Notes returns the decisions since the last call.
func (sch *Scheduler[O, P]) Notes() []Note {
	out := sch.notes
	sch.notes = nil
	return out
}
