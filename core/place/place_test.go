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
	start = time.Unix(1_000, 0)
	room  = resource.New(8_000, 8_000, 1)
)

const centres = 3

// world is the truth about the instances, which answer the offers of a scheduler.
type world[P place.Policy] struct {
	sch     *place.Scheduler[P]
	now     time.Time
	free    map[fleet.InstanceID]resource.Vector
	running map[place.TaskID]place.Offer
	out     map[fleet.DataCentre]bool
	open    map[place.TaskID]place.Task
	serial  int
}

func location(num int) fleet.Location {
	dc := num % centres
	return fleet.NewLocation(fleet.Region(fmt.Sprint("region", dc/2)), fleet.DataCentre(fmt.Sprint("dc", dc)), fleet.Rack(fmt.Sprint("rack", num%6)))
}

func instance(num int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("w", num)) }

func newWorld[P place.Policy](pol P, instances int) *world[P] {
	wld := &world[P]{
		sch: place.NewScheduler(pol, 1), now: start, free: make(map[fleet.InstanceID]resource.Vector),
		running: make(map[place.TaskID]place.Offer), out: make(map[fleet.DataCentre]bool), open: make(map[place.TaskID]place.Task),
	}
	for num := range instances {
		wld.join(num)
	}
	return wld
}

func (wld *world[P]) join(num int) {
	id := instance(num)
	if _, found := wld.free[id]; !found {
		wld.free[id] = room
	}
	wld.sch.Join(place.NewInstance(id, location(num), room, wld.free[id], "service"), wld.now)
}

func (wld *world[P]) submit(job int, size resource.Vector, urgent bool) place.TaskID {
	wld.serial++
	id := place.TaskID(fmt.Sprint("t", wld.serial))
	tsk := place.NewTask(id, fmt.Sprint("job", job), fleet.Team(fmt.Sprint("team", job%3)), fleet.JobClass(fmt.Sprint("class", job%2)), size)
	if urgent {
		tsk = tsk.Urgent()
	}
	if _, accepted := wld.sch.Submit(tsk.Near(location(job)), wld.now); accepted {
		wld.open[id] = tsk
	}
	return id
}

// settle sends all offers and answers them by the truth, and checks each offer.
func (wld *world[P]) settle() {
	for off, found := wld.sch.Next(wld.now); found; off, found = wld.sch.Next(wld.now) {
		id := off.Task().ID()
		Expect(wld.running).NotTo(HaveKey(id), "task in two places")
		Expect(wld.open).To(HaveKey(id), "a task that has ended")
		left := wld.free[off.Instance()].Minus(off.Size())
		if !left.Valid() {
			wld.sch.Refused(id, wld.free[off.Instance()], "does not fit", wld.now)
			continue
		}
		var num int
		_, err := fmt.Sscanf(string(off.Instance()), "w%d", &num)
		Expect(err).NotTo(HaveOccurred())
		Expect(wld.out[location(num).DataCentre()]).To(BeFalse(), "placed in a data centre that is out")
		wld.free[off.Instance()] = left
		wld.running[id] = off
		wld.sch.Accepted(id, left)
	}
	// Nothing lost: every open task is placed, queued, delayed or parked.
	Expect(wld.sch.Placed()).To(Equal(len(wld.running)))
	Expect(wld.sch.Placed() + wld.sch.Waiting() + wld.sch.Delayed() + wld.sch.ParkedTasks()).To(Equal(len(wld.open)))
}

func (wld *world[P]) end(id place.TaskID, end place.End) {
	off := wld.running[id]
	delete(wld.running, id)
	wld.free[off.Instance()] = wld.free[off.Instance()].Plus(off.Size())
	if end == place.Finished || end == place.Cancelled {
		delete(wld.open, id)
	}
	wld.sch.Ended(id, end, resource.New(off.Size().MilliCPU()/2, off.Size().MemoryMB()/2, 0), "failed", wld.now)
}

// pick returns a running task, the same for the same number.
func (wld *world[P]) pick(num int) (place.TaskID, bool) {
	ids := make([]place.TaskID, 0, len(wld.running))
	for id := range wld.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return "", false
	}
	return ids[num%len(ids)], true
}

