package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the number of clock ticks per second in /proc on Linux.
const clockTicksPerSecond = 100

// Fields of /proc/<pid>/stat, counted after the command name.
const (
	statFieldUser   = 11
	statFieldSystem = 12
)

// ProcessorTime returns the user and system time that the processes have used since
// they started.
func ProcessorTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		used, err := processorTimeOf(pid)
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

func processorTimeOf(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("processor time of %d: %w", pid, err)
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statFieldSystem {
		return 0, fmt.Errorf("processor time of %d: malformed stat", pid)
	}
	user, userErr := strconv.ParseInt(fields[statFieldUser], 10, 64)
	system, systemErr := strconv.ParseInt(fields[statFieldSystem], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, fmt.Errorf("processor time of %d: malformed stat", pid)
	}
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}
