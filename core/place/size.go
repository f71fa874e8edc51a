package place

import (
	"math"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Bounds of the learned sizes.
const (
	bucketsPerOctave = 4
	bucketCount      = 24 * bucketsPerOctave
	// minimumSamples is the number of runs before a declared size is corrected.
	minimumSamples = 4
	// forgetAt halves the histogram when it holds this many samples, so that
	// a class whose jobs change is followed.
	forgetAt = 256
	// processorQuantile is low because a shortage of processors only slows tasks down.
	processorQuantile = 0.75
	// memoryQuantile is high because a shortage of memory kills tasks.
	memoryQuantile = 0.97
	// ratioUnit scales the ratio of used to declared amounts to whole numbers.
	ratioUnit = 1024
)

// histogram counts samples in logarithmic buckets of 19% width.
type histogram struct {
	counts [bucketCount]uint16
	total  int
}

func bucketOf(val int64) int {
	if val <= 1 {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log2(float64(val))*bucketsPerOctave)))
}

// upperEdge returns the largest value of a bucket.
func upperEdge(bucket int) int64 {
	return int64(math.Exp2(float64(bucket) / bucketsPerOctave))
}

func (his *histogram) add(val int64) {
	his.counts[bucketOf(val)]++
	his.total++
	if his.total < forgetAt {
		return
	}
	his.total = 0
	for pos := range his.counts {
		his.counts[pos] /= 2
		his.total += int(his.counts[pos])
	}
}

func (his *histogram) quantileBucket(quantile float64) int {
	rank := int(math.Ceil(quantile * float64(his.total)))
	seen := 0
	for pos, count := range his.counts {
		seen += int(count)
		if seen >= rank && count > 0 {
			return pos
		}
	}
	return bucketCount - 1
}

// spread returns the distance of the outer deciles in buckets.
func (his *histogram) spread() int {
	return his.quantileBucket(0.9) - his.quantileBucket(0.1)
}

// amount learns one resource of a job class, both as an absolute amount and
// relative to the declared amount, and predicts with the one that varies less.
type amount struct {
	used  histogram
	ratio histogram
}

func (amo *amount) add(used, declared int64) {
	amo.used.add(used)
	amo.ratio.add(used * ratioUnit / max(1, declared))
}

// estimate returns the quantile raised by its standard error, or the declared
// amount while there are too few samples.
func (amo *amount) estimate(declared int64, quantile float64) int64 {
	if amo.used.total < minimumSamples {
		return declared
	}
	quantile = min(1, quantile+math.Sqrt(quantile*(1-quantile)/float64(amo.used.total)))
	if amo.ratio.spread() < amo.used.spread() {
		return max(1, declared*upperEdge(amo.ratio.quantileBucket(quantile))/ratioUnit)
	}
	return max(1, upperEdge(amo.used.quantileBucket(quantile)))
}

// Sizes learns the resources that the jobs of each class really use. The zero value works.
type Sizes struct {
	classes map[fleet.JobClass]*classSize
}

type classSize struct {
	processors amount
	memory     amount
}

// Observe records the peak usage of one run.
func (siz *Sizes) Observe(cls fleet.JobClass, declared, used resource.Vector) {
	if siz.classes == nil {
		siz.classes = make(map[fleet.JobClass]*classSize)
	}
	csz, found := siz.classes[cls]
	if !found {
		csz = new(classSize)
		siz.classes[cls] = csz
	}
	csz.processors.add(used.MilliCPU(), declared.MilliCPU())
	csz.memory.add(used.MemoryMB(), declared.MemoryMB())
}

// Samples returns the number of runs that the estimate of a class rests on.
func (siz *Sizes) Samples(cls fleet.JobClass) int {
	csz, found := siz.classes[cls]
	if !found {
		return 0
	}
	return csz.memory.used.total
}

// Estimate returns the amounts to reserve for a task. Accelerators are whole
// devices that a task cannot exceed, so the declared number holds.
func (siz *Sizes) Estimate(cls fleet.JobClass, declared resource.Vector) resource.Vector {
	csz, found := siz.classes[cls]
	if !found {
		return declared
	}
	return resource.New(
		csz.processors.estimate(declared.MilliCPU(), processorQuantile),
		csz.memory.estimate(declared.MemoryMB(), memoryQuantile),
		declared.Accelerators(),
	)
}
