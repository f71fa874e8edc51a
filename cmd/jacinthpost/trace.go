package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/core/history"
	"jacinthpost/io/logfile"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "show the life of a job from collected logs", ArgsUsage: "JOB LOG...",
		Description: "LOG is a file, a folder of files, or - for standard input.\nExample: jacinthpost trace 454c8db30e4fdde9 logs/\n" +
			"Clocks are corrected only where the order of events demands it. The exit code is 1 when no line is about the job.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			job, err := argument(cmd, 0, "JOB")
			if err != nil {
				return err
			}
			tml, err := openLogs(cmd.Args().Slice()[1:])
			if err != nil {
				return err
			}
			trc, found := tml.Trace(job)
			if !found {
				return errors.Errorf("no line is about the job %q", job)
			}
			if cmd.Bool("json") {
				return printTraceJSON(os.Stdout, trc)
			}
			return printTrace(os.Stdout, tml, trc)
		},
	}
}

// openLogs reads logs and tells on standard error what could not be used.
func openLogs(names []string) (history.Timeline, error) {
	if len(names) == 0 {
		return history.Timeline{}, errors.New("argument LOG is missing, see --help")
	}
	log, err := logfile.Open(names, os.Stdin)
	if err != nil {
		return history.Timeline{}, err
	}
	if num := log.Unreadable(); num > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are no decisions and were left out\n", num)
	}
	if len(log.Lines()) == 0 {
		return history.Timeline{}, errors.New("the logs have no decision")
	}
	tml := history.New(log.Lines())
	if num := tml.Contradictions(); num > 0 {
		fmt.Fprintf(os.Stderr, "the clocks of %d pairs of nodes contradict the order of events; times across them are not certain\n", num)
	}
	return tml, nil
}

func printTrace(out io.Writer, tml history.Timeline, trc history.Trace) error {
	fmt.Fprintf(out, "job %s: %s, %d runs", trc.Job(), trc.State(), trc.Runs())
	if val, ok := trc.Waited(); ok {
		fmt.Fprintf(out, ", first run after %s", short(val))
	}
	if val, ok := trc.Took(); ok {
		fmt.Fprintf(out, ", ended after %s", short(val))
	}
	fmt.Fprintln(out)
	for why, num := range sorted(trc.Stops()) {
		fmt.Fprintf(out, "  %d runs stopped: %s\n", num, why)
	}
	for _, gap := range trc.Gaps() {
		fmt.Fprintf(out, "  nothing at work for %s from +%s: %s, after %s %s\n",
			short(gap.Length()), short(gap.From.Sub(trc.Begun())), gap.Cause, gap.Line.Kind, gap.Line.Detail)
	}
	if _, ended := trc.Took(); ended {
		for _, lin := range trc.Unended() {
			fmt.Fprintf(out, "  no end in the logs: %s on %s\n", taskOf(lin), lin.Instance)
		}
	}
	for node, off := range sorted(tml.Offsets()) {
		if off != 0 {
			fmt.Fprintf(out, "  the clock of %s was moved by %s\n", node, off)
		}
	}
	fmt.Fprintln(out)
	lines := append(slices.Clone(trc.Lines()), trc.Context()...)
	slices.SortStableFunc(lines, func(fst, snd history.Line) int { return fst.At.Compare(snd.At) })
	rows := make([][]string, 0, len(lines))
	for _, lin := range lines {
		rows = append(rows, []string{"+" + short(lin.At.Sub(trc.Begun())), lin.Node, string(lin.Kind), taskOf(lin), lin.Instance, remark(lin)})
	}
	return table(out, []string{"TIME", "NODE", "DECISION", "TASK", "INSTANCE", "DETAIL"}, rows)
}

// taskOf names the task and the run of a line within its job.
func taskOf(lin history.Line) string {
	if lin.Task == "" {
		return ""
	}
	return fmt.Sprintf("%s run %d", strings.TrimPrefix(lin.Task, lin.Job+"."), lin.Run)
}

func remark(lin history.Line) string {
	parts := make([]string, 0, 3)
	for _, txt := range []string{lin.Outcome, lin.Reason, strings.TrimSpace(lin.Detail)} {
		if txt != "" {
			parts = append(parts, txt)
		}
	}
	return strings.Join(parts, " ")
}

func short(dur time.Duration) string { return dur.Round(time.Millisecond).String() }

// sorted visits a map in the order of its keys.
func sorted[K cmp.Ordered, V any](all map[K]V) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		keys := make([]K, 0, len(all))
		for key := range all {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			if !yield(key, all[key]) {
				return
			}
		}
	}
}

// traceLine is a line in JSON, with the time from the first one.
type traceLine struct {
	AfterMillis float64 `json:"afterMillis"`
	Node        string  `json:"node"`
	Decision    string  `json:"decision"`
	Task        string  `json:"task,omitempty"`
	Run         int     `json:"run,omitempty"`
	Instance    string  `json:"instance,omitempty"`
	Detail      string  `json:"detail,omitempty"`
}

func traceLines(lines []history.Line, begun time.Time) []traceLine {
	out := make([]traceLine, 0, len(lines))
	for _, lin := range lines {
		out = append(out, traceLine{
			AfterMillis: toMillis(lin.At.Sub(begun)), Node: lin.Node, Decision: string(lin.Kind),
			Task: lin.Task, Run: lin.Run, Instance: lin.Instance, Detail: remark(lin),
		})
	}
	return out
}

func toMillis(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func printTraceJSON(out io.Writer, trc history.Trace) error {
	type gap struct {
		AfterMillis  float64 `json:"afterMillis"`
		LengthMillis float64 `json:"lengthMillis"`
		Cause        string  `json:"cause"`
	}
	gaps := make([]gap, 0, len(trc.Gaps()))
	for _, val := range trc.Gaps() {
		gaps = append(gaps, gap{AfterMillis: toMillis(val.From.Sub(trc.Begun())), LengthMillis: toMillis(val.Length()), Cause: string(val.Cause)})
	}
	return encodeIndented(out, struct {
		Job     string         `json:"job"`
		State   string         `json:"state"`
		Begun   time.Time      `json:"begun"`
		Runs    int            `json:"runs"`
		Stops   map[string]int `json:"stops"`
		Gaps    []gap          `json:"gaps"`
		Unended []traceLine    `json:"unended"`
		Lines   []traceLine    `json:"lines"`
		Context []traceLine    `json:"context"`
	}{trc.Job(), trc.State(), trc.Begun(), trc.Runs(), trc.Stops(), gaps, traceLines(trc.Unended(), trc.Begun()), traceLines(trc.Lines(), trc.Begun()), traceLines(trc.Context(), trc.Begun())})
}

func encodeIndented(out io.Writer, val any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}
