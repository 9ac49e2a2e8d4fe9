package load

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of histograms, in microseconds.
const (
	histogramLeastUS = 1
	histogramMostUS  = 300_000_000
	histogramDigits  = 3
	// bucketGrowth is the minimum ratio between the bounds of adjacent exported buckets.
	bucketGrowth = 1.05
)

// Bucket is one bucket of an exported histogram.
type Bucket struct {
	UpToUS int64 `json:"upToUs"`
	Count  int64 `json:"count"`
}

// Summary is a histogram of durations in microseconds.
type Summary struct {
	Count   int64    `json:"count"`
	P50US   int64    `json:"p50Us"`
	P95US   int64    `json:"p95Us"`
	P99US   int64    `json:"p99Us"`
	MaxUS   int64    `json:"maxUs"`
	MeanUS  int64    `json:"meanUs"`
	Buckets []Bucket `json:"bars,omitempty"`
}

func newHistogram() *hdr.Histogram {
	return hdr.New(histogramLeastUS, histogramMostUS, histogramDigits)
}

func record(histogram *hdr.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramLeastUS), histogramMostUS)
	// RecordValue fails only for values outside the histogram's bounds.
	_ = histogram.RecordValue(value)
}

func summarize(histogram *hdr.Histogram) Summary {
	if histogram.TotalCount() == 0 {
		return Summary{}
	}
	return Summary{
		Count: histogram.TotalCount(), P50US: histogram.ValueAtQuantile(50), P95US: histogram.ValueAtQuantile(95),
		P99US: histogram.ValueAtQuantile(99), MaxUS: histogram.Max(), MeanUS: int64(histogram.Mean()), Buckets: exportBuckets(histogram),
	}
}

// exportBuckets merges the buckets of the histogram into fewer ones of growing
// width.
func exportBuckets(histogram *hdr.Histogram) []Bucket {
	var merged []Bucket
	for _, fine := range histogram.Distribution() {
		if fine.Count == 0 {
			continue
		}
		last := len(merged) - 1
		if last >= 0 && float64(fine.To) < float64(merged[last].UpToUS)*bucketGrowth {
			merged[last].Count += fine.Count
			continue
		}
		merged = append(merged, Bucket{UpToUS: fine.To, Count: fine.Count})
	}
	return merged
}
