package pacing

import (
	"cmp"
	"slices"
)

// Use is the fraction of a worker's processors that the tasks of a best-effort image use.
type Use struct {
	image    string
	fraction float64
}

// NewUse returns the use of a best-effort image as a fraction of the worker's processors.
func NewUse(image string, fraction float64) Use { return Use{image: image, fraction: fraction} }

// Uses holds the uses of the best-effort images on a worker, sorted by image. The fixed order makes
// floating-point sums over them reproducible, so that workers with equal uses are rated equal.
type Uses []Use

// With returns a copy in which fraction, which may be negative, is added to the use of an image.
func (uss Uses) With(image string, fraction float64) Uses {
	pos, found := slices.BinarySearchFunc(uss, image, func(use Use, img string) int { return cmp.Compare(use.image, img) })
	if !found {
		return slices.Insert(slices.Clone(uss), pos, NewUse(image, fraction))
	}
	out := slices.Clone(uss)
	out[pos].fraction += fraction
	return out
}

// uses returns the total use of each best-effort image.
func (smp Sample) uses() Uses {
	var uss Uses
	for _, tsk := range smp.BestEffort {
		if tsk.Used > 0 {
			uss = uss.With(tsk.Image, tsk.Used)
		}
	}
	return uss
}
