package agentnode

import (
	"context"
	"sync/atomic"

	"jacinthpost/core/outcome"
	"jacinthpost/io/backend"
	"jacinthpost/io/serve"
)

// endpoints calls the endpoint beside the agent. The endpoint may come back
// under another address, so the client is replaced when the address changes.
type endpoints struct {
	current atomic.Pointer[addressed]
}

type addressed struct {
	address string
	client  *backend.Client
}

func newEndpoints() *endpoints { return &endpoints{} }

// Call implements serve.Endpoint.
func (eps *endpoints) Call(ctx context.Context, req serve.Request) (int, []byte, outcome.Outcome) {
	cli := eps.client(req.Address())
	ans, out := cli.Serve(ctx, backend.NewRequest(req.ID(), req.Body()).WithTarget(req.Method(), req.Path()))
	return ans.Status(), ans.Body(), out
}

func (eps *endpoints) client(addr string) *backend.Client {
	cur := eps.current.Load()
	if cur != nil && cur.address == addr {
		return cur.client
	}
	nxt := &addressed{address: addr, client: backend.New(addr)}
	if eps.current.CompareAndSwap(cur, nxt) && cur != nil {
		cur.client.Close()
	}
	return nxt.client
}
