// Command startups starts the fleets that internal/failure uses, again and again, and prints what the entries of a slow
// one know of the others. It shows the red entry on specs that fail at the start of their fleet, and is no case of the
// review.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jacinthpost/internal/harness"
)

const (
	slow = 20 * time.Second // most fleets take 2 or 3 s to start; the harness gives up after 30 s
	// firstOffset and offsetStep are those of the ports. Successive fleets of one row use two offsets in turn.
	firstOffset, offsetStep = 2000, 400
	mostRows                = 12 // with more, ports would reach the ephemeral ones, which begin at 32768
)

// members returns what an entry with a settings file lists.
func members(ctx context.Context, file string) string {
	var set struct {
		CallerAddress string `json:"callerAddress"`
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	if err := json.Unmarshal(raw, &set); err != nil {
		return err.Error()
	}
	var list struct {
		Members []harness.Member `json:"members"`
	}
	if _, err := harness.Call(ctx, "GET", set.CallerAddress+"/v1/members", nil, nil, &list); err != nil {
		return err.Error()
	}
	var names []string
	for _, mem := range list.Members {
		names = append(names, mem.Instance+" "+mem.State)
	}
	return strings.Join(names, ", ")
}

// describe prints what the entries of a fleet know.
func describe(ctx context.Context, name, folder string) {
	files, _ := filepath.Glob(filepath.Join(folder, "settings-entry-*.json")) // the pattern is valid
	for _, file := range files {
		fmt.Printf("%s: after %v, %s lists: %s\n", name, slow, filepath.Base(file), members(ctx, file))
	}
}

// results counts starts.
type results struct{ slow, failed atomic.Int64 }

// start starts a fleet and stops it again.
func (res *results) start(ctx context.Context, name string, opt harness.Options) {
	tmr := time.AfterFunc(slow, func() {
		res.slow.Add(1)
		describe(ctx, name, opt.Folder)
	})
	defer tmr.Stop()
	begun := time.Now()
	fle, err := harness.Start(ctx, opt)
	if err != nil {
		fmt.Printf("%s: after %v: %v\n", name, time.Since(begun).Round(time.Second), err)
		res.failed.Add(1)
		return
	}
	fle.Stop()
}

func (res *results) run(ctx context.Context, deployment string, rows, starts int) error {
	folder, err := os.MkdirTemp("", "jacinthpost-startups.")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := harness.BuildBinaries(ctx, ".", folder); err != nil {
		return err
	}
	var grp sync.WaitGroup
	for row := range rows {
		grp.Go(func() {
			for num := range starts {
				name := fmt.Sprintf("row %d, start %d", row+1, num+1)
				logs := filepath.Join(folder, fmt.Sprintf("%d-%d", row, num))
				opt := harness.Options{Deployment: deployment, Repo: ".", Binaries: folder, Folder: logs, PortOffset: firstOffset + offsetStep*(2*row+num%2)}
				if err := os.Mkdir(logs, 0o755); err != nil {
					fmt.Println(err)
					return
				}
				res.start(ctx, name, opt)
			}
		})
	}
	grp.Wait()
	return nil
}

func main() {
	deployment := flag.String("deployment", "sen-vang", "folder under deploy/")
	rows := flag.Int("rows", 8, "fleets that start side by side")
	starts := flag.Int("starts", 100, "starts in each row")
	flag.Parse()
	var res results
	if err := res.run(context.Background(), *deployment, min(*rows, mostRows), *starts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("%d of %d fleets took over %v, %d were not complete in time\n", res.slow.Load(), min(*rows, mostRows)**starts, slow, res.failed.Load())
	if res.slow.Load() > 0 {
		os.Exit(1)
	}
}
