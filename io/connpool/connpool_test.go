package connpool_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/silentserver"
	"jacinthpost/internal/specs"
	"jacinthpost/io/connpool"
)

func TestConnpool(t *testing.T) { specs.Run(t, "connpool") }

const (
	connections = 16
	callLimit   = 400 * time.Millisecond
)

func newServer() *silentserver.Server {
	srv := silentserver.New(connections, callLimit/2, &http.Server{})
	DeferCleanup(srv.Close)
	return srv
}

// client makes calls on the connections of a pool.
type client struct {
	pool connpool.Pool
	http http.Client
	srv  *silentserver.Server
}

func newClient(srv *silentserver.Server) *client {
	cli := &client{srv: srv}
	cli.http.Transport = &http.Transport{DialContext: cli.pool.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: connections}
	return cli
}

func (cli *client) call(path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	ctx, cal := cli.pool.Begin(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cli.srv.URL+path, nil)
	if err != nil {
		return err
	}
	rsp, err := cli.http.Do(req)
	if err != nil {
		cal.Failed(err)
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	_, err = io.Copy(io.Discard, rsp.Body)
	return err
}

// fill opens as many connections as may be idle.
func (cli *client) fill() {
	GinkgoHelper()
	var grp sync.WaitGroup
	for range connections {
		grp.Go(func() {
			defer GinkgoRecover()
			Expect(cli.call(silentserver.Together)).To(Succeed())
		})
	}
	grp.Wait()
}

var _ = Describe("A pool", func() {
	// Guards against calls that try one silent connection after the other, each until its time limit (LOST, CONFIG).
	It("gives all idle connections up after one call without an answer", func() {
		cli := newClient(newServer())
		cli.fill()
		cli.srv.Silence()
		Expect(cli.call("/")).NotTo(Succeed())
		Expect(cli.call("/")).To(Succeed())
	})

	It("gives connections up that went silent again", func() {
		cli := newClient(newServer())
		for range 2 {
			cli.fill()
			cli.srv.Silence()
			Expect(cli.call("/")).NotTo(Succeed())
			Expect(cli.call("/")).To(Succeed())
		}
	})

	// Guards against a storm of new connections to a server that leaves some calls unanswered, or answers them late.
	It("keeps the connections of a server that answers other calls", func() {
		cli := newClient(newServer())
		cli.fill()
		ctx, cancel := context.WithCancel(context.Background())
		var grp sync.WaitGroup
		var answers atomic.Int64
		for range connections - 4 {
			grp.Go(func() {
				for ctx.Err() == nil {
					if cli.call("/") == nil {
						answers.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		const unanswered = 5
		for range unanswered {
			Expect(cli.call(silentserver.Never)).NotTo(Succeed())
		}
		cancel()
		grp.Wait()
		Expect(answers.Load()).To(BeNumerically(">", 1000))
		// Each unanswered call closes its own connection, and the first one those that nobody has used since.
		Expect(cli.srv.Opened()).To(BeNumerically("<=", connections+4+unanswered))
	})

	DescribeTable("keeps idle connections after a call that says nothing about them", func(fail func(cli *client)) {
		cli := newClient(newServer())
		cli.fill()
		fail(cli)
		opened := cli.srv.Opened()
		cli.fill()
		Expect(cli.srv.Opened()).To(BeNumerically("<=", opened+1), "for the connection of the call")
	},
		Entry("because its caller gave up soon", func(cli *client) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			ctx, cal := cli.pool.Begin(ctx)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, cli.srv.URL+silentserver.Never, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = cli.http.Do(req) //nolint:bodyclose // there is no answer
			Expect(err).To(HaveOccurred())
			cal.Failed(err)
		}),
		Entry("because the call succeeded", func(cli *client) { Expect(cli.call("/")).To(Succeed()) }),
	)
})
