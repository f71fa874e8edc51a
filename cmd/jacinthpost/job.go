package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/io/message"
	"jacinthpost/io/operator"
)

// waitPeriod is the pause between two looks at a job that is waited for.
const waitPeriod = 500 * time.Millisecond

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit and follow batch jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job described by a JSON file (- for standard input) or by flags", ArgsUsage: "[FILE]",
				Description: "Example: jacinthpost job submit --key term-2027 --workspace uni-1 --class termBuild --tasks 4 --milli-cpu 2000 --memory-mb 4000 --payload '{\"workMillis\":3000}'",
				Flags:       append(jobFlags("build"), &cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"}),
				Action:      func(ctx context.Context, cmd *cli.Command) error { return submitJob(ctx, cmd, "/v1/jobs") },
			},
			{
				Name: "status", Usage: "show a job", ArgsUsage: "JOB",
				Description: "Example: jacinthpost job status JOB",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"}},
				Action:      func(ctx context.Context, cmd *cli.Command) error { return onJob(ctx, cmd, "GET") },
			},
			{
				Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB",
				Description: "Example: jacinthpost job cancel JOB",
				Action:      func(ctx context.Context, cmd *cli.Command) error { return onJob(ctx, cmd, "DELETE") },
			},
			listJobsCommand(),
			{
				Name: "retry", Usage: "queue the parked tasks of a job again", ArgsUsage: "JOB",
				Description: "Example: jacinthpost job retry JOB",
				Action:      func(ctx context.Context, cmd *cli.Command) error { return onJob(ctx, cmd, "POST", "retry") },
			},
		},
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "start a watch, which runs until it is cancelled with job cancel", ArgsUsage: "[FILE]",
		Description: "Example: jacinthpost watch --key seats-101 --workspace uni-1 --class seatWatch --milli-cpu 200 --memory-mb 256",
		Flags:       jobFlags("watch"),
		Action:      func(ctx context.Context, cmd *cli.Command) error { return submitJob(ctx, cmd, "/v1/watches") },
	}
}

func jobFlags(kind string) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "key", Usage: "idempotency key of the job"},
		&cli.StringFlag{Name: "workspace", Aliases: []string{"customer"}, Usage: "workspace that owns the job"},
		&cli.StringFlag{Name: "team", Usage: "team whose quota it uses; that of the workspace when absent"},
		&cli.StringFlag{Name: "class", Usage: "job class", Value: "default"},
		&cli.StringFlag{Name: "kind", Usage: "build, plan or watch", Value: kind},
		&cli.BoolFlag{Name: "urgent", Usage: "start before other work"},
		&cli.IntFlag{Name: "tasks", Usage: "number of tasks", Value: 1},
		&cli.Int64Flag{Name: "milli-cpu", Usage: "processors of a task in thousandths of a core; without any size that of the class counts"},
		&cli.Int64Flag{Name: "memory-mb", Usage: "memory of a task"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of a task"},
		&cli.StringFlag{Name: "payload", Usage: "payload handed to the worker", Value: "{}"},
		&cli.DurationFlag{Name: "deadline", Usage: "time until the job should be done"},
	}
}

func jobSpec(cmd *cli.Command) ([]byte, error) {
	if name := cmd.Args().First(); name != "" {
		return readInput(name)
	}
	spec := message.JobSpec{
		Key: cmd.String("key"), Workspace: cmd.String("workspace"), Team: cmd.String("team"), Class: cmd.String("class"),
		Kind: cmd.String("kind"), Urgent: cmd.Bool("urgent"), Tasks: cmd.Int("tasks"),
		Resources: message.Resources{MilliCPU: cmd.Int64("milli-cpu"), MemoryMB: cmd.Int64("memory-mb"), Accelerators: cmd.Int64("accelerators")},
		Payload:   []byte(cmd.String("payload")),
	}
	if dur := cmd.Duration("deadline"); dur > 0 {
		spec.DeadlineAt = time.Now().Add(dur).UnixMilli()
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return raw, nil
}

func submitJob(ctx context.Context, cmd *cli.Command, path string) error {
	raw, err := jobSpec(cmd)
	if err != nil {
		return err
	}
	ans, err := call(ctx, cmd, "POST", path, raw, nil)
	if err != nil {
		return err
	}
	return showJob(ctx, cmd, ans)
}

func onJob(ctx context.Context, cmd *cli.Command, method string, action ...string) error {
	id, err := argument(cmd, 0, "JOB")
	if err != nil {
		return err
	}
	ans, err := call(ctx, cmd, method, operator.Path(append([]string{"v1", "jobs", id}, action...)...), nil, nil)
	if err != nil {
		return err
	}
	return showJob(ctx, cmd, ans)
}

// showJob prints the answer, with --wait that at the end of the job.
func showJob(ctx context.Context, cmd *cli.Command, ans operator.Answer) error {
	if ans.OK() && cmd.Bool("wait") {
		var err error
		ans, err = awaitJob(ctx, cmd, ans)
		if err != nil {
			return err
		}
	}
	return show(cmd, ans, func(out io.Writer) error { return printJob(out, ans) })
}

type jobEnvelope struct {
	Job     message.JobStatus `json:"job"`
	Explain []string          `json:"explain"`
}

// endedStates are the states of a job that don't change any more.
var endedStates = map[string]bool{"finished": true, "cancelled": true, "parked": true}

// awaitJob asks for a job until it has ended.
func awaitJob(ctx context.Context, cmd *cli.Command, ans operator.Answer) (operator.Answer, error) {
	last := ""
	for {
		var env jobEnvelope
		if err := ans.Decode(&env); err != nil {
			return ans, err
		}
		if endedStates[env.Job.State] {
			return ans, nil
		}
		if txt := progress(env.Job); txt != last {
			fmt.Fprintln(os.Stderr, txt)
			last = txt
		}
		select {
		case <-ctx.Done():
			return ans, ctx.Err()
		case <-time.After(waitPeriod):
		}
		nxt, err := call(ctx, cmd, "GET", operator.Path("v1", "jobs", env.Job.JobID), nil, nil)
		if err != nil {
			return ans, err
		}
		if nxt.OK() {
			ans = nxt
		}
	}
}

func progress(sta message.JobStatus) string {
	ended := 0
	for _, tsk := range sta.Tasks {
		if endedStates[tsk.State] {
			ended++
		}
	}
	return fmt.Sprintf("job %s is %s, %d of %d tasks ended", sta.JobID, sta.State, ended, len(sta.Tasks))
}

func printJob(out io.Writer, ans operator.Answer) error {
	var env jobEnvelope
	if err := ans.Decode(&env); err != nil {
		return err
	}
	fmt.Fprintf(out, "job %s of %s: %s %s\n", env.Job.JobID, env.Job.Spec.Workspace, env.Job.State, env.Job.Reason)
	var rows [][]string
	for _, tsk := range env.Job.Tasks {
		rows = append(rows, []string{
			strconv.Itoa(tsk.Index), tsk.State, tsk.Instance, fmt.Sprintf("%d.%d", tsk.Token.Epoch, tsk.Token.Sequence),
			strconv.Itoa(tsk.Attempts), strconv.Itoa(tsk.Evictions), strconv.Itoa(tsk.Progress) + "%", tsk.Detail,
		})
	}
	return table(out, []string{"TASK", "STATE", "INSTANCE", "TOKEN", "ATTEMPTS", "EVICTIONS", "PROGRESS", "DETAIL"}, rows)
}
