package clients

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/shed"
)

const (
	// headerByteCost is the memory that a byte of a header can take once it is parsed: a line of 4 bytes becomes an entry
	// of a map with a key and a list of one value, 128 bytes.
	headerByteCost = 32
	// writeSlice is written at a time, and writeTimeout is how long a client may take to receive it.
	writeSlice   = 16 << 10
	writeTimeout = 10 * time.Second
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	clients *Clients

	mu       sync.Mutex
	since    time.Time // when the present request began, or when the connection became idle
	started  bool      // a byte of the present request has arrived
	handling bool      // the header is complete, and the connection is not idle again
	served   bool      // a request was answered before
	leaving  bool      // has to give way
	body     bool      // ReadBody is at work, and refuses the request when the connection has to give way
	closing  sync.Once
	closed   error
	held     int64 // by the present request

	headerCost int64 // of the present request; only its handler uses it
}

// Read implements net.Conn. Until the header is complete, it bounds the time and counts what arrives.
func (con *conn) Read(buf []byte) (int, error) {
	con.mu.Lock()
	handling, deadline := con.handling, con.deadline()
	con.mu.Unlock()
	if handling {
		return con.Conn.Read(buf)
	}
	if err := con.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	num, err := con.Conn.Read(buf)
	if num == 0 {
		con.noteTimeout(err)
		return num, err
	}
	con.start()
	con.progress(int64(num) * headerByteCost)
	if !con.hold(int64(num) * headerByteCost) {
		_ = con.Close() // the header is incomplete, so that nothing can be answered
		return 0, net.ErrClosed
	}
	return num, err
}

// start records that a byte of a request has arrived.
func (con *conn) start() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !con.started {
		con.started, con.since = true, time.Now()
		con.clients.update(func(tab *table, now time.Time) { tab.SetPhase(con, shed.Receiving, now) })
	}
}

// noteTimeout counts an error that ends a request or an answer that has begun because the client took too long.
func (con *conn) noteTimeout(err error) {
	if con == nil {
		return
	}
	con.mu.Lock()
	begun := con.started && !con.leaving
	con.mu.Unlock()
	if begun && errors.Is(err, os.ErrDeadlineExceeded) {
		con.clients.acted(limitTime, effectRefused, 1)
	}
}

// deadline returns the time until which the next bytes of a header must arrive, zero if there is no limit.
func (con *conn) deadline() time.Time {
	wir := con.clients.wire.Load()
	limit := wir.headerTimeout
	if !con.started && con.served {
		limit = wir.idleTimeout
	}
	if limit <= 0 {
		return time.Time{}
	}
	return con.since.Add(limit)
}

// Write implements net.Conn. The client must take each slice in time. While a large answer is being written, it counts as
// memory of the connection, which may then give way.
func (con *conn) Write(buf []byte) (int, error) {
	con.clients.update(func(tab *table, now time.Time) { tab.SetPhase(con, shed.Answering, now) })
	if size := int64(len(buf)); size > writeSlice && con.hold(size) {
		defer con.release(size)
	}
	written := 0
	for written < len(buf) {
		if err := con.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		num, err := con.Conn.Write(buf[written:min(len(buf), written+writeSlice)])
		written += num
		if err != nil {
			con.noteTimeout(err)
			return written, err
		}
		con.progress(int64(num))
	}
	return written, nil
}

// SetReadDeadline implements net.Conn. A connection that has to give way keeps the deadline that has passed.
func (con *conn) SetReadDeadline(at time.Time) error {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.leaving {
		return con.Conn.SetReadDeadline(time.Now())
	}
	return con.Conn.SetReadDeadline(at)
}

// CloseWrite ends the sending direction, so that the client can read the last answer before the connection is closed.
func (con *conn) CloseWrite() error {
	if tcp, ok := con.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (con *conn) Close() error {
	con.closing.Do(func() {
		con.closed = con.Conn.Close()
		con.clients.update(func(tab *table, _ time.Time) { tab.Close(con) })
	})
	return con.closed
}

// giveWay ends what the connection does. A request whose body is being read is refused by ReadBody.
func (con *conn) giveWay() {
	con.mu.Lock()
	con.leaving = true
	body := con.body
	con.mu.Unlock()
	if !body {
		_ = con.Close() // what the client sent was incomplete, or it does not read its answer
		return
	}
	_ = con.SetReadDeadline(time.Now()) // wakes ReadBody; fails only if the connection is closed
}

// hold adds to the memory of the present request, and reports whether there is enough.
func (con *conn) hold(num int64) bool {
	if con == nil {
		return true
	}
	if !con.clients.grow(con, num) {
		return false
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.held += num
	return true
}

// progress records that a number of bytes was received or sent.
func (con *conn) progress(num int64) {
	if con != nil && num > 0 {
		con.clients.update(func(tab *table, now time.Time) { tab.Progress(con, num, now) })
	}
}

func (con *conn) heldBytes() int64 {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.held
}

// release takes from the memory of the present request.
func (con *conn) release(num int64) {
	con.mu.Lock()
	num = min(num, con.held)
	con.held -= num
	con.mu.Unlock()
	con.clients.update(func(tab *table, _ time.Time) { tab.Shrink(con, num) })
}

// releaseTo reduces the memory of the present request to a number of bytes.
func (con *conn) releaseTo(num int64) {
	if more := con.heldBytes() - num; more > 0 {
		con.release(more)
	}
}

// begin records that the header of a request is complete. The header has a number of bytes.
func (con *conn) begin(header int) {
	con.mu.Lock()
	con.handling, con.started = true, true
	con.mu.Unlock()
	con.headerCost = int64(header) * headerByteCost
	con.releaseTo(con.headerCost)
}

// idle records that the answer has been sent.
func (con *conn) idle() {
	con.releaseTo(0)
	con.mu.Lock()
	con.handling, con.started, con.served, con.since = false, false, true, time.Now()
	con.mu.Unlock()
	con.clients.update(func(tab *table, now time.Time) { tab.SetPhase(con, shed.Idle, now) })
}
