package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of processor time in /proc, which Linux fixes at 100 a second for programs.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	processor time.Duration
	memory    int64
	metrics   map[string]float64
}

// Processor returns the processor time.
func (usg Usage) Processor() time.Duration { return usg.processor }

// Memory returns the resident memory in bytes.
func (usg Usage) Memory() int64 { return usg.memory }

// Sum returns the sum of the counters of the process whose name starts with the prefix.
func (usg Usage) Sum(prefix string) float64 {
	total := 0.0
	for name, val := range usg.metrics {
		if strings.HasPrefix(name, prefix) {
			total += val
		}
	}
	return total
}

// Usage returns what the agent of an instance has used.
func (ins *Instance) Usage(ctx context.Context) (Usage, error) {
	return usageOf(ctx, ins.agent, ins.metrics)
}

// Usage returns what the entry has used.
func (ent *Entry) Usage(ctx context.Context) (Usage, error) {
	return usageOf(ctx, ent.process, ent.metrics)
}

func usageOf(ctx context.Context, pro *Process, metrics string) (Usage, error) {
	var usg Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pro.cmd.Process.Pid))
	if err != nil {
		return usg, errors.Wrap(err, "read processor time")
	}
	// The name in parentheses may hold spaces; utime, stime and rss follow it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	usg.processor = time.Duration(user+system) * clockTick
	usg.memory = pages * int64(os.Getpagesize())
	usg.metrics, err = readMetrics(ctx, metrics)
	return usg, err
}

func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(raw)) {
		name, txt, found := cutLast(strings.TrimSpace(line))
		val, err := strconv.ParseFloat(txt, 64)
		if found && err == nil {
			values[name] = val
		}
	}
	return values, nil
}

func cutLast(line string) (string, string, bool) {
	pos := strings.LastIndexByte(line, ' ')
	if pos < 0 {
		return line, "", false
	}
	return line[:pos], line[pos+1:], true
}
