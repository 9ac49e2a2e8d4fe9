// Package metrics publishes counters and latency histograms through expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a histogram, in microseconds, and its precision in significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Histogram is a latency histogram. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Summary is the published form of a histogram. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// NewHistogram returns an empty histogram and publishes its summary as the expvar
// name. Like expvar.Publish, it must be called only once for each name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
	expvar.Publish(name, expvar.Func(func() any { return h.Summary() }))
	return h
}

// Record adds a latency. Values above ten minutes are recorded as ten minutes.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Summary returns the count, mean, percentiles and maximum so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.values.TotalCount(),
		Mean:  h.values.Mean() / 1000,
		P50:   millis(h.values.ValueAtQuantile(50)),
		P95:   millis(h.values.ValueAtQuantile(95)),
		P99:   millis(h.values.ValueAtQuantile(99)),
		Max:   millis(h.values.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
