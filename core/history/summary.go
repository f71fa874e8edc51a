package history

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/decision"
)

// Summary sums up the jobs of a day.
type Summary struct {
	queues    []Queue
	handed    map[string]int
	ends      map[string]int
	stops     map[string]int
	gaps      map[Cause]time.Duration
	slowest   []Trace
	elections []Election
	lost      map[string]int
	from, to  time.Time
	progress  []Count
}

// Queue is the jobs of one queue.
type Queue struct {
	Name      string
	Jobs      int
	States    map[string]int
	Waits     Quantiles
	Durations Quantiles
}

// Times are quantiles of times.
type Quantiles struct {
	Count         int
	P50, P95, P99 time.Duration // of 50, 95 and 99 in a hundred at most
}

// Election is a change of the owner of the jobs.
type Election struct {
	At            time.Time
	Node          string
	AssignmentGap time.Duration // without an assignment before and after it
}

// Count is the number of jobs at a moment.
type Count struct {
	At               time.Time
	Waiting, Running int
}

// slowestJobs is how many of the longest jobs a summary names.
const slowestJobs = 10

// Summarize sums up the jobs that the lines tell of.
func (day Timeline) Summarize() Summary {
	sum := Summary{
		handed: make(map[string]int), ends: make(map[string]int), stops: make(map[string]int),
		gaps: make(map[Cause]time.Duration), lost: make(map[string]int),
	}
	if len(day.lines) == 0 {
		return sum
	}
	sum.from, sum.to = day.lines[0].At, day.lines[len(day.lines)-1].At
	traces := day.traces()
	sum.count(day.lines)
	sum.queues = queues(traces)
	for _, trc := range traces {
		for _, gap := range trc.gaps {
			sum.gaps[gap.Cause] += gap.Length()
		}
		for why, num := range trc.stopped {
			sum.stops[firstWords(why)] += num
		}
	}
	sum.slowest = slowest(traces)
	sum.elections = elections(day.lines)
	sum.progress = progress(traces, sum.from, sum.to)
	return sum
}

// Queues returns the queues by name.
func (sum Summary) Queues() []Queue { return sum.queues }

// HandedIn returns the number of calls to hand a job in, by the outcome and its reason.
func (sum Summary) HandedIn() map[string]int { return sum.handed }

// Ends returns the number of ended runs by the cause.
func (sum Summary) Ends() map[string]int { return sum.ends }

// Stops returns the number of stopped runs by the reason.
func (sum Summary) Stops() map[string]int { return sum.stops }

// Gaps returns the time in which nothing of a job was at work, added up by the cause.
func (sum Summary) Gaps() map[Cause]time.Duration { return sum.gaps }

// Slowest returns the jobs that took longest, the longest first.
func (sum Summary) Slowest() []Trace { return sum.slowest }

// Elections returns the changes of the owner.
func (sum Summary) Elections() []Election { return sum.elections }

// Lost returns the number of losses by kind of line.
func (sum Summary) Disruptions() map[string]int { return sum.lost }

// Span returns the times of the first and the last line.
func (sum Summary) Span() (from, to time.Time) { return sum.from, sum.to }

// Progress returns the number of jobs at even steps of time.
func (sum Summary) Progress() []Count { return sum.progress }

// traces returns the lives of all jobs in the order of their first lines.
func (day Timeline) traces() []Trace {
	var order []string
	lines := make(map[string][]Line)
	for _, lin := range day.lines {
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
		out = append(out, follow(job, lines[job]))
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
			sum.handed[key]++
		case decision.RunEnded:
			sum.ends[firstWord(lin.Detail)]++
		case decision.InstanceLost, decision.InstanceSuspended, decision.FeedLost, decision.OwnershipEnded, decision.FillingPaused:
			sum.lost[string(lin.Kind)]++
		}
	}
}

// firstWords cuts a reason before the job that it names.
func firstWords(why string) string {
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

// elections returns the changes of the owner with the time without assignments around each.
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

// progressSteps is the number of moments at which jobs are counted.
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
