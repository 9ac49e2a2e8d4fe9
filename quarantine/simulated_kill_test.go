package quarantine_test

import (
	"slices"
	"time"
)

// restartTime is how long all processes take to serve again after they have been killed.
const restartTime = time.Second

// killAll has all processes start again, which cuts the calls.
func (s *simulation) killAll() {
	for _, e := range s.engines {
		for _, c := range e.calls {
			c.running = false
		}
		e.calls = nil
	}
	if len(s.harms) > 0 {
		s.harms[0].clump, s.harms[0].interval, s.harms[0].share = 0, 0, 0
		s.clock.After(restartTime+afterFifth, func() {
			s.harms[0].clump, s.harms[0].interval = s.later.clump, s.later.interval
			if s.later.clump > 0 {
				s.clumps(0)
				return
			}
			s.arrivals(0, callsPerSecond*s.later.share)
		})
	}
	for _, process := range slices.Concat(s.gateway, s.hub) {
		*process = *newGateway(process.index, s.config)
		process.sentAt = s.now()
		if !s.unaware {
			process.tracker.Forget(s.instant(process))
		}
	}
}

// restarting reports whether all processes have been killed and do not serve yet.
func (s *simulation) restarting() bool {
	return s.killedAt > 0 && s.now() >= s.killedAt && s.now() < s.killedAt+restartTime
}

// judged reports whether a harmful call that is sent now counts as late: contact is counted from
// the fifth crash, and from the restart.
func (s *simulation) judged(harm int) bool {
	if s.killedAt > 0 && s.now() >= s.killedAt && s.now() < s.killedAt+restartTime+afterFifth {
		return false
	}
	return s.fifthAt[harm] > 0 && s.now() > s.fifthAt[harm]+afterFifth
}
