package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/wire"
	"github.com/urfave/cli/v3"

	"jacinthpost/io/node"
	"jacinthpost/io/settings"
)

// common connects what both roles need.
var common = wire.NewSet(node.Incarnation, node.NewThread, node.NewPools, node.NewTable, node.NewObjects, node.New)

type (
	// entryProcess and agentProcess are what google/wire connects.
	entryProcess process
	agentProcess process
)

// process is a connected process that has not started yet.
type process struct {
	node *node.Node
	role node.Role
}

func (pro process) run(ctx context.Context) error { return pro.node.Run(ctx, pro.role) }

func entryCommand() *cli.Command {
	return processCommand(settings.Entry, "run an entry, which callers and operators reach", func(set settings.Settings) (process, error) {
		pro, err := newEntryProcess(set)
		return process(pro), err
	})
}

func agentCommand() *cli.Command {
	return processCommand(settings.Agent, "run the agent beside an endpoint instance", func(set settings.Settings) (process, error) {
		pro, err := newAgentProcess(set)
		return process(pro), err
	})
}

func processCommand(rol settings.Role, usage string, connect func(settings.Settings) (process, error)) *cli.Command {
	return &cli.Command{
		Name: string(rol), Usage: usage,
		Description: "Example: jacinthpost " + string(rol) + " --settings deploy/sen-vang/" + string(rol) + "-1.json",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON settings file", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			set, err := loadSettings(cmd.String("settings"), rol)
			if err != nil {
				return err
			}
			pro, err := connect(set)
			if err != nil {
				return err
			}
			return pro.run(ctx)
		},
	}
}

// loadSettings reads settings or lists everything that is wrong with them.
func loadSettings(name string, rol settings.Role) (settings.Settings, error) {
	raw, err := readInput(name)
	if err != nil {
		return settings.Settings{}, err
	}
	set, faults := settings.Parse(raw, rol)
	if len(faults) == 0 {
		return set, nil
	}
	for _, flt := range faults {
		fmt.Fprintln(os.Stderr, flt)
	}
	return set, errors.Errorf("%s: %d faults in the settings of the %s", name, len(faults), rol)
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a settings file and print what is in force, with defaults", ArgsUsage: "FILE",
			Description: "Example: jacinthpost settings check --role agent deploy/sen-vang/agent-1.json",
			Flags:       []cli.Flag{&cli.StringFlag{Name: "role", Usage: "entry or agent", Required: true}},
			Action: func(_ context.Context, cmd *cli.Command) error {
				name, err := argument(cmd, 0, "FILE")
				if err != nil {
					return err
				}
				rol := settings.Role(cmd.String("role"))
				if rol != settings.Entry && rol != settings.Agent {
					return errors.Errorf("role %q is neither entry nor agent", rol)
				}
				set, err := loadSettings(name, rol)
				if err != nil {
					return err
				}
				return indented(os.Stdout, set.Encode())
			},
		}},
	}
}
