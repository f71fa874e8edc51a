package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 32 << 10
	// chunkLimit bounds the delayed chunks of one direction; beyond it the sender is slowed down.
	chunkLimit = 256
)

// link is one relayed connection.
type link struct {
	up   *direction // client to target
	down *direction // target to client
	once sync.Once
}

func newLink(client, target net.Conn, dropped *atomic.Int64) *link {
	return &link{
		up:   &direction{from: client, into: target, dropped: dropped},
		down: &direction{from: target, into: client, dropped: dropped},
	}
}

// apply follows a setting. Established tells whether the link was open at the switch.
func (lnk *link) apply(set Setting, established bool) {
	lnk.up.delay.Store(int64(set.DelayMillis))
	lnk.down.delay.Store(int64(set.DelayMillis))
	switch {
	case set.Mode == Cut:
		lnk.close()
	case set.Mode == SilentAll, set.Mode == Silent && established:
		lnk.up.silence()
		lnk.down.silence()
	case set.Mode == OneWay:
		lnk.down.silence()
	}
}

// run relays both directions until both end.
func (lnk *link) run() {
	var grp sync.WaitGroup
	grp.Go(lnk.up.run)
	grp.Go(lnk.down.run)
	grp.Wait()
}

func (lnk *link) close() {
	lnk.once.Do(func() {
		_ = lnk.up.from.Close()
		_ = lnk.down.from.Close()
	})
}

// direction copies one half of a connection.
type direction struct {
	from    net.Conn
	into    net.Conn
	delay   atomic.Int64 // milliseconds
	silent  atomic.Bool
	dropped *atomic.Int64
}

// silence makes the direction read and drop everything from now on.
func (dir *direction) silence() { dir.silent.Store(true) }

type chunk struct {
	bytes []byte
	due   time.Time
}

// run reads until the source ends. A silent direction hides the end of its
// source, as a network that delivers nothing does, so the other side keeps
// the connection until it closes it itself.
func (dir *direction) run() {
	chunks := make(chan chunk, chunkLimit)
	var grp sync.WaitGroup
	grp.Go(func() { dir.deliver(chunks) })
	for {
		buf := make([]byte, chunkBytes)
		num, err := dir.from.Read(buf)
		if num > 0 {
			chunks <- chunk{bytes: buf[:num], due: time.Now().Add(time.Duration(dir.delay.Load()) * time.Millisecond)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	grp.Wait()
}

// deliver writes the chunks when they are due and ends the other side after the last one.
func (dir *direction) deliver(chunks <-chan chunk) {
	for chk := range chunks {
		if wait := time.Until(chk.due); wait > 0 {
			<-time.After(wait)
		}
		if dir.silent.Load() {
			dir.dropped.Add(int64(len(chk.bytes)))
			continue
		}
		if _, err := dir.into.Write(chk.bytes); err != nil {
			dir.silence()
			_ = dir.from.Close()
		}
	}
	if !dir.silent.Load() {
		closeWrite(dir.into)
	}
}

// closeWrite passes on the end of one direction and leaves the other one open.
func closeWrite(con net.Conn) {
	if tcp, half := con.(*net.TCPConn); half {
		_ = tcp.CloseWrite()
		return
	}
	_ = con.Close()
}
