//go:build race

package activation

// The schedules run in a single goroutine, so the race detector only slows them down.
const (
	scheduleCount        = 8
	naiveSchedules       = 20
	stagingScheduleCount = 200
)
