package batch

import (
	"fmt"
	"strings"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// Note is a decision and its details, for the decision log.
type Note struct {
	At       time.Time
	Kind     decision.Kind
	Job      string
	ID       RunID
	Instance fleet.InstanceID
	Detail   string
	Image    string           // of the run, set for assignments only
	Placed   *PlacementRecord // set for assignments of best-effort tasks only
}

// PlacementRecord is what was known when a best-effort task was placed.
type PlacementRecord struct {
	Reason       PlacementReason
	Urgency      Urgency
	Interference float64 // expected number of serving tasks that exceed their targets because of the task
	Unmeasured   int     // serving images on the instance for which the effect of the task's image was never measured
}

// PlacementReason is the reason why a best-effort task was placed although it might interfere.
type PlacementReason string

// Reasons of placements.
const (
	PlacedHarmless PlacementReason = "harmless" // no more than the tolerated interference was expected
	PlacedStarved  PlacementReason = "starved"  // the job had no run for a while
)

func (asg Assignment) reason() PlacementReason {
	if asg.Interference <= maxInterference {
		return PlacedHarmless
	}
	return PlacedStarved
}

// noteAssignment records the assignment of a run.
func (sch *Scheduler[O, P]) noteAssignment(stp *stepState, rid RunID, cho choice, now time.Time) {
	if len(sch.notes) >= maxNotes {
		return
	}
	note := Note{At: now, Kind: decision.RunAssigned, Job: rid.Task.Job, ID: rid, Instance: cho.instance.id, Image: stp.spec.Image()}
	if stp.spec.BestEffort() {
		note.Placed = &PlacementRecord{
			Reason: cho.assignment.reason(), Urgency: cho.urgency, Interference: cho.assignment.Interference, Unmeasured: sch.unmeasured(cho.instance, stp),
		}
	}
	sch.notes = append(sch.notes, note)
}

// maxNotes limits the notes between two calls of Notes. Further ones are dropped.
const maxNotes = 1024

func (sch *Scheduler[O, P]) note(now time.Time, knd decision.Kind, job string, rid RunID, ins fleet.InstanceID, detail string) {
	if len(sch.notes) < maxNotes {
		sch.notes = append(sch.notes, Note{At: now, Kind: knd, Job: job, ID: rid, Instance: ins, Detail: detail})
	}
}

// describe formats a job for the decision log: its queue, and the size, resources, estimate and
// properties of each step.
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

// Notes returns the notes since the last call.
func (sch *Scheduler[O, P]) Notes() []Note {
	out := sch.notes
	sch.notes = nil
	return out
}
