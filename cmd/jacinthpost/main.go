// Command jacinthpost is the product binary: the entry and agent processes and
// the operator commands, which call an entry over HTTP.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/platform"
)

// Exit codes of the operator commands.
const (
	exitFailed  = 1 // bad usage, or the entry could not be reached
	exitRefused = 2 // the entry refused: nothing was run or changed
	exitUnknown = 3 // the outcome is unknown: ask again
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().Run(ctx, os.Args)
	if err == nil {
		return
	}
	var ended *endError
	if errors.As(err, &ended) {
		fmt.Fprintln(os.Stderr, ended.Error())
		os.Exit(ended.code)
	}
	fmt.Fprintln(os.Stderr, "jacinthpost:", err.Error())
	os.Exit(exitFailed)
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:                  "jacinthpost",
		Usage:                 "schedule latency-critical and batch work on the same instances",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "address of an entry, host:port; several are tried in turn", Value: []string{"127.0.0.1:21001"}, Sources: cli.EnvVars("JACINTHPOST_ENTRY")},
			&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		},
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), settingsCommand(),
			requestCommand(), jobCommand(), watchCommand(), queueCommand(), reportCommand(),
			ticketCommand(), stateCommand(), endpointCommand(), dataCentreCommand(),
			explainCommand(), auditCommand(), traceCommand(), logsCommand(), simulateCommand(), platform.Command(),
		},
	}
}
