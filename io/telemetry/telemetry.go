// Package telemetry provides the logger, the metrics page and the health state of a process.
//
// Log lines record changes of state; everything that is counted is a metric.
// All types are safe for use from any goroutine.
package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"os"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines of the level (debug, info,
// warn or error) and above to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	return zap.New(zapcore.NewCore(encoder(), zapcore.Lock(os.Stderr), parsed)), nil
}

func encoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "message"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewJSONEncoder(cfg)
}

// State is the state of a process as its supervisor sees it.
type State int32

// States of a process.
const (
	Alive   State = iota // runs but cannot serve
	Ready                // serves
	Leaving              // finishes the work in progress and accepts no more
)

var stateNames = [...]string{Alive: "alive", Ready: "ready", Leaving: "leaving"}

// String returns the name of the state as the health pages show it.
func (sta State) String() string { return stateNames[sta] }

// Health is the state of the process. The zero value is alive.
type Health struct {
	state atomic.Int32
}

// State returns the present state.
func (hea *Health) State() State { return State(hea.state.Load()) }

// SetReady changes from alive to ready. It has no effect on a leaving process.
func (hea *Health) SetReady() { hea.state.CompareAndSwap(int32(Alive), int32(Ready)) }

// SetNotReady changes from ready to alive. It has no effect on a leaving process.
func (hea *Health) SetNotReady() { hea.state.CompareAndSwap(int32(Ready), int32(Alive)) }

// SetLeaving changes to leaving, which is final.
func (hea *Health) SetLeaving() { hea.state.Store(int32(Leaving)) }

// Handler serves /metrics, /healthz, /readyz and the profiles of the Go runtime. Health answers 200 while the
// process runs at all; readiness answers 200 only when it is ready.
func Handler(hea *Health) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(rsp http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(rsp, true)
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /healthz", func(rsp http.ResponseWriter, _ *http.Request) {
		writeState(rsp, http.StatusOK, hea.State())
	})
	mux.HandleFunc("GET /readyz", func(rsp http.ResponseWriter, _ *http.Request) {
		sta := hea.State()
		if sta != Ready {
			writeState(rsp, http.StatusServiceUnavailable, sta)
			return
		}
		writeState(rsp, http.StatusOK, sta)
	})
	return mux
}

func writeState(rsp http.ResponseWriter, status int, sta State) {
	rsp.Header().Set("Content-Type", "application/json")
	rsp.WriteHeader(status)
	// An error means that the client has closed the connection and needs no answer.
	_ = json.NewEncoder(rsp).Encode(struct {
		State string `json:"state"`
	}{sta.String()})
}
