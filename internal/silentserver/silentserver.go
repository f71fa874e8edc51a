// Package silentserver is an HTTP server for tests whose open connections can go silent, as when something between a client
// and the server forgets them: nothing arrives on them any more, while new ones work.
package silentserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Paths with an answer of their own.
const (
	Never    = "/never"    // there is none
	Together = "/together" // when as many requests wait as were given to New, or some are late
)

type connKey struct{}

// Server is a server whose connections can go silent.
type Server struct {
	*httptest.Server
	handler  http.Handler
	together int
	patience time.Duration

	mu       sync.Mutex
	accepted int
	silent   int           // connections with a number up to this one are silent
	waiting  int           // requests for Together without an answer
	complete chan struct{} // closed when all of them get one
}

// New returns a server that answers like another one, which is not started itself, or with an empty body if that has no
// handler. Requests for Together wait for each other, for at most patience.
func New(together int, patience time.Duration, like *http.Server) *Server {
	srv := &Server{handler: like.Handler, together: together, patience: patience, complete: make(chan struct{})}
	srv.Server = httptest.NewUnstartedServer(srv)
	srv.Config.ConnContext = func(ctx context.Context, con net.Conn) context.Context {
		if like.ConnContext != nil {
			ctx = like.ConnContext(ctx, con)
		}
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.accepted++
		return context.WithValue(ctx, connKey{}, srv.accepted)
	}
	srv.Start()
	return srv
}

// Silence makes all connections silent that are open now.
func (srv *Server) Silence() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.silent = srv.accepted
}

// Opened returns how many connections were opened so far.
func (srv *Server) Opened() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.accepted
}

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	switch {
	case srv.isSilent(req) || req.URL.Path == Never:
		_, _ = io.Copy(io.Discard, req.Body) // the end of the connection is noticed only after the body
		<-req.Context().Done()
	case req.URL.Path == Together:
		srv.await()
	case srv.handler != nil:
		srv.handler.ServeHTTP(wrt, req)
	}
}

func (srv *Server) isSilent(req *http.Request) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	num, _ := req.Context().Value(connKey{}).(int)
	return num <= srv.silent
}

// await waits for the other requests for Together.
func (srv *Server) await() {
	srv.mu.Lock()
	all := srv.complete
	if srv.waiting++; srv.waiting == srv.together {
		srv.waiting, srv.complete = 0, make(chan struct{})
		close(all)
	}
	srv.mu.Unlock()
	select {
	case <-all:
	case <-time.After(srv.patience):
	}
}
