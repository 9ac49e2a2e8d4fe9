package quarantine

import "time"

const (
	// turnTime is how long it is the turn of one process to send trials of a part.
	turnTime = 3 * time.Second
	// turnMargin is the end of a turn in which no trial is sent. It covers the difference of the
	// clocks of two processes and the time in which the next one learns of a trial.
	turnMargin = 600 * time.Millisecond
)

// Turn returns which of several processes may send a trial of a part that has been due for some
// time, as its index in an order that all of them know, and whether it may do so now. The turn
// passes on, since the process may be gone or get no call with the part.
func Turn(dueFor time.Duration, processes int) (index int, open bool) {
	if dueFor < 0 || processes <= 0 {
		return 0, false
	}
	return int(dueFor/turnTime) % processes, dueFor%turnTime < turnTime-turnMargin
}
