package job

import (
	"cmp"
	"slices"
)

// lanes is the queue of waiting tasks: one sorted list for each lane. The order
// of an item must not change while it is queued, so a task that returns to the
// queue has its former place.
type lanes[T any] struct {
	list    []*lane[T]
	byName  map[Lane]*lane[T]
	compare func(one, two T) int
	size    int
}

type lane[T any] struct {
	name  Lane
	items []T
	// from is where the next pass starts. It moves past items that could not be
	// placed, so that later ones get their turn within the bounded tries of a pass.
	from   int
	cursor int
}

func newLanes[T any](compare func(one, two T) int) *lanes[T] {
	return &lanes[T]{byName: make(map[Lane]*lane[T]), compare: compare}
}

// len returns the number of queued items.
func (lns *lanes[T]) len() int { return lns.size }

// push adds an item to a lane.
func (lns *lanes[T]) push(name Lane, item T) {
	lan := lns.byName[name]
	if lan == nil {
		lan = &lane[T]{name: name}
		lns.byName[name] = lan
		pos, _ := slices.BinarySearchFunc(lns.list, name, func(oth *lane[T], nam Lane) int { return cmp.Compare(oth.name, nam) })
		lns.list = slices.Insert(lns.list, pos, lan)
	}
	pos, found := slices.BinarySearchFunc(lan.items, item, lns.compare)
	if found {
		panic("job: task is queued twice")
	}
	lan.items = slices.Insert(lan.items, pos, item)
	if pos < lan.from {
		lan.from = pos
	}
	lns.size++
}

// remove takes an item out of its lane.
func (lns *lanes[T]) remove(name Lane, item T) {
	lan := lns.byName[name]
	if lan == nil {
		panic("job: lane of a queued task is missing")
	}
	pos, found := slices.BinarySearchFunc(lan.items, item, lns.compare)
	if !found {
		panic("job: queued task is not in its lane")
	}
	lan.items = slices.Delete(lan.items, pos, pos+1)
	if pos < lan.cursor {
		lan.cursor--
	}
	if pos < lan.from {
		lan.from--
	}
	lns.size--
}

// begin starts a pass over the queue.
func (lns *lanes[T]) begin() {
	for _, lan := range lns.list {
		if lan.from >= len(lan.items) {
			lan.from = 0
		}
		lan.cursor = lan.from
	}
}

// next returns the next item of the pass from the lane that the order puts first.
func (lns *lanes[T]) next(order func(one, two Lane) int) (T, bool) {
	var best *lane[T]
	for _, lan := range lns.list {
		if lan.cursor < len(lan.items) && (best == nil || order(lan.name, best.name) < 0) {
			best = lan
		}
	}
	if best == nil {
		var zero T
		return zero, false
	}
	item := best.items[best.cursor]
	best.cursor++
	return item, true
}

// end finishes a pass. A pass that ran out of tries goes on from there next time.
func (lns *lanes[T]) end(exhausted bool) {
	for _, lan := range lns.list {
		lan.from = 0
		if exhausted {
			lan.from = lan.cursor
		}
	}
}
