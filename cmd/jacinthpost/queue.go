package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/io/operator"
)

func queueCommand() *cli.Command {
	queueFlag := &cli.StringFlag{Name: "queue", Usage: "name of the queue, see queue list", Required: true}
	return &cli.Command{
		Name:  "queue",
		Usage: "hand in and follow jobs of steps, which the queues of the operators' configuration accept",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the queues",
				Description: "Example: jacinthpost queue list",
				Action:      listQueues,
			},
			{
				Name: "pending", Usage: "show how many accepted jobs of a queue have not begun", ArgsUsage: "QUEUE",
				Description: "Example: jacinthpost queue pending term-build",
				Action:      showPending,
			},
			{
				Name: "submit", Usage: "hand in a job described by a JSON file (- for standard input)", ArgsUsage: "JOB FILE",
				Description: "Example: jacinthpost queue submit --queue term-build 5c0e7a21d94b36f8 job.json\n" +
					`job.json: {"payload":"term 2027","steps":[{"count":4,"milliCpu":500,"memoryMb":256},{"count":8,"milliCpu":2000,"memoryMb":1024,"after":[0],"checkpointing":true}]}`,
				Flags:  []cli.Flag{queueFlag},
				Action: submitToQueue,
			},
			{
				Name: "state", Usage: "show the state of a job", ArgsUsage: "JOB",
				Description: "Example: jacinthpost queue state --queue term-build 5c0e7a21d94b36f8",
				Flags:       []cli.Flag{queueFlag},
				Action:      showQueuedJob,
			},
			{
				Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB",
				Description: "Example: jacinthpost queue cancel --queue term-build 5c0e7a21d94b36f8",
				Flags:       []cli.Flag{queueFlag},
				Action:      cancelQueuedJob,
			},
		},
	}
}

func listQueues(ctx context.Context, cmd *cli.Command) error {
	type body struct {
		Queues []struct {
			Name     string `json:"name"`
			Service  string `json:"service"`
			Priority int    `json:"priority"`
		} `json:"queues"`
	}
	return get(ctx, cmd, operator.Path("v1", "queues"), func(out io.Writer, bdy body) error {
		var rows [][]string
		for _, que := range bdy.Queues {
			rows = append(rows, []string{que.Name, que.Service, strconv.Itoa(que.Priority)})
		}
		return table(out, []string{"QUEUE", "SERVICE", "PRIORITY"}, rows)
	})
}

func showPending(ctx context.Context, cmd *cli.Command) error {
	name, err := argument(cmd, 0, "QUEUE")
	if err != nil {
		return err
	}
	type body struct {
		Pending int `json:"pending"`
	}
	return get(ctx, cmd, operator.Path("v1", "queues", name), func(out io.Writer, bdy body) error {
		_, err := fmt.Fprintf(out, "%d jobs of %s have not begun\n", bdy.Pending, name)
		return err
	})
}

// queuedJobPath returns the path of the job that the flag and the first argument name.
func queuedJobPath(cmd *cli.Command) (id, path string, err error) {
	id, err = argument(cmd, 0, "JOB")
	return id, operator.Path("v1", "queues", cmd.String("queue"), "jobs", id), err
}

func submitToQueue(ctx context.Context, cmd *cli.Command) error {
	id, path, err := queuedJobPath(cmd)
	if err != nil {
		return err
	}
	name, err := argument(cmd, 1, "FILE")
	if err != nil {
		return err
	}
	raw, err := readInput(name)
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	ans, err := call(ctx, cmd, "PUT", path, raw, nil)
	if err != nil {
		return err
	}
	return show(cmd, ans, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "job %s is accepted\n", id)
		return err
	})
}

func showQueuedJob(ctx context.Context, cmd *cli.Command) error {
	id, path, err := queuedJobPath(cmd)
	if err != nil {
		return err
	}
	type body struct {
		State string `json:"state"`
	}
	return get(ctx, cmd, path, func(out io.Writer, bdy body) error {
		_, err := fmt.Fprintf(out, "job %s is %s\n", id, bdy.State)
		return err
	})
}

func cancelQueuedJob(ctx context.Context, cmd *cli.Command) error {
	id, path, err := queuedJobPath(cmd)
	if err != nil {
		return err
	}
	ans, err := call(ctx, cmd, "DELETE", path, nil, nil)
	if err != nil {
		return err
	}
	return show(cmd, ans, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "the cancellation of job %s is accepted\n", id)
		return err
	})
}
