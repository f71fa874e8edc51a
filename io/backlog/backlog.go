// Package backlog provides a TCP listener that does not reset waiting connections when it is closed.
//
// The kernel completes handshakes before a server accepts. When a listener is
// closed, the connections that wait in its queue are reset, and a caller that has
// sent a request on one can't tell whether it ran. Closing a Listener first
// accepts the waiting connections, and Accept returns them afterwards.
//
// Connections whose handshake ends in the few microseconds between the last accept
// and the shutdown of the socket are still reset. A load balancer that checks the
// readiness of the process opens no connections at that time.
package backlog

import (
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Listener is a TCP listener that may be closed while connections wait for
// Accept. Any goroutine may use it.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool // set before the socket stops listening
	once    sync.Once
	mu      sync.Mutex
	waiting []net.Conn
	err     error // result of Close
}

// New returns a listener on top of one that nobody else uses.
func New(lsn *net.TCPListener) *Listener { return &Listener{TCPListener: lsn} }

// Accept implements net.Listener. After Close it returns the connections that
// were waiting, and net.ErrClosed when there are no more.
func (lis *Listener) Accept() (net.Conn, error) {
	con, err := lis.TCPListener.Accept()
	if err == nil || !lis.closing.Load() {
		return con, err
	}
	_ = lis.Close() // waits until a concurrent call has accepted the connections
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if len(lis.waiting) == 0 {
		return nil, net.ErrClosed
	}
	con, lis.waiting = lis.waiting[0], lis.waiting[1:]
	return con, nil
}

// Close implements net.Listener. Calls after the first have no effect.
func (lis *Listener) Close() error {
	lis.once.Do(lis.close)
	return lis.err
}

func (lis *Listener) close() {
	lis.closing.Store(true)
	fds, err := lis.drain()
	closed := lis.TCPListener.Close()
	lis.mu.Lock()
	defer lis.mu.Unlock()
	for _, fd := range fds {
		if con, fail := connection(fd); fail == nil {
			lis.waiting = append(lis.waiting, con)
		}
	}
	if lis.err = err; err == nil {
		lis.err = closed
	}
}

// drain accepts every waiting connection and stops the socket from listening.
func (lis *Listener) drain() ([]int, error) {
	raw, err := lis.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "socket of the listener")
	}
	var fds []int
	err = raw.Control(func(lsn uintptr) {
		for {
			fd, _, fail := unix.Accept4(int(lsn), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch fail {
			case nil:
				fds = append(fds, fd)
			case unix.EINTR, unix.ECONNABORTED: // no connection this time, but the queue may hold more
			default:
				_ = unix.Shutdown(int(lsn), unix.SHUT_RD)
				return
			}
		}
	})
	if err != nil {
		return fds, errors.Wrap(err, "socket of the listener")
	}
	return fds, nil
}

// connection turns a descriptor into a connection and closes the descriptor.
func connection(fd int) (net.Conn, error) {
	fil := os.NewFile(uintptr(fd), "tcp")
	defer func() { _ = fil.Close() }()
	return net.FileConn(fil)
}
