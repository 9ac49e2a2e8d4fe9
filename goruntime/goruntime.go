// Package goruntime limits the resources that the Go runtime of a process uses:
// the number of cores, and the garbage that accumulates between collections.
package goruntime

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/zinniaseam/zinniaseam/settings"
)

// Defaults and bounds of the settings.
const (
	// defaultCores is small so that the threads of a mostly idle process don't keep
	// waking each other on a large VM.
	defaultCores    = 4
	maxCores        = 1024
	defaultSpareMiB = 32
	maxSpareMiB     = 4096
)

const (
	mebibyte = 1 << 20
	// adjustInterval is how often the GC percentage is adapted to the live heap.
	adjustInterval = time.Second
	// defaultPercent is the default of GOGC and the lower bound of the GC
	// percentage; maxPercent is the upper bound.
	defaultPercent = 100
	maxPercent     = 400
	// minPercentChange is the smallest change that is applied.
	minPercentChange = 25
)

// liveHeapMetric is the runtime metric for the heap that was live after the last
// collection.
const liveHeapMetric = "/gc/heap/live:bytes"

// Settings configures the Go runtime.
type Settings struct {
	// Cores is the maximum number of cores that run goroutines at once; 0 means all.
	Cores int
	// SpareMiB is how much garbage may accumulate in a small heap before a
	// collection, in MiB; 0 keeps the runtime's default.
	SpareMiB int
}

// Add declares the settings in set.
func (s *Settings) Add(set *settings.Set) {
	set.Int(&s.Cores, "cores", defaultCores, 0, maxCores, "cores", "most cores that the process uses at once, 0 for all")
	set.Int(&s.SpareMiB, "gc-spare", defaultSpareMiB, 0, maxSpareMiB, "MiB", "garbage that may gather in a small heap before it is collected, 0 for Go's own measure")
}

// Run applies the settings and adapts the GC percentage to the live heap until
// ctx is done.
func (s *Settings) Run(ctx context.Context) error {
	if s.Cores > 0 {
		runtime.GOMAXPROCS(min(s.Cores, runtime.GOMAXPROCS(0)))
	}
	if s.SpareMiB == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	current := defaultPercent
	for {
		metrics.Read(sample)
		if next := GCPercent(sample[0].Value.Uint64(), uint64(s.SpareMiB)*mebibyte, current); next != current {
			debug.SetGCPercent(next)
			current = next
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// GCPercent returns the value for debug.SetGCPercent that allows spare bytes of
// garbage on top of a live heap of live bytes. The allowed garbage is at least the
// size of the live heap, which is Go's default, and at most four times that. To
// avoid frequent small adjustments, GCPercent returns current unchanged if the
// difference is less than minPercentChange.
func GCPercent(live, spare uint64, current int) int {
	target := maxPercent
	if live > 0 {
		target = int(min(spare*100/live, maxPercent))
	}
	target = max(target, defaultPercent)
	if change := target - current; -minPercentChange < change && change < minPercentChange {
		return current
	}
	return target
}
