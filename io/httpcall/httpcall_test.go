package httpcall_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/silentserver"
	"jacinthpost/internal/specs"
	"jacinthpost/io/httpcall"
)

func TestHTTPCall(t *testing.T) { specs.Run(t, "httpcall") }

const (
	connections = 16
	callLimit   = 400 * time.Millisecond
)

// pooled is a client with idle connections to a server.
type pooled struct {
	*httpcall.Client
	srv *silentserver.Server
}

func newPooled() *pooled {
	GinkgoHelper()
	srv := silentserver.New(connections, callLimit/2, &http.Server{})
	DeferCleanup(srv.Close)
	pld := &pooled{Client: httpcall.New(strings.TrimPrefix(srv.URL, "http://"), "spec", httpcall.WithTimeout(callLimit)), srv: srv}
	var grp sync.WaitGroup
	for range connections {
		grp.Go(func() {
			defer GinkgoRecover()
			Expect(pld.get(silentserver.Together)).To(Succeed())
		})
	}
	grp.Wait()
	return pld
}

func (pld *pooled) get(path string) error {
	_, err := pld.Call(context.Background(), httpcall.NewRequest(http.MethodGet, path, nil))
	return err
}

var _ = Describe("A client with idle connections", func() {
	// Guards against calls that try one silent connection after the other.
	It("reaches a service after one call on a silent one", func() {
		pld := newPooled()
		pld.srv.Silence()
		Expect(pld.get("/")).NotTo(Succeed())
		Expect(pld.get("/")).To(Succeed())
	})

	// Guards against a storm of new connections to a service that leaves some calls unanswered.
	It("keeps those of a service that answers other calls", func() {
		pld := newPooled()
		ctx, cancel := context.WithCancel(context.Background())
		var grp sync.WaitGroup
		for range connections - 4 {
			grp.Go(func() {
				for ctx.Err() == nil {
					_ = pld.get("/") // counted by the server
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		const unanswered = 4
		for range unanswered {
			Expect(pld.get(silentserver.Never)).NotTo(Succeed())
		}
		cancel()
		grp.Wait()
		Expect(pld.srv.Opened()).To(BeNumerically("<=", connections+4+unanswered))
	})
})
