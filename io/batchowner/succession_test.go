package batchowner

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/lead"
	"jacinthpost/io/peer"
)

// takeOverFrom returns the term of a process that has taken over from an owner. A stored row of a former owner is replaced
// at once only if it was released or is that of an earlier process.
func takeOverFrom(ctx context.Context, old batchstore.Owner) lead.Term {
	GinkgoHelper()
	tab := &storefake.Store{}
	overwrite(ctx, tab, old)
	return newWriter(ctx, tab).term
}

var _ = Describe("A new owner", func() {
	// Guards against a task that runs twice, because an owner gives an instance up that another one may have granted time
	// (TWICE), and against tasks that run nowhere for longer than necessary (LOST).
	DescribeTable("is bound by its promises to the former owner", func(ctx SpecContext, old batchstore.Owner, prs batchstore.Presence, bound bool) {
		suc := succession(takeOverFrom(ctx, old), "me", prs)
		Expect(suc.Bound).To(Equal(bound))
	},
		Entry("that has stored that its instance reports", batchstore.Owner{Epoch: 4, Holder: "me"}, batchstore.Presence{Epoch: 4, Reported: []string{"me"}}, true),
		Entry("not if that has not stored so", batchstore.Owner{Epoch: 4, Holder: "me"}, batchstore.Presence{Epoch: 4, Reported: []string{"a"}}, false),
		Entry("that has stored that its instance may report", batchstore.Owner{Epoch: 4, Holder: "me"}, batchstore.Presence{Epoch: 4, SilentMillis: map[string]int64{"me": 500}}, true),
		Entry("not if that has stored that its instance was lost", batchstore.Owner{Epoch: 4, Holder: "me"}, batchstore.Presence{Epoch: 4, SilentMillis: map[string]int64{"me": LostAfter.Milliseconds()}}, false),
		Entry("that has released the ownership", batchstore.Owner{Epoch: 4, Holder: "a", Released: true}, batchstore.Presence{Epoch: 4, Reported: []string{"a"}}, true),
		Entry("before one that granted no time and was bound itself", batchstore.Owner{Epoch: 5, Holder: "a", Released: true}, batchstore.Presence{Epoch: 4, Reported: []string{"a"}}, true),
		Entry("not before one that granted no time and was not bound", batchstore.Owner{Epoch: 5, Holder: "b", Released: true}, batchstore.Presence{Epoch: 4, Reported: []string{"a"}}, false),
	)

	// Guards against a wait that begins again with each machine that is too small for the ownership.
	It("counts the silence of the owner before one that released the ownership at once", func(ctx SpecContext) {
		old := batchstore.Owner{Epoch: 5, Holder: "a", Released: true, QuietMillis: 1500}
		trm := takeOverFrom(ctx, old)
		Expect(succession(trm, "me", batchstore.Presence{Epoch: 4, Reported: []string{"a"}}).QuietSince).To(Equal(trm.QuietSince().Add(-1500 * time.Millisecond)))
		Expect(succession(trm, "me", batchstore.Presence{Epoch: 5, Reported: []string{"a"}}).QuietSince).To(Equal(trm.QuietSince()))
	})
})

