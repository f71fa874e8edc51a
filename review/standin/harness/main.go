package harness

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Case is what a case does with a deployment. It returns the exit code.
type Case func(fle *Fleet, trouble bool) int

// Main runs a case with the flags of the command line and ends the program.
func Main(workers int, play Case) {
	binary := flag.String("binary", "target/jacinthpost", "the built program")
	path := flag.String("record", "record.txt", "the file that tells what happened")
	flag.Parse()
	os.Exit(runCase(*binary, *path, workers, play))
}

func runCase(binary, path string, workers int, play Case) int {
	rec, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return CouldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Say("disruption: %v", trouble)
	fle, err := New(binary, workers, rec)
	if fle != nil {
		defer fle.Stop()
	}
	code := CouldNot
	if err != nil {
		rec.Say("cannot start: %v", err)
	} else {
		code = playUntilSignal(fle, trouble, play)
	}
	rec.Say("exit %d", code)
	if err := rec.Close(); err != nil {
		fmt.Println(err)
		return CouldNot
	}
	return code
}

// playUntilSignal plays a case. A signal ends it, so that no process is left.
func playUntilSignal(fle *Fleet, trouble bool, play Case) int {
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(fle, trouble) }()
	select {
	case code := <-done:
		return code
	case <-sigs:
		fle.Record.Say("ended by a signal")
		return CouldNot
	}
}

// JudgeTwice returns the exit code of a case about the rule TWICE.
func JudgeTwice(fle *Fleet) int {
	together, again := fle.Monitor.Twice()
	fle.Record.Say("TWICE: %d starts after a run had ended done, an end that was taken note of; %d starts while another run of the task was at work", len(again), len(together))
	for num, line := range append(again, together...) {
		fle.Record.Add("TWICE: %s", line)
		if num < 3 {
			fmt.Println(line)
		}
	}
	if len(again)+len(together) > 0 {
		return Broken
	}
	return Held
}
