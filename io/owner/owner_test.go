package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/store/storefake"
	"jacinthpost/internal/specs"
	"jacinthpost/io/message"
)

var outer *testing.T

func TestOwner(t *testing.T) {
	outer = t
	specs.Run(t, "owner")
}

// simulate starts a cluster in a synctest bubble, waits until all partitions are owned
// and runs the script.
func simulate(processes, partitions int, script func(clu *cluster)) {
	synctest.Test(outer, func(t *testing.T) {
		clu := newCluster(t, processes, partitions)
		clu.Eventually(clu.allOwned).WithTimeout(time.Minute).Should(Equal(partitions))
		defer clu.stop()
		script(clu)
	})
}

// Faults that a script injects while jobs run.

func lostAnswers(clu *cluster) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 60 {
		clu.table.Inject([]storefake.Fault{storefake.None, storefake.LoseAnswer, storefake.LoseCall, storefake.Refuse}[random.IntN(4)])
		<-time.After(200 * time.Millisecond)
	}
}

func outage(clu *cluster) {
	clu.table.SetDown(true)
	<-time.After(20 * time.Second)
	clu.table.SetDown(false)
}

func pausedOwners(clu *cluster) {
	for _, id := range []string{"a", "b"} {
		resume := clu.processes[id].pause()
		<-time.After(12 * time.Second)
		resume()
	}
}

