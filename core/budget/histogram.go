package budget

import (
	"math"
	"time"
)

const (
	// The buckets span lowestBound to 460 s in steps of 20%.
	bucketCount = 88
	lowestBound = 50 * time.Microsecond
	bucketRatio = 1.2
	// maxTotal is the total count at which all counts are halved, so that the
	// estimate follows a service whose times change.
	maxTotal = 2048
)

// histogram counts service times in exponential buckets. Older service times
// count less.
type histogram struct {
	counts [bucketCount]float64
	total  float64
	sum    float64
}

func (h *histogram) add(d time.Duration) {
	if h.total >= maxTotal {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
		h.sum /= 2
	}
	h.counts[bucketOf(d)]++
	h.total++
	h.sum += float64(d)
}

func bucketOf(d time.Duration) int {
	if d <= lowestBound {
		return 0
	}
	i := int(math.Log(float64(d)/float64(lowestBound)) / math.Log(bucketRatio))
	return min(i, bucketCount-1)
}

func (h *histogram) mean() time.Duration {
	if h.total == 0 {
		return 0
	}
	return time.Duration(h.sum / h.total)
}

// quantile returns the q quantile, interpolated within its bucket.
func (h *histogram) quantile(q float64) time.Duration {
	want := q * h.total
	below := 0.0
	for i, n := range h.counts {
		if n > 0 && below+n >= want {
			low := float64(lowestBound) * math.Pow(bucketRatio, float64(i))
			return time.Duration(low * math.Pow(bucketRatio, (want-below)/n))
		}
		below += n
	}
	return 0
}
