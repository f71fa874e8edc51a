// Package connpool watches the connections of an http.Transport for silence.
//
// Something between two hosts may forget open connections: nothing arrives on them any more, without a reset, while
// new ones work. The transport would try the idle ones one after another, each until the time limit of a call.
// A Pool closes the idle ones that may be silent when a call on one of them got no answer: those on which nothing has
// arrived since that call began. Connections that are in use or were heard from since stay open, so that calls that a
// server leaves unanswered don't empty the pool of a server that answers others.
//
// A Pool is safe for concurrent use. The zero value is ready to use.
package connpool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/internal/boottime"
)

// minSilence is how long a call must have waited for its answer to tell anything about other connections. Callers may
// give up after less.
const minSilence = 300 * time.Millisecond

// Pool knows the open connections of a transport, or of several transports to one server.
type Pool struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// conn is an open connection of a pool.
type conn struct {
	net.Conn
	pool    *Pool
	heardAt atomic.Int64 // when something last arrived, or the connection was opened
	calls   atomic.Int32 // that use the connection
}

// Dial returns a DialFunc whose connections belong to the pool.
func (pol *Pool) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		con := &conn{Conn: raw, pool: pol}
		con.heardAt.Store(boottime.Now().UnixNano())
		pol.mu.Lock()
		defer pol.mu.Unlock()
		if pol.conns == nil {
			pol.conns = make(map[*conn]struct{})
		}
		pol.conns[con] = struct{}{}
		return con, nil
	}
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num > 0 {
		con.heardAt.Store(boottime.Now().UnixNano())
	}
	return num, err
}

// Close implements net.Conn.
func (con *conn) Close() error {
	con.pool.mu.Lock()
	delete(con.pool.conns, con)
	con.pool.mu.Unlock()
	return con.Conn.Close()
}

// Call is one call on a connection of a pool.
type Call struct {
	pool  *Pool
	began time.Time
	conn  atomic.Pointer[conn] // the connection in use, nil until there is one
	old   atomic.Bool          // an earlier call has used it
}

// Begin begins a call, whose request must have the returned context.
func (pol *Pool) Begin(ctx context.Context) (context.Context, *Call) {
	cal := &Call{pool: pol, began: boottime.Now()}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: cal.gotConn, PutIdleConn: cal.putIdleConn}), cal
}

func (cal *Call) gotConn(inf httptrace.GotConnInfo) {
	con, ok := inf.Conn.(*conn)
	if !ok {
		return
	}
	con.calls.Add(1)
	cal.old.Store(inf.Reused)
	cal.conn.Store(con)
}

func (cal *Call) putIdleConn(err error) {
	if con := cal.conn.Load(); con != nil && err == nil {
		con.calls.Add(-1)
	}
}

// Connected reports whether the call has got a connection. Before that nothing was sent.
func (cal *Call) Connected() bool { return cal.conn.Load() != nil }

// Failed closes the idle connections that may be silent if the call ended with an error because nothing arrived on a
// connection that had worked before.
func (cal *Call) Failed(err error) {
	con := cal.conn.Load()
	if con == nil || !cal.old.Load() || !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	began := cal.began.UnixNano()
	if con.heardAt.Load() >= began || boottime.Now().Sub(cal.began) < minSilence {
		return
	}
	for _, oth := range cal.pool.idleSince(began) {
		_ = oth.Close() // nobody uses it
		metrics.GetOrCreateCounter("jacinthpost_silent_connections_closed_total").Inc()
	}
}

// idleSince returns the connections that no call uses and on which nothing has arrived since a time.
func (pol *Pool) idleSince(since int64) []*conn {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	var out []*conn
	for con := range pol.conns {
		if con.calls.Load() == 0 && con.heardAt.Load() < since {
			out = append(out, con)
		}
	}
	return out
}
