// Package shed decides which connections of clients give way when what they hold together reaches a
// limit: memory, places for connections, or places for requests at work.
//
// A Table counts what each connection holds. A request that is at work never gives way, because the work may
// already have begun. Requests that are still arriving, answers that nobody reads and idle connections do,
// in an order that a Policy decides. Clients that stop in the middle of a request therefore can't
// lock others out: the memory and the places that they hold are taken back.
//
// The package knows no protocol. A Table is not safe for concurrent use.
package shed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ConnectionBytes is the memory of an open connection without a request: buffers of 4 KiB for each direction, the
// stack of a goroutine, and the state of the server.
const ConnectionBytes = 24 << 10

const (
	// workShare is the part of the memory and of the places that requests at work may hold. The rest is always
	// held by connections that can give way.
	workShare = 0.5
	// headroomShare is the part of the memory that is freed beyond what is needed, so that not every
	// request has to search for connections that give way.
	headroomShare = 1.0 / 16
)

// Phase is what a connection is doing.
type Phase int

// Phases.
const (
	Idle      Phase = iota // no byte of a request has arrived
	Receiving              // a part of a request has arrived
	Working                // the request is whole and at work
	Answering              // the answer is being sent
)

// Limits are what all connections may hold together. A zero means no limit.
type Limits struct {
	connections, requests int
	bytes                 int64
}

// NewLimits returns limits for the open connections, the requests at work and the bytes of memory.
func NewLimits(connections, requests int, bytes int64) Limits {
	return Limits{connections: connections, requests: requests, bytes: bytes}
}

// Connections returns the most connections that may be open.
func (lim Limits) Connections() int { return lim.connections }

// Requests returns the most requests that may be at work.
func (lim Limits) Requests() int { return lim.requests }

// Bytes returns the most memory that connections may hold.
func (lim Limits) Bytes() int64 { return lim.bytes }

// Connection is what a Table knows of a connection.
type Connection struct {
	phase   Phase
	held    int64 // bytes
	leaving bool
	heardAt time.Time // when it last made progress or began a phase
	recent  float64   // bytes of progress, decaying with rateWindow
}

// Phase returns what the connection is doing.
func (con *Connection) Phase() Phase { return con.phase }

// Held returns the memory that the connection holds, in bytes.
func (con *Connection) Held() int64 { return con.held }

// Silence returns for how long the connection has made no progress.
func (con *Connection) Silence(now time.Time) time.Duration { return now.Sub(con.heardAt) }

// rateWindow is the time over which the rate of a connection is averaged. It is longer than the pauses of a client that goes on
// sending over a slow link.
const rateWindow = 500 * time.Millisecond

