package serve

import (
	"context"
	"sync"

	"jacinthpost/core/outcome"
	"jacinthpost/io/endpoint"
)

// HTTPEndpoint calls the endpoint over HTTP at the address that it last announced. The zero value is
// ready for use, and any goroutine may use it.
type HTTPEndpoint struct {
	mu      sync.Mutex
	address string
	client  *endpoint.Client
}

// Call implements Endpoint.
func (hep *HTTPEndpoint) Call(ctx context.Context, req Request) (int, []byte, outcome.Outcome) {
	ans, out := hep.clientFor(req.address).Serve(ctx, endpoint.NewRequest(req.id, req.body).WithTarget(req.method, req.path))
	return ans.Status(), ans.Body(), out
}

// clientFor returns the client of an address. When the address has changed, the idle connections to
// the previous one are closed; calls in progress keep their connections.
func (hep *HTTPEndpoint) clientFor(addr string) *endpoint.Client {
	hep.mu.Lock()
	defer hep.mu.Unlock()
	if hep.client == nil || hep.address != addr {
		hep.close()
		hep.address, hep.client = addr, endpoint.New(addr)
	}
	return hep.client
}

// Close closes the idle connections.
func (hep *HTTPEndpoint) Close() {
	hep.mu.Lock()
	defer hep.mu.Unlock()
	hep.close()
}

func (hep *HTTPEndpoint) close() {
	if hep.client != nil {
		hep.client.Close()
	}
}
