// Package command runs the command line of a program that has no exit codes of its own.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Run runs the command with the arguments of the process and returns its exit
// status. SIGINT and SIGTERM end the context of the command; an error is printed.
func Run(cmd *cli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, cmd.Name+":", err.Error())
		return 1
	}
	return 0
}
