package serve

import (
	"context"
	"sync"

	"jacinthpost/core/outcome"
	"jacinthpost/io/backend"
)

// Backend is the Endpoint that is called over HTTP. It follows the address that
// the endpoint announces. The zero value works, and any goroutine may use it.
type Backend struct {
	mu      sync.Mutex
	address string
	client  *backend.Client
}

// Call implements Endpoint.
func (bck *Backend) Call(ctx context.Context, req Request) (int, []byte, outcome.Outcome) {
	cli := bck.at(req.address)
	ans, out := cli.Serve(ctx, backend.NewRequest(req.id, req.body).WithTarget(req.method, req.path))
	if out.Reason() == outcome.ReasonTimeout {
		// Connections go silent together, so the idle ones are not trusted either.
		cli.Close()
	}
	return ans.Status(), ans.Body(), out
}

// at returns the client of an address. An endpoint that moved leaves idle
// connections behind, which are closed; calls under way keep theirs.
func (bck *Backend) at(addr string) *backend.Client {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	if bck.client == nil || bck.address != addr {
		bck.close()
		bck.address, bck.client = addr, backend.New(addr)
	}
	return bck.client
}

// Close closes the idle connections.
func (bck *Backend) Close() {
	bck.mu.Lock()
	defer bck.mu.Unlock()
	bck.close()
}

func (bck *Backend) close() {
	if bck.client != nil {
		bck.client.Close()
	}
}