var _ = Describe("An owner that does not reach the store", func() {
	// grantAfter returns the grant of an owner for an instance, some time after its last transaction.
	grantAfter := func(ctx context.Context, id fleet.InstanceID, since time.Duration, before func(wrt *writer, now time.Time)) time.Duration {
		GinkgoHelper()
		wrt := newWriter(ctx, &storefake.Store{})
		wrt.cfg.Own, wrt.life = "own", ctx
		close(wrt.ready)
		go wrt.loop.Run(ctx)
		wrt.grantable.set(batch.Presence{Reported: []fleet.InstanceID{"own", "a", "b"}})
		now := time.Now()
		wrt.confirmedAt.Store(now.Add(-since).UnixNano())
		before(wrt, now)
		var rep batchrpc.ReportReply
		wrt.receive(id, &rep, reportTurn, func(*Scheduler, time.Time) receipt { return receipt{known: true} })
		return rep.Grant
	}
	abstain := func(age time.Duration, ids ...fleet.InstanceID) func(wrt *writer, now time.Time) {
		return func(wrt *writer, now time.Time) {
			for _, id := range ids {
				wrt.abstentions.record(id, batchrpc.Abstention{Given: true, Stamp: now.Add(-age).UnixNano()})
			}
		}
	}

	// Guards against a grant that outlasts what the next owner waits for it (TWICE), and against runs that end in an
	// outage in which nobody can have replaced the owner.
	DescribeTable("grants time only while nobody can have replaced it", func(ctx SpecContext, since time.Duration, before func(wrt *writer, now time.Time), grant time.Duration) {
		for _, id := range []fleet.InstanceID{"a", "own"} {
			Expect(grantAfter(ctx, id, since, before)).To(Equal(grant), "to %s", id)
		}
	},
		Entry("at once", time.Duration(0), abstain(0), GrantDuration),
		Entry("before a takeover", OwnershipValidity-100*time.Millisecond, abstain(0), GrantDuration),
		Entry("not after that without promises", OwnershipValidity, abstain(0), time.Duration(0)),
		Entry("nor with some", 3*time.Second, abstain(0, "a"), time.Duration(0)),
		Entry("nor with old ones", 3*time.Second, abstain(lead.Abstention, "a", "b"), time.Duration(0)),
		Entry("but with promises of all others", 3*time.Second, abstain(100*time.Millisecond, "a", "b"), GrantDuration),
		Entry("which it needs of those too that a presence without answer names", 3*time.Second, func(wrt *writer, now time.Time) {
			abstain(0, "a", "b")(wrt, now)
			wrt.grantable.offer(batch.Presence{Reported: []fleet.InstanceID{"own", "a", "b", "c"}})
		}, time.Duration(0)),
		Entry("and those that a new presence does not name any more", 3*time.Second, func(wrt *writer, now time.Time) {
			abstain(0, "a")(wrt, now)
			wrt.grantable.offer(batch.Presence{Reported: []fleet.InstanceID{"own", "a"}})
		}, time.Duration(0)),
		Entry("until that is stored", 3*time.Second, func(wrt *writer, now time.Time) {
			abstain(0, "a")(wrt, now)
			wrt.grantable.offer(batch.Presence{Reported: []fleet.InstanceID{"own", "a"}})
			wrt.grantable.set(batch.Presence{Reported: []fleet.InstanceID{"own", "a"}})
		}, GrantDuration),
		Entry("not for ever", OutageValidity, abstain(0, "a", "b"), time.Duration(0)),
		Entry("nor an instance that a presence without answer does not name", time.Duration(0), func(wrt *writer, _ time.Time) {
			wrt.grantable.offer(batch.Presence{Reported: []fleet.InstanceID{"b"}})
		}, time.Duration(0)),
	)

	// Guards against a chain of times, from the last transaction of a lost owner to the start of its tasks elsewhere, that is
	// longer than the 9 s after which the users miss a task that lasts (LOST).
	It("is succeeded soon enough by an owner that gives its instances up", func() {
		const (
			missedAfter = 9 * time.Second
			noticed     = 750 * time.Millisecond // from the loss until the row is first read: an agent's report times out
			started     = 300 * time.Millisecond // from the loss of the instance to the next plan, the store and the worker
		)
		Expect(noticed + OwnershipValidity + LostAfter + started).To(BeNumerically("<", missedAfter))
		Expect(OwnershipValidity).To(BeNumerically(">=", lead.Abstention), "a promise may be used up to its end")
	})
})

var _ = Describe("A former owner", func() {
	// Guards against agents that can't reach the store and go on following an owner that can't either, until their leases
	// end.
	It("that is told of the takeover gives up, and tells agents who the new owner is", func(ctx SpecContext) {
		wrt := newWriter(ctx, &storefake.Store{})
		ended := make(chan struct{})
		wrt.giveUp = func() { close(ended) }
		own := New(wrt.cfg)
		own.current.Store(wrt.ownership)
		srv := peer.NewServer()
		srv.Register(batchrpc.ServiceName, own.Service())
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = srv.Serve(ctx, lsn) }() // ends with the spec
		next := batchrpc.Owner{Epoch: wrt.epoch + 1, Holder: "b", Address: "b:1"}
		Expect(tellReplaced(ctx, lsn.Addr().String(), next)).To(Succeed())
		Eventually(ended).Should(BeClosed())
		own.current.Store(nil)
		var rep batchrpc.ReportReply
		Expect(own.Service().News(batchrpc.NewsArgs{Epoch: wrt.epoch}, &rep)).To(Succeed())
		Expect(rep).To(Equal(batchrpc.ReportReply{NotOwner: true, Newer: next}))
	})

	It("ignores the message of one that it has replaced itself", func(ctx SpecContext) {
		wrt := newWriter(ctx, &storefake.Store{})
		wrt.giveUp = func() { Fail("the owner gave up") }
		own := New(wrt.cfg)
		own.current.Store(wrt.ownership)
		Expect(own.Service().Replaced(batchrpc.Owner{Epoch: wrt.epoch, Holder: "b"}, &batchrpc.ReplacedReply{})).To(Succeed())
		now, _ := wrt.cfg.Elector.Current()
		Expect(now.Holder).To(Equal("me"))
	})
})

var _ = DescribeTable("the row of a presence", func(row batchstore.Presence, want batch.Presence) {
	Expect(row.Core()).To(Equal(want))
},
	Entry("as stored now", batchstore.FromPresence(3, batch.Presence{Reported: []fleet.InstanceID{"a"}, Silent: map[fleet.InstanceID]time.Duration{"b": -500 * time.Millisecond}, Validity: time.Second}),
		batch.Presence{Reported: []fleet.InstanceID{"a"}, Silent: map[fleet.InstanceID]time.Duration{"b": -500 * time.Millisecond}, Validity: time.Second}),
	Entry("of an earlier version", batchstore.Presence{Reported: []string{"a"}, SilentSeconds: map[string]int64{"b": 3}},
		batch.Presence{Reported: []fleet.InstanceID{"a"}, Silent: map[fleet.InstanceID]time.Duration{"b": 3 * time.Second}}),
)
