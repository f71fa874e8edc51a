package dispatch

import (
	"fmt"
	"slices"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/quota"
)

// lineLimit bounds the reasons listed for one job.
const lineLimit = 64

const timeFormat = "2006-01-02 15:04:05.000"

// ExplainJob returns the decisions about a job, its tasks and its team, one per line.
// They cover the time since this process took over the partition of the job.
func (dsp *Dispatcher[P]) ExplainJob(sta job.Status) []string {
	rsns := dsp.sched.Explain(string(sta.ID()))
	for idx := range sta.Tasks() {
		rsns = append(rsns, dsp.sched.Explain(string(taskID(job.NewRef(sta.ID(), idx, sta.Tasks()[idx].Token()))))...)
	}
	slices.SortStableFunc(rsns, func(one, two explain.Reason) int { return one.At().Compare(two.At()) })
	if len(rsns) > lineLimit {
		rsns = rsns[len(rsns)-lineLimit:]
	}
	if behind := sta.Tardiness(dsp.now); behind > 0 {
		rsns = append(rsns, explain.New(explain.Late, dsp.now, string(sta.ID())).WithPeriod(behind).WithDetail(lateness(sta)))
	}
	lines := format(rsns)
	if len(lines) == 0 {
		lines = append(lines, "this process has made no decision about the job since it took over the partition")
	}
	return append(lines, dsp.ExplainTeam(sta.Spec().Team())...)
}

// lateness returns what keeps a job that is behind its deadline.
func lateness(sta job.Status) string {
	switch {
	case sta.State() == job.Finished:
		return "it has ended"
	case sta.WaitReason() != "":
		return "it waits: " + sta.WaitReason()
	default:
		return "it is " + sta.State().String()
	}
}

// ExplainTeam returns the use and the share of a team.
func (dsp *Dispatcher[P]) ExplainTeam(name fleet.Team) []string {
	acc := dsp.teams.canonical(name, teamLimit)
	sha, listed := dsp.share(name)
	line := fmt.Sprintf("team %q uses %d thousandths of the fleet (%v, of which %v through this owner); its share is %d while all teams have work",
		name, thousandths(dsp.sched.UsedBy(acc)), dsp.sched.AmountsOf(acc), dsp.sched.LocalAmountsOf(acc), thousandths(dsp.sched.ShareOf(acc)))
	switch {
	case !listed:
		line += "; no ticket sets its share, so it has the smallest weight and may borrow"
	case !sha.mayBorrow:
		line += fmt.Sprintf("; it may not borrow, so it waits above a share of %.3f until a ticket raises the share or its tasks end", sha.processors)
	}
	return append([]string{line}, format(dsp.sched.Explain(string(name)))...)
}

func thousandths(units int64) int64 { return units * 1000 / quota.Unit }

// ExplainInstance returns the state of an instance as this process knows it and the
// decisions about it, one per line.
func (dsp *Dispatcher[P]) ExplainInstance(id fleet.InstanceID) []string {
	viw := dsp.instances[id]
	if viw == nil {
		return []string{fmt.Sprintf("instance %s is not known to this owner", id)}
	}
	line := fmt.Sprintf("owner's view of %s: capacity %v; committed by this owner %v, of which %v awaits an answer; estimated free %v",
		id, viw.hint.Capacity(), dsp.Committed(id), viw.pending, dsp.reportedFree(viw).Minus(viw.pending))
	if cen := viw.centre; cen.closed {
		line += fmt.Sprintf("; data centre %s takes no task now", cen.name)
		if !cen.rampStart.IsZero() {
			line += fmt.Sprintf(", it returned at %s and takes up to its whole capacity over %v", cen.rampStart.UTC().Format(timeFormat), RampPeriod)
		}
	}
	return append([]string{line}, format(dsp.sched.Explain(string(id)))...)
}

func format(rsns []explain.Reason) []string {
	lines := make([]string, 0, len(rsns))
	for _, rsn := range rsns {
		lines = append(lines, rsn.At().UTC().Format(timeFormat)+" "+rsn.String())
	}
	return lines
}
