package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/cmd/jacinthpost/internal/plot"
	"jacinthpost/core/history"
)

func logsCommand() *cli.Command {
	return &cli.Command{
		Name: "logs", Usage: "work with collected logs",
		Commands: []*cli.Command{{
			Name: "report", Usage: "sum up the jobs of a day: what was refused, late, lost or moved, by cause", ArgsUsage: "LOG...",
			Description: "LOG is a file, a folder of files, or - for standard input.\nExample: jacinthpost logs report --plot day.svg logs/",
			Flags:       []cli.Flag{&cli.StringFlag{Name: "plot", Usage: "write the jobs over time to this SVG file"}},
			Action:      reportLogs,
		}},
	}
}

func reportLogs(_ context.Context, cmd *cli.Command) error {
	tml, err := openLogs(cmd.Args().Slice())
	if err != nil {
		return err
	}
	sum := tml.Summarize()
	if name := cmd.String("plot"); name != "" {
		if err := writePlot(name, sum); err != nil {
			return errors.Wrap(err, "plot")
		}
	}
	if cmd.Bool("json") {
		return printSummaryJSON(os.Stdout, sum)
	}
	return printSummary(os.Stdout, sum)
}

func writePlot(name string, sum history.Summary) error {
	from, _ := sum.Span()
	waiting, running := plot.Series{Name: "waiting", Color: "#c0392b"}, plot.Series{Name: "running", Color: "#2471a3"}
	for _, cnt := range sum.Progress() {
		secs := cnt.At.Sub(from).Seconds()
		waiting.Points = append(waiting.Points, plot.Point{X: secs, Y: float64(cnt.Waiting)})
		running.Points = append(running.Points, plot.Point{X: secs, Y: float64(cnt.Running)})
	}
	fil, err := os.Create(name)
	if err != nil {
		return err
	}
	err = plot.Lines(fil, "jobs by state over the seconds from "+from.UTC().Format(time.RFC3339), waiting, running)
	if end := fil.Close(); err == nil {
		err = end
	}
	return err
}

func printSummary(out io.Writer, sum history.Summary) error {
	from, to := sum.Span()
	fmt.Fprintf(out, "from %s, %s\n\n", from.UTC().Format(time.RFC3339), short(to.Sub(from)))
	if err := printQueues(out, sum); err != nil {
		return err
	}
	printCounts(out, "calls to hand a job in", sum.HandedIn())
	printCounts(out, "ends of runs", sum.Ends())
	printCounts(out, "runs stopped", sum.Stops())
	printCounts(out, "losses and pauses", sum.Disruptions())
	if len(sum.Gaps()) > 0 {
		fmt.Fprintln(out, "\ntime in which nothing of a job was at work, added up over the jobs")
		for cause, val := range sorted(sum.Gaps()) {
			fmt.Fprintf(out, "  %s: %s\n", cause, short(val))
		}
	}
	for _, ele := range sum.Elections() {
		fmt.Fprintf(out, "\nowner elected on %s at +%s, nothing was assigned for %s around it\n", ele.Node, short(ele.At.Sub(from)), short(ele.AssignmentGap))
	}
	for _, own := range sum.BusyOwners() {
		var causes []string
		for name, took := range sorted(own.Causes) {
			causes = append(causes, name+" "+short(took))
		}
		fmt.Fprintf(out, "\nowner %s was busy for %s, by what took most of the time: %s\n", own.Node, short(own.Busy), strings.Join(causes, ", "))
	}
	if err := printOverTarget(out, sum.OverTarget()); err != nil {
		return err
	}
	return printSlowest(out, sum, from)
}

func printQueues(out io.Writer, sum history.Summary) error {
	rows := make([][]string, 0, len(sum.Queues()))
	for _, que := range sum.Queues() {
		var states []string
		for name, num := range sorted(que.States) {
			states = append(states, strconv.Itoa(num)+" "+name)
		}
		rows = append(rows, []string{
			que.Name, strconv.Itoa(que.Jobs), short(que.Waits.P50), short(que.Waits.P95), short(que.Durations.P50), short(que.Durations.P95),
			strings.Join(states, ", "),
		})
	}
	return table(out, []string{"QUEUE", "JOBS", "WAIT P50", "P95", "END P50", "P95", "STATES"}, rows)
}

func printCounts(out io.Writer, title string, nums map[string]int) {
	if len(nums) == 0 {
		return
	}
	fmt.Fprintln(out, "\n"+title)
	for name, num := range sorted(nums) {
		fmt.Fprintf(out, "  %s: %d\n", name, num)
	}
}

func printSlowest(out io.Writer, sum history.Summary, from time.Time) error {
	fmt.Fprintln(out, "\njobs that took longest (jacinthpost trace JOB LOG... tells more)")
	rows := make([][]string, 0, len(sum.Slowest()))
	for _, trc := range sum.Slowest() {
		took, _ := trc.Took()
		idle := time.Duration(0)
		for _, gap := range trc.Gaps() {
			idle += gap.Length()
		}
		rows = append(rows, []string{trc.Job(), "+" + short(trc.Begun().Sub(from)), short(took), short(idle), strconv.Itoa(trc.Runs()), trc.State()})
	}
	return table(out, []string{"JOB", "HANDED IN", "TOOK", "IDLE", "RUNS", "STATE"}, rows)
}

