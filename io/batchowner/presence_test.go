package batchowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/batchrpc"
)

func TestBatchowner(t *testing.T) { specs.Run(t, "batchowner") }

var _ = Describe("The set of grantable instances", func() {
	// Guards against a grant to an instance that is missing in the stored presence: an owner that
	// takes over would treat the instance as lost while its tasks run.
	It("lets a report wait until the stored presence contains the instance", func(ctx SpecContext) {
		var gst grantableSet
		gst.set([]fleet.InstanceID{"a"})
		Expect(gst.await(ctx, "a")).To(BeTrue())
		got := make(chan bool)
		go func() { got <- gst.await(ctx, "b") }()
		Consistently(got).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		gst.set([]fleet.InstanceID{"a", "b"})
		Eventually(got).Should(Receive(BeTrue()))
	})

	// Guards against a grant to the owner's own instance that outlasts what the next owner waits for it.
	DescribeTable("are granted time after the last transaction of the owner", func(ctx SpecContext, id fleet.InstanceID, since, grant time.Duration) {
		wrt := newWriter(ctx, &storefake.Store{})
		wrt.cfg.Options.Own = "own"
		wrt.life = ctx
		close(wrt.ready)
		go wrt.loop.Run(ctx)
		wrt.grantable.set([]fleet.InstanceID{"own", "other"})
		wrt.confirmedAt.Store(time.Now().Add(-since).UnixNano())
		var rep batchrpc.ReportReply
		wrt.receive(id, &rep, reportTurn, func(*Scheduler, time.Time) receipt { return receipt{known: true} })
		Expect(rep.Grant).To(Equal(grant))
	},
		Entry("its own", fleet.InstanceID("own"), OwnOwnershipValidity-time.Second, GrantDuration),
		Entry("its own, long after", fleet.InstanceID("own"), OwnOwnershipValidity, time.Duration(0)),
		Entry("another one", fleet.InstanceID("other"), OwnershipValidity-time.Second, GrantDuration),
		Entry("another one, long after", fleet.InstanceID("other"), OwnershipValidity, time.Duration(0)),
	)

	It("delays a report for less than the time limit of a request", func(ctx SpecContext) {
		var gst grantableSet
		begun := time.Now()
		Expect(gst.await(ctx, "a")).To(BeFalse())
		Expect(time.Since(begun)).To(BeNumerically("<", requestTimeout))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(gst.await(ended, "a")).To(BeFalse())
	})
})
