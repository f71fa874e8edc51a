// Package httpcall makes one bounded HTTP call at a time to a service whose
// callers must know whether the call may have taken effect.
//
// The error of a failed call tells how far the call came: a request that never got
// a connection had no effect; after any later failure the effect is unknown. The client
// follows no redirect, uses no proxy and repeats nothing that may have been
// sent. Connections can stop delivering permanently while new ones work, so a call without
// an answer closes the idle ones that may have done so, see package connpool. A Client is safe
// for use from any goroutine.
package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"jacinthpost/io/connpool"
)

const (
	// DefaultTimeout ends a call; the lease arithmetic of the owners allows one lost call of this length.
	DefaultTimeout = 3 * time.Second
	// DefaultBodyLimit bounds the body of an answer in bytes.
	DefaultBodyLimit = 8 << 20

	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	idlePerHost    = 64
	maxHeaderBytes = 64 << 10
)

// Client calls one service.
type Client struct {
	base      string
	subsystem string
	timeout   time.Duration
	limit     int64
	source    net.Addr // of the connections, the system's choice when nil
	transport *http.Transport
	pool      connpool.Pool
	http      http.Client
}

// Option changes a client.
type Option func(*Client)

// WithTimeout sets the longest time of one call, DefaultTimeout unless set.
func WithTimeout(dur time.Duration) Option { return func(cli *Client) { cli.timeout = dur } }

// WithBodyLimit bounds the body of an answer in bytes, DefaultBodyLimit unless set.
func WithBodyLimit(limit int64) Option { return func(cli *Client) { cli.limit = limit } }

// WithSource sets the IP address that connections are opened from; an empty one
// leaves the choice to the system.
func WithSource(host string) Option {
	return func(cli *Client) {
		if host != "" {
			cli.source = &net.TCPAddr{IP: net.ParseIP(host)}
		}
	}
}

// New returns a client of the service at host:port. The subsystem names the
// counters, as in jacinthpost_<subsystem>_calls_total.
func New(addr, subsystem string, opts ...Option) *Client {
	cli := &Client{base: "http://" + addr, subsystem: subsystem, timeout: DefaultTimeout, limit: DefaultBodyLimit}
	for _, set := range opts {
		set(cli)
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: cli.source}
	cli.transport = &http.Transport{
		DialContext: cli.pool.Dial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			con, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return cli.counted(con), nil
		}),
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	cli.http = http.Client{
		Transport:     cli.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return cli
}

// Request is one call.
type Request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// NewRequest returns a request for an escaped path.
func NewRequest(method, path string, body []byte) Request {
	return Request{method: method, path: path, header: make(http.Header), body: body}
}

// WithHeader returns the request with a header field, which it shares with the original.
func (req Request) WithHeader(name, value string) Request {
	req.header.Set(name, value)
	return req
}

// Answer is a complete answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status.
func (ans Answer) Status() int { return ans.status }

// Header returns the header, which the caller must not change.
func (ans Answer) Header() http.Header { return ans.header }

// Body returns the whole body.
func (ans Answer) Body() []byte { return ans.body }

// OK reports whether the status is in the 200 range.
func (ans Answer) OK() bool { return ans.status/100 == 2 }

// Call sends one request and reads the whole answer. The error is a *Failure.
func (cli *Client) Call(ctx context.Context, req Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, cli.timeout)
	defer cancel()
	ctx, cal := cli.pool.Begin(ctx)
	ans, stg, err := cli.exchange(ctx, req)
	if err == nil {
		cli.count(strconv.Itoa(ans.status))
		return ans, nil
	}
	if stg == NoAnswer && !cal.Connected() {
		stg = NotSent
	}
	cal.Failed(err)
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	cli.count(stg.String())
	return Answer{}, &Failure{stage: stg, timedOut: timedOut, err: err}
}

func (cli *Client) exchange(ctx context.Context, msg Request) (Answer, Stage, error) {
	req, err := cli.build(ctx, msg)
	if err != nil {
		return Answer{}, NotSent, err
	}
	res, err := cli.http.Do(req)
	if err != nil {
		return Answer{}, NoAnswer, errors.Wrap(err, "send request")
	}
	defer func() { _ = res.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(res.Body, cli.limit+1))
	switch {
	case err != nil:
		return Answer{}, BrokenBody, errors.Wrap(err, "read answer")
	case int64(len(read)) > cli.limit:
		return Answer{}, BrokenBody, errors.Errorf("answer is longer than %d bytes", cli.limit)
	}
	return Answer{status: res.StatusCode, header: res.Header, body: read}, 0, nil
}

func (cli *Client) build(ctx context.Context, msg Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, msg.method, cli.base+msg.path, bytes.NewReader(msg.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = msg.header
	switch msg.method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		// The transport repeats GET and other methods by itself after it has sent them, unless it cannot rewind the body.
		req.Body, req.GetBody = io.NopCloser(bytes.NewReader(msg.body)), nil
	}
	return req, nil
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.transport.CloseIdleConnections() }

func (cli *Client) count(result string) {
	metrics.GetOrCreateCounter("jacinthpost_" + cli.subsystem + `_calls_total{result="` + result + `"}`).Inc()
}

func (cli *Client) counted(con net.Conn) net.Conn {
	return &countedConn{
		Conn:     con,
		sent:     metrics.GetOrCreateCounter("jacinthpost_" + cli.subsystem + "_sent_bytes_total"),
		received: metrics.GetOrCreateCounter("jacinthpost_" + cli.subsystem + "_received_bytes_total"),
	}
}

type countedConn struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

func (cnt *countedConn) Read(buf []byte) (int, error) {
	num, err := cnt.Conn.Read(buf)
	cnt.received.Add(num)
	return num, err
}

func (cnt *countedConn) Write(buf []byte) (int, error) {
	num, err := cnt.Conn.Write(buf)
	cnt.sent.Add(num)
	return num, err
}
