// Command standin-endpoint is a test double of one instance of the platform:
// an endpoint that answers service requests and the worker that runs tasks
// beside it. It executes whatever it is given and records the highest
// commitment, so that tests can check what the scheduler has promised.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"jacinthpost/cmd/internal/command"
	"jacinthpost/cmd/internal/serve"
	"jacinthpost/cmd/standin-endpoint/internal/endpoint"
	"jacinthpost/cmd/standin-endpoint/internal/tasks"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

func main() {
	os.Exit(command.Run(&cli.Command{
		Name:   "standin-endpoint",
		Usage:  "stand in for the endpoint and the worker of one instance",
		Flags:  flags(),
		Action: run,
	}))
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address of the endpoint and the worker"},
		&cli.StringFlag{Name: "agent", Usage: "address to announce to; none when empty"},
		&cli.StringFlag{Name: "advertise", Usage: "address to announce, that of -listen when empty; for a relay in between"},
		&cli.StringFlag{Name: "id", Value: "instance", Usage: "name in answers and history"},
		&cli.StringFlag{Name: "service", Value: "service", Usage: "service of the endpoint"},
		&cli.Int64Flag{Name: "milli-cpu", Value: 11_000, Usage: "processors of the worker in thousandths of a core"},
		&cli.Int64Flag{Name: "memory-mb", Value: 62_000, Usage: "memory of the worker"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of the worker"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests that run at full speed"},
		&cli.IntFlag{Name: "connections", Value: 64, Usage: "connections announced"},
		&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "time of a request without interference"},
		&cli.DurationFlag{Name: "usage-lag", Value: time.Second, Usage: "age of the reported usage"},
		&cli.DurationFlag{Name: "checkpoint-period", Value: time.Second, Usage: "time between automatic checkpoints; 0 is never"},
		&cli.DurationFlag{Name: "drain-timeout", Value: 20 * time.Second, Usage: "longest wait for the agent to drain"},
	}
}

func config(cmd *cli.Command) endpoint.Config {
	// Microseconds stay exact in JSON readers that use floating point.
	inc := fleet.Incarnation(time.Now().UnixMicro())
	capacity := resource.New(cmd.Int64("milli-cpu"), cmd.Int64("memory-mb"), cmd.Int64("accelerators"))
	wrk := tasks.NewConfig(inc, capacity).
		WithUsageLag(cmd.Duration("usage-lag")).
		WithCheckpoints(cmd.Duration("checkpoint-period"))
	return endpoint.NewConfig(cmd.String("id"), cmd.String("service"), wrk).
		WithLimits(cmd.Int("slots"), cmd.Int("connections")).
		WithServiceTime(cmd.Duration("service-time"))
}

// run serves until a signal, then leaves: it announces so until the agent is
// drained, completes the requests in flight and prints the peak.
func run(ctx context.Context, cmd *cli.Command) error {
	lsn, err := serve.Listen(ctx, cmd.String("listen"))
	if err != nil {
		return err
	}
	srv := endpoint.New(config(cmd))
	serveCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	loopCtx, endLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer endLoop()
	go srv.Run(loopCtx)
	served := make(chan error, 1)
	go func() { served <- serve.Listener(serveCtx, lsn, srv) }()
	if err := announce(ctx, srv, cmd, lsn, served); err != nil {
		return err
	}
	end()
	err = <-served
	summary, _ := json.Marshal(srv.Peak())
	fmt.Println(string(summary))
	return err
}

// announce returns when the instance may stop, or with the error of a server that ended by itself.
func announce(ctx context.Context, srv *endpoint.Server, cmd *cli.Command, lsn net.Listener, served <-chan error) error {
	agent, addr := cmd.String("agent"), cmd.String("advertise")
	if addr == "" {
		addr = lsn.Addr().String()
	}
	if agent != "" {
		go srv.Announce(ctx, agent, addr)
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	if agent == "" {
		return nil
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmd.Duration("drain-timeout"))
	defer cancel()
	if !srv.Leave(drainCtx, agent, addr) {
		fmt.Fprintln(os.Stderr, "the agent was not drained within", cmd.Duration("drain-timeout"))
	}
	return nil
}