// Rate returns the recent progress in bytes per second.
func (con *Connection) Rate(now time.Time) float64 {
	return con.recent * math.Exp(-con.Silence(now).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

func (con *Connection) progress(num int64, now time.Time) {
	con.recent = con.Rate(now)*rateWindow.Seconds() + float64(num)
	con.heardAt = now
}

// Verdict is the decision about a request for memory or a place.
type Verdict[K comparable] struct {
	kind    verdictKind
	victims []K
}

type verdictKind int

const (
	refused verdictKind = iota
	granted
	awaited
)

// Granted reports whether the connection got what it needs.
func (ver Verdict[K]) Granted() bool { return ver.kind == granted }

// Awaited reports whether the connection can ask again once others have released what they hold.
func (ver Verdict[K]) Awaited() bool { return ver.kind == awaited }

// Victims returns the connections that must give way now: the caller must end what they do and call Close.
func (ver Verdict[K]) Victims() []K { return ver.victims }

// Table counts what connections hold. K identifies a connection. The zero value has no limits.
type Table[K comparable, P Policy] struct {
	policy  P
	limits  Limits
	conns   map[K]*Connection
	held    int64 // by all connections
	leaving int64 // by those that give way
	absent  int   // connections that give way
	working int   // requests at work
	claimed int64 // by requests at work
}

// New returns a table without connections.
func New[K comparable, P Policy](lim Limits) *Table[K, P] {
	return &Table[K, P]{limits: lim}
}

// Limits returns the limits.
func (tab *Table[K, P]) Limits() Limits { return tab.limits }

// Len returns the number of open connections.
func (tab *Table[K, P]) Len() int { return len(tab.conns) }

// Held returns the memory that all connections hold, in bytes.
func (tab *Table[K, P]) Held() int64 { return tab.held }

// Working returns the number of requests at work.
func (tab *Table[K, P]) Working() int { return tab.working }

// Open adds a connection. If the verdict is not that it is granted, the connection is not added and must be closed.
func (tab *Table[K, P]) Open(key K, now time.Time) Verdict[K] {
	var ver Verdict[K]
	if tab.limits.connections > 0 && len(tab.conns)-tab.absent >= tab.limits.connections {
		victim, found := tab.slot(now)
		if !found {
			return ver
		}
		tab.leave(victim)
		ver.victims = append(ver.victims, victim)
	}
	more, enough := tab.makeRoom(ConnectionBytes, nil, now)
	ver.victims = append(ver.victims, more...)
	if !enough {
		return ver
	}
	if tab.conns == nil {
		tab.conns = make(map[K]*Connection)
	}
	tab.conns[key] = &Connection{heardAt: now}
	tab.add(tab.conns[key], ConnectionBytes)
	ver.kind = granted
	return ver
}

// slot returns the connection that gives way for another one.
func (tab *Table[K, P]) slot(now time.Time) (victim K, found bool) {
	most := math.Inf(-1)
	for key, con := range tab.conns {
		if con.leaving || con.phase == Working {
			continue
		}
		if val := tab.policy.ForPlace(con, now); val > most {
			victim, found, most = key, true, val
		}
	}
	return victim, found
}

// Grow adds to the memory that a connection holds. It is refused if the connection itself has to give way, and
// awaited if others are giving memory back or if requests at work hold their part of it.
func (tab *Table[K, P]) Grow(key K, num int64, now time.Time) Verdict[K] {
	con := tab.conns[key]
	if con == nil || con.leaving {
		return Verdict[K]{}
	}
	if con.phase == Working && !tab.workFits(num) {
		return Verdict[K]{kind: awaited}
	}
	victims, enough := tab.makeRoom(num, con, now)
	switch {
	case !enough:
		return Verdict[K]{}
	case tab.limits.bytes > 0 && tab.held+num > tab.limits.bytes:
		return Verdict[K]{kind: awaited, victims: victims}
	}
	tab.add(con, num)
	return Verdict[K]{kind: granted, victims: victims}
}

// makeRoom selects the connections that give way for a number of bytes that con needs. It selects none if that
// is not enough, or if con itself would be one of them.
func (tab *Table[K, P]) makeRoom(num int64, con *Connection, now time.Time) (victims []K, enough bool) {
	over := tab.held - tab.leaving + num - tab.limits.bytes
	if tab.limits.bytes <= 0 || over <= 0 {
		return nil, true
	}
	over += int64(headroomShare * float64(tab.limits.bytes))
	order := tab.byMemory(now)
	freed := int64(0)
	for _, key := range order {
		if tab.conns[key] == con {
			break
		}
		freed += tab.conns[key].held
		if victims = append(victims, key); freed >= over {
			break
		}
	}
	if freed < over-int64(headroomShare*float64(tab.limits.bytes)) {
		return nil, false
	}
	for _, key := range victims {
		tab.leave(key)
	}
	return victims, true
}

// byMemory returns the connections that can give way, the first one first.
func (tab *Table[K, P]) byMemory(now time.Time) []K {
	type candidate struct {
		key   K
		value float64
	}
	var list []candidate
	for key, con := range tab.conns {
		if !con.leaving && con.phase != Working {
			list = append(list, candidate{key, tab.policy.ForMemory(con, now)})
		}
	}
	slices.SortFunc(list, func(one, two candidate) int { return cmp.Compare(two.value, one.value) })
	keys := make([]K, len(list))
	for num, can := range list {
		keys[num] = can.key
	}
	return keys
}

// Work turns a request that has arrived whole into one at work. It is refused if too many are at work, or if these
// hold too much memory.
func (tab *Table[K, P]) Work(key K, now time.Time) bool {
	con := tab.conns[key]
	if con == nil || con.leaving {
		return false
	}
	if con.phase == Working {
		return true
	}
	if tab.limits.requests > 0 && tab.working >= tab.limits.requests {
		return false
	}
	if !tab.workFits(con.held) {
		return false
	}
	tab.SetPhase(key, Working, now)
	return true
}

// workFits reports whether requests at work may hold a number of bytes more.
func (tab *Table[K, P]) workFits(num int64) bool {
	return tab.limits.bytes <= 0 || tab.claimed+num <= int64(workShare*float64(tab.limits.bytes))
}

// SetPhase records what a connection is doing. Requests begin to work by Work.
func (tab *Table[K, P]) SetPhase(key K, pha Phase, now time.Time) {
	con := tab.conns[key]
	if con == nil || con.phase == pha {
		return
	}
	if con.phase == Working {
		tab.working--
		tab.claimed -= con.held
	}
	if pha == Working {
		tab.working++
		tab.claimed += con.held
	}
	con.phase, con.heardAt = pha, now
}

// Progress records that a number of bytes of a request has arrived, or that the client has taken them of its answer. Bytes count
// as in Grow.
func (tab *Table[K, P]) Progress(key K, num int64, now time.Time) {
	if con := tab.conns[key]; con != nil {
		con.progress(num, now)
	}
}

// Shrink takes from the memory that a connection holds.
func (tab *Table[K, P]) Shrink(key K, num int64) {
	if con := tab.conns[key]; con != nil {
		tab.add(con, -min(num, con.held))
	}
}

// Close removes a connection with all that it holds.
func (tab *Table[K, P]) Close(key K) {
	con := tab.conns[key]
	if con == nil {
		return
	}
	tab.SetPhase(key, Idle, con.heardAt)
	tab.add(con, -con.held)
	if con.leaving {
		tab.absent--
	}
	delete(tab.conns, key)
}

func (tab *Table[K, P]) add(con *Connection, num int64) {
	con.held += num
	tab.held += num
	if con.leaving {
		tab.leaving += num
	}
	if con.phase == Working {
		tab.claimed += num
	}
}

func (tab *Table[K, P]) leave(key K) {
	con := tab.conns[key]
	con.leaving = true
	tab.leaving += con.held
	tab.absent++
}
