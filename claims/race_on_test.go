//go:build race

package claims

// The schedules run in a single goroutine, so the race detector finds nothing in them
// and only slows them down.
const (
	scheduleCount  = 1_000
	naiveSchedules = 100
)