// topRows is the number of jobs, instances and pairs of images that printOverTarget names.
const topRows = 8

func printOverTarget(out io.Writer, ovr history.OverTarget) error {
	if ovr.Total() == 0 {
		return nil
	}
	fmt.Fprintf(out, "\nserving tasks over their targets: %s, %s of it repeated; any task of a job %s, any task on an instance %s\n",
		short(ovr.Total()), short(ovr.Repeated()), short(ovr.Jobs()), short(ovr.Instances()))
	pairs := make(map[string]time.Duration, len(ovr.ByPair()))
	for par, val := range ovr.ByPair() {
		pairs[par.Serving+" beside "+par.BestEffort] = val
	}
	var rows [][]string
	rows = append(rows, longest("cause", ovr.Causes())...)
	rows = append(rows, longest("most urgent job beside", ovr.Urgencies())...)
	rows = append(rows, longest("job", ovr.ByJob())...)
	rows = append(rows, longest("instance", ovr.ByInstance())...)
	rows = append(rows, longest("images", pairs)...)
	return table(out, []string{"BY", "", "OVER TARGET"}, rows)
}

// longest returns rows for the entries with the longest times.
func longest[K ~string](title string, times map[K]time.Duration) [][]string {
	keys := slices.SortedFunc(maps.Keys(times), func(fst, snd K) int { return cmp.Or(cmp.Compare(times[snd], times[fst]), cmp.Compare(fst, snd)) })
	rows := make([][]string, 0, topRows)
	for _, key := range keys[:min(topRows, len(keys))] {
		rows = append(rows, []string{title, string(key), short(times[key])})
	}
	return rows
}

// summaryTimes are times in JSON, in milliseconds.
type summaryTimes struct {
	Count int     `json:"count"`
	Half  float64 `json:"p50Millis"`
	Most  float64 `json:"p95Millis"`
	Last  float64 `json:"p99Millis"`
}

func toTimes(val history.Quantiles) summaryTimes {
	return summaryTimes{Count: val.Count, Half: toMillis(val.P50), Most: toMillis(val.P95), Last: toMillis(val.P99)}
}

// overTargetTimes is the time over target in JSON, in milliseconds.
type overTargetTimes struct {
	Total     float64            `json:"totalMillis"`
	Repeated  float64            `json:"repeatedMillis"`
	Jobs      float64            `json:"jobsMillis"`
	Instances float64            `json:"instancesMillis"`
	Causes    map[string]float64 `json:"causeMillis"`
	Urgencies map[string]float64 `json:"urgencyMillis"`
}

func toOverTargetTimes(ovr history.OverTarget) overTargetTimes {
	return overTargetTimes{
		Total: toMillis(ovr.Total()), Repeated: toMillis(ovr.Repeated()), Jobs: toMillis(ovr.Jobs()), Instances: toMillis(ovr.Instances()),
		Causes: millisByName(ovr.Causes()), Urgencies: millisByName(ovr.Urgencies()),
	}
}

func millisByName[K ~string](times map[K]time.Duration) map[string]float64 {
	out := make(map[string]float64, len(times))
	for key, val := range times {
		out[string(key)] = toMillis(val)
	}
	return out
}

func printSummaryJSON(out io.Writer, sum history.Summary) error {
	type queue struct {
		Name   string         `json:"name"`
		Jobs   int            `json:"jobs"`
		States map[string]int `json:"states"`
		Waits  summaryTimes   `json:"firstRun"`
		Takes  summaryTimes   `json:"end"`
	}
	type slow struct {
		Job        string  `json:"job"`
		TookMillis float64 `json:"tookMillis"`
		Runs       int     `json:"runs"`
		State      string  `json:"state"`
	}
	ques := make([]queue, 0, len(sum.Queues()))
	for _, que := range sum.Queues() {
		ques = append(ques, queue{que.Name, que.Jobs, que.States, toTimes(que.Waits), toTimes(que.Durations)})
	}
	slows := make([]slow, 0, len(sum.Slowest()))
	for _, trc := range sum.Slowest() {
		took, _ := trc.Took()
		slows = append(slows, slow{trc.Job(), toMillis(took), trc.Runs(), trc.State()})
	}
	gaps := make(map[string]float64, len(sum.Gaps()))
	for cause, val := range sum.Gaps() {
		gaps[string(cause)] = toMillis(val)
	}
	from, to := sum.Span()
	return encodeIndented(out, struct {
		From       time.Time          `json:"from"`
		To         time.Time          `json:"to"`
		Queues     []queue            `json:"queues"`
		HandedIn   map[string]int     `json:"handedIn"`
		Ends       map[string]int     `json:"ends"`
		Stops      map[string]int     `json:"stops"`
		Losses     map[string]int     `json:"losses"`
		Gaps       map[string]float64 `json:"gapMillis"`
		Elections  int                `json:"elections"`
		OverTarget overTargetTimes    `json:"overTarget"`
		Slowest    []slow             `json:"slowest"`
	}{from, to, ques, sum.HandedIn(), sum.Ends(), sum.Stops(), sum.Disruptions(), gaps, len(sum.Elections()), toOverTargetTimes(sum.OverTarget()), slows})
}
