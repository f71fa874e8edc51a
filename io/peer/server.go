package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-faster/errors"
)

const pingMethod = "Peer.Ping"

// pinger answers liveness probes of connections.
type pinger struct{}

// Ping answers at once.
func (pinger) Ping(_ struct{}, _ *struct{}) error { return nil }

// Server accepts connections from peers and dispatches their calls.
type Server struct {
	rpc   *rpc.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that answers liveness probes only.
func NewServer() *Server {
	srv := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	srv.Register("Peer", pinger{})
	return srv
}

// Register adds a service. A service with no suitable method is a programming error.
func (srv *Server) Register(name string, service any) {
	if err := srv.rpc.RegisterName(name, service); err != nil {
		panic("peer: register " + name + ": " + err.Error())
	}
}

// Serve accepts connections until the context ends, then closes them.
func (srv *Server) Serve(ctx context.Context, lsn net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = lsn.Close()
		srv.closeConns()
	})
	defer stop()
	for {
		con, err := lsn.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		go srv.serveConn(con)
	}
}

func (srv *Server) serveConn(con net.Conn) {
	srv.mu.Lock()
	srv.conns[con] = struct{}{}
	srv.mu.Unlock()
	srv.rpc.ServeConn(newCountedConn(con, "served", ReachUnknown))
	srv.mu.Lock()
	delete(srv.conns, con)
	srv.mu.Unlock()
}

func (srv *Server) closeConns() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for con := range srv.conns {
		_ = con.Close()
	}
}
