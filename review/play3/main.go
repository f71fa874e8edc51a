package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	caseLimit = 110 * time.Second
)

// play is one case. It returns what broke the rule, empty if it held, or an error if the case could not run.
type play func(ctx context.Context, fle *fleet, trouble bool) (string, error)

var plays = map[string]play{"upkeep": playUpkeep, "failing": playFailing, "fills": playFills, "gang": playGang, "wide": playWide}

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "the file to write")
	flag.Parse()
	ply, found := plays[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return couldNot
	}
	verdict, err := execute(ply, *path, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return couldNot
	case verdict != "":
		fmt.Println("broken:", verdict)
		return broken
	}
	fmt.Println("held")
	return held
}

// execute plays a case in a folder of its own.
func execute(ply play, path string, trouble bool) (string, error) {
	rec, err := newRecorder(path)
	if err != nil {
		return "", err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	fle, err := newFleet(rec, folder)
	if err != nil {
		return "", err
	}
	defer fle.stop()
	verdict, err := ply(ctx, fle, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if names := fle.ends(); err == nil && len(names) > 0 && verdict == "" {
		verdict = fmt.Sprintf("processes ended by themselves: %v", names)
	}
	rec.notef("verdict: %q %v", verdict, err)
	return verdict, err
}
