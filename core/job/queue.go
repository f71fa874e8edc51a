package job

import (
	"cmp"
	"slices"
)

// lanes is the queue of waiting tasks: one sorted list for each lane. The sort key of an item must not
// change while it is queued. A task that is queued again returns to its former position.
type lanes[T any] struct {
	list    []*lane[T]
	byName  map[Lane]*lane[T]
	compare func(one, two T) int
	size    int
}

type lane[T any] struct {
	name  Lane
	items []T
	// start is the position of the first item of the next pass. It moves past items that could not be
	// placed, because a pass tries only maxTries items and would never reach the later ones.
	start  int
	cursor int
}

func newLanes[T any](compare func(one, two T) int) *lanes[T] {
	return &lanes[T]{byName: make(map[Lane]*lane[T]), compare: compare}
}

// len returns the number of queued items.
func (lns *lanes[T]) len() int { return lns.size }

// push inserts an item at its sorted position in a lane.
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
	if pos < lan.start {
		lan.start = pos
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
	if pos < lan.start {
		lan.start--
	}
	lns.size--
}

// beginPass starts a pass over the queue.
func (lns *lanes[T]) beginPass() {
	for _, lan := range lns.list {
		if lan.start >= len(lan.items) {
			lan.start = 0
		}
		lan.cursor = lan.start
	}
}

// next returns the next item of the pass, taken from the least lane by the order that has items left.
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

// endPass finishes a pass. If it exhausted its tries, the next pass starts where this one ended.
func (lns *lanes[T]) endPass(exhausted bool) {
	for _, lan := range lns.list {
		lan.start = 0
		if exhausted {
			lan.start = lan.cursor
		}
	}
}
