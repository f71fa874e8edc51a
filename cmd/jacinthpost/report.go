package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"jacinthpost/io/message"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "count the jobs of the last hours and name those that need attention",
		Description: "Example: jacinthpost report --period 16h\nThe exit code is 0 also when jobs need attention.",
		Flags:       []cli.Flag{&cli.DurationFlag{Name: "period", Usage: "how far back jobs that have ended are counted", Value: 16 * time.Hour}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{"period": {cmd.Duration("period").String()}}
			return get(ctx, cmd, "/v1/report?"+query.Encode(), printReport)
		},
	}
}

func printReport(out io.Writer, rpt message.Report) error {
	fmt.Fprintf(out, "jobs that have not ended or ended since %s\n", utc(rpt.SinceMillis))
	if len(rpt.MissingPartitions) > 0 {
		fmt.Fprintf(out, "INCOMPLETE: the owners of partitions %v did not answer\n", rpt.MissingPartitions)
	}
	var rows [][]string
	for _, row := range rpt.Rows {
		line := []string{row.Team, row.Class}
		for _, count := range [...]int{row.Finished, row.Cancelled, row.Parked, row.Running, row.Waiting, row.Late, row.Evictions} {
			line = append(line, strconv.Itoa(count))
		}
		rows = append(rows, line)
	}
	if err := table(out, []string{"TEAM", "CLASS", "FINISHED", "CANCELLED", "PARKED", "RUNNING", "WAITING", "LATE", "EVICTIONS"}, rows); err != nil {
		return err
	}
	if len(rpt.Concerns) == 0 && len(rpt.MissingPartitions) == 0 {
		_, err := fmt.Fprintln(out, "\nno job needs attention")
		return err
	}
	return printConcerns(out, rpt)
}

func printConcerns(out io.Writer, rpt message.Report) error {
	if len(rpt.Concerns) == 0 {
		_, err := fmt.Fprintln(out, "\nno job of the partitions that answered needs attention")
		return err
	}
	fmt.Fprintln(out, "\njobs that need attention (jacinthpost explain job JOB tells more)")
	var rows [][]string
	for _, con := range rpt.Concerns {
		behind := ""
		if con.BehindMillis > 0 {
			behind = (time.Duration(con.BehindMillis) * time.Millisecond).Round(time.Second).String()
		}
		rows = append(rows, []string{con.Why, con.JobID, con.Workspace, con.Team, con.Class, utc(con.SubmittedAt), behind, con.Detail})
	}
	if err := table(out, []string{"WHY", "JOB", "CUSTOMER", "TEAM", "CLASS", "SUBMITTED", "BEHIND", "DETAIL"}, rows); err != nil {
		return err
	}
	if rpt.Unnamed > 0 {
		fmt.Fprintf(out, "and %d more\n", rpt.Unnamed)
	}
	return nil
}

func listJobsCommand() *cli.Command {
	names := [...]string{"workspace", "team", "class", "state"}
	flags := []cli.Flag{&cli.IntFlag{Name: "limit", Usage: "number of jobs", Value: 100}}
	for _, name := range names {
		flags = append(flags, &cli.StringFlag{Name: name, Usage: "only jobs with this " + name})
	}
	return &cli.Command{
		Name: "list", Usage: "list the latest jobs",
		Description: "Example: jacinthpost job list --state parked --workspace uni-1",
		Flags:       flags,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{"limit": {strconv.Itoa(cmd.Int("limit"))}}
			for _, name := range names {
				if cmd.IsSet(name) {
					query.Set(name, cmd.String(name))
				}
			}
			return get(ctx, cmd, "/v1/jobs?"+query.Encode(), printJobs)
		},
	}
}

func printJobs(out io.Writer, list message.JobList) error {
	if len(list.MissingPartitions) > 0 {
		fmt.Fprintf(out, "INCOMPLETE: the owners of partitions %v did not answer\n", list.MissingPartitions)
	}
	var rows [][]string
	for _, sum := range list.Jobs {
		rows = append(rows, []string{
			sum.JobID, sum.Workspace, sum.Team, sum.Class, sum.Kind, sum.State, fmt.Sprintf("%d of %d", sum.Ended, sum.Tasks),
			strconv.Itoa(sum.Evictions), utc(sum.SubmittedAt), sum.Detail,
		})
	}
	return table(out, []string{"JOB", "CUSTOMER", "TEAM", "CLASS", "KIND", "STATE", "ENDED", "EVICTIONS", "SUBMITTED", "DETAIL"}, rows)
}

func utc(unixMillis int64) string { return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339) }
