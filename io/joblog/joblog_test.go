package joblog_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/partition"
	"jacinthpost/core/resource"
	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/token"
	"jacinthpost/internal/specs"
	"jacinthpost/io/joblog"
)

func TestJoblog(t *testing.T) {
	specs.Run(t, "joblog")
}

const (
	num        = 3
	partitions = 16
)

// hookedStore calls after once, when the next commit has returned from the store.
type hookedStore struct {
	*storefake.Store
	after func(txn *store.Transaction)
}

func (hok *hookedStore) Commit(ctx context.Context, txn *store.Transaction) (store.Result, error) {
	res, err := hok.Store.Commit(ctx, txn)
	if fun := hok.after; fun != nil {
		hok.after = nil
		fun(txn)
	}
	return res, err
}

// acquire takes the partition over for a process and returns the version of the epoch row.
func acquire(tab store.Table, ins fleet.InstanceID) (uint64, store.Version) {
	list, err := joblog.NewRows(tab, partitions).Read(context.Background(), num)
	Expect(err).NotTo(HaveOccurred())
	own := partition.NewOwnership(fleet.NewPeer(ins, 1, "addr"))
	now := time.Unix(0, 0)
	own.Observe(now, list[0])
	act := own.Decide(now.Add(time.Minute), 0, 0)
	Expect(act.Kind()).To(Equal(partition.Acquire))
	res, err := joblog.NewRows(tab, partitions).Write(context.Background(), num, act)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Committed()).To(BeTrue())
	return act.Row().Epoch(), res.Version()
}

func open(sto *storefake.Store, tab store.Table, epoch uint64, ver store.Version) (*joblog.Log, []job.Record) {
	log, recs, err := joblog.Open(context.Background(), tab, &storefake.ObjectStore{Store: sto}, num, epoch, ver)
	Expect(err).NotTo(HaveOccurred())
	return log, recs
}

// recovered takes the partition over and returns the jobs that the log contains.
func recovered(sto *storefake.Store) []string {
	epoch, ver := acquire(sto, "z")
	_, recs := open(sto, sto, epoch, ver)
	return names(recs)
}

func names(recs []job.Record) []string {
	var list []string
	for _, rec := range recs {
		list = append(list, string(rec.Ref().Job()))
	}
	return list
}

// records returns count submissions of jobs whose IDs are consecutive numbers.
func records(from, count int) []job.Record {
	var recs []job.Record
	for pos := range count {
		key := fmt.Sprint(from + pos)
		spc := job.NewSpec(job.KindBuild, 1, resource.New(1, 1, 0)).WithKey("c", key)
		recs = append(recs, job.NewRecord(job.JobSubmitted, job.NewRef(job.ID(key), 0, token.Token{}), 5).WithSpec(spc, "d"))
	}
	return recs
}

type faults = []storefake.Fault

var _ = Describe("append", func() {
	// Guards against an acknowledged batch that is lost, a batch applied twice, and a former owner that
	// still writes. The function after runs when the first write has returned from the store: it takes
	// the partition over, or applies the write that was delayed.
	takeOver := func(tab store.Table, _ *store.Transaction) { acquire(tab, "b") }
	delayed := func(tab store.Table, txn *store.Transaction) {
		res, err := tab.Commit(context.Background(), txn)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Committed()).To(BeTrue())
	}
	DescribeTable("acknowledges exactly the records that are durable",
		func(flts faults, after func(store.Table, *store.Transaction), want error) {
			sto := &storefake.Store{}
			epoch, ver := acquire(sto, "a")
			tab := &hookedStore{Store: sto}
			log, recs := open(sto, tab, epoch, ver)
			Expect(recs).To(BeEmpty())
			Expect(log.Append(context.Background(), records(0, 2))).To(Succeed())
			if after != nil {
				tab.after = func(txn *store.Transaction) { after(sto, txn) }
			}
			sto.Inject(flts...)
			err := log.Append(context.Background(), records(2, 2))
			acknowledged := []string{"0", "1"}
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				acknowledged = append(acknowledged, "2", "3")
			} else {
				Expect(err).To(MatchError(want))
			}
			if want == store.ErrUnavailable {
				Expect(log.Append(context.Background(), records(2, 3))).To(Succeed())
				acknowledged = append(acknowledged, "2", "3", "4")
			}
			Expect(recovered(sto)).To(Equal(acknowledged))
			Expect(log.Append(context.Background(), records(9, 1))).To(MatchError(joblog.ErrFenced))
		},
		Entry("without a fault", nil, nil, nil),
		Entry("refused, then tried again with more", faults{storefake.Refuse}, nil, store.ErrUnavailable),
		Entry("answer lost", faults{storefake.LoseAnswer}, nil, nil),
		Entry("call lost", faults{storefake.LoseCall}, nil, nil),
		Entry("answer lost, reading back fails", faults{storefake.LoseAnswer, storefake.LoseCall}, nil, nil),
		Entry("call lost, then the store is down for a while", faults{storefake.LoseCall, storefake.Refuse, storefake.Refuse, storefake.Refuse}, nil, nil),
		Entry("call lost twice", faults{storefake.LoseCall, storefake.None, storefake.LoseCall}, nil, nil),
		Entry("call lost, applied late", faults{storefake.LoseCall}, delayed, nil),
		Entry("call lost, reading back fails, applied late", faults{storefake.LoseCall, storefake.None, storefake.Refuse}, delayed, nil),
		Entry("new epoch after the write", nil, takeOver, nil),
		Entry("answer lost, then a new epoch", faults{storefake.LoseAnswer}, takeOver, nil),
		Entry("call lost, then a new epoch", faults{storefake.LoseCall}, takeOver, joblog.ErrFenced),
	)

	// Guards against renewals that make appends fail, and against an append that repeats an unresolved
	// write after its context has ended.
	It("does not conflict with renewals and ends with its context", func() {
		sto := &storefake.Store{}
		epoch, ver := acquire(sto, "a")
		log, _ := open(sto, sto, epoch, ver)
		list, err := joblog.NewRows(sto, partitions).Read(context.Background(), num)
		Expect(err).NotTo(HaveOccurred())
		txn := &store.Transaction{}
		txn.Require(joblog.RowKey(num), list[0].Version())
		txn.Put(joblog.RowKey(num), []byte(`{}`))
		Expect(sto.Commit(context.Background(), txn)).To(HaveField("Committed()", true))
		Expect(log.Append(context.Background(), records(0, 1))).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		sto.Inject(storefake.LoseCall)
		sto.Inject(slices.Repeat(faults{storefake.Refuse}, 20)...)
		Expect(log.Append(ctx, records(1, 1))).To(MatchError(joblog.ErrUnresolved))
	})
})

