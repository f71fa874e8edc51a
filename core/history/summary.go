package history

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/decision"
)

// Summary holds totals over all jobs of a timeline.
type Summary struct {
	queues      []Queue
	handedIn    map[string]int
	ends        map[string]int
	stops       map[string]int
	gaps        map[Cause]time.Duration
	slowest     []Trace
	elections   []Election
	busyOwners  []BusyOwner
	disruptions map[string]int
	from, to    time.Time
	progress    []Count
	overTarget  OverTarget
}

// Queue holds totals over the jobs of one queue.
type Queue struct {
	Name      string
	Jobs      int
	States    map[string]int // jobs by last known state
	Waits     Quantiles
	Durations Quantiles
}

// Quantiles are the quantiles of Count durations.
type Quantiles struct {
	Count         int
	P50, P95, P99 time.Duration
}

// Election is a change of the owner of the jobs.
type Election struct {
	At   time.Time
	Node string
	// AssignmentGap is the time from the last assignment before the election to the first one after
	// it, or zero if there is none after it.
	AssignmentGap time.Duration
}

// BusyOwner is an owner whose control thread was busy.
type BusyOwner struct {
	Node   string
	Busy   time.Duration            // in the periods in which it logged that it was busy
	Causes map[string]time.Duration // of Busy, by what took most of a period
}

// Count is the number of waiting and running jobs at a point in time.
type Count struct {
	At               time.Time
	Waiting, Running int
}

// slowestJobs is the number of jobs that Summary.Slowest returns.
const slowestJobs = 10

// Summarize returns the totals over all jobs that the lines name.
func (tml Timeline) Summarize() Summary {
	sum := Summary{
		handedIn: make(map[string]int), ends: make(map[string]int), stops: make(map[string]int),
		gaps: make(map[Cause]time.Duration), disruptions: make(map[string]int),
	}
	if len(tml.lines) == 0 {
		return sum
	}
	sum.from, sum.to = tml.lines[0].At, tml.lines[len(tml.lines)-1].At
	traces := tml.traces()
	sum.count(tml.lines)
	sum.queues = queues(traces)
	for _, trc := range traces {
		for _, gap := range trc.gaps {
			sum.gaps[gap.Cause] += gap.Length()
		}
		for why, num := range trc.stopped {
			sum.stops[stopReason(why)] += num
		}
	}
	sum.slowest = slowest(traces)
	sum.elections = elections(tml.lines)
	sum.busyOwners = busyOwners(tml.lines)
	sum.progress = progress(traces, sum.from, sum.to)
	sum.overTarget = tml.overTarget()
	return sum
}

// Queues returns the queues, ordered by name.
func (sum Summary) Queues() []Queue { return sum.queues }

// HandedIn returns the number of requests to submit a job, by outcome and reason.
func (sum Summary) HandedIn() map[string]int { return sum.handedIn }

// Ends returns the number of ended runs by cause.
func (sum Summary) Ends() map[string]int { return sum.ends }

// Stops returns the number of stopped runs by reason.
func (sum Summary) Stops() map[string]int { return sum.stops }

// Gaps returns the total length of the gaps of all jobs by cause.
func (sum Summary) Gaps() map[Cause]time.Duration { return sum.gaps }

// Slowest returns the ended jobs that took longest, the longest first.
func (sum Summary) Slowest() []Trace { return sum.slowest }

// Elections returns the elections that followed an assignment. Before the first assignment there is
// no gap to measure.
func (sum Summary) Elections() []Election { return sum.elections }

// BusyOwners returns the owners that logged that they were busy, the busiest first.
func (sum Summary) BusyOwners() []BusyOwner { return sum.busyOwners }

func busyOwners(lines []Line) []BusyOwner {
	var out []BusyOwner
	for _, lin := range lines {
		if lin.Kind != decision.OwnerBusy {
			continue
		}
		pos := slices.IndexFunc(out, func(own BusyOwner) bool { return own.Node == lin.Node })
		if pos < 0 {
			pos = len(out)
			out = append(out, BusyOwner{Node: lin.Node, Causes: make(map[string]time.Duration)})
		}
		out[pos].Busy += lin.Took
		out[pos].Causes[lin.Reason] += lin.Took
	}
	slices.SortStableFunc(out, func(fst, snd BusyOwner) int { return cmp.Compare(snd.Busy, fst.Busy) })
	return out
}

// Disruptions returns the number of lines that report a lost or suspended instance, a lost feed, an
// ended ownership or a pause of filling tasks, by kind.
func (sum Summary) Disruptions() map[string]int { return sum.disruptions }

// Span returns the times of the first and the last line.
func (sum Summary) Span() (from, to time.Time) { return sum.from, sum.to }

// Progress returns the number of waiting and running jobs at regular intervals.
func (sum Summary) Progress() []Count { return sum.progress }

// OverTarget returns the time in which serving tasks were over their targets.
func (sum Summary) OverTarget() OverTarget { return sum.overTarget }

