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

	"jacinthpost/core/store"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/table/tableapi"
)

var writes, reads = httpcall.Classifiers(store.ErrUnavailable, store.ErrUncertain)

// Client implements store.Objects.
type Client struct {
	call *httpcall.Client
}

var _ store.Objects = (*Client)(nil)

// New returns a client of the object store at host:port.
func New(addr string, opts ...httpcall.Option) *Client {
	opts = append([]httpcall.Option{httpcall.WithBodyLimit(tableapi.MaxObjectBytes)}, opts...)
	return &Client{call: httpcall.New(addr, "object", opts...)}
}

// Put implements store.Objects.
func (cli *Client) Put(ctx context.Context, key string, value []byte) error {
	ans, err := cli.call.Call(ctx, httpcall.NewRequest(http.MethodPut, path(key), value))
	return writes.Decode("put object", ans, err, nil)
}

// Get implements store.Objects.
func (cli *Client) Get(ctx context.Context, key string) ([]byte, error) {
	ans, err := cli.call.Call(ctx, httpcall.NewRequest(http.MethodGet, path(key), nil))
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
	ans, err := cli.call.Call(ctx, httpcall.NewRequest(http.MethodDelete, path(key), nil))
	return writes.Decode("delete object", ans, err, nil)
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.call.Close() }

// path escapes the key as one segment, so that slashes and dots in it stay as they are.
func path(key string) string { return tableapi.ObjectsPath + url.PathEscape(key) }
