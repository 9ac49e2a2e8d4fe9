// Package goruntime bounds what the Go runtime of a process spends: on how many
// cores it runs goroutines, and how much garbage may gather between collections.
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
	// defaultCores keeps the threads of a process that is mostly idle from waking
	// each other on a large VM.
	defaultCores    = 4
	maxCores        = 1024
	defaultSpareMiB = 32
	maxSpareMiB     = 4096
)

const (
	mebibyte = 1 << 20
	// adjustInterval is the time between two looks at the live heap.
	adjustInterval = time.Second
	// goPercent is the runtime's own target; percentages are kept from there to maxPercent.
	goPercent  = 100
	maxPercent = 400
	// percentStep is the least change that is worth an adjustment.
	percentStep = 25
)

// liveBytes is the runtime's name for the heap that the last collection kept.
const liveBytes = "/gc/heap/live:bytes"

// Settings are the settings of the runtime.
type Settings struct {
	// Cores bounds the cores that run goroutines at once; 0 for all.
	Cores int
	// SpareMiB is the garbage that may gather in a small heap, in MiB; 0 for the
	// runtime's own measure.
	SpareMiB int
}

// Add declares the settings in set.
func (s *Settings) Add(set *settings.Set) {
	set.Int(&s.Cores, "cores", defaultCores, 0, maxCores, "cores", "most cores that the process uses at once, 0 for all")
	set.Int(&s.SpareMiB, "gc-spare", defaultSpareMiB, 0, maxSpareMiB, "MiB", "garbage that may gather in a small heap before it is collected, 0 for Go's own measure")
}

// Run applies the settings, and follows the live heap until ctx ends.
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
	sample := []metrics.Sample{{Name: liveBytes}}
	present := goPercent
	for {
		metrics.Read(sample)
		if next := GCPercent(sample[0].Value.Uint64(), uint64(s.SpareMiB)*mebibyte, present); next != present {
			debug.SetGCPercent(next)
			present = next
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// GCPercent returns the garbage to allow, in percent of the live heap: spare bytes,
// but no less than the live heap itself, as Go does, and no more than four times
// it. It keeps the present percentage when the change is small.
func GCPercent(live, spare uint64, present int) int {
	wanted := maxPercent
	if live > 0 {
		wanted = int(min(spare*100/live, maxPercent))
	}
	wanted = max(wanted, goPercent)
	if change := wanted - present; -percentStep < change && change < percentStep {
		return present
	}
	return wanted
}
