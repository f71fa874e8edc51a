package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"jacinthpost/io/operator"
)

func requestCommand() *cli.Command {
	return &cli.Command{
		Name:        "request",
		Usage:       "send a service request",
		ArgsUsage:   "SERVICE",
		Description: "Example: jacinthpost request --key booking-17 --body '{\"boat\":3}' paddle-booking",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "body", Usage: "body of the request", Value: "{}"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key: the request runs at most once"},
			&cli.StringFlag{Name: "workspace", Aliases: []string{"customer"}, Usage: "workspace that sends it"},
			&cli.StringFlag{Name: "path", Usage: "path at the endpoint"},
			&cli.BoolFlag{Name: "idempotent", Usage: "the request may run more than once"},
			&cli.BoolFlag{Name: "batch", Usage: "the request is not latency-critical"},
			&cli.DurationFlag{Name: "timeout", Usage: "longest wait; the entry's default when absent"},
		},
		Action: sendRequest,
	}
}

func sendRequest(ctx context.Context, cmd *cli.Command) error {
	service, err := argument(cmd, 0, "SERVICE")
	if err != nil {
		return err
	}
	ans, err := call(ctx, cmd, "POST", operator.Path("v1", "services", service, "requests"), []byte(cmd.String("body")), requestHeaders(cmd))
	if err != nil {
		return err
	}
	return show(cmd, ans, func(out io.Writer) error {
		var env struct {
			RequestID string          `json:"requestID"`
			Instance  string          `json:"instance"`
			Attempts  int             `json:"attempts"`
			Replayed  bool            `json:"replayed"`
			Status    int             `json:"status"`
			Body      json.RawMessage `json:"body"`
		}
		if err := ans.Decode(&env); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "answered by %s with status %d (request %s, attempts %d, replayed %t)\n%s\n",
			env.Instance, env.Status, env.RequestID, env.Attempts, env.Replayed, env.Body)
		return err
	})
}

func requestHeaders(cmd *cli.Command) map[string]string {
	headers := map[string]string{"Jacinthpost-Idempotent": strconv.FormatBool(cmd.Bool("idempotent"))}
	for flag, name := range map[string]string{"key": "Idempotency-Key", "workspace": "Jacinthpost-Workspace", "path": "Jacinthpost-Path"} {
		if val := cmd.String(flag); val != "" {
			headers[name] = val
		}
	}
	if cmd.Bool("batch") {
		headers["Jacinthpost-Priority"] = "batch"
	}
	if dur := cmd.Duration("timeout"); dur > 0 {
		headers["Jacinthpost-Timeout-Millis"] = strconv.FormatInt(dur.Milliseconds(), 10)
	}
	return headers
}
