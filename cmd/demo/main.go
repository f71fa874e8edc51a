// Command demo starts a deployment as separate processes on loopback, drives
// requests, bookings, a batch job, a watch and change tickets through it, takes a
// data centre out and back, kills an entry and stops an instance gracefully, and
// checks every outcome against what the stand-ins recorded. It is started by scripts/demo.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/cmd/internal/command"
	"jacinthpost/internal/harness"
)

// demoLimit bounds the demo of one deployment.
const demoLimit = 3 * time.Minute

func main() {
	os.Exit(command.Run(&cli.Command{
		Name:  "demo",
		Usage: "show a deployment at work",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Usage: "folder under deploy/", Value: []string{"sen-vang", "bayou-paddle"}},
			&cli.StringFlag{Name: "repo", Value: ".", Usage: "root of the repository"},
			&cli.StringFlag{Name: "binaries", Required: true, Usage: "folder of the compiled programs"},
			&cli.StringFlag{Name: "folder", Required: true, Usage: "folder for settings and logs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			for _, name := range cmd.StringSlice("deployment") {
				if err := show(ctx, cmd, name); err != nil {
					return errors.Wrap(err, name)
				}
			}
			fmt.Println("every outcome was right")
			return nil
		},
	}))
}

// show runs all steps against one deployment.
func show(ctx context.Context, cmd *cli.Command, name string) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	folder := filepath.Join(cmd.String("folder"), name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	fle, err := harness.Start(ctx, harness.Options{Deployment: name, Repo: cmd.String("repo"), Binaries: cmd.String("binaries"), Folder: folder})
	if err != nil {
		return err
	}
	defer fle.Stop()
	fmt.Printf("== %s (%s): %d entries, %d instances; logs in %s\n", name, fle.Deployment().Organisation, len(fle.Entries()), len(fle.Instances()), folder)
	dem := &demo{fleet: fle}
	for _, stp := range steps {
		begun := time.Now()
		said, err := stp.run(dem, ctx)
		if err != nil {
			return errors.Wrap(err, stp.name)
		}
		fmt.Printf("%-28s %6.2f s  %s\n", stp.name, time.Since(begun).Seconds(), said)
	}
	fmt.Printf("look around: jacinthpost --entry %s endpoint list | explain | audit; metrics on the metricsAddress of each settings file\n", fle.Entries()[1].Address())
	return nil
}

// demo is what the steps share.
type demo struct {
	fleet   *harness.Fleet
	watchID string
	head    uint64
}

// steps are the parts of the demo in order. Each returns what it saw or the first wrong outcome.
var steps = []struct {
	name string
	run  func(dem *demo, ctx context.Context) (string, error)
}{
	{"service requests", (*demo).serviceRequests},
	{"keyed bookings, twice each", (*demo).keyedBookings},
	{"batch job", (*demo).batchJob},
	{"watch", (*demo).startWatch},
	{"change ticket", (*demo).changeTicket},
	{"data centre out", (*demo).dataCentreOut},
	{"data centre in", (*demo).dataCentreIn},
	{"entry killed under load", (*demo).entryKilled},
	{"instance stopped under load", (*demo).instanceStopped},
	{"invariants", (*demo).invariants},
	{"report", (*demo).report},
}
