package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("capacity: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microseconds returns the mean processor time of a call of work over count calls,
// after one call for warm-up.
func microseconds(count int, work func()) float64 {
	work()
	runtime.GC()
	before := processorTime()
	for range count {
		work()
	}
	return float64((processorTime() - before).Nanoseconds()) / float64(count) / 1000
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
