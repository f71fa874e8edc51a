package place

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// RampPeriod is the time in which a data centre that returns goes from no
// offers to its full part. Its workers start cold and would otherwise get every waiting task at once.
const RampPeriod = 30 * time.Second

// InstanceView is the scheduler's view of one instance. Its amounts are hints: the
// agent on the instance decides.
//
// A placement reads several random instances, and of a large fleet few are in the
// cache. The fields that the choice reads come first, so that they share cache lines.
type InstanceView struct {
	reported    resource.Vector
	pending     resource.Vector
	classes     []classUse // sorted by class
	site        *site
	services    *serviceSet
	interfering int32 // tasks that alone exceed what the services bear
	rack        int32
	instance    Instance
	leaf        int
	tasks       int
	placed      []*placement // accepted, in no order
	claim       claim
	visit       uint64 // of the latest search for tasks to stop
	drained     string
	barred      bool
	trial       bool
}

// Instance returns the description of the instance.
func (viw *InstanceView) Instance() Instance { return viw.instance }

// Free returns the free amounts after the offers in flight.
func (viw *InstanceView) Free() resource.Vector { return viw.reported.Minus(viw.pending) }

// Tasks returns the number of tasks offered to or running on the instance.
func (viw *InstanceView) Tasks() int { return viw.tasks }

// Trial reports whether the instance is on probation.
func (viw *InstanceView) OnProbation() bool { return viw.trial }

// available returns the amounts that may be offered now.
func (viw *InstanceView) available() resource.Vector {
	if viw.drained != "" || viw.barred || (viw.trial && viw.tasks > 0) {
		return closed
	}
	return viw.Free()
}

// classUse is the processors reserved by the tasks of one class on an instance.
type classUse struct {
	row      *classRow
	milliCPU int64
}

func (viw *InstanceView) use(row *classRow, change int64) {
	pos := slices.IndexFunc(viw.classes, func(cus classUse) bool { return cus.row == row })
	if pos < 0 {
		pos, _ = slices.BinarySearchFunc(viw.classes, row.class, func(cus classUse, key fleet.JobClass) int {
			return strings.Compare(string(cus.row.class), string(key))
		})
		viw.classes = slices.Insert(viw.classes, pos, classUse{row: row})
	}
	if viw.classes[pos].milliCPU += change; viw.classes[pos].milliCPU <= 0 {
		viw.classes = slices.Delete(viw.classes, pos, pos+1)
	}
}

// serviceSet is the services that run together on instances. Instances with the
// same services share it, so that the pairings stay in the cache.
type serviceSet struct {
	names []fleet.Service
	rows  map[fleet.JobClass]*classRow
}

// classRow is the pairings of a class with the services of a set, in their order.
type classRow struct {
	class    fleet.JobClass
	pairings []*interfere.Pairing
}

func (set *serviceSet) row(cls fleet.JobClass, prs *interfere.Pairings) *classRow {
	row, found := set.rows[cls]
	if !found {
		row = &classRow{class: cls}
		for _, svc := range set.names {
			row.pairings = append(row.pairings, prs.Find(svc, cls))
		}
		set.rows[cls] = row
	}
	return row
}

// site holds the instances of one data centre.
type site struct {
	location fleet.Location
	index    int32
	free     tree
	views    []*InstanceView
	vacant   []int
	count    int
	capacity resource.Vector // of all instances
	out      bool
	returned time.Time
}

// open reports whether the site takes an offer at this time. During the ramp a
// growing fraction of the offers is allowed.
func (sit *site) open(now time.Time, rnd *rand.Rand) bool {
	if sit.out || sit.count == 0 {
		return false
	}
	if sit.returned.IsZero() {
		return true
	}
	elapsed := now.Sub(sit.returned)
	if elapsed >= RampPeriod {
		sit.returned = time.Time{}
		return true
	}
	return rnd.Int64N(int64(RampPeriod)) < int64(elapsed)
}

func (sit *site) refresh(viw *InstanceView) { sit.free.set(viw.leaf, viw.available()) }

// Instances is the table of instances, searchable by free amounts. The zero value is empty.
type Instances struct {
	sites []*site
	sets  []*serviceSet
	byID  map[fleet.InstanceID]*InstanceView
	racks map[fleet.Location]int32
	// claimed tells that some instance may be kept for a task, so that the common
	// search does not read the claims.
	claimed bool
}

// Len returns the number of instances.
func (all *Instances) Len() int { return len(all.byID) }

// Find returns the view of an instance, nil when it is unknown.
func (all *Instances) Find(id fleet.InstanceID) *InstanceView { return all.byID[id] }

// Open returns the number of instances outside data centres that are out.
func (all *Instances) InService() int {
	count := 0
	for _, sit := range all.sites {
		if !sit.out {
			count += sit.count
		}
	}
	return count
}

// Largest returns the largest free amount of each resource over all open sites.
func (all *Instances) Largest() resource.Vector {
	largest := closed
	for _, sit := range all.sites {
		if !sit.out {
			largest = largest.Max(sit.free.largest())
		}
	}
	return largest.Max(resource.Vector{})
}

// total returns the amounts of the open sites, which the shares divide.
func (all *Instances) total() resource.Vector {
	sum := resource.Vector{}
	for _, sit := range all.sites {
		if !sit.out {
			sum = sum.Plus(sit.capacity)
		}
	}
	return sum
}

