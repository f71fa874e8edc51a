package clients

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxHeaderBytes bounds a header whatever Wire allows, four times the limit of the deployments.
	maxHeaderBytes = 64 << 10
	// RetryAfter is the time after which a request that had to give way may be sent again.
	RetryAfter = time.Second
)

// Refuse answers a request that was not carried out. With status 503 it may be sent again after RetryAfter.
type Refuse func(wrt http.ResponseWriter, status int, detail string)

// RefusePlain is a Refuse that answers with text.
func RefusePlain(wrt http.ResponseWriter, status int, detail string) {
	if status == http.StatusServiceUnavailable {
		wrt.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	}
	http.Error(wrt, detail, status)
}

type connKey struct{}

// Server returns a server whose requests are bounded. Its connections must come from Listener.
func (cls *Clients) Server(hnd http.Handler, ref Refuse) *http.Server {
	return &http.Server{
		Handler: cls.bound(hnd, ref), MaxHeaderBytes: maxHeaderBytes, ConnState: cls.ConnState,
		ConnContext: func(ctx context.Context, con net.Conn) context.Context { return context.WithValue(ctx, connKey{}, con) },
	}
}

// connOf returns the connection of a request, nil if it was not accepted by a Listener.
func connOf(req *http.Request) *conn {
	con, _ := req.Context().Value(connKey{}).(*conn)
	return con
}

// bound returns a handler that refuses requests for which there is no place.
func (cls *Clients) bound(next http.Handler, ref Refuse) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		con := connOf(req)
		if con == nil {
			next.ServeHTTP(wrt, req)
			return
		}
		size := headerSize(req)
		con.begin(size)
		if limit := cls.wire.Load().headerBytes; limit > 0 && size > limit {
			cls.acted(limitHeader, effectRefused, 1)
			ref(wrt, http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit")
			return
		}
		if (req.ContentLength == 0 || !takesBody(req.Method)) && !cls.work(con) {
			ref(wrt, http.StatusServiceUnavailable, ErrBusy.Error())
			return
		}
		next.ServeHTTP(wrt, req)
	})
}

// takesBody reports whether the handlers of a method read a body, after which their requests are at work.
func takesBody(method string) bool { return method == http.MethodPost || method == http.MethodPut }

// headerSize returns the bytes of a header on the wire.
func headerSize(req *http.Request) int {
	const (
		separators = 4 // of a line
		hostLine   = len("Host") + separators
		emptyLine  = 2
	)
	size := len(req.Method) + len(req.RequestURI) + len(req.Proto) + separators + hostLine + len(req.Host) + emptyLine
	for name, vals := range req.Header {
		for _, val := range vals {
			size += len(name) + len(val) + separators
		}
	}
	return size
}
