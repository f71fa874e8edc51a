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
	"jacinthpost/io/control"
	"jacinthpost/io/node"
	"jacinthpost/io/web"
)

const (
	// readinessGrace is the time for the balancer to see that the entry leaves
	// before it refuses new connections.
	readinessGrace = 2 * time.Second
	// acceptedGrace bounds the wait for requests on connections without one. The
	// server drops requests that it reads after its shutdown has begun, and its own
	// patience with such connections is as long.
	acceptedGrace = 5 * time.Second
)

// callers serves the HTTP connections of callers and ends without cutting any off.
type callers struct {
	server   *http.Server
	leaving  atomic.Bool
	listener *backlog.Listener
	ended    chan struct{} // closed when no connection is accepted any more
	busy     connections
}

// newCallers listens for callers at an address.
func newCallers(addr string, handler http.Handler) (*callers, error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "address for callers")
	}
	lsn, err := net.ListenTCP("tcp", tcp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	cls := &callers{listener: backlog.New(lsn), ended: make(chan struct{})}
	cls.server = web.NewServer(cls.closeWhenLeaving(handler))
	cls.server.ConnState = cls.busy.observe
	return cls, nil
}

// closeWhenLeaving lets each answer of a leaving entry ask the caller to close the
// connection, also when its request came before. The server's own switch for this
// also closes idle connections at once, which breaks requests that callers are
// just sending on them.
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
// listener. The connections go on until stop returns.
func (cls *callers) serve(ctx context.Context) error {
	defer close(cls.ended)
	err := node.ServeHTTP(ctx, cls.listener, cls.server)
	if cls.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stop asks callers to close their connections while the balancer learns that the
// entry leaves; then no connection is accepted and requests in flight finish.
func (cls *callers) stop(ctx context.Context) error {
	cls.leaving.Store(true)
	_ = control.Pause(ctx, readinessGrace) // when the context ends, what is left is closed at once
	if err := cls.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	lim, cancel := context.WithTimeout(ctx, acceptedGrace)
	defer cancel()
	await(lim, cls.ended)
	await(lim, cls.busy.none())
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

// connections holds the connections that have a request under way or have not
// brought one yet. The zero value is empty.
type connections struct {
	mu    sync.Mutex
	busy  map[net.Conn]struct{}
	empty chan struct{} // closed and removed when nothing is busy
}

// observe follows the states of a connection, as hook of a server.
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

// none returns a channel that is closed once no connection is busy.
func (cns *connections) none() <-chan struct{} {
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
