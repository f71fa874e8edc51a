package clients_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/shed"
	"jacinthpost/io/clients"
)

const (
	bodyLimit     = 64 << 10
	headerBytes   = 16 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	bodyTimeout   = 30 * time.Second
	writeTimeout  = 10 * time.Second
)

// pipes is a listener of connections within the process, whose time limits use the clock of the test.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (pip *pipes) Accept() (net.Conn, error) {
	select {
	case con := <-pip.conns:
		return con, nil
	case <-pip.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (pip *pipes) Close() error {
	close(pip.done)
	return nil
}

// Addr implements net.Listener.
func (pip *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// server is a server whose handler reads a body and answers with its size.
type server struct {
	*testing.T
	pipes   *pipes
	senders sync.WaitGroup
}

// within runs a test with a server and a clock of its own.
func within(tst *testing.T, lim shed.Limits, test func(srv *server)) {
	tst.Helper()
	synctest.Test(tst, func(tst *testing.T) {
		srv := &server{T: tst, pipes: &pipes{conns: make(chan net.Conn), done: make(chan struct{})}}
		cls := clients.New("test", lim, clients.NewWire(headerBytes, headerTimeout, idleTimeout), zap.NewNop())
		htp := cls.Server(http.HandlerFunc(serve), clients.RefusePlain)
		ended := make(chan error, 1)
		go func() { ended <- htp.Serve(cls.Listener(srv.pipes)) }()
		defer func() {
			if err := htp.Close(); err != nil {
				tst.Error(err)
			}
			if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
				tst.Error(err)
			}
			srv.senders.Wait()
		}()
		test(srv)
	})
}

// serve answers with the size of the body, with a large answer, or with a refusal before it has read the body.
func serve(wrt http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/large":
		_, _ = wrt.Write(make([]byte, 1<<20)) // the client may be gone
		return
	case "/refused":
		http.Error(wrt, "refused", http.StatusNotFound)
		return
	case "/slow":
		select {
		case <-req.Context().Done():
			http.Error(wrt, "the context ended", http.StatusInternalServerError)
			return
		case <-time.After(2 * bodyTimeout):
		}
	}
	data, err := clients.ReadBody(req, bodyLimit)
	if err == nil {
		err = clients.Work(req, int64(len(data)))
	}
	switch {
	case errors.Is(err, clients.ErrTooLarge):
		clients.RefusePlain(wrt, http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, clients.ErrTimeout):
		clients.RefusePlain(wrt, http.StatusRequestTimeout, err.Error())
	case errors.Is(err, clients.ErrBusy):
		clients.RefusePlain(wrt, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		clients.RefusePlain(wrt, http.StatusBadRequest, err.Error())
	default:
		_, _ = fmt.Fprint(wrt, len(data)) // the client may be gone
	}
}

// client is a connection to the server. What it sends and receives does not wait for each other.
type client struct {
	srv     *server
	con     net.Conn
	answers *bufio.Reader
}

func (srv *server) connect() *client {
	near, far := net.Pipe()
	srv.pipes.conns <- far
	srv.Cleanup(func() { _ = near.Close() })
	return &client{srv: srv, con: near, answers: bufio.NewReader(near)}
}

func (clt *client) send(text string) {
	go func() { _, _ = io.WriteString(clt.con, text) }() // the server may close the connection instead of reading
	synctest.Wait()
}

// expectStatus expects an answer with a status.
func (clt *client) expectStatus(status int) *http.Response {
	clt.srv.Helper()
	rsp, err := http.ReadResponse(clt.answers, nil)
	if err != nil {
		clt.srv.Fatalf("no answer: %v", err)
	}
	data, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode != status {
		clt.srv.Fatalf("status %d with %.100q, %v; want %d", rsp.StatusCode, data, err, status)
	}
	return rsp
}

// expectClosed expects that the server closes the connection after a time. It may answer that the request is malformed.
func (clt *client) expectClosed(after time.Duration) {
	clt.srv.Helper()
	begun := time.Now()
	if _, err := io.Copy(io.Discard, clt.answers); err != nil && !errors.Is(err, io.ErrClosedPipe) {
		clt.srv.Fatalf("%v; want a closed connection", err)
	}
	clt.srv.expectPassed(begun, after)
}

// expectPassed expects that about a time has passed.
func (srv *server) expectPassed(begun time.Time, want time.Duration) {
	srv.Helper()
	const slack = time.Second // the server waits a little before it closes a connection
	if took := time.Since(begun); took < want || took > want+slack {
		srv.Fatalf("it took %v, want %v", took, want)
	}
}

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, size)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against connections that clients keep for good although they send nothing, or almost nothing.
func TestTimes(t *testing.T) {
	t.Run("a connection without a request", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) { srv.connect().expectClosed(headerTimeout) })
	})
	t.Run("an unfinished header", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send("GET / HTTP/1.1\r\n")
			clt.expectClosed(headerTimeout)
		})
	})
	t.Run("a header by a byte a second", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.drip("GET / HTTP/1.1\r\nHost: h\r\n")
			clt.expectClosed(headerTimeout)
		})
	})
	t.Run("an idle connection", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send(get)
			clt.expectStatus(http.StatusOK)
			clt.expectClosed(idleTimeout)
		})
	})
	t.Run("a body by a byte a second", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt, begun := srv.connect(), time.Now()
			clt.send(post("/", 1000))
			clt.drip(strings.Repeat("x", 1000))
			clt.expectStatus(http.StatusRequestTimeout)
			srv.expectPassed(begun, bodyTimeout)
		})
	})
	t.Run("an answer that is not read", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(2 * writeTimeout)
			if num, _ := io.Copy(io.Discard, clt.answers); num >= 1<<20 {
				srv.Fatalf("the whole answer was still sent")
			}
		})
	})
	t.Run("a request that takes longer than its body may", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send(post("/slow", 3) + "abc")
			clt.expectStatus(http.StatusOK)
		})
	})
}

