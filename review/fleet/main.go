// Command fleet runs entries and agents of jacinthpost as separate processes on loopback, with stand-ins of the
// store, the workers and the machine service around them, and checks the rules from what these see.
//
// With -case it plays a case of the review and exits with 1 if a rule was broken, 0 if not, and 2 if the case could not
// run. The environment variable TROUBLE=0 leaves the disruptions out. Without -case it injects random faults.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, wld *world, trouble bool) error{
	"drain":      drain,
	"evacuation": evacuation,
	"unasked":    unasked,
	"upkeep":     upkeep,
}

func main() {
	binary := flag.String("binary", "target/jacinthpost", "the compiled jacinthpost")
	folder := flag.String("folder", "", "folder for settings and logs")
	name := flag.String("case", "", "case to play")
	rule := flag.String("rule", "", "rule that the case is about")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("for", 30*time.Second, "time with faults")
	flag.Parse()
	if *name != "" {
		os.Exit(play(*name, *rule, *binary, *folder, *record, os.Getenv("TROUBLE") != "0"))
	}
	broken := 0
	for num := range *seeds {
		sum, err := explore(*seed+uint64(num), *length, *binary, *folder)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldntRun)
		}
		broken += sum
	}
	if broken > 0 {
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
}

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// play plays a case and returns the exit code.
func play(name, rule, binary, folder, record string, trouble bool) int {
	run, found := cases[name]
	rec, err := os.Create(record)
	if err != nil || !found {
		fmt.Fprintln(os.Stderr, "cannot play", name, err)
		return couldntRun
	}
	defer func() { _ = rec.Close() }()
	wld := newWorld(folder, binary, fmt.Sprintf("127.%d.%d.7", 10+os.Getpid()/250%30, 1+os.Getpid()%250), rec)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err = run(ctx, wld, trouble)
	wld.stop()
	return wld.verdict(rule, err, os.Stdout)
}

// verdict prints the result of a case and returns its exit code.
func (wld *world) verdict(rule string, err error, out io.Writer) int {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	broken := 0
	for _, vio := range wld.violations {
		fmt.Fprintln(out, vio)
		if len(vio) > 9+len(rule) && vio[9:9+len(rule)] == rule {
			broken++
		}
	}
	sum := fmt.Sprintf("%d starts, %d orders of which %d got no answer, %s broken %d times", wld.starts, wld.orders, wld.unanswered, rule, broken)
	fmt.Fprintln(out, sum)
	wld.note("%s", sum)
	switch {
	case broken > 0:
		return ruleBroken
	case err != nil:
		fmt.Fprintln(out, "the case could not run:", err)
		return couldntRun
	default:
		return ruleHeld
	}
}
