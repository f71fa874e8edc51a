package scene

import (
	"context"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
)

// StartRelayed starts a deployment whose processes are connected through a relay.
func StartRelayed(ctx context.Context, deployment string, instances int, endpointArgs ...string) *harness.Fleet {
	GinkgoHelper()
	return Start(ctx, harness.Options{Deployment: deployment, Instances: instances, EndpointArgs: endpointArgs, Relayed: true})
}

// SetNetwork injects a fault on links and removes all earlier faults.
func SetNetwork(ctx context.Context, fle *harness.Fleet, flt harness.NetworkFault, links ...harness.Link) {
	GinkgoHelper()
	Expect(fle.SetNetwork(ctx, flt, links...)).To(Succeed())
}

// HealNetwork removes the faults of all links.
func HealNetwork(ctx context.Context, fle *harness.Fleet) {
	GinkgoHelper()
	SetNetwork(ctx, fle, harness.NetworkFault{})
}

// NamesOf returns the names, as used in links, of the store, entries and agents that
// satisfy the condition.
func NamesOf(fle *harness.Fleet, holds func(name string) bool) []string {
	all := []string{harness.StoreName()}
	for _, ent := range fle.Entries() {
		all = append(all, ent.Process().Name())
	}
	for _, ins := range fle.Instances() {
		all = append(all, ins.ID())
	}
	var names []string
	for _, name := range all {
		if holds(name) {
			names = append(names, name)
		}
	}
	return names
}

// Except returns a condition that all names but the given ones satisfy.
func Except(names ...string) func(string) bool {
	return func(name string) bool { return !slices.Contains(names, name) }
}

// Kinds of connections between processes.
const (
	EntriesToAgents   = "entries to agents"
	AgentsToOwners    = "agents to owners"
	AgentsToEndpoints = "agents to endpoint and worker"
	AllToStore        = "entries and agents to the store"
)

// LinksOf returns the connections of a kind, one of EntriesToAgents, AgentsToOwners, AgentsToEndpoints and AllToStore.
func LinksOf(fle *harness.Fleet, kind string) []harness.Link {
	var entries, agents, endpoints []string
	for _, ent := range fle.Entries() {
		entries = append(entries, ent.Process().Name())
	}
	for _, ins := range fle.Instances() {
		agents, endpoints = append(agents, ins.ID()), append(endpoints, ins.EndpointName())
	}
	kinds := map[string][]harness.Link{
		EntriesToAgents:   {{From: entries, To: agents}},
		AgentsToOwners:    {{From: agents, To: agents}},
		AgentsToEndpoints: {{To: endpoints}},
		AllToStore:        {{To: []string{harness.StoreName()}}},
	}
	return kinds[kind]
}
