package entrynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/negroni/v3"

	"jacinthpost/io/backlog"
	"jacinthpost/io/clients"
	"jacinthpost/io/control"
	"jacinthpost/io/node"
	"jacinthpost/io/web"
)

const (
	// readinessGrace is the time in which the load balancer can see that the entry is leaving,
	// before the entry refuses new connections.
	readinessGrace = 2 * time.Second
	// acceptedGrace bounds the wait for the first requests on accepted connections, because the
	// server drops requests that it reads after its shutdown has begun. http.Server.Shutdown
	// waits as long for such connections.
	acceptedGrace = 5 * time.Second
)

// callers serves the HTTP connections of callers and stops without breaking a connection in use.
type callers struct {
	server   *http.Server
	leaving  atomic.Bool
	clients  *clients.Clients
	listener *backlog.Listener
	ended    chan struct{} // closed when no connection is accepted any more
	busy     connections
}

// newCallers listens for callers at an address.
func newCallers(addr string, clt *clients.Clients, handler http.Handler) (*callers, error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "address for callers")
	}
	lsn, err := net.ListenTCP("tcp", tcp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	cls := &callers{clients: clt, listener: backlog.New(lsn), ended: make(chan struct{})}
	cls.server = web.NewServer(clt, cls.closeWhenLeaving(handler))
	cls.server.ConnState = func(con net.Conn, sta http.ConnState) {
		clt.ConnState(con, sta)
		cls.busy.observe(con, sta)
	}
	return cls, nil
}

// closeWhenLeaving sets "Connection: close" in each answer of a leaving entry, also if the request
// came before the entry began to leave. http.Server.SetKeepAlivesEnabled would also close idle
// connections at once, which breaks requests that callers are just sending on them.
func (cls *callers) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		wrt := negroni.NewResponseWriter(rw)
		wrt.Before(func(wrt negroni.ResponseWriter) {
			if cls.leaving.Load() {
				wrt.Header().Set("Connection", "close")
			}
		})
		next.ServeHTTP(wrt, req)
	})
}

// serve accepts connections until the context ends or stop has closed the
// listener. Accepted connections are served until stop returns.
func (cls *callers) serve(ctx context.Context) error {
	defer close(cls.ended)
	err := node.ServeHTTP(ctx, cls.clients.Listener(cls.listener), cls.server)
	if cls.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stop asks callers to close their connections and waits until the load balancer has seen that the
// entry is leaving. Then it closes the listener and waits for the requests in flight.
func (cls *callers) stop(ctx context.Context) error {
	cls.leaving.Store(true)
	_ = control.Pause(ctx, readinessGrace) // when the context ends, the remaining connections are closed at once
	if err := cls.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	lim, cancel := context.WithTimeout(ctx, acceptedGrace)
	defer cancel()
	await(lim, cls.ended)
	await(lim, cls.busy.idle())
	if err := cls.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	return nil
}

// await waits until the channel is closed or the context ends.
func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// connections holds the connections that have a request in flight or have not received their
// first request. The zero value is empty.
type connections struct {
	mu    sync.Mutex
	busy  map[net.Conn]struct{}
	empty chan struct{} // closed and removed when nothing is busy
}

// observe records the state of a connection. It is the ConnState hook of the server.
func (cns *connections) observe(con net.Conn, sta http.ConnState) {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if sta == http.StateNew || sta == http.StateActive {
		if cns.busy == nil {
			cns.busy = make(map[net.Conn]struct{})
		}
		cns.busy[con] = struct{}{}
		return
	}
	delete(cns.busy, con)
	if len(cns.busy) == 0 && cns.empty != nil {
		close(cns.empty)
		cns.empty = nil
	}
}

// idle returns a channel that is closed once no connection is busy.
func (cns *connections) idle() <-chan struct{} {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if cns.empty == nil {
		cns.empty = make(chan struct{})
	}
	done := cns.empty
	if len(cns.busy) == 0 {
		close(cns.empty)
		cns.empty = nil
	}
	return done
}
