package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/cmd/standin-platform/internal/platform"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/httpcall"
	"jacinthpost/io/object"
	"jacinthpost/io/table"
	"jacinthpost/io/table/tableapi"
)

func TestPlatform(t *testing.T) {
	specs.Run(t, "platform")
}

// fault is a fault that both implementations of the store can show.
type fault int

const (
	none       fault = iota
	refused          // answered with a refusal
	lostCall         // the connection breaks before the operation takes effect
	lostAnswer       // the connection breaks after the operation took effect
	throttled        // refused because of the rate
)

// subject is one implementation of the store ports.
type subject struct {
	table   store.Table
	objects store.Objects
	inject  func(fault)
}

// openFake returns the in-memory double that other packages test against.
func openFake() subject {
	sto := &storefake.Store{}
	faults := map[fault]storefake.Fault{
		none: storefake.None, refused: storefake.Refuse, throttled: storefake.Refuse,
		lostCall: storefake.LoseCall, lostAnswer: storefake.LoseAnswer,
	}
	return subject{table: sto, objects: &storefake.ObjectStore{Store: sto}, inject: func(flt fault) {
		if flt != none {
			sto.Inject(faults[flt])
		}
	}}
}

// openClients returns the real clients with the stand-in behind them.
func openClients() subject {
	addr := startPlatform()
	faults := map[fault]tableapi.Faults{
		none: {}, refused: {Mode: tableapi.ModeRefuse}, lostCall: {Mode: tableapi.ModeDown},
		lostAnswer: {LoseAnswerPercent: 100}, throttled: {WritesPerSecond: 1, ReadsPerSecond: 1},
	}
	tab, obj := table.New(addr), object.New(addr)
	DeferCleanup(tab.Close)
	DeferCleanup(obj.Close)
	return subject{table: tab, objects: obj, inject: func(flt fault) {
		setFaults(addr, faults[flt])
		if flt == throttled { // the first call of each kind is within the rate
			_, err := tab.Commit(context.Background(), &store.Transaction{})
			Expect(err).NotTo(HaveOccurred())
			_, err = tab.Read(context.Background(), "any")
			Expect(err).NotTo(HaveOccurred())
		}
	}}
}

