// Package latencies records latencies in histograms, in the same way for all
// emulations.
package latencies

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles holds quantiles of latencies, in milliseconds.
type Quantiles struct {
	P50, P95, P99 float64
}

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000
)

// NewHistogram returns an empty histogram of latencies in microseconds, from one
// microsecond to ten minutes.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

// QuantilesOf returns the quantiles of a histogram of latencies in microseconds.
func QuantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	quantile := func(percent float64) float64 {
		return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
	}
	return Quantiles{quantile(50), quantile(95), quantile(99)}
}
