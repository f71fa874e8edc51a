package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of processor time in /proc. Linux fixes it at 100 per second in user
// space.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since its start.
type Usage struct {
	processor time.Duration
	memory    int64
	switches  int64
	metrics   map[string]float64
}

// Processor returns the processor time.
func (usg Usage) Processor() time.Duration { return usg.processor }

// Memory returns the resident memory in bytes.
func (usg Usage) Memory() int64 { return usg.memory }

// Switches returns the voluntary context switches of the process's threads. Each wake-up adds
// one, so the number depends little on the load of the machine.
func (usg Usage) Switches() int64 { return usg.switches }

// Sum returns the sum of the process's metrics whose names start with the prefix.
func (usg Usage) Sum(prefix string) float64 {
	total := 0.0
	for name, val := range usg.metrics {
		if strings.HasPrefix(name, prefix) {
			total += val
		}
	}
	return total
}

// Profile records a processor profile of the agent for dur and writes it to a file.
func (ins *Instance) Profile(ctx context.Context, dur time.Duration, file string) error {
	raw, err := get(ctx, ins.metrics, fmt.Sprintf("/debug/pprof/profile?seconds=%d", int(dur.Seconds())))
	if err != nil {
		return errors.Wrap(err, "profile "+ins.id)
	}
	return os.WriteFile(file, raw, 0o644)
}

// Usage returns the resource usage of the agent.
func (ins *Instance) Usage(ctx context.Context) (Usage, error) {
	return ProcessUsage(ctx, ins.agent.cmd.Process.Pid, ins.metrics)
}

// Usage returns the resource usage of the entry.
func (ent *Entry) Usage(ctx context.Context) (Usage, error) {
	return ProcessUsage(ctx, ent.process.cmd.Process.Pid, ent.metrics)
}

// ProcessUsage returns the resource usage of a process, with the metrics that it serves at an address.
func ProcessUsage(ctx context.Context, pid int, metrics string) (Usage, error) {
	var usg Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usg, errors.Wrap(err, "read processor time")
	}
	// The program name in parentheses may contain spaces; utime, stime and rss follow it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	usg.processor = time.Duration(user+system) * clockTick
	usg.memory = pages * int64(os.Getpagesize())
	usg.switches, err = voluntarySwitches(pid)
	if err != nil {
		return usg, err
	}
	usg.metrics, err = readMetrics(ctx, metrics)
	return usg, err
}

// voluntarySwitches sums the voluntary context switches of the threads of a process.
func voluntarySwitches(pid int) (int64, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "list threads")
	}
	total := int64(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		for line := range strings.Lines(string(raw)) {
			if txt, found := strings.CutPrefix(line, "voluntary_ctxt_switches:"); found {
				num, _ := strconv.ParseInt(strings.TrimSpace(txt), 10, 64)
				total += num
			}
		}
	}
	return total, nil
}

func get(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return raw, nil
}

func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	raw, err := get(ctx, addr, "/metrics")
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
