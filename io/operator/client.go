// Package operator is the client of the HTTP interface that the operator
// commands use. It tries the given entries in turn until one accepts the
// connection; an answer of any kind is final, because a repeated call could act twice.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Limits of a call.
const (
	callTimeout = 60 * time.Second
	dialTimeout = 2 * time.Second
	answerLimit = 64 << 20 // bytes
)

// Client calls one of several entries.
type Client struct {
	entries []string
	http    http.Client
}

// New returns a client of the entries, given as host:port or URL.
func New(entries []string) *Client {
	cli := &Client{http: http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	}}
	for _, ent := range entries {
		if !strings.Contains(ent, "://") {
			ent = "http://" + ent
		}
		cli.entries = append(cli.entries, strings.TrimSuffix(ent, "/"))
	}
	return cli
}

// Answer is the answer of an entry.
type Answer struct {
	status int
	body   []byte
}

// Status returns the HTTP status.
func (ans Answer) Status() int { return ans.status }

// Body returns the JSON body.
func (ans Answer) Body() []byte { return ans.body }

// OK reports whether the call succeeded.
func (ans Answer) OK() bool { return ans.status >= 200 && ans.status < 300 }

// Decode reads the body into a value.
func (ans Answer) Decode(value any) error {
	if err := json.Unmarshal(ans.body, value); err != nil {
		return errors.Wrap(err, "decode answer of the entry")
	}
	return nil
}

// Refusal is the common part of answers that are not successful.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// Call sends a request with an optional JSON body and headers.
func (cli *Client) Call(ctx context.Context, method, path string, body []byte, headers map[string]string) (Answer, error) {
	var last error
	for _, ent := range cli.entries {
		ans, err := cli.callOne(ctx, ent+path, method, body, headers)
		if err == nil {
			return ans, nil
		}
		last = err
		if !notConnected(err) {
			break
		}
	}
	if last == nil {
		last = errors.New("no entry given")
	}
	return Answer{}, last
}

// notConnected reports whether a call failed before anything was sent.
func notConnected(err error) bool {
	var oper *net.OpError
	return errors.As(err, &oper) && oper.Op == "dial"
}

func (cli *Client) callOne(ctx context.Context, target, method string, body []byte, headers map[string]string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "build call")
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	for name, val := range headers {
		req.Header.Set(name, val)
	}
	res, err := cli.http.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "call entry")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer of the entry")
	}
	return Answer{status: res.StatusCode, body: data}, nil
}

// Path joins escaped segments to a path.
func Path(segments ...string) string {
	var bld strings.Builder
	for _, seg := range segments {
		bld.WriteByte('/')
		bld.WriteString(url.PathEscape(seg))
	}
	return bld.String()
}
