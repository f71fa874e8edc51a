package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/explain"
	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestPlace(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "place")
}

var (
	start    = time.Unix(1_000, 0)
	capacity = resource.New(8_000, 8_000, 1)
)

const dataCentres = 3

// fakeFleet holds the true state of the instances and answers the offers of a scheduler.
type fakeFleet[P place.Policy] struct {
	sch       *place.Scheduler[P]
	now       time.Time
	free      map[fleet.InstanceID]resource.Vector
	running   map[place.TaskID]place.Offer
	out       map[fleet.DataCentre]bool
	open      map[place.TaskID]place.Task
	submitted int
}

func location(num int) fleet.Location {
	dc := num % dataCentres
	return fleet.NewLocation(fleet.Region(fmt.Sprint("region", dc/2)), fleet.DataCentre(fmt.Sprint("dc", dc)), fleet.Rack(fmt.Sprint("rack", num%6)))
}

func instance(num int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("w", num)) }

func newFakeFleet[P place.Policy](pol P, instances int) *fakeFleet[P] {
	flt := &fakeFleet[P]{
		sch: place.NewScheduler(pol, 1), now: start, free: make(map[fleet.InstanceID]resource.Vector),
		running: make(map[place.TaskID]place.Offer), out: make(map[fleet.DataCentre]bool), open: make(map[place.TaskID]place.Task),
	}
	for num := range instances {
		flt.join(num)
	}
	return flt
}

func (flt *fakeFleet[P]) join(num int) {
	id := instance(num)
	if _, found := flt.free[id]; !found {
		flt.free[id] = capacity
	}
	flt.sch.Join(place.NewInstance(id, location(num), capacity, flt.free[id], "service"), flt.now)
}

func (flt *fakeFleet[P]) submit(job int, size resource.Vector, urgent bool) place.TaskID {
	flt.submitted++
	id := place.TaskID(fmt.Sprint("t", flt.submitted))
	tsk := place.NewTask(id, fmt.Sprint("job", job), fleet.Team(fmt.Sprint("team", job%3)), fleet.JobClass(fmt.Sprint("class", job%2)), size)
	if urgent {
		tsk = tsk.Urgent()
	}
	if _, accepted := flt.sch.Submit(tsk.Near(location(job)), flt.now); accepted {
		flt.open[id] = tsk
	}
	return id
}

// answerOffers answers all offers of the scheduler and checks each of them.
func (flt *fakeFleet[P]) answerOffers() {
	for off, found := flt.sch.Next(flt.now); found; off, found = flt.sch.Next(flt.now) {
		id := off.Task().ID()
		Expect(flt.running).NotTo(HaveKey(id), "task placed twice")
		Expect(flt.open).To(HaveKey(id), "offer of a task that has ended")
		left := flt.free[off.Instance()].Minus(off.Size())
		if !left.Valid() {
			flt.sch.Refused(id, flt.free[off.Instance()], "does not fit", flt.now)
			continue
		}
		var num int
		_, err := fmt.Sscanf(string(off.Instance()), "w%d", &num)
		Expect(err).NotTo(HaveOccurred())
		Expect(flt.out[location(num).DataCentre()]).To(BeFalse(), "placed in a data centre out of service")
		flt.free[off.Instance()] = left
		flt.running[id] = off
		flt.sch.Accepted(id, left)
	}
	// No task is lost: every open one is placed, queued, delayed or parked.
	Expect(flt.sch.Placed()).To(Equal(len(flt.running)))
	Expect(flt.sch.Placed() + flt.sch.Waiting() + flt.sch.Delayed() + flt.sch.ParkedTasks()).To(Equal(len(flt.open)))
}

func (flt *fakeFleet[P]) end(id place.TaskID, end place.End) {
	off := flt.running[id]
	delete(flt.running, id)
	flt.free[off.Instance()] = flt.free[off.Instance()].Plus(off.Size())
	if end == place.Finished || end == place.Cancelled {
		delete(flt.open, id)
	}
	flt.sch.Ended(id, end, resource.New(off.Size().MilliCPU()/2, off.Size().MemoryMB()/2, 0), "failed", flt.now)
}

// pick returns a running task. It depends only on num and the running tasks.
func (flt *fakeFleet[P]) pick(num int) (place.TaskID, bool) {
	ids := make([]place.TaskID, 0, len(flt.running))
	for id := range flt.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return "", false
	}
	return ids[num%len(ids)], true
}

// apply carries out one random event.
func (flt *fakeFleet[P]) apply(event int) {
	num := event / 10
	switch event % 10 {
	case 0, 1, 2, 3:
		flt.submit(num%7, resource.New(int64(100+num%40*100), int64(100+num%17*300), int64(num%11/10)), num%5 == 0)
	case 4, 5:
		if id, found := flt.pick(num); found {
			flt.end(id, [...]place.End{place.Finished, place.Failed, place.Interrupted, place.Cancelled}[num%4])
		}
	case 6:
		id := place.TaskID(fmt.Sprint("t", num%(flt.submitted+1)))
		if flt.sch.Cancel(id, flt.open[id].Job()) {
			delete(flt.open, id)
		}
	case 7:
		dc := location(num).DataCentre()
		flt.out[dc] = !flt.out[dc]
		flt.sch.SetDataCentreOut(dc, flt.out[dc], flt.now)
	case 8:
		if num%2 == 0 {
			flt.sch.Leave(instance(num % 9))
		} else {
			flt.join(num % 9)
		}
	case 9:
		flt.now = flt.now.Add(time.Duration(num%40) * time.Second)
		for _, vic := range flt.sch.Reclaim(flt.now) {
			flt.end(vic.Task(), place.Interrupted)
		}
	}
}