var _ = Describe("save", func() {
	// Guards against records lost through a failed save, and against a log that the next successful save
	// does not trim.
	DescribeTable("keeps every record whichever operation fails",
		func(flt storefake.Fault) {
			for pos := range 5 {
				sto := &storefake.Store{}
				epoch, ver := acquire(sto, "a")
				log, _ := open(sto, sto, epoch, ver)
				var all []job.Record
				save := func(count int, flts ...storefake.Fault) error {
					recs := records(len(all), count)
					Expect(log.Append(context.Background(), recs)).To(Succeed())
					all = append(all, recs...)
					sto.Inject(flts...)
					return log.Save(context.Background(), all, log.Next())
				}
				Expect(save(2)).To(Succeed())
				_ = save(3, append(slices.Repeat(faults{storefake.None}, pos), flt)...)
				_, _ = sto.Read(context.Background()) // consumes the fault if the save made fewer operations
				Expect(save(1)).To(Succeed())
				Expect(log.Append(context.Background(), records(100, 1))).To(Succeed())
				rows, err := sto.List(context.Background(), joblog.RowKey(num)+"/log/", "", 100)
				Expect(err).NotTo(HaveOccurred())
				Expect(rows).To(HaveLen(1), "fault at operation %d", pos)
				Expect(recovered(sto)).To(Equal(names(append(all, records(100, 1)...))), "fault at operation %d", pos)
				Expect(log.Save(context.Background(), all, 1)).NotTo(Succeed(), "a fenced owner saves")
			}
		},
		Entry("refused", storefake.Refuse),
		Entry("answer lost", storefake.LoseAnswer),
		Entry("call lost", storefake.LoseCall),
	)
})

// Guards against a field that the stored format omits, so that a new owner loses it.
var _ = It("keeps every field of every kind of record", func() {
	ref := job.NewRef("j1", 2, token.New(3, 4))
	end := job.NewEnd(job.EndCheckpointed, "cp").WithResult([]byte("r"), "why").WithEviction(true)
	spc := job.NewSpec(job.KindWatch, 7, resource.New(1, 2, 3)).WithKey("c", "k").WithTeam("t").WithClass("l", time.Minute).WithRerun(job.RerunNever).WithCheckpoints(false).
		WithService("s").WithUrgency(true).WithPayload([]byte("p")).WithDeadline(9)
	all := []job.Record{
		job.NewRecord(job.JobSubmitted, job.NewRef("j1", 0, token.Token{}), 1).WithSpec(spc, "dig"),
		job.NewRecord(job.TaskAssigned, ref, 2).WithHolder(fleet.NewProcess("i", 5)),
		job.NewRecord(job.TaskCheckpointed, ref, 3).WithEnd(end),
		job.NewRecord(job.TaskEnded, ref, 4).WithEnd(end),
		job.NewRecord(job.TaskParked, ref, 5).WithEnd(end),
		job.NewRecord(job.JobCancelled, job.NewRef("j1", 0, token.Token{}), 6),
		job.NewRecord(job.JobRemoved, job.NewRef("j1", 0, token.Token{}), 7),
		job.NewRecord(job.TaskRestored, ref, 8).WithHolder(fleet.NewProcess("i", 5)).WithEnd(end).
			WithTask(job.Parked, true, job.NewCounters(1, 2, 3)),
	}
	sto := &storefake.Store{}
	epoch, ver := acquire(sto, "a")
	log, _ := open(sto, sto, epoch, ver)
	Expect(log.Append(context.Background(), all)).To(Succeed())
	epoch, ver = acquire(sto, "b")
	_, recs := open(sto, sto, epoch, ver)
	Expect(recs).To(Equal(all))
})
