package batchagent

import (
	"context"
	"net"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/batchhost"
	"jacinthpost/core/store/storefake"
	"jacinthpost/io/batchrpc"
	"jacinthpost/io/batchstore"
	"jacinthpost/io/lead"
)

// Guards against news that the owner takes for the whole state of a worker, and against measurements
// that are old because the agent sends news only.
var _ = DescribeTable("a whole report is due", func(sdl reportSchedule, session uint64, after time.Duration, due bool) {
	sent := time.Unix(1000, 0)
	sdl.sentAt = sent
	Expect(sdl.isDue(session, sent.Add(after))).To(Equal(due))
},
	Entry("not while the last one is recent", reportSchedule{session: 3}, uint64(3), reportPeriod/2, false),
	Entry("after the period", reportSchedule{session: 3}, uint64(3), reportPeriod, true),
	Entry("in a new session", reportSchedule{session: 3}, uint64(4), time.Millisecond, true),
	Entry("when the description of the worker has changed", reportSchedule{session: 3, due: true}, uint64(3), time.Millisecond, true),
)

var testPartition = batchstore.Partition("p")

// successorService answers reports as a process that was replaced.
type successorService struct{ newer batchrpc.Owner }

func (svc *successorService) Report(_ batchrpc.ReportArgs, rep *batchrpc.ReportReply) error {
	rep.NotOwner, rep.Newer = true, svc.newer
	return nil
}

var _ = Describe("An agent that can't reach the store", func() {
	// newCutOffAgent returns an agent whose elector has failed to read the table.
	newCutOffAgent := func(own batchstore.Owner) (*Agent, context.Context) {
		GinkgoHelper()
		agt, ctx := newAgent()
		tab := &storefake.Store{}
		tab.SetDown(true)
		agt.elector = lead.New(tab, testPartition, batchstore.Owner{Holder: "a"}, lead.Candidacy{}, time.Now, zap.NewNop())
		agt.elector.SetCurrent(own)
		reading, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := agt.elector.Run(reading)
		Expect(err).To(HaveOccurred())
		return agt, ctx
	}

	// Guards against a promise that the owner counts from before it was given, or from an answer of another owner (TWICE).
	It("promises to take nothing over, from an answer of the same owner", func() {
		agt, _ := newCutOffAgent(batchstore.Owner{Epoch: 3, Holder: "b"})
		Expect(agt.abstention(ownerStamp{epoch: 3, value: 7}, 3)).To(Equal(batchrpc.Abstention{Given: true, Stamp: 7}))
		Expect(agt.abstention(ownerStamp{epoch: 2, value: 7}, 3)).To(BeZero())
		Expect(agt.abstention(ownerStamp{epoch: 3}, 3)).To(BeZero())
	})

	// Guards against runs that end because their agent follows an owner that was replaced and can't read the row of the new
	// one.
	It("follows the new owner that the former one names", func() {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lsn.Close)
		srv := rpc.NewServer()
		Expect(srv.RegisterName(batchrpc.ServiceName, &successorService{newer: batchrpc.Owner{Epoch: 4, Holder: "c", Address: "c:1"}})).To(Succeed())
		go srv.Accept(lsn)
		agt, ctx := newCutOffAgent(batchstore.Owner{Epoch: 3, Holder: "b", Address: lsn.Addr().String()})
		now := time.Now()
		agt.applyListing(ctx, batchhost.Listing{Incarnation: "w@1", Clock: time.Second, SentAt: now, ReceivedAt: now})
		agt.reportOnce(ctx)
		own, _ := agt.elector.Current()
		Expect(own).To(Equal(batchstore.Owner{Epoch: 4, Holder: "c", Address: "c:1"}))
	})
})
