// Package object is the client of the platform's object store.
//
// Errors are classified as in package table: store.ErrUnavailable means that
// nothing was applied, store.ErrUncertain that a put or delete may have been
// applied or may be applied later. Keys are not empty and not "." or "..". A
// Client is safe for use from any goroutine; each call is bounded in time and
// in the size of its answer.
package object

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"jacinthpost/core/store"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/table/tableapi"
)

var (
	writes = httpcall.Classifier{Unavailable: store.ErrUnavailable, Uncertain: store.ErrUncertain}
	reads  = httpcall.Classifier{Unavailable: store.ErrUnavailable, Uncertain: store.ErrUnavailable}
)

// Client implements store.Objects.
type Client struct {
	call *httpcall.Client
}

var _ store.Objects = (*Client)(nil)

// Option changes a client.
type Option func(*httpcall.Options)

// WithTimeout sets the longest time of one request, 3 s by default.
func WithTimeout(dur time.Duration) Option {
	return func(opt *httpcall.Options) { opt.Timeout = dur }
}

// New returns a client of the object store at host:port.
func New(addr string, opts ...Option) *Client {
	opt := httpcall.Options{Subsystem: "object", BodyLimit: tableapi.MaxObjectBytes}
	for _, set := range opts {
		set(&opt)
	}
	return &Client{call: httpcall.New(addr, opt)}
}

// Put implements store.Objects.
func (cli *Client) Put(ctx context.Context, key string, value []byte) error {
	ans, err := cli.call.Call(ctx, http.MethodPut, path(key), nil, value)
	return writes.Decode("put object", ans, err, nil)
}

// Get implements store.Objects.
func (cli *Client) Get(ctx context.Context, key string) ([]byte, error) {
	ans, err := cli.call.Call(ctx, http.MethodGet, path(key), nil, nil)
	if err == nil && ans.Status() == http.StatusNotFound {
		return nil, store.ErrNotFound
	}
	if err := reads.Decode("get object", ans, err, nil); err != nil {
		return nil, err
	}
	return ans.Body(), nil
}

// Delete implements store.Objects.
func (cli *Client) Delete(ctx context.Context, key string) error {
	ans, err := cli.call.Call(ctx, http.MethodDelete, path(key), nil, nil)
	return writes.Decode("delete object", ans, err, nil)
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.call.Close() }

// path escapes the key as one segment, so that slashes and dots in it stay as they are.
func path(key string) string { return tableapi.ObjectsPath + url.PathEscape(key) }
