package main

import (
	"bytes"
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

	"jacinthpost/io/operator"
)

// endError ends the process with an exit code after a refused or unknown outcome.
type endError struct {
	code   int
	reason string
}

// Error describes the outcome.
func (end *endError) Error() string { return end.reason }

// call sends one call to an entry and reports progress on standard error while it takes long.
func call(ctx context.Context, cmd *cli.Command, method, path string, body []byte, headers map[string]string) (operator.Answer, error) {
	done := make(chan struct{})
	defer close(done)
	go reportProgress(done)
	return operator.New(cmd.StringSlice("entry")).Call(ctx, method, path, body, headers)
}

func reportProgress(done <-chan struct{}) {
	begun := time.Now()
	tkr := time.NewTicker(time.Second)
	defer tkr.Stop()
	for {
		select {
		case <-done:
			return
		case <-tkr.C:
			fmt.Fprintf(os.Stderr, "waiting for the entry, %d s\n", int(time.Since(begun).Seconds()))
		}
	}
}

// show prints an answer: as JSON if asked for, else by the given function. An
// answer that is not successful becomes an exit code.
func show(cmd *cli.Command, ans operator.Answer, print func(out io.Writer) error) error {
	if cmd.Bool("json") {
		_, _ = os.Stdout.Write(ans.Body())
	}
	if !ans.OK() {
		return refused(ans)
	}
	if cmd.Bool("json") {
		return nil
	}
	return print(os.Stdout)
}

// get asks an entry and prints the decoded answer by the given function.
func get[T any](ctx context.Context, cmd *cli.Command, path string, print func(out io.Writer, body T) error) error {
	ans, err := call(ctx, cmd, "GET", path, nil, nil)
	if err != nil {
		return err
	}
	return show(cmd, ans, func(out io.Writer) error {
		var body T
		if err := ans.Decode(&body); err != nil {
			return err
		}
		return print(out, body)
	})
}

func refused(ans operator.Answer) error {
	var ref operator.Refusal
	if err := ans.Decode(&ref); err != nil {
		return errors.Errorf("the entry answered %d: %s", ans.Status(), bytes.TrimSpace(ans.Body()))
	}
	parts := []string{ref.Outcome}
	for _, txt := range [...]string{ref.Reason, ref.Detail} {
		if txt != "" {
			parts = append(parts, txt)
		}
	}
	code := exitRefused
	if ref.Outcome == "unknown" {
		code = exitUnknown
	}
	return &endError{code: code, reason: strings.Join(parts, ": ")}
}

// table prints rows of columns under a heading.
func table(out io.Writer, heading []string, rows [][]string) error {
	wrt := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(wrt, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(wrt, strings.Join(row, "\t"))
	}
	return wrt.Flush()
}

// indented prints JSON with indentation.
func indented(out io.Writer, raw []byte) error {
	var buf bytes.Buffer
	if err := json.Indent(&buf, raw, "", "  "); err != nil {
		return errors.Wrap(err, "format answer")
	}
	buf.WriteByte('\n')
	_, err := buf.WriteTo(out)
	return err
}

// argument returns a required argument.
func argument(cmd *cli.Command, pos int, name string) (string, error) {
	txt := cmd.Args().Get(pos)
	if txt == "" {
		return "", errors.Errorf("%s: argument %s is missing, see --help", cmd.FullName(), name)
	}
	return txt, nil
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
