package batchowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/internal/specs"
)

func TestBatchowner(t *testing.T) { specs.Run(t, "batchowner") }

var _ = Describe("The set of grantable instances", func() {
	// Guards against a grant to an instance that is missing in the stored presence: an owner that
	// takes over would treat the instance as lost while its tasks run.
	It("lets a report wait until the stored presence contains the instance", func(ctx SpecContext) {
		var gst grantableSet
		gst.set(batch.Presence{Reported: []fleet.InstanceID{"a"}})
		Expect(gst.await(ctx, "a")).To(BeTrue())
		got := make(chan bool)
		go func() { got <- gst.await(ctx, "b") }()
		Consistently(got).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		gst.set(batch.Presence{Reported: []fleet.InstanceID{"a", "b"}})
		Eventually(got).Should(Receive(BeTrue()))
	})

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
