// Package table is the client of the platform's transactional table service.
//
// The error of a failed call tells whether a write may have taken effect.
// store.ErrUnavailable means that the service applied nothing: it refused the call or never received it,
// or the call was a read. store.ErrUncertain means that a write may have been
// received; it may also take effect later, so a row that is still absent when
// read back does not prove that the write failed, unless its condition no longer holds. A
// Client is safe for use from any goroutine; each call is bounded in time and
// in the size of its answer.
package table

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/go-faster/errors"

	"jacinthpost/core/store"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/table/tableapi"
)

var writes, reads = httpcall.Classifiers(store.ErrUnavailable, store.ErrUncertain)

// Client implements store.Table.
type Client struct {
	call    *httpcall.Client
	idBase  uint64
	counter atomic.Uint64
}

var _ store.Table = (*Client)(nil)

// New returns a client of the table service at host:port.
func New(addr string, opts ...httpcall.Option) *Client {
	// Values grow by a third in base64, so this holds any row that fits in a request.
	opts = append([]httpcall.Option{httpcall.WithBodyLimit(2 * tableapi.MaxRequestBytes)}, opts...)
	return &Client{call: httpcall.New(addr, "table", opts...), idBase: rand.Uint64()}
}

// Commit implements store.Table.
func (cli *Client) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
	req := tableapi.TransactionRequest{
		ID:         fmt.Sprintf("%x-%d", cli.idBase, cli.counter.Add(1)),
		Conditions: make([]tableapi.Condition, 0, len(txn.Conditions())),
		Writes:     make([]tableapi.Write, 0, len(txn.Writes())),
	}
	for _, con := range txn.Conditions() {
		req.Conditions = append(req.Conditions, tableapi.Condition{Key: con.Key(), Version: uint64(con.Version())})
	}
	for _, wrt := range txn.Writes() {
		req.Writes = append(req.Writes, tableapi.Write{Key: wrt.Key(), Value: wrt.Value(), Delete: wrt.IsDeletion()})
	}
	var rep tableapi.TransactionReply
	ans, err := cli.post(ctx, tableapi.TransactionPath, req)
	if err := writes.Decode("commit", ans, err, &rep); err != nil {
		return store.Result{}, err
	}
	if rep.ID != req.ID {
		return store.Result{}, errors.Wrapf(store.ErrUncertain, "commit %s got a reply with the ID %q", req.ID, rep.ID)
	}
	if !rep.Committed {
		return store.Conflicted(appendRows(nil, rep.Conflicts)), nil
	}
	return store.Committed(store.Version(rep.Version)), nil
}

// Read implements store.Table. Rows beyond tableapi.MaxKeys are read by further
// requests, so they may be of a later state.
func (cli *Client) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	out := make([]store.Row, 0, len(keys))
	for part := range slices.Chunk(keys, tableapi.MaxKeys) {
		rep, err := cli.read(ctx, tableapi.ReadPath, tableapi.ReadRequest{Keys: part})
		if err != nil {
			return nil, err
		}
		if !slices.EqualFunc(rep.Rows, part, func(row tableapi.Row, key string) bool { return row.Key == key }) {
			return nil, errors.Wrapf(store.ErrUnavailable, "read of %d rows got a reply with other keys", len(part))
		}
		out = appendRows(out, rep.Rows)
	}
	return out, nil
}

// List implements store.Table. It asks for further pages until the limit or the last row.
func (cli *Client) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	var out []store.Row
	for len(out) < limit {
		req := tableapi.ListRequest{Prefix: prefix, After: after, Limit: min(limit-len(out), tableapi.MaxKeys)}
		rep, err := cli.read(ctx, tableapi.ListPath, req)
		if err != nil {
			return nil, err
		}
		out = appendRows(out, rep.Rows)
		if !rep.More || len(rep.Rows) == 0 {
			break
		}
		after = rep.Rows[len(rep.Rows)-1].Key
	}
	return out[:min(limit, len(out))], nil
}

// Close closes the idle connections.
func (cli *Client) Close() { cli.call.Close() }

func (cli *Client) read(ctx context.Context, path string, req any) (tableapi.RowsReply, error) {
	var rep tableapi.RowsReply
	ans, err := cli.post(ctx, path, req)
	err = reads.Decode(path, ans, err, &rep)
	return rep, err
}

func (cli *Client) post(ctx context.Context, path string, req any) (httpcall.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return httpcall.Answer{}, errors.Wrap(err, "encode request")
	}
	return cli.call.Call(ctx, httpcall.NewRequest(http.MethodPost, path, body).WithHeader("Content-Type", "application/json"))
}

func appendRows(out []store.Row, msgs []tableapi.Row) []store.Row {
	for _, msg := range msgs {
		out = append(out, store.NewRow(msg.Key, msg.Value, store.Version(msg.Version)))
	}
	return out
}