// apply carries out one random event.
func (wld *world[P]) apply(event int) {
	num := event / 10
	switch event % 10 {
	case 0, 1, 2, 3:
		wld.submit(num%7, resource.New(int64(100+num%40*100), int64(100+num%17*300), int64(num%11/10)), num%5 == 0)
	case 4, 5:
		if id, found := wld.pick(num); found {
			wld.end(id, [...]place.End{place.Finished, place.Failed, place.Interrupted, place.Cancelled}[num%4])
		}
	case 6:
		id := place.TaskID(fmt.Sprint("t", num%(wld.serial+1)))
		if wld.sch.Cancel(id, wld.open[id].Job()) {
			delete(wld.open, id)
		}
	case 7:
		dc := location(num).DataCentre()
		wld.out[dc] = !wld.out[dc]
		wld.sch.SetDataCentreOut(dc, wld.out[dc], wld.now)
	case 8:
		if num%2 == 0 {
			wld.sch.Leave(instance(num % 9))
		} else {
			wld.join(num % 9)
		}
	case 9:
		wld.now = wld.now.Add(time.Duration(num%40) * time.Second)
		for _, vic := range wld.sch.Reclaim(wld.now) {
			wld.end(vic.Task(), place.Interrupted)
		}
	}
}

func checkInvariants[P place.Policy](pol P) {
	rapid.Check(GinkgoT(), func(rpt *rapid.T) {
		wld := newWorld(pol, 9)
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 9_999), 1, 150).Draw(rpt, "events") {
			wld.apply(event)
			wld.settle()
		}
	})
}

// Guards against overcommitment, double placement, placement in a data centre that is out, and lost tasks.
var _ = Describe("any events", func() {
	It("keep the invariants with the product's policy", func() { checkInvariants(place.Scored{}) })
	It("keep the invariants with a baseline", func() { checkInvariants(place.FirstFit{}) })
})

// Guards against a scheduler that must be constructed.
var _ = It("works as a zero value", func() {
	var sch place.Scheduler[place.Scored]
	sch.Join(place.NewInstance("w0", location(0), room, room), start)
	sch.Submit(place.NewTask("t", "j", "team", "c", resource.New(1, 1, 0)), start)
	off, found := sch.Next(start)
	Expect(found).To(BeTrue())
	Expect(off.Instance()).To(Equal(fleet.InstanceID("w0")))
})

// Guards against refusals that don't say why a task waits.
var _ = DescribeTable("explains why a task waits",
	func(size resource.Vector, prepare func(wld *world[place.Scored]), want explain.Code) {
		wld := newWorld(place.Scored{}, 3)
		prepare(wld)
		id := wld.submit(0, size, false)
		wld.settle()
		rsns := wld.sch.Explain(string(id))
		Expect(rsns).NotTo(BeEmpty())
		Expect(rsns[len(rsns)-1].Code()).To(Equal(want), rsns[len(rsns)-1].String())
	},
	Entry("larger than every instance", resource.New(9_000, 1, 0), func(*world[place.Scored]) {}, explain.TooLarge),
	Entry("all instances are full", resource.New(8_000, 1, 0), func(wld *world[place.Scored]) {
		for range 3 {
			wld.submit(1, resource.New(5_000, 1, 0), false)
		}
		wld.settle()
	}, explain.NoFit),
	Entry("all data centres are out", resource.New(1, 1, 0), func(wld *world[place.Scored]) {
		for num := range centres {
			wld.apply(num*10 + 7)
		}
	}, explain.NoInstances),
	Entry("its class is unproven and others try it", resource.New(2_000, 1, 0), func(wld *world[place.Scored]) {
		for range 4 {
			wld.submit(0, resource.New(1_000, 1, 0), false)
		}
		wld.settle()
	}, explain.TrialLimit),
)

// Guards against a task that waits without any reason because it was never tried.
var _ = It("explains a task whose team waits or exceeds its share", func() {
	wld := newWorld(place.Scored{}, 1)
	id := wld.submit(0, resource.New(4_000, 1, 0), false)
	last := func(name fleet.Team) explain.Code {
		rsns := wld.sch.ExplainWaiting(id, name, wld.now)
		return rsns[len(rsns)-1].Code()
	}
	Expect(last("team0")).To(Equal(explain.Queued))
	wld.settle()
	wld.sch.SetTeam("team1", 9)
	Expect(last("team0")).To(Equal(explain.TeamOverShare))
})

// Guards against a job that is concentrated in one rack, and against payloads sent to another region without need.
var _ = It("spreads a job over racks and stays in the region of the payload", func() {
	wld := newWorld(place.Scored{}, 12)
	for range 6 {
		wld.submit(0, resource.New(50, 50, 0), false)
	}
	wld.settle()
	racks := make(map[fleet.Rack]int)
	for _, off := range wld.running {
		loc := wld.sch.Instances().Find(off.Instance()).Instance().Location()
		racks[loc.Rack()]++
		Expect(loc.Region()).To(Equal(location(0).Region()))
	}
	Expect(len(racks)).To(BeNumerically(">=", 3))
})

// Guards against declared sizes that are believed although the class uses something else.
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
