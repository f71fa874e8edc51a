package clients

import (
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/shed"
	"jacinthpost/io/jsonlimit"
)

const (
	// bodyTimeout is the time in which a whole body must arrive.
	bodyTimeout = 30 * time.Second
	// firstSegment and maxSegment are the sizes of the pieces of memory in which a body is collected, in bytes.
	firstSegment = 4 << 10
	maxSegment   = 32 << 10
	// DecodeCost is the memory that a byte of a body can take while it is decoded, the body included.
	DecodeCost = 5
)

// Errors of ReadBody and Work. Of all of them the request has not run.
var (
	ErrTooLarge = errors.New("the body is larger than the limit")
	ErrBusy     = errors.New("other requests hold all memory or places")
	ErrTimeout  = errors.New("the body did not arrive within " + bodyTimeout.String())
)

// ReadBody reads the body of a request, which has at most limit bytes. The bytes that have arrived count as held by the
// connection. Until Work is called, the request may have to give way, and then fails with ErrBusy.
func ReadBody(req *http.Request, limit int64) ([]byte, error) {
	con := connOf(req)
	if req.ContentLength > limit {
		con.acted(limitBody)
		return nil, ErrTooLarge
	}
	con.beginBody()
	data, err := collect(req.Body, limit, con)
	if err == nil {
		con.endBody()
		return data, nil
	}
	con.drop()
	switch {
	case con.mustLeave():
		return nil, ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded):
		con.noteTimeout(err)
		return nil, ErrTimeout
	case errors.Is(err, ErrTooLarge):
		con.acted(limitBody)
	}
	return nil, err
}

// CheckJSON returns an error if a body of a request has a list with more elements than most, before it is decoded.
func CheckJSON(req *http.Request, data []byte, most int) error {
	err := jsonlimit.Check(data, most)
	if err != nil {
		connOf(req).acted(limitDecoding)
	}
	return err
}

// collect reads everything up to a limit in segments, so that a body costs no more than the bytes that have arrived and
// one segment.
func collect(rdr io.Reader, limit int64, con *conn) ([]byte, error) {
	var segs [][]byte
	total := int64(0)
	for size := int64(firstSegment); ; size = min(2*size, maxSegment) {
		if !con.hold(size) {
			return nil, ErrBusy
		}
		seg := make([]byte, size)
		num, err := fill(rdr, seg, con)
		total += int64(num)
		if total > limit {
			return nil, ErrTooLarge
		}
		segs = append(segs, seg[:num])
		if errors.Is(err, io.EOF) {
			return join(segs, total, con)
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until a segment is full or an error occurs.
func fill(rdr io.Reader, seg []byte, con *conn) (int, error) {
	num := 0
	for num < len(seg) {
		more, err := rdr.Read(seg[num:])
		num += more
		con.progress(int64(more))
		if err != nil {
			return num, err
		}
	}
	return num, nil
}

// join returns the content of segments. A body of one segment is not copied.
func join(segs [][]byte, total int64, con *conn) ([]byte, error) {
	if len(segs) == 1 {
		return segs[0], nil
	}
	if !con.hold(total) {
		return nil, ErrBusy
	}
	return slices.Concat(segs...), nil
}

// Work turns a request whose body was read into one at work, which does not give way any more. From now on it
// holds a number of bytes.
func Work(req *http.Request, num int64) error {
	con := connOf(req)
	if con == nil {
		return nil
	}
	con.releaseTo(con.headerCost + num)
	if more := con.headerCost + num - con.heldBytes(); more > 0 && !con.hold(more) || !con.clients.work(con) {
		con.drop()
		return ErrBusy
	}
	con.setBody(false)
	return nil
}

// Keep reduces what a request at work holds to a number of bytes.
func Keep(req *http.Request, num int64) {
	if con := connOf(req); con != nil {
		con.releaseTo(con.headerCost + num)
	}
}

// beginBody records that the body of the present request is being read.
func (con *conn) beginBody() {
	if con == nil {
		return
	}
	con.setBody(true)
	con.clients.update(func(tab *table, now time.Time) { tab.SetPhase(con, shed.Receiving, now) })
	_ = con.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed
}

// endBody removes the time limit of the body, which would end the context of the request.
func (con *conn) endBody() {
	if con != nil {
		_ = con.SetReadDeadline(time.Time{})
	}
}

// drop releases what a request holds that is being refused. Its connection may stay open until the client has the answer.
func (con *conn) drop() {
	if con != nil {
		con.releaseTo(0)
	}
}

// acted counts a limit that refuses the present request.
func (con *conn) acted(limit string) {
	if con != nil {
		con.clients.acted(limit, effectRefused, 1)
	}
}

func (con *conn) setBody(reading bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.body = reading
}

// mustLeave reports whether the connection has to give way.
func (con *conn) mustLeave() bool {
	if con == nil {
		return false
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.leaving
}
