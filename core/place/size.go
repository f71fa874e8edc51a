package place

import (
	"math"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// Bounds of the learned sizes.
const (
	// bucketsPerOctave makes buckets 4% wide. With four buckets per octave, which are 19% wide,
	// the memory reserved for a class near an edge alternated between values 19% apart.
	bucketsPerOctave = 16
	bucketCount      = 24 * bucketsPerOctave
	// minimumSamples is the number of runs from which the learned size replaces the declared one.
	minimumSamples = 4
	// halvingSamples is the number of samples at which all counts of a histogram are halved, so
	// that the estimate follows changes of the class.
	halvingSamples = 256
	// processorQuantile is low because a shortage of processors only slows tasks down.
	processorQuantile = 0.75
	// memoryQuantile is high because tasks are killed when memory runs out. Raised by its standard
	// error, it is the highest use of up to 32 runs. The highest of 256 runs cost 12% of the work
	// in core/scenario and missed the bound for the work during an outage. A task that needs more
	// gets it from its agent and keeps it in its next attempts.
	memoryQuantile = 0.97
	// memoryMargin, divided by the square root of the number of runs, is the fraction added to
	// the memory, because few runs predict the next one badly.
	memoryMargin = 0.25
	// outlierBuckets is the distance from all earlier runs, of 41%, beyond which a run is an
	// outlier. After minimumSamples outliers in a row the class is taken to have changed, and the
	// earlier runs are dropped.
	outlierBuckets = bucketsPerOctave / 2
	// outlierMinimumSamples is the number of runs from which a run can be an outlier.
	outlierMinimumSamples = 8
	// ratioUnit is the scale of the integer ratio of used to declared amounts.
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

// spread returns the distance between the 10th and the 90th percentile in buckets.
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

// isOutlier reports whether a value is far from all counted ones.
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

// estimator learns the use of one resource by a job class, both absolute and relative to the
// declared amount. It predicts with the one that varies less.
type estimator struct {
	used     histogram
	ratio    histogram
	outliers []sample // the latest runs, as long as all of them are outliers
}

// observe adds a run unless its use is unknown.
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

// estimate returns the quantile raised by its standard error and the margin, or the declared
// amount while there are too few samples.
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

// withMargin adds the margin to a size. If the class has never used more than declared, neither the
// margin nor the width of a bucket raises the size above the declared one.
func (est *estimator) withMargin(size, declared int64, margin float64) int64 {
	raised := int64(float64(size) * (1 + margin/math.Sqrt(float64(est.used.total))))
	top, _ := est.ratio.top()
	if top <= bucketOf(ratioUnit) && float64(size)*math.Exp2(-1.0/bucketsPerOctave) <= float64(declared) {
		return min(raised, declared)
	}
	return raised
}

// peak returns the highest use among the outliers, which are not in the histograms yet.
func (est *estimator) peak() int64 {
	peak := int64(0)
	for _, smp := range est.outliers {
		peak = max(peak, smp.used)
	}
	return peak
}

// Sizes learns the amounts that the tasks of each class use. The zero value is ready for use.
type Sizes struct {
	classes map[fleet.JobClass]*classSize
}

type classSize struct {
	processors estimator
	memory     estimator
}

// Observe records the peak usage of one run. An amount of zero is unknown to the agent, such as
// the processors of a task that was throttled all the time, and is ignored: as a use of zero it
// would lead to too many tasks of the class on one instance.
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

// Samples returns the number of runs from which the memory of a class is estimated.
func (siz *Sizes) Samples(cls fleet.JobClass) int {
	csz, found := siz.classes[cls]
	if !found {
		return 0
	}
	return csz.memory.used.total
}

// Estimate returns the amounts to reserve for a task of a class. Accelerators are whole devices
// of which a task can't use more than declared, so their declared number is returned.
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
