package table_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"jacinthpost/core/store"
	"jacinthpost/io/table"
)

// FuzzAnswers guards against panics on answers of the table service, against rows
// that were not asked for, and against errors that do not tell whether a write may have taken effect.
func FuzzAnswers(f *testing.F) {
	var answer atomic.Pointer[[]byte]
	srv := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) { _, _ = wrt.Write(*answer.Load()) }))
	f.Cleanup(srv.Close)
	cli := table.New(strings.TrimPrefix(srv.URL, "http://"))
	f.Cleanup(cli.Close)
	f.Add([]byte(`{"rows":[{"key":"one","value":"eA==","version":1}]}`))
	f.Add([]byte(`{"rows":[{"key":"two","version":2}],"more":true}`))
	f.Add([]byte(`{"id":"0-1","committed":true,"version":9}`))
	f.Add([]byte(`{"committed":false,"conflicts":[{"key":"one","version":18446744073709551615}]}`))
	f.Add([]byte(`{"rows":null}{`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer.Store(&raw)
		ctx := context.Background()
		rows, err := cli.Read(ctx, "one")
		if (err == nil) != (len(rows) == 1 && rows[0].Key() == "one") || (err != nil && !errors.Is(err, store.ErrUnavailable)) {
			t.Fatalf("read %v: %v", rows, err)
		}
		if rows, err := cli.List(ctx, "t", "", 3); len(rows) > 3 || (err != nil && !errors.Is(err, store.ErrUnavailable)) {
			t.Fatalf("list %v: %v", rows, err)
		}
		txn := &store.Transaction{}
		txn.Put("one", []byte("x"))
		if res, err := cli.Commit(ctx, txn); err == nil || !errors.Is(err, store.ErrUncertain) {
			t.Fatalf("the answer to another transaction was taken: %v %v", res, err)
		}
	})
}
