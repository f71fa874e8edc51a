package clients

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeaderBytes bounds a header whatever Wire allows, four times the limit of the deployments.
	maxHeaderBytes = 64 << 10
	// drainTimeout is how long the rest of the body of a refused request is awaited, so that the connection can be used
	// again. After that the refusal is sent, and the connection is closed.
	drainTimeout = 100 * time.Millisecond
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

// bound returns a handler that refuses requests for which there is no place, and that sends refusals although the body
// is still arriving.
func (cls *Clients) bound(next http.Handler, ref Refuse) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		con := connOf(req)
		if con == nil {
			next.ServeHTTP(wrt, req)
			return
		}
		size := headerSize(req)
		con.begin(size)
		ans := &answer{ResponseWriter: wrt, conn: con, whole: req.ContentLength == 0}
		if limit := cls.wire.Load().headerBytes; limit > 0 && size > limit {
			cls.acted(limitHeader, effectRefused, 1)
			ref(ans, http.StatusRequestHeaderFieldsTooLarge, "the header is larger than the limit")
			return
		}
		if (ans.whole || !takesBody(req.Method)) && !cls.work(con) {
			ref(ans, http.StatusServiceUnavailable, ErrBusy.Error())
			return
		}
		bdy := &body{ReadCloser: req.Body, answer: ans}
		req = req.WithContext(req.Context()) // the server keeps the body of its own request
		req.Body = bdy
		next.ServeHTTP(ans, req)
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

// body notices the end of the body of a request.
type body struct {
	io.ReadCloser
	answer *answer
}

// Read implements io.Reader.
func (bdy *body) Read(buf []byte) (int, error) {
	num, err := bdy.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		bdy.answer.whole = true
	}
	return num, err
}

// answer is the answer to a request.
type answer struct {
	http.ResponseWriter
	conn  *conn
	whole bool // the body has arrived
	begun bool
}

// Unwrap is used by http.ResponseController.
func (ans *answer) Unwrap() http.ResponseWriter { return ans.ResponseWriter }

// WriteHeader implements http.ResponseWriter. Before it sends an answer, the server reads what is left of the body; the deadline
// bounds that.
func (ans *answer) WriteHeader(status int) {
	if !ans.begun && !ans.whole {
		_ = ans.conn.SetReadDeadline(time.Now().Add(drainTimeout)) // fails only if the connection is closed
	}
	ans.begun = true
	ans.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (ans *answer) Write(buf []byte) (int, error) {
	if !ans.begun {
		ans.WriteHeader(http.StatusOK)
	}
	return ans.ResponseWriter.Write(buf)
}
