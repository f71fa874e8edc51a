package peer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// countedConn counts bytes by kind of traffic and region and records when the last byte arrived.
type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
	last     atomic.Int64
}

func newCountedConn(con net.Conn, kind string, rch Reach) *countedConn {
	if kind == "" {
		kind = "other"
	}
	labels := fmt.Sprintf("{kind=%q,region=%q}", kind, string(rch))
	cnt := &countedConn{
		Conn:     con,
		sent:     metrics.GetOrCreateCounter("jacinthpost_peer_sent_bytes_total" + labels),
		received: metrics.GetOrCreateCounter("jacinthpost_peer_received_bytes_total" + labels),
	}
	cnt.last.Store(time.Now().UnixNano())
	return cnt
}

func (cnt *countedConn) Read(buf []byte) (int, error) {
	num, err := cnt.Conn.Read(buf)
	if num > 0 {
		cnt.last.Store(time.Now().UnixNano())
		cnt.received.Add(num)
	}
	return num, err
}

func (cnt *countedConn) Write(buf []byte) (int, error) {
	num, err := cnt.Conn.Write(buf)
	cnt.sent.Add(num)
	return num, err
}

func (cnt *countedConn) lastRead() time.Time { return time.Unix(0, cnt.last.Load()) }
