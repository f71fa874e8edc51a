package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jacinthpost/io/httpcall"
	"jacinthpost/io/worker/workerapi"
)

// Timing of announcements.
const (
	announcePeriod  = time.Second
	leavePeriod     = 200 * time.Millisecond
	announceTimeout = time.Second
)

// Announce tells the agent about the instance each second until the context ends.
func (srv *Server) Announce(ctx context.Context, agent, addr string) {
	call := httpcall.New(agent, httpcall.Options{Subsystem: "announcement", Timeout: announceTimeout})
	defer call.Close()
	for {
		srv.announce(ctx, call, addr, workerapi.EndpointReady)
		if !sleep(ctx, announcePeriod) {
			return
		}
	}
}

// Leave announces that the endpoint leaves until the agent answers that it is
// drained or the context ends, and reports whether it is drained.
func (srv *Server) Leave(ctx context.Context, agent, addr string) bool {
	srv.calls.leave(time.Now())
	call := httpcall.New(agent, httpcall.Options{Subsystem: "announcement", Timeout: announceTimeout})
	defer call.Close()
	for {
		if srv.announce(ctx, call, addr, workerapi.EndpointLeaving) {
			return true
		}
		if !sleep(ctx, leavePeriod) {
			return false
		}
	}
}

// announce sends one announcement and returns whether the agent is drained. An
// agent that does not answer is told again by the next announcement.
func (srv *Server) announce(ctx context.Context, call *httpcall.Client, addr, sta string) bool {
	if !srv.thaw(ctx) {
		return false
	}
	body, _ := json.Marshal(workerapi.Announcement{
		Service:     srv.config.Service,
		Address:     addr,
		Incarnation: uint64(srv.config.Tasks.Incarnation),
		State:       sta,
		Slots:       srv.config.Slots,
		Connections: srv.config.Connections,
		Capacity:    workerapi.NewResources(srv.config.Tasks.Capacity),
	})
	ans, err := call.Call(ctx, http.MethodPut, workerapi.AnnouncementPath, nil, body)
	if err != nil || !ans.OK() {
		return false
	}
	var rep workerapi.AnnouncementReply
	return json.Unmarshal(ans.Body(), &rep) == nil && rep.Drained
}