var _ = Describe("a cluster of owners", func() {
	// Guards against acknowledged jobs that are lost, run twice or complete twice,
	// and against more than five log writes a second for a partition.
	DescribeTable("completes every acknowledged job once",
		func(fault func(clu *cluster)) {
			simulate(3, 4, func(clu *cluster) {
				var keys []string
				submit := func(name string) {
					for idx := range 4 {
						if key := fmt.Sprint(name, idx); clu.submit(key, 6) {
							keys = append(keys, key)
						}
					}
				}
				submit("before")
				clu.Expect(keys).To(HaveLen(4))
				fault(clu)
				submit("after")
				clu.Expect(keys).To(HaveLen(8))
				for _, key := range keys {
					clu.Eventually(clu.state).WithArguments(key).WithTimeout(3 * time.Minute).Should(Equal("finished"))
				}
				clu.expectReported(8)
			})
		},
		Entry("without a fault", func(*cluster) {}),
		Entry("while answers of the store are lost", lostAnswers),
		Entry("after a store outage", outage),
		Entry("while owners are paused one after the other", pausedOwners),
	)

	// Guards against a former owner that grants, renews or accepts work after its
	// pause, and against a takeover that takes longer than 9 s.
	It("refuses everything from a paused former owner", func() {
		simulate(2, 1, func(clu *cluster) {
			clu.Expect(clu.submit("k", 2)).To(BeTrue())
			former, other := clu.processes["a"], clu.processes["b"]
			if former.owned() == 0 {
				former, other = other, former
			}
			resume := former.pause()
			began := time.Now()
			late := make(chan message.JobReply, 1)
			former.done.Go(func() {
				<-time.After(6 * time.Second)
				var rep message.JobReply
				_ = former.service.Submit(message.SubmitArgs{Spec: spec("late", 1)}, &rep)
				late <- rep
			})
			clu.Eventually(other.owned).WithTimeout(time.Minute).Should(Equal(1))
			taken := time.Since(began)
			resume()
			clu.Expect(<-late).To(HaveField("NotOwner", true))
			clu.Expect(taken).To(BeNumerically("<", 16*time.Second))
			var rnw message.RenewReply
			clu.Expect(former.service.Renew(message.RenewArgs{}, &rnw)).To(Succeed())
			clu.Expect(rnw.NotOwner).To(BeTrue())
			clu.Eventually(func() string {
				var clm message.ClaimReply
				clu.Expect(former.service.Claim(message.ClaimArgs{}, &clm)).To(Succeed())
				return clm.OwnerAddress
			}).WithTimeout(time.Minute).Should(Equal(other.id))
			clu.Eventually(clu.state).WithArguments("k").WithTimeout(time.Minute).Should(Equal("finished"))
		})
	})

	// Guards against a report that looks complete while owners are missing.
	It("names the partitions that a report leaves out", func() {
		simulate(1, 4, func(clu *cluster) {
			clu.Expect(clu.submit("k", 2)).To(BeTrue())
			clu.processes["a"].cancel()
			rpt := clu.client.Report(context.Background(), time.Now().Add(-time.Hour))
			clu.Expect(rpt.MissingPartitions).To(Equal([]int{0, 1, 2, 3}))
			clu.Expect(rpt.Rows).To(BeEmpty())
		})
	})

	// Guards against a planned stop that leaves partitions without an owner until their
	// leases end, and against losing results when a snapshot replaces log records.
	It("hands its partitions over on release", func() {
		simulate(3, 6, func(clu *cluster) {
			clu.Expect(clu.submit("k", 150)).To(BeTrue())
			clu.Eventually(clu.state).WithArguments("k").WithTimeout(3 * time.Minute).Should(Equal("finished"))
			rows, err := clu.table.List(context.Background(), "partition/", "", 1000)
			clu.Expect(err).NotTo(HaveOccurred())
			clu.Expect(rows).To(ContainElement(HaveField("Key()", HaveSuffix("/snapshot"))))
			former := clu.processes[clu.rowOwner(job.PartitionOf(job.NewID("c", "k"), 6))]
			began := time.Now()
			clu.Expect(former.owner.Release(context.Background())).To(Succeed())
			clu.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			former.cancel()
			clu.Eventually(clu.allOwned).WithTimeout(8 * time.Second).Should(Equal(6))
			clu.Expect(clu.state("k")).To(Equal("finished"))
		})
	})

	// Guards against tasks that stay in a data centre for ever when it is taken out at a moment at which the
	// owner's lease has ended and the answer to its renewal, which extends the lease, is on its way.
	It("drains a data centre that is taken out while the renewal of the partition is delayed", func() {
		simulate(1, 1, func(clu *cluster) {
			clu.Expect(clu.submit("k", 400)).To(BeTrue())
			prc := clu.processes["a"]
			clu.table.renewalDelay.Store(int64(4900 * time.Millisecond))
			clu.Eventually(prc.owned).WithTimeout(time.Minute).Should(BeZero())
			clu.takenOut.Store(&[]fleet.DataCentre{"d"})
			clu.Eventually(prc.owned).WithTimeout(5 * time.Second).Should(Equal(1))
			clu.table.renewalDelay.Store(0)
			clu.Eventually(clu.stopCalls.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
			clu.takenOut.Store(nil)
		})
	})

	// Guards against a repeated submission that makes a second job, a key used for
	// other work, and a cancellation that leaves a job running.
	It("answers repeated, conflicting and cancelled submissions", func() {
		simulate(1, 2, func(clu *cluster) {
			clu.Expect(clu.submit("k", 40)).To(BeTrue())
			rep := clu.client.Submit(context.Background(), spec("k", 40))
			clu.Expect(rep.Status.Existing).To(BeTrue())
			clu.Expect(rep.Status.Tasks).To(HaveLen(40))
			clu.Expect(clu.client.Submit(context.Background(), spec("k", 41)).Reason).To(Equal("conflict"))
			large := spec("large", 1)
			large.Resources.MilliCPU = 9000
			clu.Expect(clu.client.Submit(context.Background(), large)).To(And(HaveField("Reason", "tooLarge"), HaveField("Detail", ContainSubstring("8000 mCPU"))))
			clu.Expect(clu.client.Cancel(context.Background(), job.NewID("c", "k")).Outcome).To(Equal("answered"))
			clu.Eventually(clu.state).WithArguments("k").WithTimeout(time.Minute).Should(Equal("cancelled"))
		})
	})
})
