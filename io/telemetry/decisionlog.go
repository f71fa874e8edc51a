package telemetry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines bounds the lines that wait for a reader of the output.
	queuedLines = 4096
	// linesPerSecond bounds the lines of one message in a second; of those beyond
	// it, one in sampledLines is written. It holds all decisions of a busy owner.
	linesPerSecond = 400
	sampledLines   = 100
	flushLimit     = 200 * time.Millisecond // a process ends even if nobody reads its output
)

// lineQueue writes lines on a goroutine of its own. A line that finds the queue
// full is dropped and counted, so that nobody ever waits for the output.
type lineQueue struct {
	lines chan []byte
	done  chan struct{}
	lost  *metrics.Counter
}

func newLineQueue(out io.Writer) *lineQueue {
	que := &lineQueue{
		lines: make(chan []byte, queuedLines), done: make(chan struct{}),
		lost: metrics.GetOrCreateCounter("jacinthpost_log_lines_dropped_total"),
	}
	go que.run(out)
	return que
}

func (que *lineQueue) run(out io.Writer) {
	defer close(que.done)
	for line := range que.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			que.lost.Inc()
		}
	}
}

// Write implements zapcore.WriteSyncer.
func (que *lineQueue) Write(line []byte) (int, error) {
	select {
	case que.lines <- append([]byte(nil), line...):
	default:
		que.lost.Inc()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (que *lineQueue) Sync() error { return nil }

// NewDecisionLog returns a logger of JSON lines that never blocks, and a function
// that waits a little until the queued lines are written. Lines after it are dropped.
func NewDecisionLog(out io.Writer) (log *zap.Logger, flush func()) {
	que := newLineQueue(out)
	dropped := zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
		if dec&zapcore.LogDropped != 0 {
			que.lost.Inc()
		}
	})
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder(), que, zapcore.InfoLevel), time.Second, linesPerSecond, sampledLines, dropped)
	log = zap.New(core)
	return log, que.flush
}

// flush waits until the lines queued so far are written, at most for flushLimit.
func (que *lineQueue) flush() {
	tmr := time.NewTimer(flushLimit)
	defer tmr.Stop()
	select {
	case que.lines <- nil:
	case <-tmr.C:
		return
	}
	select {
	case <-que.done:
	case <-tmr.C:
	}
}
