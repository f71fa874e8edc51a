package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

const (
	evacuateBound = 5 * time.Second         // evacuateMs
	shortFreeze   = 1800 * time.Millisecond // too short for a takeover
	evacuateZone  = "bac-hanoi"
	// evacuateRounds is how often the case is played in one run: what the owner hears first when it wakes is left to chance.
	evacuateRounds = 4
)

// checkEvacuation checks a start against the evacuation of its zone. The lock is held.
func (wld *world) checkEvacuation(wrk *worker, rn *taskRun) {
	since := time.Since(wld.evacuatedAt)
	if wld.evacuatedAt.IsZero() || wrk.zone != evacuateZone || since <= evacuateBound || wld.late {
		return
	}
	if pro := wrk.process; pro.disturbed || time.Since(pro.disturbedAt) < touch {
		wld.note("start %s run %d in an evacuated zone, by a machine that is not in touch", rn.name, rn.run)
		return
	}
	wld.violate("EVAC", "%s run %d starts on %s, by %s in touch, %s after the evacuation of its zone was acknowledged", rn.name, rn.run, wrk.id, wrk.process.name, since.Round(time.Millisecond))
}

// stateFreezer freezes the owner as the answer to its write of states is on its way.
type stateFreezer struct {
	wld   *world
	mu    sync.Mutex
	armed bool
}

func (frz *stateFreezer) wrap(rows http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			rows.ServeHTTP(wrt, req)
			return
		}
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(data))
		var txn struct{ Writes []struct{ Table string } }
		_ = json.Unmarshal(data, &txn) // the store answers what can't be read
		states := false
		for _, row := range txn.Writes {
			states = states || row.Table == "states"
		}
		rec := httptest.NewRecorder()
		rows.ServeHTTP(rec, req)
		frz.mu.Lock()
		hit := frz.armed && states
		if hit {
			frz.armed = false
		}
		frz.mu.Unlock()
		if hit {
			frz.hit()
		}
		for key, vals := range rec.Header() {
			wrt.Header()[key] = vals
		}
		wrt.WriteHeader(rec.Code)
		_, _ = wrt.Write(rec.Body.Bytes()) // the process may be gone
	})
}

// hit freezes the owner, and evacuates the zone.
func (frz *stateFreezer) hit() {
	own := frz.wld.holder()
	if own == nil {
		return
	}
	own.signal(syscall.SIGSTOP)
	frz.wld.setOut(true)
	frz.wld.mu.Lock()
	own.disturbed, own.disturbedAt = true, time.Now()
	frz.wld.note("FREEZE %s for %s, and %s is evacuated", own.name, shortFreeze, evacuateZone)
	frz.wld.mu.Unlock()
	time.AfterFunc(shortFreeze, func() {
		own.signal(syscall.SIGCONT)
		frz.wld.mu.Lock()
		own.disturbed, own.disturbedAt = false, time.Now()
		frz.wld.note("%s wakes", own.name)
		frz.wld.mu.Unlock()
	})
}

// setOut evacuates the zone, or takes it back.
func (wld *world) setOut(out bool) {
	val, at := "", time.Time{}
	if out {
		val, at = base64.StdEncoding.EncodeToString([]byte("{}")), time.Now()
	}
	wld.rows.Put("op", "", "evacuate/"+evacuateZone, val)
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.evacuatedAt = at
}

// evacuation evacuates a zone while the owner is frozen for a moment and a few orders get no answer, several times.
func evacuation(ctx context.Context, wld *world, trouble bool) error {
	frz := &stateFreezer{wld: wld}
	if err := wld.startFleet(ctx, 6, frz.wrap(&wld.rows)); err != nil {
		return err
	}
	for range evacuateRounds {
		time.Sleep(touch + time.Second)
		job := &jobDef{Spec: "build", Steps: []stepDef{{Count: 128, CPU: 50, MemMB: 20, Requires: "r-" + evacuateZone, length: 600 * time.Millisecond}}, unlucky: trouble}
		if trouble {
			frz.mu.Lock()
			frz.armed = true
			frz.mu.Unlock()
		}
		wld.submit(ctx, job)
		if !trouble {
			time.Sleep(20 * time.Millisecond)
			wld.setOut(true)
		}
		time.Sleep(7500 * time.Millisecond)
		wld.cancel(ctx, job)
		wld.setOut(false)
		if !job.accepted {
			return fmt.Errorf("job %s was not accepted", job.id)
		}
	}
	return nil
}
