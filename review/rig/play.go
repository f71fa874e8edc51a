package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// ErrBroken is returned by a case in which its rule was broken.
var ErrBroken = errors.New("the rule is broken")

// Play plays a case and returns the exit code: 1 if its rule was broken, 0 if it held, 2 if the case could not run. The
// arguments are the path of the record and the compiled program. The environment variable TROUBLE=0 leaves the
// disruption out.
func Play(args []string, play func(ctx context.Context, run *Rig, trouble bool) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD BINARY")
		return 2
	}
	run, err := New(ctx, args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer run.Close()
	switch err := play(ctx, run, os.Getenv("TROUBLE") != "0"); {
	case errors.Is(err, ErrBroken):
		return 1
	case err != nil:
		run.Log("the case could not run: %v", err)
		return 2
	default:
		return 0
	}
}
