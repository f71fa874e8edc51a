package batch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/admission"
	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// place is a worker that starts and ends what it is told. Every task takes a second.
type place struct {
	id     string
	seq    uint64
	events uint64
	began  map[batch.RunID]time.Time
}

// turn takes the new orders, ends what has run long enough, and reports.
func (plc *place) turn(own *owner) {
	rep := report(plc.id, 1)
	out, known := own.Outbox(rep.Instance, 1, plc.seq)
	if known {
		for _, ord := range out.Orders {
			plc.seq = ord.Seq
			if ord.Kind == batch.StartRun {
				plc.began[ord.ID] = own.now
			}
		}
	}
	rep.AckedOrders = plc.seq
	for rid, began := range plc.began {
		if own.now.Sub(began) < time.Second {
			rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true})
			continue
		}
		delete(plc.began, rid)
		plc.events++
		rep.Events = append(rep.Events, ended(plc.events, rid, batch.EndDone))
	}
	own.ApplyReport(rep, own.now)
}

// rush is a service of two workers with four processors each, and callers who hand
// in jobs of four tasks of one processor for a second.
type rush struct {
	*owner
	places   []*place
	jobs     int
	refused  int
	returned time.Duration // the longest time to come back
}

// newRush returns a service whose owner has known it for a while.
func newRush() *rush {
	rsh := newOwnedRush()
	rsh.load("", 0, 0, 10*time.Second)
	return rsh
}

// newOwnedRush returns a service that has a new owner.
func newOwnedRush() *rush {
	rsh := &rush{owner: newOwner()}
	for num := range 2 {
		rsh.places = append(rsh.places, &place{id: fmt.Sprintf("w%d", num), began: make(map[batch.RunID]time.Time)})
	}
	rsh.turn(100 * time.Millisecond)
	return rsh
}

func (rsh *rush) turn(dur time.Duration) {
	rsh.pass(dur)
	for _, plc := range rsh.places {
		plc.turn(rsh.owner)
	}
	rsh.store()
}

func (rsh *rush) refusals() map[string]time.Duration {
	return admission.Refusals(admission.RefuseLate{}, rsh.Forecasts(rsh.now))
}

// hand hands in a job unless its queue refuses.
func (rsh *rush) hand(queue string, priority int) {
	if after, refuse := rsh.refusals()[queue]; refuse {
		rsh.refused++
		rsh.returned = max(rsh.returned, after)
		return
	}
	rsh.jobs++
	job, err := workload.New(workload.JobParams{
		ID: fmt.Sprintf("%s-%d", queue, rsh.jobs), Queue: queue, Service: "svc", Priority: priority, Stretch: 1.5,
		TargetLatencyMillis: 500, Steps: []workload.StepParams{step(4)},
	})
	Expect(err).NotTo(HaveOccurred())
	rsh.Submit(job, rsh.now)
}

// load hands in jobs at a rate for a time.
func (rsh *rush) load(queue string, priority int, perSecond float64, dur time.Duration) {
	const turn = 100 * time.Millisecond
	owed := 0.0
	for end := rsh.now.Add(dur); rsh.now.Before(end); {
		for owed += perSecond * turn.Seconds(); owed >= 1; owed-- {
			rsh.hand(queue, priority)
		}
		rsh.turn(turn)
	}
}

var _ = Describe("refusals by load", func() {
	// The service carries out two jobs a second. Jobs are on time within 2 s and worth
	// nothing after 6 s.

	// Guards against refusals while the service keeps up.
	It("refuses nothing at the full load", func() {
		rsh := newRush()
		rsh.load("q", 0, 1.8, 20*time.Second)
		Expect(rsh.refused).To(BeZero())
	})

	// Guards against refusals of a short burst, whose jobs are late but useful.
	It("refuses nothing in a short burst", func() {
		rsh := newRush()
		rsh.load("q", 0, 6, time.Second)
		rsh.load("q", 0, 1, 5*time.Second)
		Expect(rsh.refused).To(BeZero())
	})

	// Guards against acceptances that can't be kept, against refusals that outlast the
	// backlog, and against the loss of accepted jobs.
	It("refuses in a long burst and accepts again after it", func() {
		rsh := newRush()
		rsh.load("q", 0, 8, 10*time.Second)
		Expect(rsh.refused).To(BeNumerically(">", 20))
		Expect(rsh.returned).To(BeNumerically("<=", 10*time.Second))
		rsh.load("q", 0, 0, 10*time.Second)
		refused, accepted := rsh.refused, rsh.jobs
		rsh.load("q", 0, 1, 5*time.Second)
		Expect(rsh.refused).To(Equal(refused))
		Expect(rsh.jobs).To(BeNumerically(">", accepted))
		rsh.load("q", 0, 0, 10*time.Second)
		Expect(rsh.Forecasts(rsh.now)).To(BeEmpty(), "unfinished jobs")
	})

	// Guards against refusals while workers stand idle that have not reported to a new owner yet.
	It("refuses nothing for some seconds after a takeover, and then what is too late", func() {
		rsh := newOwnedRush()
		rsh.load("q", 0, 12, 5*time.Second)
		Expect(rsh.refused).To(BeZero())
		rsh.load("q", 0, 12, 5*time.Second)
		Expect(rsh.refused).To(BeNumerically(">", 0))
	})

	// Guards against urgent work that is refused for a backlog behind it.
	It("refuses no urgent job for a backlog of others", func() {
		rsh := newRush()
		rsh.load("slow", 2, 8, 10*time.Second)
		Expect(rsh.refusals()).To(HaveKey("slow"))
		before := rsh.refused
		rsh.load("fast", 0, 1, 5*time.Second)
		Expect(rsh.refused).To(Equal(before))
	})

	// Guards against a queue that stays shut because no worker is left to say otherwise.
	It("predicts a long wait while every worker is out", func() {
		rsh := newRush()
		rsh.load("q", 0, 2, 2*time.Second)
		rsh.SetExcluded(map[fleet.DataCentre]bool{"dc": true})
		rsh.load("q", 0, 2, 4*time.Second)
		Expect(rsh.refusals()).To(HaveKey("q"))
		rsh.SetExcluded(nil)
		rsh.load("q", 0, 0, 2*time.Second)
		Expect(rsh.refusals()).To(BeEmpty())
	})
})

var _ = Describe("sizes of workers", func() {
	// Guards against jobs that are called too large by an owner who has not heard of all workers yet.
	It("are told only when all workers have reported", func() {
		own := newOwner()
		own.ApplyReport(report("a", 1), own.now)
		Expect(own.WorkerSizes(own.now)).To(BeEmpty())
		own.pass(20 * time.Second)
		Expect(own.WorkerSizes(own.now)).To(HaveKeyWithValue(fleet.Service("svc"), []resource.Vector{resource.New(4000, 4000, 0)}))
	})
})
