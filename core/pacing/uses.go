package pacing

import (
	"cmp"
	"slices"
)

// Use is the part of a worker's processors that the tasks of a filling image use.
type Use struct {
	image    string
	fraction float64
}

// NewUse returns the use of a filling image.
func NewUse(image string, part float64) Use { return Use{image: image, fraction: part} }

// Uses are the uses of the filling images on a worker, in the order of the images, so that
// sums over them repeat to the last bit and equal ratings stay equal.
type Uses []Use

// With returns the uses with a part more of an image, or less if it is negative.
func (uss Uses) With(image string, part float64) Uses {
	pos, found := slices.BinarySearchFunc(uss, image, func(use Use, img string) int { return cmp.Compare(use.image, img) })
	if !found {
		return slices.Insert(slices.Clone(uss), pos, NewUse(image, part))
	}
	out := slices.Clone(uss)
	out[pos].fraction += part
	return out
}

// uses adds up the uses of the filling tasks that work.
func (smp Sample) uses() Uses {
	var uss Uses
	for _, fil := range smp.Filling {
		if fil.Used > 0 {
			uss = uss.With(fil.Image, fil.Used)
		}
	}
	return uss
}
