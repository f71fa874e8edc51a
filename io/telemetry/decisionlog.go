package telemetry

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// lineQueueLength bounds the lines that wait to be written.
	lineQueueLength = 4096
	// linesPerSecond bounds the lines of one message in a second; of those beyond
	// it, one in sampleInterval is written. All decisions of a busy owner fit in it.
	linesPerSecond = 400
	sampleInterval = 100
	flushTimeout   = 200 * time.Millisecond // a process must end even if nobody reads its output
)

// lineQueue writes lines on its own goroutine. A line that does not fit in the queue is dropped and
// counted, so that a caller never waits for the output.
type lineQueue struct {
	lines   chan []byte
	done    chan struct{}
	dropped *metrics.Counter
}

func newLineQueue(out io.Writer) *lineQueue {
	que := &lineQueue{
		lines: make(chan []byte, lineQueueLength), done: make(chan struct{}),
		dropped: metrics.GetOrCreateCounter("jacinthpost_log_lines_dropped_total"),
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
			que.dropped.Inc()
		}
	}
}

// Write implements zapcore.WriteSyncer.
func (que *lineQueue) Write(line []byte) (int, error) {
	select {
	case que.lines <- append([]byte(nil), line...):
	default:
		que.dropped.Inc()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (que *lineQueue) Sync() error { return nil }

// NewDecisionLog returns a logger of JSON lines that never blocks, and a function that waits for a
// bounded time until the queued lines are written. Lines logged after that call are dropped.
func NewDecisionLog(out io.Writer) (log *zap.Logger, flush func()) {
	que := newLineQueue(out)
	dropped := zapcore.SamplerHook(func(_ zapcore.Entry, dec zapcore.SamplingDecision) {
		if dec&zapcore.LogDropped != 0 {
			que.dropped.Inc()
		}
	})
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder(), que, zapcore.InfoLevel), time.Second, linesPerSecond, sampleInterval, dropped)
	log = zap.New(core)
	return log, que.flush
}

// flush waits until the lines queued so far are written, at most for flushTimeout.
func (que *lineQueue) flush() {
	tmr := time.NewTimer(flushTimeout)
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
