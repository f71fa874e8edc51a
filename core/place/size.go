package place

import (
	"math"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Bounds of the learned sizes.
const (
	// bucketsPerOctave makes buckets of 4% width. With four, of 19%, the memory
	// reserved for a class near an edge changed by 19% back and forth.
	bucketsPerOctave = 16
	bucketCount      = 24 * bucketsPerOctave
	// minimumSamples is the number of runs before a declared size is corrected.
	minimumSamples = 4
	// forgetAt halves the histogram when it holds this many samples, so that
	// a class whose jobs change is followed.
	halvingSamples = 256
	// processorQuantile is low because a shortage of processors only slows tasks down.
	processorQuantile = 0.75
	// memoryQuantile is high because a shortage of memory kills tasks. With its
	// standard error it is the highest use of up to 32 runs. The highest of 256
	// cost 12% of the work in trials of core/scenario and missed the bound of the
	// work during an outage; a task that needs more gets it from its agent and
	// keeps it in its next attempts.
	memoryQuantile = 0.97
	// memoryMargin, divided by the root of the number of runs, is added to the
	// memory: few runs say little about the next one.
	memoryMargin = 0.25
	// changeBuckets is the distance from everything seen, of 41%, from which a run
	// counts as strange. After minimumSamples strange runs in a row the class has
	// changed, and the runs before are forgotten.
	outlierBuckets = bucketsPerOctave / 2
	// settledSamples is the number of runs from which runs can be strange.
	outlierMinimumSamples = 8
	// ratioUnit scales the ratio of used to declared amounts to whole numbers.
	ratioUnit = 1024
)

// histogram counts samples in logarithmic buckets of 4% width.
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
	if his.total < halvingSamples {
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

// top returns the highest bucket in use, and whether there is one.
func (his *histogram) top() (int, bool) {
	for pos := bucketCount - 1; pos >= 0; pos-- {
		if his.counts[pos] > 0 {
			return pos, true
		}
	}
	return 0, false
}

// strange reports whether a value is far from everything seen.
func (his *histogram) isOutlier(val int64) bool {
	high, any := his.top()
	if !any || his.total < outlierMinimumSamples {
		return false
	}
	low := his.quantileBucket(0)
	bucket := bucketOf(val)
	return bucket > high+outlierBuckets || bucket < low-outlierBuckets
}

// sample is the use of one run.
type sample struct {
	used     int64
	declared int64
}

func (smp sample) ratio() int64 { return smp.used * ratioUnit / max(1, smp.declared) }

// amount learns one resource of a job class, both as an absolute amount and
// relative to the declared amount, and predicts with the one that varies less.
type estimator struct {
	used     histogram
	ratio    histogram
	outliers []sample // the latest runs, if all of them are strange
}

// observe adds a run whose use is known.
func (est *estimator) observe(smp sample) {
	if smp.used > 0 {
		est.add(smp)
	}
}

func (est *estimator) add(smp sample) {
	outlier := est.used.isOutlier(smp.used) && est.ratio.isOutlier(smp.ratio())
	if outlier {
		est.outliers = append(est.outliers, smp)
		if len(est.outliers) < minimumSamples {
			return
		}
		est.used, est.ratio = histogram{}, histogram{}
	}
	for _, old := range est.outliers {
		est.addToHistograms(old)
	}
	est.outliers = nil
	if !outlier {
		est.addToHistograms(smp)
	}
}

func (est *estimator) addToHistograms(smp sample) {
	est.used.add(smp.used)
	est.ratio.add(smp.ratio())
}

// estimate returns the quantile raised by its standard error, or the declared
// amount while there are too few samples. The margin is added to it.
func (est *estimator) estimate(declared int64, quantile, margin float64) int64 {
	if est.used.total < minimumSamples {
		return declared
	}
	quantile = min(1, quantile+math.Sqrt(quantile*(1-quantile)/float64(est.used.total)))
	size := upperEdge(est.used.quantileBucket(quantile))
	if est.ratio.spread() < est.used.spread() {
		size = declared * upperEdge(est.ratio.quantileBucket(quantile)) / ratioUnit
	}
	return max(1, est.withMargin(size, declared, margin))
}

// within adds the margin. Neither the margin nor the width of a bucket raises
// the size of a class above the declared one that has never used more than declared.
func (est *estimator) withMargin(size, declared int64, margin float64) int64 {
	raised := int64(float64(size) * (1 + margin/math.Sqrt(float64(est.used.total))))
	top, _ := est.ratio.top()
	if top <= bucketOf(ratioUnit) && float64(size)*math.Exp2(-1.0/bucketsPerOctave) <= float64(declared) {
		return min(raised, declared)
	}
	return raised
}

// peak returns the highest use among strange runs, which the histograms don't hold yet.
func (est *estimator) peak() int64 {
	peak := int64(0)
	for _, smp := range est.outliers {
		peak = max(peak, smp.used)
	}
	return peak
}

// Sizes learns the resources that the jobs of each class really use. The zero value works.
type Sizes struct {
	classes map[fleet.JobClass]*classSize
}

type classSize struct {
	processors estimator
	memory     estimator
}

// Observe records the peak usage of one run. An amount of zero is one that the
// agent does not know, such as the processors of a task that was throttled all the
// time: learned as a use, it packs an instance with tasks of the class.
func (siz *Sizes) Observe(cls fleet.JobClass, declared, used resource.Vector) {
	if siz.classes == nil {
		siz.classes = make(map[fleet.JobClass]*classSize)
	}
	csz, found := siz.classes[cls]
	if !found {
		csz = new(classSize)
		siz.classes[cls] = csz
	}
	csz.processors.observe(sample{used: used.MilliCPU(), declared: declared.MilliCPU()})
	csz.memory.observe(sample{used: used.MemoryMB(), declared: declared.MemoryMB()})
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
		csz.processors.estimate(declared.MilliCPU(), processorQuantile, 0),
		max(csz.memory.estimate(declared.MemoryMB(), memoryQuantile, memoryMargin), csz.memory.peak()),
		declared.Accelerators(),
	)
}
