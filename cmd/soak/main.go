// Command soak runs entries and agents as separate processes on loopback, breaks them
// in random ways, and checks the promises to callers and workers meanwhile.
//
// The store and the workers are stand-ins inside the soak, so it sees all that they
// see. Faults overlap: processes are killed, frozen, stopped gracefully and told to
// reload; the store refuses, hangs, loses answers and history, for all or for single
// processes; workers end and begin new lives; data centres are taken out. The last
// fault kills the owner while an agent can't receive its stops. A seed
// decides which faults come when; what they hit in the processes still varies.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/cmd/internal/command"
)

func main() {
	os.Exit(command.Run(&cli.Command{
		Name:  "soak",
		Usage: "break a fleet of real processes and check its promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Required: true, Usage: "the compiled jacinthpost"},
			&cli.StringFlag{Name: "folder", Required: true, Usage: "folder for settings and logs; those of seeds that pass are removed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after another"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "time with faults for each seed"},
			&cli.IntFlag{Name: "agents", Value: 4, Usage: "agents with their workers, besides two for long-running jobs"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "entries"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			failed := 0
			for num := range cmd.Int("seeds") {
				opt := options{
					binary: cmd.String("binary"), folder: cmd.String("folder"), seed: cmd.Uint64("seed") + uint64(num),
					length: cmd.Duration("for"), agents: cmd.Int("agents"), entries: cmd.Int("entries"),
				}
				res, err := soak(ctx, opt)
				if err != nil {
					return errors.Wrapf(err, "seed %d", opt.seed)
				}
				fmt.Println(res)
				if len(res.faults) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d seeds failed", failed)
			}
			return nil
		},
	}))
}

// options are those of one seed.
type options struct {
	binary, folder  string
	seed            uint64
	length          time.Duration
	agents, entries int
}

// result is what one seed showed.
type result struct {
	seed                                  uint64
	accepted, refused, unknown, cancelled int
	injected                              int
	starts                                int
	folder                                string
	faults                                []string
}

// String formats the result for a terminal.
func (res result) String() string {
	txt := fmt.Sprintf("seed %d: %d faults injected; jobs accepted %d, refused %d, unknown %d, cancelled %d; %d starts",
		res.seed, res.injected, res.accepted, res.refused, res.unknown, res.cancelled, res.starts)
	if len(res.faults) == 0 {
		return txt + "; every promise was kept"
	}
	for _, flt := range res.faults {
		txt += "\n  BROKEN: " + flt
	}
	return txt + "\n  logs in " + res.folder
}
