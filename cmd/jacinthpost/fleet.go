package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"jacinthpost/io/audit"
	"jacinthpost/io/operator"
)

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "who files the ticket", Value: os.Getenv("USER")}
}

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "list and drain endpoints",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the members known to the entry",
				Description: "Example: jacinthpost endpoint list",
				Action:      listMembers,
			},
			{
				Name: "drain", Usage: "file the ticket that drains an endpoint, or undo it", ArgsUsage: "INSTANCE",
				Description: "Example: jacinthpost endpoint drain --reason 'disk replacement' agent-2",
				Flags: []cli.Flag{
					authorFlag(),
					&cli.StringFlag{Name: "reason", Usage: "why", Value: "operator request"},
					&cli.BoolFlag{Name: "undo", Usage: "put the endpoint back into service"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					name, err := argument(cmd, 0, "INSTANCE")
					if err != nil {
						return err
					}
					return change(ctx, cmd, "endpoint", name, cmd.String("reason"), struct {
						Draining bool `json:"draining"`
					}{Draining: !cmd.Bool("undo")})
				},
			},
		},
	}
}

func listMembers(ctx context.Context, cmd *cli.Command) error {
	return get(ctx, cmd, "/v1/members", func(out io.Writer, list struct {
		Members []struct {
			Instance   string `json:"instance"`
			Role       string `json:"role"`
			State      string `json:"state"`
			Region     string `json:"region"`
			DataCentre string `json:"dataCentre"`
			Service    string `json:"service"`
			Address    string `json:"address"`
			Head       uint64 `json:"head"`
		} `json:"members"`
	}) error {
		var rows [][]string
		for _, mem := range list.Members {
			rows = append(rows, []string{mem.Instance, mem.Role, mem.State, mem.Region, mem.DataCentre, mem.Service, mem.Address, strconv.FormatUint(mem.Head, 10)})
		}
		return table(out, []string{"INSTANCE", "ROLE", "STATE", "REGION", "DATA CENTRE", "SERVICE", "ADDRESS", "HEAD"}, rows)
	})
}

func dataCentreCommand() *cli.Command {
	move := func(name, usage, state string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "DATACENTRE",
			Description: "Example: jacinthpost datacentre " + name + " --reason 'power work' bac-haiphong",
			Flags:       []cli.Flag{authorFlag(), &cli.StringFlag{Name: "reason", Usage: "why", Value: "operator request"}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				dc, err := argument(cmd, 0, "DATACENTRE")
				if err != nil {
					return err
				}
				return change(ctx, cmd, "dataCentre", dc, cmd.String("reason"), struct {
					State  string `json:"state"`
					Reason string `json:"reason"`
				}{State: state, Reason: cmd.String("reason")})
			},
		}
	}
	return &cli.Command{
		Name:  "datacentre",
		Usage: "take a data centre out of service or bring it back",
		Commands: []*cli.Command{
			move("out", "no task starts there any more and running tasks move", "out"),
			move("in", "tasks may start there again", "in"),
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "list the audit trail of changes",
		Description: "Example: jacinthpost audit --limit 20",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "after", Usage: "key of the last row already seen"},
			&cli.IntFlag{Name: "limit", Usage: "number of rows", Value: 100},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{"limit": {strconv.Itoa(cmd.Int("limit"))}, "after": {cmd.String("after")}}
			return get(ctx, cmd, "/v1/audit?"+query.Encode(), printAudit)
		},
	}
}

func printAudit(out io.Writer, list struct {
	Entries []audit.Entry `json:"entries"`
}) error {
	var rows [][]string
	for _, ent := range list.Entries {
		rows = append(rows, []string{ent.At.UTC().Format("2006-01-02T15:04:05.000Z"), ent.Actor, strconv.FormatUint(ent.Ticket, 10), ent.Outcome, ent.Action, ent.Detail})
		for _, chg := range ent.Changes {
			rows = append(rows, []string{"", "", "", "", chg.Object, fmt.Sprintf("%s -> %s", chg.Before, chg.After)})
		}
	}
	return table(out, []string{"AT", "ACTOR", "TICKET", "OUTCOME", "ACTION", "DETAIL"}, rows)
}

func explainCommand() *cli.Command {
	explain := func(name, usage string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME",
			Description: "Example: jacinthpost explain " + name + " NAME",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				subject, err := argument(cmd, 0, "NAME")
				if err != nil {
					return err
				}
				return printExplanation(ctx, cmd, operator.Path("v1", "explain", name, subject))
			},
		}
	}
	return &cli.Command{
		Name:  "explain",
		Usage: "show which decisions were made about a job, an instance or a ticket, and why",
		Commands: []*cli.Command{
			explain("job", "explain the state of a job"),
			explain("instance", "explain what an instance accepts and refuses"),
			explain("ticket", "show where a ticket is in force"),
		},
	}
}

func printExplanation(ctx context.Context, cmd *cli.Command, path string) error {
	return get(ctx, cmd, path, func(out io.Writer, body struct {
		Lines []string `json:"lines"`
	}) error {
		for _, lin := range body.Lines {
			fmt.Fprintln(out, lin)
		}
		return nil
	})
}