func checkInvariants[P place.Policy](pol P) {
	rapid.Check(GinkgoT(), func(rpt *rapid.T) {
		flt := newFakeFleet(pol, 9)
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 9_999), 1, 150).Draw(rpt, "events") {
			flt.apply(event)
			flt.answerOffers()
		}
	})
}

// Guards against overcommitment, double placement, placement in a data centre out of service,
// and lost tasks.
var _ = Describe("random events", func() {
	It("keep the invariants with the Scored policy", func() { checkInvariants(place.Scored{}) })
	It("keep the invariants with the FirstFit policy", func() { checkInvariants(place.FirstFit{}) })
})

// Guards against a Scheduler that panics when it was not made by NewScheduler.
var _ = It("works as a zero value", func() {
	var sch place.Scheduler[place.Scored]
	sch.Join(place.NewInstance("w0", location(0), capacity, capacity), start)
	sch.Submit(place.NewTask("t", "j", "team", "c", resource.New(1, 1, 0)), start)
	off, found := sch.Next(start)
	Expect(found).To(BeTrue())
	Expect(off.Instance()).To(Equal(fleet.InstanceID("w0")))
})

// Guards against a missing or wrong reason for a task that is not placed.
var _ = DescribeTable("explains why a task waits",
	func(size resource.Vector, prepare func(flt *fakeFleet[place.Scored]), want explain.Code) {
		flt := newFakeFleet(place.Scored{}, 3)
		prepare(flt)
		id := flt.submit(0, size, false)
		flt.answerOffers()
		rsns := flt.sch.Explain(string(id))
		Expect(rsns).NotTo(BeEmpty())
		Expect(rsns[len(rsns)-1].Code()).To(Equal(want), rsns[len(rsns)-1].String())
	},
	Entry("larger than every instance", resource.New(9_000, 1, 0), func(*fakeFleet[place.Scored]) {}, explain.TooLarge),
	Entry("all instances are full", resource.New(8_000, 1, 0), func(flt *fakeFleet[place.Scored]) {
		for range 3 {
			flt.submit(1, resource.New(5_000, 1, 0), false)
		}
		flt.answerOffers()
	}, explain.NoFit),
	Entry("all data centres are out of service", resource.New(1, 1, 0), func(flt *fakeFleet[place.Scored]) {
		for num := range dataCentres {
			flt.apply(num*10 + 7)
		}
	}, explain.NoInstances),
	Entry("the cost of its class is unknown and the trial limit is reached", resource.New(2_000, 1, 0), func(flt *fakeFleet[place.Scored]) {
		for range 4 {
			flt.submit(0, resource.New(1_000, 1, 0), false)
		}
		flt.answerOffers()
	}, explain.TrialLimit),
)

// Guards against a task without any reason because no attempt was made to place it.
var _ = It("explains a task whose team waits or exceeds its share", func() {
	flt := newFakeFleet(place.Scored{}, 1)
	id := flt.submit(0, resource.New(4_000, 1, 0), false)
	last := func(name fleet.Team) explain.Code {
		rsns := flt.sch.ExplainWaiting(id, name, flt.now)
		return rsns[len(rsns)-1].Code()
	}
	Expect(last("team0")).To(Equal(explain.Queued))
	flt.answerOffers()
	flt.sch.SetTeam("team1", 9)
	Expect(last("team0")).To(Equal(explain.TeamOverShare))
})

// Guards against a job that is concentrated in one rack, and against payloads that are sent to
// another region without need.
var _ = It("spreads a job over racks and stays in the region of the payload", func() {
	flt := newFakeFleet(place.Scored{}, 12)
	for range 6 {
		flt.submit(0, resource.New(50, 50, 0), false)
	}
	flt.answerOffers()
	racks := make(map[fleet.Rack]int)
	for _, off := range flt.running {
		loc := flt.sch.Instances().Find(off.Instance()).Instance().Location()
		racks[loc.Rack()]++
		Expect(loc.Region()).To(Equal(location(0).Region()))
	}
	Expect(len(racks)).To(BeNumerically(">=", 3))
})

// Guards against reserving the declared size of a class that uses another amount.
var _ = DescribeTable("learns the real size of a class",
	func(declared, used int64, low, high int64) {
		var siz place.Sizes
		for range 50 {
			siz.Observe("c", resource.New(declared, declared, 0), resource.New(used, used, 0))
		}
		est := siz.Estimate("c", resource.New(declared, declared, 0))
		Expect(est.MilliCPU()).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		Expect(siz.Estimate("unknown", resource.New(declared, declared, 0)).MilliCPU()).To(Equal(declared))
	},
	Entry("ten times too large", int64(10_000), int64(1_000), int64(1_000), int64(1_200)),
	Entry("ten times too small", int64(100), int64(1_000), int64(1_000), int64(1_200)),
)