func startPlatform() string {
	srv := platform.New()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go srv.Run(ctx)
	web := httptest.NewServer(srv)
	DeferCleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

func setFaults(addr string, flt tableapi.Faults) {
	body, err := json.Marshal(flt)
	Expect(err).NotTo(HaveOccurred())
	rsp, err := http.Post("http://"+addr+tableapi.FaultsPath, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(rsp.Body.Close()).To(Succeed())
	Expect(rsp.StatusCode).To(Equal(http.StatusOK))
}

// put writes one row if it has the version.
func put(ctx context.Context, tab store.Table, key, value string, ver store.Version) (store.Result, error) {
	var txn store.Transaction
	txn.Require(key, ver)
	txn.Put(key, []byte(value))
	return tab.Commit(ctx, &txn)
}

// expectRow reads a row without faults.
func expectRow(ctx context.Context, sub subject, key, value string) {
	GinkgoHelper()
	sub.inject(none)
	rows, err := sub.table.Read(ctx, key)
	Expect(err).NotTo(HaveOccurred())
	Expect(rows).To(HaveLen(1))
	Expect(string(rows[0].Value())).To(Equal(value))
	Expect(rows[0].Exists()).To(Equal(value != ""))
}

// expectError requires exactly one of the two errors of the ports, or none for nil.
func expectError(err, want error) {
	GinkgoHelper()
	if want == nil {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	for _, kind := range []error{store.ErrUnavailable, store.ErrUncertain} {
		if kind == want {
			Expect(err).To(MatchError(kind))
			continue
		}
		Expect(err).NotTo(MatchError(kind))
	}
}

// The same cases run on the double and on the real clients, so that a test
// against the double tells what the platform does.
var _ = Describe("store contract", func() {
	for name, open := range map[string]func() subject{"double": openFake, "clients": openClients} {
		Describe(name, func() { contract(open) })
	}
})

func contract(open func() subject) {
	var sub subject
	BeforeEach(func() { sub = open() })

	// Guards against a lost update: two writers that read the same version must not both succeed.
	It("applies all writes or none", func(ctx SpecContext) {
		first, err := put(ctx, sub.table, "row", "one", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Committed()).To(BeTrue())
		var txn store.Transaction
		txn.Require("row", 0)
		txn.Require("absent", 7)
		txn.Put("other", []byte("two"))
		res, err := sub.table.Commit(ctx, &txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Committed()).To(BeFalse())
		Expect(res.Conflicts()).To(HaveLen(2))
		Expect(res.Conflicts()[0].Version()).To(Equal(first.Version()))
		Expect(string(res.Conflicts()[0].Value())).To(Equal("one"))
		Expect(res.Conflicts()[1].Exists()).To(BeFalse())
		expectRow(ctx, sub, "other", "")
	})

	// Guards against a retry that repeats a write which had taken effect, and
	// against giving up a write which had not.
	DescribeTable("a fault during a write",
		func(ctx SpecContext, flt fault, want error, applied bool) {
			sub.inject(flt)
			_, err := put(ctx, sub.table, "row", "value", 0)
			expectError(err, want)
			expectRow(ctx, sub, "row", map[bool]string{true: "value"}[applied])
			sub.inject(flt)
			expectError(sub.objects.Put(ctx, "a/b", []byte("object")), want)
			sub.inject(none)
			_, err = sub.objects.Get(ctx, "a/b")
			Expect(err == nil).To(Equal(applied))
		},
		Entry("none", none, nil, true),
		Entry("refusal", refused, store.ErrUnavailable, false),
		Entry("throttling", throttled, store.ErrUnavailable, false),
		Entry("lost call", lostCall, store.ErrUncertain, false),
		Entry("lost answer", lostAnswer, store.ErrUncertain, true),
	)

	// Guards against keys with slashes or dots that reach another object.
	It("keeps objects apart", func(ctx SpecContext) {
		for _, key := range []string{"a", "a/b", "a//b", "../a", "a b?c#d%2F"} {
			Expect(sub.objects.Put(ctx, key, []byte("at "+key))).To(Succeed())
		}
		Expect(sub.objects.Delete(ctx, "a")).To(Succeed())
		Expect(sub.objects.Delete(ctx, "a")).To(Succeed(), "deleting a missing object")
		for _, key := range []string{"a/b", "a//b", "../a", "a b?c#d%2F"} {
			value, err := sub.objects.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(value)).To(Equal("at " + key))
		}
		_, err := sub.objects.Get(ctx, "a")
		Expect(err).To(MatchError(store.ErrNotFound))
	})
}

// Guards against an outage that a caller takes for an empty table: reads fail
// with unavailable, whatever became of the answer.
var _ = DescribeTable("a fault during a read",
	func(ctx SpecContext, flt fault, want error) {
		sub := openClients()
		sub.inject(flt)
		_, err := sub.table.Read(ctx, "row")
		expectError(err, want)
		_, err = sub.table.List(ctx, "r", "", 10)
		expectError(err, want)
	},
	Entry("none", none, nil),
	Entry("refusal", refused, store.ErrUnavailable),
	Entry("throttling", throttled, store.ErrUnavailable),
	Entry("lost call", lostCall, store.ErrUnavailable),
	Entry("lost answer", lostAnswer, store.ErrUnavailable),
)

var _ = Describe("table client", func() {
	// Guards against the claim that a write which timed out had no effect: a
	// stalled service applies it after the client has given up.
	It("reports a timeout as uncertain, and the write takes effect later", func(ctx SpecContext) {
		addr := startPlatform()
		setFaults(addr, tableapi.Faults{LatencyMillis: 1500})
		_, err := put(ctx, table.New(addr, httpcall.WithTimeout(50*time.Millisecond)), "row", "late", 0)
		expectError(err, store.ErrUncertain)
		setFaults(addr, tableapi.Faults{})
		tab := table.New(addr)
		rows, err := tab.Read(ctx, "row")
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Exists()).To(BeFalse(), "the write is still delayed")
		Eventually(func() bool {
			rows, err := tab.Read(ctx, "row")
			return err == nil && rows[0].Exists()
		}).Within(10 * time.Second).Should(BeTrue())
	})

	// Guards against treating a service that is not there as uncertain, which would block retries.
	It("reports a refused connection as unavailable", func(ctx SpecContext) {
		web := httptest.NewServer(http.NotFoundHandler())
		web.Close()
		_, err := put(ctx, table.New(strings.TrimPrefix(web.URL, "http://")), "row", "value", 0)
		expectError(err, store.ErrUnavailable)
	})

	// Guards against accepting the answer to another transaction or a truncated one.
	DescribeTable("does not trust a wrong answer",
		func(ctx SpecContext, status int, body string) {
			var calls atomic.Int32
			web := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				rsp.Header().Set("Location", "/elsewhere")
				rsp.WriteHeader(status)
				_, _ = rsp.Write([]byte(body))
			}))
			DeferCleanup(web.Close)
			tab := table.New(strings.TrimPrefix(web.URL, "http://"))
			_, err := put(ctx, tab, "row", "value", 0)
			expectError(err, store.ErrUncertain)
			_, err = tab.Read(ctx, "row")
			expectError(err, store.ErrUnavailable)
			Expect(calls.Load()).To(BeEquivalentTo(2), "one request for each call")
		},
		Entry("of another transaction", 200, `{"id":"other","committed":true,"version":3,"rows":[{"key":"other"}]}`),
		Entry("truncated JSON", 200, `{"id":"x","commit`),
		Entry("server error", 500, ``),
		Entry("redirect", 307, ``),
	)

	// Guards against a list that ends at a page and is taken for complete.
	It("lists beyond the size of a page", func(ctx SpecContext) {
		tab := table.New(startPlatform())
		big := strings.Repeat("x", tableapi.MaxPageBytes/2)
		var last store.Version
		for _, key := range []string{"p/", "p/1", "p/2", "p/3", "p/4", "q"} {
			res, err := put(ctx, tab, key, big, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Version()).To(BeNumerically(">", last))
			last = res.Version()
		}
		for after, want := range map[string][]string{
			"":    {"p/", "p/1", "p/2", "p/3", "p/4"},
			"p/1": {"p/2", "p/3", "p/4"},
		} {
			rows, err := tab.List(ctx, "p/", after, 100)
			Expect(err).NotTo(HaveOccurred())
			Expect(keysOf(rows)).To(Equal(want))
		}
	})
})

func keysOf(rows []store.Row) []string {
	keys := make([]string, 0, len(rows))
	for _, row := range rows {
		keys = append(keys, row.Key())
	}
	return keys
}
