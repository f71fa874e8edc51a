package endpoint

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/cmd/standin-endpoint/internal/tasks"
	"jacinthpost/core/worker"
	"jacinthpost/io/control"
	"jacinthpost/io/worker/workerapi"
)

// HistoryPath lists every start on this worker.
const HistoryPath = "/worker/v1/history"

const maxRequestBytes = 8 << 20

// HistoryEntry records one start. The times come from the time of day at the
// start of the process plus the worker's clock.
type HistoryEntry struct {
	workerapi.Ref
	Instance          string `json:"instance"`
	Incarnation       uint64 `json:"incarnation"`
	StartedUnixMillis int64  `json:"startedUnixMillis"`
	StoppedUnixMillis int64  `json:"stoppedUnixMillis"` // 0 while it runs
	State             string `json:"state"`
}

func startTask(mac *tasks.Machine, now worker.Instant, msg workerapi.StartRequest) any {
	res := mac.Start(now, msg.Core())
	return workerapi.StartReply{Started: res.Started(), Refusal: string(res.Refusal()), Detail: res.Detail()}
}

func renewTasks(mac *tasks.Machine, now worker.Instant, msg workerapi.RenewRequest) any {
	return workerapi.NewRenewReply(mac.Renew(now, msg.Core()))
}

func stopTask(mac *tasks.Machine, now worker.Instant, msg workerapi.StopRequest) any {
	return workerapi.NewTaskReport(mac.Stop(now, msg.Core(), msg.WithCheckpoint))
}

func throttleTask(mac *tasks.Machine, now worker.Instant, msg workerapi.ThrottleRequest) any {
	mac.Throttle(now, msg.Core(), msg.Percent)
	return struct{}{}
}

func forgetTask(mac *tasks.Machine, now worker.Instant, msg workerapi.ForgetRequest) any {
	mac.Forget(now, msg.Core())
	return struct{}{}
}

// change handles a worker call that changes the tasks. Its answer is lost as often as the faults say.
func change[M any](srv *Server, apply func(*tasks.Machine, worker.Instant, M) any) http.HandlerFunc {
	return func(rsp http.ResponseWriter, req *http.Request) {
		var msg M
		if !decode(rsp, req, &msg) {
			return
		}
		rep, err := srv.ask(req, func(mac *tasks.Machine, now worker.Instant) any { return apply(mac, now, msg) })
		if err == nil && srv.view.Load().faults.LoseAnswerPercent > rand.IntN(100) {
			hangUp(rsp)
			return
		}
		reply(rsp, rep, err)
	}
}

func (srv *Server) getState(rsp http.ResponseWriter, req *http.Request) {
	rep, err := srv.ask(req, func(mac *tasks.Machine, now worker.Instant) any {
		return workerapi.NewStateReply(mac.Report(now))
	})
	reply(rsp, rep, err)
}

func (srv *Server) getHistory(rsp http.ResponseWriter, req *http.Request) {
	rep, err := srv.ask(req, func(mac *tasks.Machine, now worker.Instant) any {
		entries := []HistoryEntry{}
		for _, ent := range mac.History(now) {
			entries = append(entries, srv.historyEntry(ent, mac))
		}
		return entries
	})
	reply(rsp, rep, err)
}

func (srv *Server) historyEntry(ent tasks.Entry, mac *tasks.Machine) HistoryEntry {
	msg := HistoryEntry{
		Ref:               workerapi.NewRef(ent.Ref()),
		Instance:          srv.config.ID,
		Incarnation:       uint64(mac.Incarnation()),
		StartedUnixMillis: srv.unixMillis(ent.Started()),
		State:             string(ent.State()),
	}
	if ent.State().Ended() {
		msg.StoppedUnixMillis = srv.unixMillis(ent.Stopped())
	}
	return msg
}

func (srv *Server) setFaults(rsp http.ResponseWriter, req *http.Request) {
	var msg tasks.Faults
	if !decode(rsp, req, &msg) {
		return
	}
	rep, err := srv.ask(req, func(mac *tasks.Machine, now worker.Instant) any {
		mac.SetFaults(now, msg)
		return msg
	})
	reply(rsp, rep, err)
}

// ask runs a function on the control loop.
func (srv *Server) ask(req *http.Request, fun func(*tasks.Machine, worker.Instant) any) (any, error) {
	return control.Query(req.Context(), srv.loop, func(mac *tasks.Machine, now time.Time) any {
		return fun(mac, srv.instant(now))
	})
}

func decode(rsp http.ResponseWriter, req *http.Request, msg any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(rsp, req.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(msg); err != nil {
		http.Error(rsp, errors.Wrap(err, "decode request").Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(rsp http.ResponseWriter, msg any, err error) {
	if err != nil {
		http.Error(rsp, err.Error(), http.StatusInternalServerError)
		return
	}
	rsp.Header().Set("Content-Type", "application/json")
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(rsp).Encode(msg)
}

// hangUp closes the connection without an answer.
func hangUp(rsp http.ResponseWriter) {
	con, _, err := http.NewResponseController(rsp).Hijack()
	if err != nil {
		http.Error(rsp, "connection cannot be closed", http.StatusInternalServerError)
		return
	}
	_ = con.Close()
}
