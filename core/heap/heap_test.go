package heap_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/heap"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestHeap(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "heap")
}

type number int

func (num number) Before(oth number) bool { return num < oth }

// Guards against items that are lost or popped in the wrong order after updates and removals by
// handle.
var _ = It("pops all values in order after random pushes, updates and removals", func() {
	rapid.Check(GinkgoT(), func(rpt *rapid.T) {
		var hea heap.Heap[number]
		var items []*heap.Item[number]
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 999), 0, 200).Draw(rpt, "operations") {
			switch {
			case op%4 == 3 && len(items) > 0:
				pos := op % len(items)
				hea.Update(items[pos], number(op))
			case op%4 == 2 && len(items) > 0:
				pos := op % len(items)
				Expect(hea.Remove(items[pos])).To(BeTrue())
				Expect(hea.Remove(items[pos])).To(BeFalse(), "a second removal must do nothing")
				items = slices.Delete(items, pos, pos+1)
			default:
				items = append(items, hea.Push(number(op)))
			}
		}
		var want, got []number
		for _, itm := range items {
			want = append(want, itm.Value())
		}
		slices.Sort(want)
		for val, found := hea.Pop(); found; val, found = hea.Pop() {
			got = append(got, val)
		}
		Expect(got).To(Equal(want))
	})
})
