// Command standin-relay is a loopback TCP relay for tests. It stands between
// two processes and makes their connections silent, slow or broken on demand.
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
			&cli.StringFlag{Name: "target", Required: true, Usage: "address to connect to"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address of the control endpoint"},
		},
		Action: run,
	}))
}

// run prints the address of the relay first and that of the control endpoint second.
func run(ctx context.Context, cmd *cli.Command) error {
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
