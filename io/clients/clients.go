// Package clients bounds what the clients of HTTP servers hold together: connections, requests at work, and memory
// for headers, bodies, decoded requests and answers. Package core/shed decides who gives way.
//
// All servers of a process that are open to the same clients share one Clients. Its Listener accepts their
// connections, its Server reads their requests, and their handlers read bodies with ReadBody. A request that gives
// way before it is at work is refused with status 503, or its connection is closed; it has not run.
//
// A Clients is safe for concurrent use. Its lock is held for single operations of the table only, and no control
// goroutine takes it.
package clients

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"jacinthpost/core/decision"
	"jacinthpost/core/shed"
)

const (
	// roomTimeout is how long a request waits for memory or a place that others are giving back. It is a quarter of the
	// shortest latency target of the deployments.
	roomTimeout = 100 * time.Millisecond
	// logPeriod is the shortest time between two log lines about the same limit.
	logPeriod = time.Second
)

// Wire are the limits of single requests and connections. They may change while the process runs.
type Wire struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// NewWire returns limits for the bytes of a header, the time in which it must arrive, and the time that a connection
// stays open without a request.
func NewWire(headerBytes int, headerTimeout, idleTimeout time.Duration) Wire {
	return Wire{headerBytes: headerBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// table counts what the connections hold.
type table = shed.Table[*conn, shed.LeastProgress]

// Clients holds the connections of clients. Use New to make one.
type Clients struct {
	name string
	log  *zap.Logger
	wire atomic.Pointer[Wire]

	mu      sync.Mutex
	table   *table
	waiting int           // requests that wait for memory or a place
	freed   chan struct{} // closed and replaced when something is released while requests wait

	lines sync.Map // of a *rate.Sometimes by the limit
}

// New returns Clients without connections. The name distinguishes them in metrics and logs.
func New(name string, lim shed.Limits, wir Wire, log *zap.Logger) *Clients {
	cls := &Clients{name: name, log: log, table: shed.New[*conn, shed.LeastProgress](lim), freed: make(chan struct{})}
	cls.wire.Store(&wir)
	metrics.GetOrCreateGauge(`jacinthpost_clients_connections{clients="`+name+`"}`, cls.value(func() int64 { return int64(cls.table.Len()) }))
	metrics.GetOrCreateGauge(`jacinthpost_clients_requests{clients="`+name+`"}`, cls.value(func() int64 { return int64(cls.table.Working()) }))
	metrics.GetOrCreateGauge(`jacinthpost_clients_held_bytes{clients="`+name+`"}`, cls.value(func() int64 { return cls.table.Held() }))
	return cls
}

// value returns a function for a gauge that reads the table.
func (cls *Clients) value(read func() int64) func() float64 {
	return func() float64 {
		cls.mu.Lock()
		defer cls.mu.Unlock()
		return float64(read())
	}
}

// SetWire changes the limits of single requests and connections.
func (cls *Clients) SetWire(wir Wire) { cls.wire.Store(&wir) }

// Limits that act, as values of the label "limit" and in log lines.
const (
	limitConnections = "connections"
	limitRequests    = "requests"
	limitMemory      = "memory"
	limitTime        = "time"
	limitHeader      = "header"
	limitBody        = "body"
	limitDecoding    = "decoding"
)

// Effects of limits, as values of the label "effect" and in log lines.
const (
	effectGaveWay = "gaveWay" // a connection that held something gave way
	effectRefused = "refused"
)

// acted counts the effect of a limit and logs it, at most once in logPeriod.
func (cls *Clients) acted(limit, effect string, num int) {
	if num == 0 {
		return
	}
	metrics.GetOrCreateCounter(`jacinthpost_clients_limited_total{clients="` + cls.name + `",limit="` + limit + `",effect="` + effect + `"}`).Add(num)
	some, _ := cls.lines.LoadOrStore(limit+effect, &rate.Sometimes{Interval: logPeriod})
	some.(*rate.Sometimes).Do(func() {
		cls.mu.Lock()
		connections, working, held := cls.table.Len(), cls.table.Working(), cls.table.Held()
		cls.mu.Unlock()
		cls.log.Warn(string(decision.ClientsLimited), zap.String("clients", cls.name), zap.String("limit", limit), zap.String("effect", effect),
			zap.Int("count", num), zap.Int("connections", connections), zap.Int("requests", working), zap.Int64("heldBytes", held))
	})
}

// Listener returns a listener whose connections are bounded.
func (cls *Clients) Listener(lsn net.Listener) net.Listener {
	return &listener{Listener: lsn, clients: cls}
}

type listener struct {
	net.Listener
	clients *Clients
}

// Accept implements net.Listener. It closes connections for which there is no place.
func (lis *listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if con, ok := lis.clients.open(raw); ok {
			return con, nil
		}
		_ = raw.Close() // nothing was read from it
	}
}

func (cls *Clients) open(raw net.Conn) (*conn, bool) {
	con := &conn{Conn: raw, clients: cls, since: time.Now()}
	cls.mu.Lock()
	full := cls.table.Limits().Connections() > 0 && cls.table.Len() >= cls.table.Limits().Connections()
	ver := cls.table.Open(con, con.since)
	cls.mu.Unlock()
	limit := limitMemory
	if full {
		limit = limitConnections
	}
	cls.evict(limit, ver.Victims())
	if !ver.Granted() {
		cls.acted(limit, effectRefused, 1)
	}
	return con, ver.Granted()
}

func (cls *Clients) evict(limit string, victims []*conn) {
	for _, vic := range victims {
		vic.giveWay()
	}
	cls.acted(limit, effectGaveWay, len(victims))
}

// grow adds to the memory that a connection holds. It waits for memory that others are giving back, and reports whether there
// is enough.
func (cls *Clients) grow(con *conn, num int64) bool {
	granted := cls.await(func() (done, ok bool) {
		for {
			ver := cls.table.Grow(con, num, time.Now())
			if len(ver.Victims()) > 0 {
				cls.mu.Unlock()
				cls.evict(limitMemory, ver.Victims())
				cls.mu.Lock()
			}
			if !ver.Awaited() || len(ver.Victims()) == 0 {
				return !ver.Awaited(), ver.Granted()
			}
		}
	})
	if !granted {
		cls.acted(limitMemory, effectRefused, 1)
	}
	return granted
}

// work turns a request into one at work. It waits for others that are about to end, and reports whether there is a place.
func (cls *Clients) work(con *conn) bool {
	ok := cls.await(func() (done, ok bool) {
		ok = cls.table.Work(con, time.Now())
		return ok, ok
	})
	if !ok {
		cls.acted(limitRequests, effectRefused, 1)
	}
	return ok
}

// await calls try, which may use the table, until it is done. In between it waits for something to be released, for roomTimeout at
// most.
func (cls *Clients) await(try func() (done, ok bool)) bool {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	done, ok := try()
	if done {
		return ok
	}
	cls.waiting++
	defer func() { cls.waiting-- }()
	tmr := time.NewTimer(roomTimeout)
	defer tmr.Stop()
	for {
		freed := cls.freed
		cls.mu.Unlock()
		expired := false
		select {
		case <-freed:
		case <-tmr.C:
			expired = true
		}
		cls.mu.Lock()
		if done, ok = try(); done || expired {
			return ok
		}
	}
}

// update changes the table and wakes those that wait for memory or a place.
func (cls *Clients) update(change func(tab *table, now time.Time)) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	change(cls.table, time.Now())
	if cls.waiting > 0 {
		close(cls.freed)
		cls.freed = make(chan struct{})
	}
}

// ConnState is a hook for http.Server.ConnState.
func (cls *Clients) ConnState(raw net.Conn, sta http.ConnState) {
	if con, ok := raw.(*conn); ok && sta == http.StateIdle {
		con.idle()
	}
}
