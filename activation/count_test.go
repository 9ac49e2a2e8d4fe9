//go:build !race

package activation

const (
	scheduleCount        = 200
	naiveSchedules       = 100
	stagingScheduleCount = 3000
)
