// Package peer carries net/rpc calls between the processes of the system.
//
// A connection can stop delivering permanently while new ones work: writes succeed
// and nothing arrives. Each connection is therefore pinged every PingPeriod while
// calls are in flight, and every IdlePingPeriod between them if the pool keeps
// warm, and one that delivers no byte for
// SilenceLimit after a ping is closed; its calls end with ErrSilent, which says
// nothing about whether the remote side ran them. After an error the reply may
// still be written to and must not be read. Pools are safe for use from any goroutine.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// ErrSilent reports that the connection delivered nothing for SilenceLimit; the call may have run.
	ErrSilent = errors.New("connection went silent")
	// ErrNotSent reports that no connection could be opened; the call did not run.
	ErrNotSent = errors.New("no connection to peer")
)

// Pool holds one connection per address for one kind of traffic. The zero
// value works and counts its bytes under the kind "other".
type Pool struct {
	kind    string
	warm    bool
	source  net.Addr // of the connections, the system's choice when nil
	regions func(addr string) Reach
	mu      sync.Mutex
	links   map[string]*link
}

// Reach tells whether a connection crosses the paid link between regions.
type Reach string

// Reaches of connections.
const (
	ReachUnknown Reach = "unknown"
	ReachOwn     Reach = "own"   // within the region
	ReachOther   Reach = "other" // to another region
)

// NewPool returns a pool whose bytes are counted under the kind.
func NewPool(kind string) *Pool { return &Pool{kind: kind} }

// KeepWarm makes the pool ping connections between calls too, for calls that must
// not wait until a silent connection is detected. Other pools save the bytes of the
// pings: they detect it only during
// a call, which the caller then repeats. It must be called before the first call.
func (poo *Pool) KeepWarm() { poo.warm = true }

// SetRegions sets the function that tells in which region an address is, relative to
// this process, for the labels of the byte counters. It must be called before the first call.
func (poo *Pool) SetRegions(reg func(addr string) Reach) { poo.regions = reg }

// SetSource sets the IP address that connections are opened from; an empty one
// leaves the choice to the system. It must be called before the first call.
func (poo *Pool) SetSource(host string) {
	if host != "" {
		poo.source = &net.TCPAddr{IP: net.ParseIP(host)}
	}
}

func (poo *Pool) reach(addr string) Reach {
	if poo.regions == nil {
		return ReachUnknown
	}
	return poo.regions(addr)
}

// link is one connection and the calls in flight on it.
type link struct {
	client   *rpc.Client
	conn     *countedConn
	inFlight atomic.Int64
	lastUse  atomic.Int64
	slow     chan struct{} // a call takes longer than PingPeriod
	closed   chan struct{}
	once     sync.Once
}

// Call runs a remote method. An error of type rpc.ServerError came from the
// method itself. ErrNotSent proves that the call did not run.
func (poo *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	lnk, err := poo.link(ctx, addr)
	if err != nil {
		return err
	}
	lnk.inFlight.Add(1)
	defer lnk.inFlight.Add(-1)
	lnk.lastUse.Store(time.Now().UnixNano())
	done := make(chan *rpc.Call, 1)
	// Go blocks while the socket takes no more bytes, so the caller's deadline needs a goroutine.
	go lnk.client.Go(method, args, reply, done)
	slow := time.NewTimer(PingPeriod)
	defer slow.Stop()
	for {
		select {
		case cal := <-done:
			return poo.finish(addr, lnk, cal.Error)
		case <-lnk.closed:
			return ErrSilent
		case <-ctx.Done():
			return ctx.Err()
		case <-slow.C:
			lnk.wakeWatcher()
		}
	}
}

// wakeWatcher makes the watcher check the connection now.
func (lnk *link) wakeWatcher() {
	select {
	case lnk.slow <- struct{}{}:
	default:
	}
}

func (poo *Pool) finish(addr string, lnk *link, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	poo.drop(addr, lnk)
	return err
}

func (poo *Pool) link(ctx context.Context, addr string) (*link, error) {
	poo.mu.Lock()
	lnk := poo.links[addr]
	poo.mu.Unlock()
	if lnk != nil {
		return lnk, nil
	}
	return poo.open(ctx, addr)
}

func (poo *Pool) open(ctx context.Context, addr string) (*link, error) {
	dialer := net.Dialer{Timeout: DialTimeout, LocalAddr: poo.source}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	con := newCountedConn(raw, poo.kind, poo.reach(addr))
	lnk := &link{client: rpc.NewClient(con), conn: con, slow: make(chan struct{}, 1), closed: make(chan struct{})}
	lnk.lastUse.Store(time.Now().UnixNano())
	poo.mu.Lock()
	if present := poo.links[addr]; present != nil {
		poo.mu.Unlock()
		lnk.close()
		return present, nil
	}
	if poo.links == nil {
		poo.links = make(map[string]*link)
	}
	poo.links[addr] = lnk
	poo.mu.Unlock()
	go poo.watch(addr, lnk)
	return lnk, nil
}

// watch pings a connection as liveness decides and drops it when it is silent or unused.
func (poo *Pool) watch(addr string, lnk *link) {
	var pinging atomic.Bool
	lvn := liveness{warm: poo.warm}
	tmr := time.NewTimer(lvn.pause(time.Now(), false, lnk.used(), lnk.conn.lastRead()))
	defer tmr.Stop()
	for {
		select {
		case <-lnk.closed:
			return
		case <-tmr.C:
		case <-lnk.slow:
		}
		now, busy := time.Now(), lnk.inFlight.Load() > 0
		switch lvn.decide(now, busy, lnk.used(), lnk.conn.lastRead()) {
		case actPing:
			lnk.ping(&pinging)
		case actSilent:
			silentConnections(poo.kind).Inc()
			poo.drop(addr, lnk)
			return
		case actUnused:
			poo.drop(addr, lnk)
			return
		}
		tmr.Reset(lvn.pause(now, busy, lnk.used(), lnk.conn.lastRead()))
	}
}

func (lnk *link) used() time.Time { return time.Unix(0, lnk.lastUse.Load()) }

// ping sends one ping unless an earlier one is still unanswered. Writing to a
// connection whose peer does not read can block, so it runs on its own goroutine.
func (lnk *link) ping(pinging *atomic.Bool) {
	if !pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer pinging.Store(false)
		var reply struct{}
		cal := lnk.client.Go(pingMethod, struct{}{}, &reply, make(chan *rpc.Call, 1))
		select {
		case <-cal.Done:
		case <-lnk.closed:
		}
	}()
}

// Drop closes the connection to an address, so that the next call opens a new one.
func (poo *Pool) Drop(addr string) {
	poo.mu.Lock()
	lnk := poo.links[addr]
	poo.mu.Unlock()
	if lnk != nil {
		poo.drop(addr, lnk)
	}
}

func (poo *Pool) drop(addr string, lnk *link) {
	poo.mu.Lock()
	if poo.links[addr] == lnk {
		delete(poo.links, addr)
	}
	poo.mu.Unlock()
	lnk.close()
}

func (lnk *link) close() {
	lnk.once.Do(func() {
		close(lnk.closed)
		_ = lnk.conn.Close()
	})
}

// Close closes every connection.
func (poo *Pool) Close() {
	poo.mu.Lock()
	links := poo.links
	poo.links = nil
	poo.mu.Unlock()
	for _, lnk := range links {
		lnk.close()
	}
}

func silentConnections(kind string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`jacinthpost_peer_silent_connections_total{kind="` + kind + `"}`)
}
