// Command standin-platform is a test double of the platform's table service and
// object store. It keeps everything in memory and binds to loopback in tests.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"jacinthpost/cmd/internal/command"
	"jacinthpost/cmd/internal/serve"
	"jacinthpost/cmd/standin-platform/internal/platform"
)

func main() {
	os.Exit(command.Run(&cli.Command{
		Name:  "standin-platform",
		Usage: "stand in for the table service and the object store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			srv := platform.New()
			// The loop outlives the server, so that requests in flight are answered.
			loopCtx, end := context.WithCancel(context.WithoutCancel(ctx))
			defer end()
			go srv.Run(loopCtx)
			return serve.HTTP(ctx, cmd.String("listen"), srv)
		},
	}))
}
