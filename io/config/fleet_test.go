package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/ticket"
	"jacinthpost/io/config"
	"jacinthpost/io/control"
	"jacinthpost/io/peer"
)

// bubble runs a test in virtual time.
func bubble(test func(ctx context.Context)) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(ctx)
	})
}

// cluster is a set of nodes in one process, connected by direct calls.
type cluster struct {
	table   *storefake.Store
	mu      sync.Mutex
	peers   []config.Peer
	nodes   map[string]*config.Node
	blocked func(from, to config.Peer, method string) bool
	noTable func(per config.Peer) bool // whether the node can't reach the table
	older   store.Table                // what the table is restored from
	calls   map[string]int
	heads   map[string]ticket.Number // highest head published by each node
	errors  []string
	filedAt []time.Time // when each ticket was accepted
}

// port is the view that one node has of the network and the table.
type port struct {
	*cluster
	self config.Peer
}

// Call dispatches to the service of the addressed node after a delay of 1 ms.
func (prt port) Call(ctx context.Context, addr, method string, args, reply any) error {
	prt.mu.Lock()
	prt.calls[method]++
	nod := prt.nodes[addr]
	blocked := prt.blocked
	var target config.Peer
	for _, per := range prt.peers {
		if per.Address() == addr {
			target = per
		}
	}
	prt.mu.Unlock()
	if nod == nil {
		return peer.ErrNotSent
	}
	if blocked != nil && blocked(prt.self, target, method) {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Millisecond):
	}
	return dispatch(nod.Service(), args, reply)
}

func dispatch(svc *config.Service, args, reply any) error {
	switch args := args.(type) {
	case config.PullArgs:
		return svc.Pull(args, reply.(*config.PullReply))
	case config.NudgeArgs:
		return svc.Nudge(args, reply.(*config.NudgeReply))
	case config.ObjectsArgs:
		return svc.Objects(args, reply.(*config.ObjectsReply))
	case config.HeadsArgs:
		return svc.Heads(args, reply.(*config.HeadsReply))
	}
	return peer.ErrNotSent
}

func (clu *cluster) current() []config.Peer {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	return clu.peers
}

// cut blocks calls between nodes and from nodes to the table until it is called with nil.
func (clu *cluster) cut(blocked func(from, to config.Peer, method string) bool, noTable func(per config.Peer) bool) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.blocked, clu.noTable = blocked, noTable
}

// tableOf is the table as one node reaches it.
type tableOf struct {
	store.Table
	port
}

func (tab tableOf) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	tab.mu.Lock()
	cut := tab.noTable != nil && tab.noTable(tab.self)
	older := tab.older
	tab.mu.Unlock()
	if older != nil {
		return older.Read(ctx, keys...)
	}
	if cut {
		<-ctx.Done()
		return nil, store.ErrUncertain
	}
	return tab.Table.Read(ctx, keys...)
}

func peerAt(idx int) config.Peer {
	dc := idx % 4
	loc := fleet.NewLocation(fleet.Region(fmt.Sprintf("region-%d", dc/2)), fleet.DataCentre(fmt.Sprintf("dc-%d", dc)), "rack")
	return config.NewPeer(fleet.InstanceID(fmt.Sprintf("agent-%03d", idx)), fmt.Sprintf("10.0.0.%d:7000", idx), loc, member.RoleAgent)
}

// startCluster runs nodes spread over four data centres in two regions.
func startCluster(ctx context.Context, table *storefake.Store, size int) *cluster {
	clu := &cluster{table: table, nodes: make(map[string]*config.Node), calls: make(map[string]int), heads: make(map[string]ticket.Number)}
	for idx := range size {
		clu.peers = append(clu.peers, peerAt(idx))
	}
	for _, per := range clu.peers {
		clu.start(ctx, per)
	}
	return clu
}

func (clu *cluster) start(ctx context.Context, per config.Peer) *config.Node {
	lop := control.NewLoop(&struct{}{}, 256, nil)
	prt := port{cluster: clu, self: per}
	tab := tableOf{Table: clu.table, port: prt}
	nod := config.NewNode(per, tab, prt, clu.current, lop)
	nod.SetFiler(config.NewFiler(tab, nil, string(per.ID()), time.Now))
	clu.mu.Lock()
	clu.nodes[per.Address()] = nod
	clu.mu.Unlock()
	go lop.Run(ctx)
	go nod.Run(ctx)
	return nod
}

// each calls a function with every node and records an error for each head that decreased.
func (clu *cluster) each(visit func(per config.Peer, vie *config.View)) {
	for _, per := range clu.current() {
		clu.mu.Lock()
		nod := clu.nodes[per.Address()]
		clu.mu.Unlock()
		vie := nod.View()
		if head := vie.State().Head(); head < clu.heads[per.Address()] {
			clu.errors = append(clu.errors, fmt.Sprintf("the head of %s decreased to %d", per.ID(), head))
		} else {
			clu.heads[per.Address()] = head
		}
		visit(per, vie)
	}
}

func (clu *cluster) countIf(holds func(per config.Peer, vie *config.View) bool) int {
	count := 0
	clu.each(func(per config.Peer, vie *config.View) {
		if holds(per, vie) {
			count++
		}
	})
	return count
}

func (clu *cluster) atHead(head ticket.Number) int {
	return clu.countIf(func(_ config.Peer, vie *config.View) bool { return vie.State().Head() == head })
}

// maySend counts the nodes that start tasks and admit requests. A node that
// starts tasks must have every ticket that is older than the freshness limit.
func (clu *cluster) maySend() (tasks, requests int) {
	now := time.Now()
	needed := ticket.Number(0)
	for idx, at := range clu.filedAt {
		if now.Sub(at) > ticket.FreshnessLimit {
			needed = ticket.Number(idx + 1)
		}
	}
	clu.each(func(per config.Peer, vie *config.View) {
		if vie.MayStartTasks(now) && vie.State().Head() < needed {
			clu.errors = append(clu.errors, fmt.Sprintf("%s starts tasks at %d, %d is in force", per.ID(), vie.State().Head(), needed))
		}
	})
	tasks = clu.countIf(func(_ config.Peer, vie *config.View) bool { return vie.MayStartTasks(now) })
	return tasks, clu.countIf(func(_ config.Peer, vie *config.View) bool { return vie.MayAdmitRequests(now) })
}

// advance waits for a span of virtual time.
func advance(dur time.Duration) {
	<-time.After(dur)
	synctest.Wait()
}

// until polls in virtual time and returns how long it took.
func until(limit time.Duration, holds func() bool) time.Duration {
	begin := time.Now()
	for !holds() && time.Since(begin) < limit {
		advance(10 * time.Millisecond)
	}
	return time.Since(begin)
}

func (clu *cluster) expectNoErrors() {
	GinkgoHelper()
	Expect(clu.errors).To(BeEmpty())
}

// drain returns the ticket that sets the draining of one endpoint.
func drain(num, base ticket.Number, id string, draining bool) ticket.Ticket {
	return ticket.New(num, "operator", "maintenance", ticket.NewChange(id, base, ticket.NewEndpoint(draining)))
}
