package batchowner

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/upkeep"
	"jacinthpost/io/control"
)

// pausingMachines is a machine service whose caller is paused as it makes a request.
type pausingMachines struct {
	Machines
	pause    time.Duration
	paused   atomic.Int64 // how long the caller was paused in all, in ns
	requests []upkeep.MachineID
}

func (mcs *pausingMachines) List(context.Context) ([]upkeep.Machine, error) {
	return []upkeep.Machine{upkeep.NewMachine("m0", "w0", upkeep.Up), upkeep.NewMachine("m1", "w1", upkeep.Up)}, nil
}

func (mcs *pausingMachines) RequestUpkeep(_ context.Context, req upkeep.Request, _ string, _ uint64) (upkeep.RequestOutcome, error) {
	mcs.requests = append(mcs.requests, req.Machine)
	mcs.paused.Add(int64(mcs.pause))
	return upkeep.Confirmed, nil
}

func (mcs *pausingMachines) WorkerName(life batch.Incarnation) string { return string(life) }

// Guards against a request with the token of a former owner after its successor has made requests (ONE).
var _ = DescribeTable("an owner that is paused as it requests the upkeep of a machine", func(ctx SpecContext, pause time.Duration, requests int) {
	wrt := newWriter(ctx, &storefake.Store{})
	mcs := &pausingMachines{pause: pause}
	wrt.cfg.Machines, wrt.cfg.Clock = mcs, func() time.Time { return time.Now().Add(time.Duration(mcs.paused.Load())) }
	loop, stop := context.WithCancel(ctx)
	DeferCleanup(stop)
	go wrt.loop.Run(loop)
	mnt := wrt.maintenance
	mnt.restored = true
	onThread := func(fun func(now time.Time)) {
		GinkgoHelper()
		_, err := control.Query(ctx, wrt.loop, func(_ *Scheduler, now time.Time) struct{} { fun(now); return struct{}{} })
		Expect(err).NotTo(HaveOccurred())
	}
	onThread(func(now time.Time) {
		mnt.planner.Restore(nil, now)
		mnt.planner.SetWaves([]upkeep.Wave{upkeep.NewWave(1, []upkeep.MachineID{"m0", "m1"}, 2, time.Minute)}, now)
	})
	mnt.advance(ctx)
	onThread(func(time.Time) { mnt.planner.ChangesStored(mnt.planner.TakeChanges()) })
	mnt.listedAt = time.Time{}
	mnt.advance(ctx)
	Expect(mcs.requests).To(HaveLen(requests))
},
	Entry("makes the other requests if the pause was short", 10*time.Millisecond, 2),
	Entry("makes no other if it may have been replaced", 6*time.Second, 1),
)

// Guards against progress of a wave that a new owner, or one of a newer version, cannot read.
var _ = DescribeTable("the row of a wave", func(row []byte, want upkeep.Stored) {
	got, err := decodeWave(row)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(want))
},
	Entry("as stored now", encodeProgress(upkeep.Change{Wave: 1, Stored: upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested}, Elapsed: 3 * time.Second}}),
		upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested}, Elapsed: 3 * time.Second}),
	Entry("without machines", encodeProgress(upkeep.Change{Wave: 1, Stored: upkeep.Stored{Progress: upkeep.Progress{}, Elapsed: time.Second}}),
		upkeep.Stored{Progress: upkeep.Progress{}, Elapsed: time.Second}),
	Entry("of an earlier version", []byte(`{"m0":"asked","machines":"begun"}`),
		upkeep.Stored{Progress: upkeep.Progress{"m0": upkeep.Requested, "machines": upkeep.Begun}}),
)
