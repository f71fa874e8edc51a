package batchowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/internal/specs"
)

func TestBatchowner(t *testing.T) { specs.Run(t, "batchowner") }

var _ = Describe("grants", func() {
	// Guards against time that is granted before the successor would know of it: it would give
	// the instance up while its tasks run.
	It("wait until a stored presence names the instance", func(ctx SpecContext) {
		var grs grantableSet
		grs.set([]fleet.InstanceID{"a"})
		Expect(grs.await(ctx, "a")).To(BeTrue())
		got := make(chan bool)
		go func() { got <- grs.await(ctx, "b") }()
		Consistently(got).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		grs.set([]fleet.InstanceID{"a", "b"})
		Eventually(got).Should(Receive(BeTrue()))
	})

	It("don't hold a report for long", func(ctx SpecContext) {
		var grs grantableSet
		begun := time.Now()
		Expect(grs.await(ctx, "a")).To(BeFalse())
		Expect(time.Since(begun)).To(BeNumerically("<", requestTimeout))
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(grs.await(ended, "a")).To(BeFalse())
	})
})
