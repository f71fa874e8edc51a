package clients

import (
	"context"
	"net"
	"net/http"
	"time"
)

// RetryAfter is the time after which a request that had to give way may be sent again.
const RetryAfter = time.Second

type connKey struct{}

// Server returns a server whose requests are bounded. Its connections must come from Listener.
func (cls *Clients) Server(hnd http.Handler) *http.Server {
	return &http.Server{
		Handler: hnd, ReadHeaderTimeout: cls.wire.headerTimeout, IdleTimeout: cls.wire.idleTimeout, ConnState: cls.ConnState,
		ConnContext: func(ctx context.Context, con net.Conn) context.Context { return context.WithValue(ctx, connKey{}, con) },
	}
}

// connOf returns the connection of a request, nil if it was not accepted by a Listener.
func connOf(req *http.Request) *conn {
	con, _ := req.Context().Value(connKey{}).(*conn)
	return con
}
