package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"jacinthpost/io/operator"
)

// numberTries bounds how often a ticket is filed again under the next number
// after other operators took the number.
const numberTries = 10

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "file and read change tickets",
		Commands: []*cli.Command{
			{
				Name: "file", Usage: "file the ticket of a JSON file (- for standard input)", ArgsUsage: "FILE",
				Description: "Example: jacinthpost ticket file --number 12 change.json\n" +
					"The file has author, reason and changes; each change has kind, name, baseVersion and the whole new state.",
				Flags:  []cli.Flag{&cli.Uint64Flag{Name: "number", Usage: "number of the ticket; the number in the file when absent"}},
				Action: fileTicket,
			},
			{
				Name: "show", Usage: "show an accepted ticket", ArgsUsage: "NUMBER",
				Description: "Example: jacinthpost ticket show 12",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					num, err := argument(cmd, 0, "NUMBER")
					if err != nil {
						return err
					}
					return showJSON(ctx, cmd, operator.Path("v1", "tickets", num))
				},
			},
			{
				Name: "list", Usage: "list the last accepted tickets",
				Description: "Example: jacinthpost ticket list",
				Action:      listTickets,
			},
		},
	}
}

func stateCommand() *cli.Command {
	return &cli.Command{
		Name: "state", Usage: "show the configuration in force", ArgsUsage: "[KIND NAME]",
		Description: "Example: jacinthpost state dataCentre bac-hanoi",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return showJSON(ctx, cmd, "/v1/state")
			}
			name, err := argument(cmd, 1, "NAME")
			if err != nil {
				return err
			}
			return showJSON(ctx, cmd, operator.Path("v1", "state", cmd.Args().First(), name))
		},
	}
}

func showJSON(ctx context.Context, cmd *cli.Command, path string) error {
	ans, err := call(ctx, cmd, "GET", path, nil, nil)
	if err != nil {
		return err
	}
	return show(cmd, ans, func(out io.Writer) error { return indented(out, ans.Body()) })
}

type ticketOutcome struct {
	Outcome string `json:"outcome"`
	Number  uint64 `json:"number"`
	Next    uint64 `json:"next"`
	Faults  []struct {
		Path        string `json:"path"`
		Value       string `json:"value"`
		Expectation string `json:"expectation"`
	} `json:"faults"`
}

func fileTicket(ctx context.Context, cmd *cli.Command) error {
	name, err := argument(cmd, 0, "FILE")
	if err != nil {
		return err
	}
	raw, err := readInput(name)
	if err != nil {
		return err
	}
	num := cmd.Uint64("number")
	if num == 0 {
		var body struct {
			Number uint64 `json:"number"`
		}
		if err := json.Unmarshal(raw, &body); err != nil || body.Number == 0 {
			return errors.New("the ticket has no number: give one in the file or with --number")
		}
		num = body.Number
	}
	ans, err := putTicket(ctx, cmd, num, raw)
	if err != nil {
		return err
	}
	return showFiled(cmd, ans)
}

func putTicket(ctx context.Context, cmd *cli.Command, num uint64, raw []byte) (operator.Answer, error) {
	return call(ctx, cmd, "PUT", operator.Path("v1", "tickets", strconv.FormatUint(num, 10)), raw, nil)
}

func showFiled(cmd *cli.Command, ans operator.Answer) error {
	var out ticketOutcome
	if err := ans.Decode(&out); err != nil {
		return err
	}
	for _, flt := range out.Faults {
		fmt.Fprintf(os.Stderr, "%s: %s: expected %s\n", flt.Path, flt.Value, flt.Expectation)
	}
	return show(cmd, ans, func(wrt io.Writer) error {
		_, err := fmt.Fprintf(wrt, "ticket %d: %s\n", out.Number, out.Outcome)
		return err
	})
}

func listTickets(ctx context.Context, cmd *cli.Command) error {
	return get(ctx, cmd, "/v1/tickets", func(out io.Writer, list struct {
		Head    uint64 `json:"head"`
		Tickets []struct {
			Number  uint64 `json:"number"`
			Author  string `json:"author"`
			Reason  string `json:"reason"`
			Changes []struct {
				Kind string `json:"kind"`
				Name string `json:"name"`
			} `json:"changes"`
		} `json:"tickets"`
	}) error {
		var rows [][]string
		for _, tic := range list.Tickets {
			objects := ""
			for _, chg := range tic.Changes {
				objects += chg.Kind + "/" + chg.Name + " "
			}
			rows = append(rows, []string{strconv.FormatUint(tic.Number, 10), tic.Author, objects, tic.Reason})
		}
		return table(out, []string{"NUMBER", "AUTHOR", "OBJECTS", "REASON"}, rows)
	})
}

// change replaces one object under the next free ticket number. It reads the
// present version first and starts again when another ticket came between.
func change(ctx context.Context, cmd *cli.Command, kind, name, reason string, state any) error {
	var ans operator.Answer
	for range numberTries {
		num, base, err := present(ctx, cmd, kind, name)
		if err != nil {
			return err
		}
		raw, err := json.Marshal(ticketOf(cmd.String("author"), reason, kind, name, base, state))
		if err != nil {
			return errors.Wrap(err, "encode ticket")
		}
		ans, err = putTicket(ctx, cmd, num+1, raw)
		if err != nil {
			return err
		}
		var out ticketOutcome
		if err := ans.Decode(&out); err != nil {
			return err
		}
		if out.Outcome != "conflict" && out.Outcome != "gap" && out.Outcome != "wrongBase" {
			break
		}
	}
	return showFiled(cmd, ans)
}

// present returns the head and the version of an object.
func present(ctx context.Context, cmd *cli.Command, kind, name string) (uint64, uint64, error) {
	ans, err := call(ctx, cmd, "GET", operator.Path("v1", "state", kind, name), nil, nil)
	if err != nil {
		return 0, 0, err
	}
	var body struct {
		Head   uint64 `json:"head"`
		Object struct {
			Version uint64 `json:"version"`
		} `json:"object"`
	}
	if err := ans.Decode(&body); err != nil {
		return 0, 0, err
	}
	return body.Head, body.Object.Version, nil
}

func ticketOf(author, reason, kind, name string, base uint64, state any) any {
	type changeBody struct {
		Kind        string `json:"kind"`
		Name        string `json:"name"`
		BaseVersion uint64 `json:"baseVersion"`
		State       any    `json:"state"`
	}
	return struct {
		Author  string       `json:"author"`
		Reason  string       `json:"reason"`
		Changes []changeBody `json:"changes"`
	}{Author: author, Reason: reason, Changes: []changeBody{{Kind: kind, Name: name, BaseVersion: base, State: state}}}
}
