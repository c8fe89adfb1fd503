package distribution

import "math"

const (
	// bucketsPerOctave is the number of buckets between a value and its double. Four
	// tell 1.0 from 1.25, which is less than servers of one service differ by.
	bucketsPerOctave = 4
	// lowestExponent and octaves give the range: 2^-11 to 2^6. In seconds, these are
	// 0.5 ms and 64 s; values beyond count at the ends.
	lowestExponent = -11
	octaves        = 17
	buckets        = octaves * bucketsPerOctave
	// agingCount is the number of samples at which all weights are halved. A tail of 1
	// in 100 is then still known by five samples and more.
	agingCount = 1024
	// refreshInterval is the number of samples after which the tables are computed
	// anew.
	refreshInterval = 32
	// minSamples is the number of samples from which the distribution is known.
	minSamples = 32
)

// Distribution is a histogram of positive values with logarithmic buckets that
// forgets old samples. The zero value has no samples.
//
// A Distribution is not safe for concurrent use.
type Distribution struct {
	counts    [buckets]float32
	count     float64
	sum       float64
	squares   float64 // sum of the squares
	unapplied int     // samples since the tables were computed

	// Tables by bucket, for the lower bound of the bucket.
	exceeded [buckets + 1]float32 // fraction of the values above
	residual [buckets + 1]float32 // mean of what remains of the values above
}

// Add adds a sample. Values that are not positive are ignored.
func (d *Distribution) Add(v float64) {
	if !(v > 0) || math.IsInf(v, 1) {
		return
	}
	i, _ := position(v)
	d.counts[i]++
	d.count++
	d.sum += v
	d.squares += v * v
	d.unapplied++
	if d.count >= agingCount {
		d.age()
	}
	if d.unapplied >= refreshInterval {
		d.refresh()
	}
}

// age halves the weight of all samples.
func (d *Distribution) age() {
	for i := range d.counts {
		d.counts[i] /= 2
	}
	d.count /= 2
	d.sum /= 2
	d.squares /= 2
}

// refresh computes the tables.
func (d *Distribution) refresh() {
	d.unapplied = 0
	total, above, sum := float32(0), float32(0), float32(0)
	for _, c := range d.counts {
		total += c
	}
	for i := buckets - 1; i >= 0; i-- {
		above += d.counts[i]
		sum += d.counts[i] * centers[i]
		d.exceeded[i] = above / total
		d.residual[i] = bounds[i]
		if above > 0 {
			d.residual[i] = max(0, sum/above-bounds[i])
		}
	}
	d.residual[buckets] = bounds[buckets]
}

// Known reports whether there are enough samples to rely on.
func (d *Distribution) Known() bool { return d.count >= minSamples }

// Mean returns the mean, or 0 without samples.
func (d *Distribution) Mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}

// RunningResidual returns the mean of what remains of a value that is met at a random
// moment of its course: half of the second moment divided by the mean. A long value is
// met more often than a short one, so this may exceed the mean.
func (d *Distribution) RunningResidual() float64 {
	if d.sum == 0 {
		return 0
	}
	return d.squares / (2 * d.sum)
}

// Exceeded returns the fraction of the values that exceed v. It is 1 for values that
// are not positive.
func (d *Distribution) Exceeded(v float64) float64 {
	if !(v > 0) {
		return 1
	}
	i, fraction := position(v)
	low, high := d.exceeded[i], d.exceeded[i+1]
	return float64(low + float32(fraction)*(high-low))
}

// Residual returns the mean of what remains of a value that has come as far as age. A
// value that has passed all samples is expected to go on for its age again.
func (d *Distribution) Residual(age float64) float64 {
	if !(age > bounds0) {
		return d.Mean()
	}
	i, fraction := position(age)
	low, high := d.residual[i], d.residual[i+1]
	return float64(low + float32(fraction)*(high-low))
}

// position returns the bucket of a positive value and the position of the value in it,
// in [0, 1).
func position(v float64) (bucket int, fraction float64) {
	switch {
	case v < bounds0:
		return 0, 0
	case v >= maxValue:
		return buckets - 1, almostOne
	}
	// The bits of a positive number are its exponent and its mantissa, which begins
	// with the number of the bucket in the octave.
	bits := math.Float64bits(v)
	bucket = int(bits>>mantissaRest) - firstBucket
	fraction = float64(bits&(1<<mantissaRest-1)) / (1 << mantissaRest)
	return bucket, fraction
}

const (
	mantissaBits = 52
	// mantissaRest is the number of mantissa bits behind the number of the bucket.
	mantissaRest = mantissaBits - 2
	exponentBias = 1023
	firstBucket  = (lowestExponent + exponentBias) * bucketsPerOctave
	bounds0      = 1.0 / (1 << -lowestExponent)
	maxValue     = 1 << (octaves + lowestExponent)
	almostOne    = 1 - 1.0/(1<<20)
)

// bounds are the lower bounds of the buckets, and centers their centers. The last
// bound is the upper end of the range.
var bounds, centers = bucketBounds()

func bucketBounds() (bounds [buckets + 1]float32, centers [buckets]float32) {
	for i := range bounds {
		bounds[i] = float32(math.Ldexp(1+float64(i%bucketsPerOctave)/bucketsPerOctave, lowestExponent+i/bucketsPerOctave))
	}
	for i := range centers {
		centers[i] = (bounds[i] + bounds[i+1]) / 2
	}
	return bounds, centers
}
