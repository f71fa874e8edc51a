package config_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/core/ticket"
	"jacinthpost/io/config"
)

// everyKind is a ticket with an object of each kind.
func everyKind() ticket.Ticket {
	return ticket.New(9, "operator", "all kinds",
		ticket.NewChange("catalog-core", 3, ticket.NewService(8, 64, 1500*time.Millisecond, "/read", "/list")),
		ticket.NewChange("catalog-core", 0, ticket.NewAdmission(100, 2.5, 0.25)),
		ticket.NewChange("build", 0, ticket.NewJobClass(resource.New(2000, 4096, 1), 15*time.Second, time.Hour, true).WithRerun(job.RerunNever)),
		ticket.NewChange("bac-hanoi", 0, ticket.NewDataCentre(true, "power work")),
		ticket.NewChange("uni-1", 0, ticket.NewWorkspace(true, "team-a", map[string]string{"plan": "gold", "tier": ""})),
		ticket.NewChange("agent-1", 0, ticket.NewEndpoint(true)),
		ticket.NewChange("team-a", 0, ticket.NewTeam(0.5, 0.25, 0.125, true)))
}

// Guards against fields that are lost between the operator, the table and the nodes.
var _ = It("every kind survives encoding", func() {
	raw, err := config.EncodeTicket(everyKind())
	Expect(err).NotTo(HaveOccurred())
	got, faults := config.DecodeTicket(9, raw)
	Expect(faults).To(BeEmpty())
	Expect(got.Same(everyKind())).To(BeTrue())
	Expect(got).To(Equal(everyKind()))
})

// Guards against input that is accepted with a misspelt field or half read.
var _ = DescribeTable("DecodeTicket names the fault", func(raw, path string) {
	_, faults := config.DecodeTicket(1, []byte(raw))
	Expect(faults).NotTo(BeEmpty())
	Expect(faults[0].Path()).To(Equal(path))
},
	Entry("empty", ``, ""),
	Entry("null", `null`, ""),
	Entry("array", `[]`, ""),
	Entry("unknown field", `{"author":"a","reason":"r","chnages":[]}`, ""),
	Entry("two values", `{"author":"a","reason":"r","changes":[]}{}`, ""),
	Entry("other number", `{"number":2,"author":"a","reason":"r","changes":[{"kind":"endpoint","name":"a","state":{"draining":true}}]}`, "number"),
	Entry("no changes", `{"author":"a","reason":"r","changes":[]}`, "changes"),
	Entry("unknown kind", `{"author":"a","reason":"r","changes":[{"kind":"rack","name":"a","state":{}}]}`, "changes[0].kind"),
	Entry("missing state", `{"author":"a","reason":"r","changes":[{"kind":"endpoint","name":"a"}]}`, "changes[0].state"),
	Entry("unknown field of a state", `{"author":"a","reason":"r","changes":[{"kind":"endpoint","name":"a","state":{"drain":true}}]}`, "changes[0].state"),
	Entry("data centre neither in nor out", `{"author":"a","reason":"r","changes":[{"kind":"dataCentre","name":"a","state":{"state":"off"}}]}`, "changes[0].state"),
	Entry("unknown setting of rerun", `{"author":"a","reason":"r","changes":[{"kind":"jobClass","name":"a","state":{"resources":{"milliCPU":1},"leaseMillis":15000,"rerun":"always"}}]}`, "changes[0].state"),
	Entry("timeout that overflows", `{"author":"a","reason":"r","changes":[{"kind":"service","name":"a","state":{"slots":1,"connections":1,"defaultTimeoutMillis":9223372036854775807}}]}`, "changes[0].state.defaultTimeoutMillis"),
	Entry("negative version", `{"author":"a","reason":"r","changes":[{"kind":"endpoint","name":"a","baseVersion":-1,"state":{"draining":true}}]}`, ""),
)

// Guards against tasks that lose their work because a ticket does not say that
// they can resume, as classes without a ticket do.
var _ = DescribeTable("a class is checkpointable", func(setting string, want bool) {
	tic, faults := config.DecodeTicket(1, []byte(`{"author":"a","reason":"r","changes":[{"kind":"jobClass","name":"a","state":{"resources":{"milliCPU":1},"leaseMillis":15000`+setting+`}}]}`))
	Expect(faults).To(BeEmpty())
	Expect(tic.Changes()[0].Object().(ticket.JobClass).Checkpointable()).To(Equal(want))
},
	Entry("if nothing is said", ``, true),
	Entry("if it is set", `,"checkpointable":true`, true),
	Entry("but not if it is switched off", `,"checkpointable":false`, false),
)

// Guards against settings that an earlier version accepted and that can't be read
// any more: a workspace and its rate had other names then.
var _ = Describe("tickets of earlier versions", func() {
	state := func(kind, raw string) ticket.Object {
		GinkgoHelper()
		tic, faults := config.DecodeTicket(1, []byte(`{"author":"a","reason":"r","changes":[{"kind":"`+kind+`","name":"uni","state":`+raw+`}]}`))
		Expect(faults).To(BeEmpty())
		return tic.Changes()[0].Object()
	}

	It("hold workspaces", func() {
		Expect(state("customer", `{"active":true,"settings":{"language":"vi"}}`)).To(Equal(state("workspace", `{"active":true,"settings":{"language":"vi"}}`)))
	})

	It("hold the rate of a workspace", func() {
		Expect(state("admission", `{"maxQueue":1,"customerRate":3,"batchShare":0}`)).To(Equal(state("admission", `{"maxQueue":1,"workspaceRate":3,"batchShare":0}`)))
	})

	It("don't give the rate under both names", func() {
		_, faults := config.DecodeTicket(1, []byte(`{"author":"a","reason":"r","changes":[{"kind":"admission","name":"s","state":{"maxQueue":1,"workspaceRate":2,"customerRate":3,"batchShare":0}}]}`))
		Expect(faults).To(HaveLen(1))
	})
})

// FuzzDecodeTicket guards against panics and against accepted tickets that change when stored.
func FuzzDecodeTicket(f *testing.F) {
	raw, err := config.EncodeTicket(everyKind())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"author":"a","reason":"r","changes":[{"kind":"workspace","name":"a","state":{"active":false,"settings":{"k":"v"}}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tic, faults := config.DecodeTicket(9, raw)
		if len(faults) > 0 {
			return
		}
		again, err := config.EncodeTicket(tic)
		if err != nil || !json.Valid(again) {
			t.Fatalf("encode: %v", err)
		}
		got, faults := config.DecodeTicket(9, again)
		if len(faults) > 0 || !got.Same(tic) {
			t.Fatalf("changed: %v", faults)
		}
	})
}
