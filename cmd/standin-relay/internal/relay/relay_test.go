package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/cmd/standin-relay/internal/relay"
	"jacinthpost/core/store"
	"jacinthpost/internal/specs"
	"jacinthpost/io/peer"
	"jacinthpost/io/table"
)

func TestRelay(t *testing.T) {
	specs.Run(t, "relay")
}

// echo answers calls and counts them.
type echo struct{ calls atomic.Int32 }

// Say returns its argument.
func (ech *echo) Say(text string, reply *string) error {
	ech.calls.Add(1)
	*reply = text
	return nil
}

func listen() net.Listener {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return lsn
}

// serve runs a function with a listener until the spec ends.
func serve(run func(context.Context, net.Listener) error) string {
	lsn := listen()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, lsn) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done).Should(Receive(BeNil()))
	})
	return lsn.Addr().String()
}

// fixture is a peer behind a relay.
type fixture struct {
	relay *relay.Relay
	addr  string
	pool  *peer.Pool
	echo  *echo
}

func open() fixture {
	fix := fixture{pool: peer.NewPool("test"), echo: &echo{}}
	srv := peer.NewServer()
	srv.Register("Echo", fix.echo)
	fix.relay = relay.New(serve(srv.Serve))
	fix.addr = serve(fix.relay.Serve)
	DeferCleanup(fix.pool.Close)
	return fix
}

// say makes one call through the relay and returns its duration and error.
func (fix fixture) say(ctx context.Context) (time.Duration, error) {
	var reply string
	begin := time.Now()
	err := fix.pool.Call(ctx, fix.addr, "Echo.Say", "hello", &reply)
	if err == nil {
		Expect(reply).To(Equal("hello"))
	}
	return time.Since(begin), err
}

func (fix fixture) expectWorks(ctx context.Context) {
	GinkgoHelper()
	_, err := fix.say(ctx)
	Expect(err).NotTo(HaveOccurred())
}

func (fix fixture) set(ctx context.Context, mode relay.Mode) {
	GinkgoHelper()
	_, err := fix.relay.Switch(ctx, relay.Setting{Mode: mode})
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("peer connections through the relay", func() {
	// Guards against a call that waits for ever on a connection whose writes
	// succeed and which delivers nothing.
	It("end with ErrSilent within 2 s, and a new connection works", func(ctx SpecContext) {
		fix := open()
		fix.expectWorks(ctx)
		fix.set(ctx, relay.Silent)
		took, err := fix.say(ctx)
		Expect(err).To(MatchError(peer.ErrSilent))
		Expect(took).To(BeNumerically("<", 2*time.Second))
		fix.expectWorks(ctx)
		fix.set(ctx, relay.Pass)
		fix.expectWorks(ctx)
		Expect(fix.echo.calls.Load()).To(BeEquivalentTo(3), "the silent call never arrived")
	})

	// Guards against taking silence as a proof that the call did not run.
	It("end with ErrSilent when only answers are lost, although the call ran", func(ctx SpecContext) {
		fix := open()
		fix.expectWorks(ctx)
		fix.set(ctx, relay.OneWay)
		_, err := fix.say(ctx)
		Expect(err).To(MatchError(peer.ErrSilent))
		Expect(fix.echo.calls.Load()).To(BeEquivalentTo(2))
	})

	// Guards against silence being confused with slowness or with a broken connection.
	It("pass on a delay and a cut", func(ctx SpecContext) {
		fix := open()
		_, err := fix.relay.Switch(ctx, relay.Setting{Mode: relay.Pass, DelayMillis: 100})
		Expect(err).NotTo(HaveOccurred())
		took, err := fix.say(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(took).To(BeNumerically(">=", 200*time.Millisecond))
		fix.set(ctx, relay.Cut)
		took, err = fix.say(ctx)
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, peer.ErrSilent)).To(BeFalse())
		Expect(took).To(BeNumerically("<", time.Second))
		fix.set(ctx, relay.Pass)
		Eventually(func() error {
			_, err := fix.say(ctx)
			return err
		}).Should(Succeed())
	})
})

// Guards against a table client that stays on idle connections which all went
// silent together: after one timeout the next call must use a new connection.
var _ = It("the table client leaves silent connections after one timeout", func(ctx SpecContext) {
	const connections = 8
	var calls atomic.Int64
	var opened sync.WaitGroup
	opened.Add(connections)
	web := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= connections { // answers only when each of these calls has a connection of its own
			opened.Done()
			opened.Wait()
		}
		_, _ = rsp.Write([]byte(`{"rows":[{"key":"row","version":0}]}`))
	}))
	DeferCleanup(web.Close)
	rly := relay.New(strings.TrimPrefix(web.URL, "http://"))
	tab := table.New(serve(rly.Serve))
	read := func() error {
		_, err := tab.Read(ctx, "row")
		return err
	}
	results := make(chan error, connections)
	for range cap(results) {
		go func() { results <- read() }()
	}
	for range cap(results) {
		Expect(<-results).To(Succeed())
	}
	sta, err := rly.Switch(ctx, relay.Setting{Mode: relay.Silent})
	Expect(err).NotTo(HaveOccurred())
	Expect(sta.Connections).To(Equal(connections))
	Expect(read()).To(MatchError(store.ErrUnavailable))
	Expect(read()).To(Succeed())
})
