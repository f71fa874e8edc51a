package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/simulation"
)

// mostSeeds bounds an experiment: a seed of a flood takes some seconds.
const mostSeeds = 100

func simulateCommand() *cli.Command {
	return &cli.Command{
		Name: "simulate", Usage: "play load patterns in a model of a deployment and compare policies",
		Description: "Example: jacinthpost simulate --deployment sen-vang --pattern flood --admission all --seeds 5",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: strings.Join(deploymentNames(), " or "), Value: "sen-vang"},
			&cli.StringFlag{Name: "pattern", Usage: "calm, burst, crowded, flood, crash, out or cancelled", Value: "calm"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds, from 1 on", Value: 3},
			&cli.StringFlag{Name: "order", Usage: "of waiting jobs: deadline or arrival", Value: "deadline"},
			&cli.StringFlag{Name: "admission", Usage: "useful refuses what would be complete too late, all refuses nothing", Value: "useful"},
		},
		Action: simulate,
	}
}

func deploymentNames() []string {
	var out []string
	for _, dep := range simulation.Deployments() {
		out = append(out, dep.Name)
	}
	return out
}

func simulate(_ context.Context, cmd *cli.Command) error {
	dep, pat, err := findPattern(cmd.String("deployment"), cmd.String("pattern"))
	if err != nil {
		return err
	}
	seeds := cmd.Int("seeds")
	if seeds < 1 || seeds > mostSeeds {
		return errors.Errorf("--seeds: %d, expected 1 to %d", seeds, mostSeeds)
	}
	play, err := player(cmd.String("order"), cmd.String("admission"))
	if err != nil {
		return err
	}
	var results []simulation.Result
	for seed := range uint64(seeds) {
		results = append(results, play(dep, pat, seed+1))
	}
	if cmd.Bool("json") {
		return printSimulationJSON(os.Stdout, simulation.Aggregate(results))
	}
	return printSimulation(os.Stdout, simulation.Aggregate(results))
}

func findPattern(deployment, pattern string) (simulation.Deployment, simulation.Pattern, error) {
	for _, dep := range simulation.Deployments() {
		if dep.Name != deployment {
			continue
		}
		for _, pat := range simulation.Patterns(dep.BatchClass()) {
			if pat.Name == pattern {
				return dep, pat, nil
			}
		}
		return dep, simulation.Pattern{}, errors.Errorf("--pattern: no pattern %q", pattern)
	}
	return simulation.Deployment{}, simulation.Pattern{}, errors.Errorf("--deployment: %q, expected %s", deployment, strings.Join(deploymentNames(), " or "))
}

type playFunc func(dep simulation.Deployment, pat simulation.Pattern, seed uint64) simulation.Result

// player returns a function that plays a seed with the named policies.
func player(order, admit string) (playFunc, error) {
	players := map[string]playFunc{
		"deadline/useful": playWith(batch.DeadlineOrder{}, admission.RefuseLate{}),
		"deadline/all":    playWith(batch.DeadlineOrder{}, admission.AcceptAll{}),
		"arrival/useful":  playWith(batch.ArrivalOrder{}, admission.RefuseLate{}),
		"arrival/all":     playWith(batch.ArrivalOrder{}, admission.AcceptAll{}),
	}
	play, found := players[order+"/"+admit]
	if !found {
		return nil, errors.Errorf("--order %q --admission %q: expected deadline or arrival, useful or all", order, admit)
	}
	return play, nil
}

func playWith[O batch.Ordering, A admission.Policy](ord O, pol A) playFunc {
	return func(dep simulation.Deployment, pat simulation.Pattern, seed uint64) simulation.Result {
		return simulation.New(dep, pat, seed, ord, batch.SpreadPlacement{}, pol).Run()
	}
}

func printSimulation(out io.Writer, classes []simulation.ClassResult) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "class\tjobs\ton time\tlate\ttoo late\tnot complete\trefused\tcancelled\tunstopped\tserving\tcredit\tlargest\twait 50%\twait 95%\tresponse 50%\tresponse 95%\tuseless work\t")
	for _, cls := range classes {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%s\t\n", cls.Name(), cls.Jobs(), cls.OnTime(), cls.Late(), cls.TooLate(),
			cls.Unfinished(), cls.Refused(), cls.Cancelled(), cls.Unstopped(), cls.ServingFraction(), cls.Credit(), cls.LargestCredit(), short(cls.Wait(0.5)), short(cls.Wait(0.95)), short(cls.Response(0.5)), short(cls.Response(0.95)), short(cls.WastedWork()))
	}
	return tab.Flush()
}

func printSimulationJSON(out io.Writer, classes []simulation.ClassResult) error {
	enc := json.NewEncoder(out)
	for _, cls := range classes {
		err := enc.Encode(struct {
			Class              string  `json:"class"`
			Jobs               int     `json:"jobs"`
			OnTime             int     `json:"onTime"`
			Late               int     `json:"late"`
			TooLate            int     `json:"tooLate"`
			NotComplete        int     `json:"notComplete"`
			Refused            int     `json:"refused"`
			Cancelled          int     `json:"cancelled"`
			Unstopped          int     `json:"unstopped"` // runs that went on after the end of their job
			Serving            float64 `json:"serving"`
			Credit             float64 `json:"credit"`
			LargestCredit      float64 `json:"largestCredit"`
			WaitMillis95       int64   `json:"waitMillis95"`
			ResponseMillis95   int64   `json:"responseMillis95"`
			UselessTaskSeconds float64 `json:"uselessTaskSeconds"`
		}{
			cls.Name(), cls.Jobs(), cls.OnTime(), cls.Late(), cls.TooLate(), cls.Unfinished(), cls.Refused(), cls.Cancelled(), cls.Unstopped(), cls.ServingFraction(), cls.Credit(), cls.LargestCredit(),
			int64(cls.Wait(0.95) / time.Millisecond), int64(cls.Response(0.95) / time.Millisecond), cls.WastedWork().Seconds(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}
