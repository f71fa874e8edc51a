package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// upkeepPause is how long the owner is paused in the case upkeep. It is longer than the longest entry of the site file
// for node_freeze, 4 s, so what this shows is no case of the review.
const upkeepPause = 6 * time.Second

// cloud is a stand-in of the machine service. All machines stand beside agents, so it answers busy for them.
type cloud struct {
	wld    *world
	mu     sync.Mutex
	onCall func(holder string) // called once, at the first order; may be nil
	tokens map[string]uint64   // highest, by machine
}

// ServeHTTP implements http.Handler.
func (cld *cloud) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		cld.wld.mu.Lock()
		macs := []any{}
		for _, wrk := range cld.wld.workers {
			macs = append(macs, map[string]any{
				"machine": wrk.machine, "pool": serviceName, "state": "up", "zone": wrk.zone, "labels": []string{"a"}, "id": wrk.id,
				"capacity": map[string]any{"cpu": wrk.cpu, "memMb": wrk.memMB, "gpu": 0},
			})
		}
		cld.wld.mu.Unlock()
		respond(wrt, http.StatusOK, map[string]any{"machines": macs, "nextToken": nil})
		return
	}
	var ord struct{ Machine string }
	token, err := strconv.ParseUint(req.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(req.Body).Decode(&ord) != nil {
		respond(wrt, http.StatusBadRequest, nil)
		return
	}
	cld.order(ord.Machine, req.Header.Get("X-Lease-Holder"), token)
	respond(wrt, http.StatusConflict, map[string]any{"reason": "busy"})
}

// order records an order and checks its token.
func (cld *cloud) order(machine, holder string, token uint64) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	cld.wld.mu.Lock()
	cld.wld.note("order for %s by %s with token %d", machine, holder, token)
	if token < cld.tokens[machine] {
		cld.wld.violate("ONE", "%s orders %s with token %d after %d", holder, machine, token, cld.tokens[machine])
	}
	cld.wld.mu.Unlock()
	if cld.tokens == nil {
		cld.tokens = make(map[string]uint64)
	}
	cld.tokens[machine] = max(token, cld.tokens[machine])
	if call := cld.onCall; call != nil {
		cld.onCall = nil
		call(holder)
	}
}

// upkeep pauses the owner as it orders the first machine of a wave.
func upkeep(ctx context.Context, wld *world, trouble bool) error {
	if err := wld.startFleet(ctx, 6, nil); err != nil {
		return err
	}
	time.Sleep(touch)
	if trouble {
		wld.cloud.mu.Lock()
		wld.cloud.onCall = func(holder string) {
			for _, pro := range wld.processes {
				if pro.name == holder {
					wld.log("PAUSE %s for %s", holder, upkeepPause)
					pro.signal(syscall.SIGSTOP)
					time.AfterFunc(upkeepPause, func() { pro.signal(syscall.SIGCONT) })
				}
			}
		}
		wld.cloud.mu.Unlock()
	}
	wave := []byte(`{"wave":1,"machines":["m-0","m-1","m-2","m-3"],"deadlineS":60,"cap":3}`)
	wld.rows.Put("op", "", "wave/1", base64.StdEncoding.EncodeToString(wave))
	time.Sleep(14 * time.Second)
	wld.cloud.mu.Lock()
	defer wld.cloud.mu.Unlock()
	if len(wld.cloud.tokens) == 0 {
		return fmt.Errorf("no machine was ordered")
	}
	return nil
}
