package gate

import (
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// maxTrackedTeams is the maximum number of teams whose usage is remembered.
	maxTrackedTeams = 256
	// maxCredit bounds the credit that a waiting team can accumulate, in calls of a
	// team of weight 1.
	maxCredit = 32
	// activeWindow is how long after its last call a team counts as active.
	activeWindow = 2 * time.Second
	// quotaSlack is the multiple of its share of the queue that a team may fill.
	quotaSlack = 1.25
	// defaultWeight is the weight of a team without a declared weight.
	defaultWeight = 1
)

// shares implements weighted fair queuing between teams. It tracks the usage of each
// team divided by its weight. The team with the lowest usage is served first. A team
// that was idle starts at the usage of the waiting teams, so that it neither
// accumulates credit nor starves.
type shares struct {
	weights map[core.TeamID]int
	used    map[core.TeamID]float64
	waiting map[core.TeamID]int
	// lastSeen is when each team last offered a call.
	lastSeen map[core.TeamID]time.Time
	// virtualTime is the highest usage at which a call was served.
	virtualTime float64
}

func newShares() *shares {
	return &shares{
		used:     map[core.TeamID]float64{},
		waiting:  map[core.TeamID]int{},
		lastSeen: map[core.TeamID]time.Time{},
	}
}

func (s *shares) weight(team core.TeamID) float64 {
	if weight := s.weights[team]; weight > 0 {
		return float64(weight)
	}
	return defaultWeight
}

// weightedBacklog returns the number of waiting calls of a team divided by its weight.
func (s *shares) weightedBacklog(team core.TeamID) float64 {
	return float64(s.waiting[team]) / s.weight(team)
}

// floor returns the usage at which an idle team starts.
func (s *shares) floor() float64 {
	least := math.Inf(1)
	for team := range s.waiting {
		least = min(least, s.used[team])
	}
	if math.IsInf(least, 1) {
		return s.virtualTime
	}
	return max(least, s.virtualTime-maxCredit)
}

// recordArrival records that a team offered a call.
func (s *shares) recordArrival(now time.Time, team core.TeamID) {
	s.lastSeen[team] = now
	if len(s.lastSeen) <= maxTrackedTeams {
		return
	}
	for other, at := range s.lastSeen {
		if now.Sub(at) > activeWindow {
			delete(s.lastSeen, other)
		}
	}
	if len(s.lastSeen) > maxTrackedTeams {
		s.lastSeen = map[core.TeamID]time.Time{team: now}
	}
}

// quota returns how many of the waiting calls may belong to team while other teams are
// active.
func (s *shares) quota(now time.Time, team core.TeamID, capacity int) int {
	total := s.weight(team)
	for other, at := range s.lastSeen {
		if other != team && now.Sub(at) <= activeWindow {
			total += s.weight(other)
		}
	}
	return max(1, int(math.Ceil(quotaSlack*float64(capacity)*s.weight(team)/total)))
}

// join records that a call of team started to wait.
func (s *shares) join(team core.TeamID) {
	if s.waiting[team] == 0 {
		s.used[team] = max(s.used[team], s.floor())
		s.evictIdle()
	}
	s.waiting[team]++
}

// leave records that a call of team no longer waits.
func (s *shares) leave(team core.TeamID) {
	if s.waiting[team] <= 1 {
		delete(s.waiting, team)
		return
	}
	s.waiting[team]--
}

// charge charges one served call to team.
func (s *shares) charge(team core.TeamID, cost float64) {
	start := max(s.used[team], s.virtualTime-maxCredit)
	if s.waiting[team] == 0 {
		start = max(start, s.floor())
	}
	s.virtualTime = max(s.virtualTime, start)
	s.used[team] = start + cost/s.weight(team)
	s.evictIdle()
}

// evictIdle removes the idle teams with the lowest usage while too many teams are
// tracked.
func (s *shares) evictIdle() {
	for len(s.used) > maxTrackedTeams {
		victim, least := core.TeamID(""), math.Inf(1)
		for team, used := range s.used {
			idle := s.waiting[team] == 0
			if idle && (used < least || used == least && team < victim) {
				victim, least = team, used
			}
		}
		if math.IsInf(least, 1) {
			return
		}
		delete(s.used, victim)
	}
}

// waitingWeight returns the sum of the weights of the teams with waiting calls.
func (s *shares) waitingWeight() float64 {
	total := 0.0
	for team := range s.waiting {
		total += s.weight(team)
	}
	return total
}