// traces returns the traces of all jobs, ordered by their first lines.
func (tml Timeline) traces() []Trace {
	var order []string
	lines := make(map[string][]Line)
	for _, lin := range tml.lines {
		if lin.Job == "" {
			continue
		}
		if lines[lin.Job] == nil {
			order = append(order, lin.Job)
		}
		lines[lin.Job] = append(lines[lin.Job], lin)
	}
	out := make([]Trace, 0, len(order))
	for _, job := range order {
		out = append(out, buildTrace(job, lines[job]))
	}
	return out
}

func (sum *Summary) count(lines []Line) {
	for _, lin := range lines {
		switch lin.Kind {
		case decision.JobHandedIn, decision.JobRefused:
			key := cmp.Or(lin.Outcome, "notRun")
			if lin.Reason != "" {
				key += " " + lin.Reason
			}
			sum.handedIn[key]++
		case decision.RunEnded:
			sum.ends[firstWord(lin.Detail)]++
		case decision.InstanceLost, decision.InstanceSuspended, decision.FeedLost, decision.OwnershipEnded, decision.FillingPaused:
			sum.disruptions[string(lin.Kind)]++
		}
	}
}

// stopReason returns a reason without the job that it names, so that stops in favour of different
// jobs count under one reason.
func stopReason(why string) string {
	if num := slices.Index([]byte(why), ' '); num > 0 && (why[:num] == "preempted" || why[:num] == "displaced") {
		return why[:num]
	}
	return why
}

func queues(traces []Trace) []Queue {
	type sample struct{ waits, takes []time.Duration }
	found := make(map[string]*Queue)
	samples := make(map[string]*sample)
	for _, trc := range traces {
		name := trc.queue()
		if found[name] == nil {
			found[name], samples[name] = &Queue{Name: name, States: make(map[string]int)}, &sample{}
		}
		que, smp := found[name], samples[name]
		que.Jobs++
		que.States[trc.state]++
		if val, ok := trc.Waited(); ok {
			smp.waits = append(smp.waits, val)
		}
		if val, ok := trc.Took(); ok {
			smp.takes = append(smp.takes, val)
		}
	}
	out := make([]Queue, 0, len(found))
	for name, que := range found {
		que.Waits, que.Durations = quantiles(samples[name].waits), quantiles(samples[name].takes)
		out = append(out, *que)
	}
	slices.SortFunc(out, func(fst, snd Queue) int { return cmp.Compare(fst.Name, snd.Name) })
	return out
}

func (trc Trace) queue() string {
	for _, lin := range trc.lines {
		if lin.Queue != "" {
			return lin.Queue
		}
	}
	return ""
}

func quantiles(vals []time.Duration) Quantiles {
	if len(vals) == 0 {
		return Quantiles{}
	}
	slices.Sort(vals)
	at := func(percent int) time.Duration { return vals[min(len(vals)-1, len(vals)*percent/100)] }
	return Quantiles{Count: len(vals), P50: at(50), P95: at(95), P99: at(99)}
}

func slowest(traces []Trace) []Trace {
	var out []Trace
	for _, trc := range traces {
		if _, ok := trc.Took(); ok {
			out = append(out, trc)
		}
	}
	slices.SortStableFunc(out, func(fst, snd Trace) int {
		one, _ := fst.Took()
		two, _ := snd.Took()
		return cmp.Compare(two, one)
	})
	return out[:min(slowestJobs, len(out))]
}

// elections returns the elections that followed an assignment, each with its assignment gap.
func elections(lines []Line) []Election {
	var out []Election
	var last time.Time
	for _, lin := range lines {
		switch lin.Kind {
		case decision.RunAssigned:
			if num := len(out) - 1; num >= 0 && out[num].AssignmentGap < 0 {
				out[num].AssignmentGap = lin.At.Sub(last)
			}
			last = lin.At
		case decision.OwnerElected:
			if !last.IsZero() {
				out = append(out, Election{At: lin.At, Node: lin.Node, AssignmentGap: -1})
			}
		}
	}
	for num := range out {
		out[num].AssignmentGap = max(0, out[num].AssignmentGap)
	}
	return out
}

// progressSteps is the number of intervals that Progress divides the timeline into.
const progressSteps = 120

func progress(traces []Trace, from, to time.Time) []Count {
	out := make([]Count, 0, progressSteps+1)
	for num := range progressSteps + 1 {
		cnt := Count{At: from.Add(to.Sub(from) * time.Duration(num) / progressSteps)}
		for _, trc := range traces {
			switch {
			case trc.begun.After(cnt.At) || !trc.ended.IsZero() && !trc.ended.After(cnt.At):
			case trc.started.IsZero() || trc.started.After(cnt.At):
				cnt.Waiting++
			default:
				cnt.Running++
			}
		}
		out = append(out, cnt)
	}
	return out
}