// drip begins to send a byte a second until the connection is closed.
func (clt *client) drip(text string) {
	clt.srv.senders.Go(func() {
		for num := range len(text) {
			if _, err := io.WriteString(clt.con, text[num:num+1]); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against a limit that refuses the last byte that is allowed, or allows one more.
func TestSizes(t *testing.T) {
	for _, cse := range []struct {
		name    string
		request string
		status  int
	}{
		{"a body of the limit", post("/", bodyLimit) + strings.Repeat("x", bodyLimit), http.StatusOK},
		{"a body over the limit", post("/", bodyLimit+1) + strings.Repeat("x", bodyLimit+1), http.StatusRequestEntityTooLarge},
		{"chunks of the limit", chunks(bodyLimit), http.StatusOK},
		{"chunks over the limit", chunks(bodyLimit + 1), http.StatusRequestEntityTooLarge},
		{"no body", get, http.StatusOK},
		{"an empty body", post("/", 0), http.StatusOK},
		{"a broken body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", http.StatusBadRequest},
		{"a header of the limit", header(headerBytes), http.StatusOK},
		{"a header over the limit", header(headerBytes + 1), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(cse.name, func(t *testing.T) {
			within(t, shed.Limits{}, func(srv *server) {
				clt := srv.connect()
				clt.send(cse.request)
				clt.expectStatus(cse.status)
			})
		})
	}
}

func chunks(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
}

// header returns a request whose header has a size.
func header(size int) string {
	begin := "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "
	return begin + strings.Repeat("x", size-len(begin)-len("\r\n\r\n")) + "\r\n\r\n"
}

// Guards against refusals that never arrive, and against refusals that end the connection of a caller that has sent its whole body.
func TestRefusals(t *testing.T) {
	t.Run("before the end of the body", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send(post("/refused", 1000) + "x")
			clt.expectStatus(http.StatusNotFound)
			clt.expectClosed(0)
		})
	})
	t.Run("after the body", func(t *testing.T) {
		within(t, shed.Limits{}, func(srv *server) {
			clt := srv.connect()
			clt.send(post("/refused", 3) + "abc")
			clt.expectStatus(http.StatusNotFound)
			clt.send(get)
			clt.expectStatus(http.StatusOK)
		})
	})
	t.Run("of a request that gives way", func(t *testing.T) {
		within(t, shed.NewLimits(0, 0, 3*shed.ConnectionBytes+128<<10), func(srv *server) {
			first := srv.connect()
			first.send(post("/", bodyLimit) + strings.Repeat("x", bodyLimit-1))
			time.Sleep(2 * time.Second)
			second := srv.connect()
			second.send(post("/", bodyLimit/2) + strings.Repeat("x", bodyLimit/2))
			second.expectStatus(http.StatusOK)
			rsp := first.expectStatus(http.StatusServiceUnavailable)
			if rsp.Header.Get("Retry-After") == "" {
				srv.Error("no Retry-After")
			}
			first.expectClosed(0)
		})
	})
	t.Run("of a request beyond those at work", func(t *testing.T) {
		within(t, shed.NewLimits(0, 1, 0), func(srv *server) {
			first := srv.connect()
			first.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			second := srv.connect()
			second.send(get)
			second.expectStatus(http.StatusServiceUnavailable)
			first.expectStatus(http.StatusOK)
			third := srv.connect()
			third.send(get)
			third.expectStatus(http.StatusOK)
		})
	})
}

// Guards against a new caller that finds no place beside connections that do nothing.
func TestPlaces(t *testing.T) {
	within(t, shed.NewLimits(2, 0, 0), func(srv *server) {
		first := srv.connect()
		time.Sleep(time.Millisecond)
		second, third := srv.connect(), srv.connect()
		first.expectClosed(0)
		for _, clt := range []*client{second, third} {
			clt.send(get)
			clt.expectStatus(http.StatusOK)
		}
	})
}

// Guards against handlers that fail when their server has no bounds, as in tests.
func TestWithoutConnection(t *testing.T) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", bytes.NewReader(make([]byte, bodyLimit)))
	if err != nil {
		t.Fatal(err)
	}
	data, err := clients.ReadBody(req, bodyLimit)
	if err != nil || len(data) != bodyLimit || clients.Work(req, bodyLimit) != nil {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	clients.Keep(req, 0)
}