func (all *Instances) join(ins Instance) *InstanceView {
	if all.byID == nil {
		all.byID = make(map[fleet.InstanceID]*InstanceView)
		all.racks = make(map[fleet.Location]int32)
	}
	all.leave(ins.id)
	sit := all.siteOf(ins.location)
	rck, found := all.racks[ins.location]
	if !found {
		rck = int32(len(all.racks))
		all.racks[ins.location] = rck
	}
	set := all.servicesOf(ins.services)
	ins.services = set.names
	viw := &InstanceView{instance: ins, reported: ins.free, site: sit, services: set, rack: rck, leaf: len(sit.views)}
	if last := len(sit.vacant) - 1; last >= 0 {
		viw.leaf, sit.vacant = sit.vacant[last], sit.vacant[:last]
		sit.views[viw.leaf] = viw
	} else {
		sit.views = append(sit.views, viw)
	}
	sit.count++
	sit.capacity = sit.capacity.Plus(ins.capacity)
	all.byID[ins.id] = viw
	sit.refresh(viw)
	return viw
}

func (all *Instances) leave(id fleet.InstanceID) *InstanceView {
	viw, found := all.byID[id]
	if !found {
		return nil
	}
	delete(all.byID, id)
	viw.site.free.set(viw.leaf, closed)
	viw.site.views[viw.leaf] = nil
	viw.site.vacant = append(viw.site.vacant, viw.leaf)
	viw.site.count--
	viw.site.capacity = viw.site.capacity.Minus(viw.instance.capacity)
	return viw
}

// servicesOf returns the set of the given services, which must not be changed.
func (all *Instances) servicesOf(svcs []fleet.Service) *serviceSet {
	for _, set := range all.sets {
		if slices.Equal(set.names, svcs) {
			return set
		}
	}
	set := &serviceSet{names: svcs, rows: make(map[fleet.JobClass]*classRow)}
	all.sets = append(all.sets, set)
	return set
}

// siteOf returns the site of a location. Sites stay sorted by name, so the
// order of joining does not matter to later decisions.
func (all *Instances) siteOf(loc fleet.Location) *site {
	pos, found := slices.BinarySearchFunc(all.sites, loc.DataCentre(), func(sit *site, name fleet.DataCentre) int {
		return strings.Compare(string(sit.location.DataCentre()), string(name))
	})
	if found {
		return all.sites[pos]
	}
	sit := &site{location: loc, index: int32(len(all.sites))}
	all.sites = slices.Insert(all.sites, pos, sit)
	return sit
}

func (all *Instances) setOut(name fleet.DataCentre, out bool, now time.Time) {
	sit := all.siteOf(fleet.NewLocation("", name, ""))
	if sit.out && !out {
		sit.returned = now
	}
	sit.out = out
}

// Candidates offers the fitting instances of one placement to a policy.
type Candidates struct {
	instances *Instances
	need      resource.Vector
	open      []*site
	rnd       *rand.Rand
	sum       int
	task      TaskID
	now       time.Time
	// accept limits the instances further, nil accepts all that fit.
	accept func(id fleet.InstanceID) bool
}

func (can *Candidates) reset(all *Instances, id TaskID, need resource.Vector, now time.Time, rnd *rand.Rand) {
	can.instances, can.need, can.rnd, can.sum, can.task, can.now = all, need, rnd, 0, id, now
	can.open = can.open[:0]
	for _, sit := range all.sites {
		if sit.open(now, rnd) && need.FitsIn(sit.free.largest()) {
			can.open = append(can.open, sit)
			can.sum += sit.count
		}
	}
}

// Need returns the amounts to be placed.
func (can *Candidates) Need() resource.Vector { return can.need }

// First returns the first fitting instance in the order of data centre and arrival.
func (can *Candidates) First() *InstanceView {
	for _, sit := range can.open {
		if viw := can.cyclic(sit, 0); viw != nil {
			return viw
		}
	}
	return nil
}

// cyclic returns the first fitting and accepted instance of a site at or after
// a leaf, continuing at the first leaf. It looks at each fitting instance once.
func (can *Candidates) cyclic(sit *site, start int) *InstanceView {
	leaf := sit.free.cyclic(can.need, start)
	for range sit.count {
		if leaf < 0 {
			return nil
		}
		if viw := sit.views[leaf]; (!can.instances.claimed || viw.claim.admits(can.task, can.now)) && (can.accept == nil || can.accept(viw.instance.id)) {
			return viw
		}
		leaf = sit.free.cyclic(can.need, leaf+1)
	}
	return nil
}

// Sample returns a random fitting instance, nil when there is none. Instances
// after a run of full ones are slightly more likely than others.
func (can *Candidates) Sample() *InstanceView { return can.sampleFrom(can.pick(can.sum, "")) }

// SampleIn returns a random fitting instance of a region if it has an open
// site, and of any region otherwise.
func (can *Candidates) SampleIn(reg fleet.Region) *InstanceView {
	sum := 0
	for _, sit := range can.open {
		if sit.location.Region() == reg {
			sum += sit.count
		}
	}
	if sum == 0 {
		return can.Sample()
	}
	return can.sampleFrom(can.pick(sum, reg))
}

// pick returns the position of a random open site, weighted by its instances.
func (can *Candidates) pick(sum int, reg fleet.Region) int {
	if sum == 0 {
		return 0
	}
	ticket := can.rnd.IntN(sum)
	for pos, sit := range can.open {
		if reg != "" && sit.location.Region() != reg {
			continue
		}
		if ticket -= sit.count; ticket < 0 {
			return pos
		}
	}
	return 0
}

func (can *Candidates) sampleFrom(start int) *InstanceView {
	for step := range can.open {
		sit := can.open[(start+step)%len(can.open)]
		if viw := can.cyclic(sit, can.rnd.IntN(len(sit.views))); viw != nil {
			return viw
		}
	}
	return nil
}
