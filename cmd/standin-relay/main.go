// Command standin-relay is a loopback relay for tests. It stands between two
// processes, or between all processes of a deployment, and makes their
// connections silent, slow or broken on demand.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"jacinthpost/cmd/internal/command"
	"jacinthpost/cmd/internal/serve"
	"jacinthpost/cmd/standin-relay/internal/relay"
)

func main() {
	os.Exit(command.Run(&cli.Command{
		Name:  "standin-relay",
		Usage: "relay TCP connections and break them on demand",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to accept connections on"},
			&cli.StringFlag{Name: "target", Usage: "address to connect to; without it the relay stands between the processes that are posted to /v1/place"},
			&cli.StringFlag{Name: "host", Value: "127.0.0.1", Usage: "IP address at which the processes are reached, without -target"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address of the control endpoint"},
		},
		Action: run,
	}))
}

// run prints the address of the relay first and that of the control endpoint second.
func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.String("target") == "" {
		nwk := relay.NewNetwork(cmd.String("host"))
		go nwk.Run(ctx)
		return serve.HTTP(ctx, cmd.String("control"), nwk.Handler(ctx))
	}
	lsn, err := serve.Listen(ctx, cmd.String("listen"))
	if err != nil {
		return err
	}
	rly := relay.New(cmd.String("target"))
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return rly.Serve(ctx, lsn) })
	grp.Go(func() error { return serve.HTTP(ctx, cmd.String("control"), rly.Handler()) })
	return grp.Wait()
}
