// Package admission decides at an entry whether a request is worth sending on.
// It refuses at once what no visible endpoint could answer in time, and under
// pressure what is over its team's share. The gate beside each endpoint has the
// last word; it sees the load of all entries, while the entry sees all
// endpoints. The package performs no I/O and reads no clock.
package admission

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniaseam/zinniaseam/core"
)

// Request is what admission knows of one caller's request.
type Request struct {
	Team     core.TeamID
	Priority core.Priority
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Capacity is the sum over the endpoints that could take the request, as the
// entry sees them now.
type Capacity struct {
	// Endpoints is how many endpoints could take the request.
	Endpoints int
	// Limit, InFlight and Queued are summed over their gates' latest reports.
	Limit    int
	InFlight int
	Queued   int
	// QueueCapacity is how many calls may wait at all of them.
	QueueCapacity int
	// ServiceTime is how long a call usually runs; zero means not known.
	ServiceTime time.Duration
}

// Decision is the answer to an offer.
type Decision struct {
	// Refusal is nil when the request is admitted; Done must then follow.
	Refusal *core.Refusal
}

// Config configures a controller; zero fields take defaults.
type Config struct {
	// MaxFill is, for each class, the part of all queues in use from which it is
	// refused; zero leaves the refusal to the gates.
	MaxFill [core.PriorityCount]float64
	// ShareThreshold is the part of all queues in use from which team shares bind.
	ShareThreshold float64
	// TargetFill is the part of all queues in use that the shares aim at.
	TargetFill float64
	// Gain is how strongly the shares follow the distance to the target.
	Gain float64
	// ActiveFor is how long after its last offer a team counts as one that wants capacity.
	ActiveFor time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxFill == [core.PriorityCount]float64{} {
		c.MaxFill = [core.PriorityCount]float64{0, 0.95, 0.8}
	}
	if c.ShareThreshold == 0 {
		c.ShareThreshold = 0.03
	}
	if c.TargetFill == 0 {
		c.TargetFill = 0.1
	}
	if c.Gain == 0 {
		c.Gain = 1
	}
	if c.ActiveFor == 0 {
		c.ActiveFor = 2 * time.Second
	}
	return c
}

const (
	// maxTeams bounds the teams that are remembered.
	maxTeams = 256
	// freeCalls is what a class of a team may lately have had whatever its share.
	freeCalls = 0.5
	// defaultService is assumed while the service time is not known.
	defaultService = 500 * time.Millisecond
	// leastService is the part of the usual service time that a call needs at least.
	leastService = 0.25
	// minRetryAfter and maxRetryAfter bound the time to come back, before spreading.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
)

// queueShare is, for each class, the part of the waiting calls that is served before it.
var queueShare = [core.PriorityCount]float64{0, 0.5, 1}

// Controller decides on offers. It is not safe for concurrent use.
type Controller struct {
	config  Config
	random  *rand.Rand
	weights map[core.TeamID]int
	teams   *lru.Cache[core.TeamID, *usage]
	// inFlight counts the admitted requests that have not ended.
	inFlight int
}

// New returns a controller that spreads retry times by random.
func New(config Config, random *rand.Rand) *Controller {
	teams, err := lru.New[core.TeamID, *usage](maxTeams)
	if err != nil {
		panic("admission: " + err.Error())
	}
	return &Controller{config: config.withDefaults(), random: random, teams: teams}
}

// SetTeams replaces the weights of the teams; teams without one have weight 1.
func (c *Controller) SetTeams(weights map[core.TeamID]int) { c.weights = weights }

// Offer decides on one request.
func (c *Controller) Offer(now time.Time, request Request, capacity Capacity) Decision {
	request.Priority = min(request.Priority, core.PriorityCount-1)
	team := c.team(request.Team)
	team.fade(now)
	team.lastOffer = now
	team.offered[request.Priority]++
	fill := capacity.fill()
	most := c.config.MaxFill[request.Priority]
	switch {
	case capacity.Endpoints == 0 || capacity.Limit == 0:
		return c.refuse(core.ReasonNoEndpoint, minRetryAfter, "no endpoint takes the request now")
	case tooLate(now, request, capacity):
		return c.refuse(core.ReasonDeadline, capacity.drain(), "the deadline can't be met at the present load")
	case most > 0 && fill >= most:
		return c.refuse(core.ReasonOverloaded, capacity.drain(), "no visible endpoint has room for this class")
	case fill >= c.config.ShareThreshold && c.overShare(now, request, team, fill):
		return c.refuse(core.ReasonTeamShare, capacity.drain(), "the team is over its share while others wait")
	}
	team.admitted[request.Priority]++
	c.inFlight++
	return Decision{}
}

// Done records the end of an admitted request.
func (c *Controller) Done(core.TeamID) {
	c.inFlight = max(0, c.inFlight-1)
}

// InFlight returns the admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// team returns the usage of a team, forgetting the one unused for longest when there are too many.
func (c *Controller) team(id core.TeamID) *usage {
	if known, ok := c.teams.Get(id); ok {
		return known
	}
	created := &usage{}
	c.teams.Add(id, created)
	return created
}

// overShare reports whether a class of team already had what the team's share
// leaves to it while other teams want capacity. The first class is never held
// back by a share, but counts in it, so that a team sheds its lowest class first.
func (c *Controller) overShare(now time.Time, request Request, team *usage, fill float64) bool {
	if request.Priority == core.PriorityDispatch {
		return false
	}
	claimants, used := c.claimants(now)
	if len(claimants) < 2 {
		return false
	}
	total := used * (1 + c.config.Gain*(c.config.TargetFill-fill))
	share := c.weight(request.Team) * fairLevel(total, claimants)
	left := share - sum(team.offered[:request.Priority])
	return team.admitted[request.Priority] >= max(freeCalls, left)
}

// claimants lists the teams that want capacity, and sums up what they got.
func (c *Controller) claimants(now time.Time) (claimants []claimant, used float64) {
	for _, id := range c.teams.Keys() {
		team, _ := c.teams.Peek(id)
		if now.Sub(team.lastOffer) > c.config.ActiveFor {
			continue
		}
		team.fade(now)
		claimants = append(claimants, claimant{demand: team.demand(), weight: c.weight(id)})
		used += team.used()
	}
	return claimants, used
}

// weight returns the declared weight of a team.
func (c *Controller) weight(team core.TeamID) float64 {
	if weight := c.weights[team]; weight > 0 {
		return float64(weight)
	}
	return 1
}

// refuse builds a refusal with a spread time to come back.
func (c *Controller) refuse(reason core.Reason, after time.Duration, detail string) Decision {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after = time.Duration(float64(after) * (0.5 + c.random.Float64()))
	return Decision{Refusal: &core.Refusal{Kind: core.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}}
}

// fill is the part of all queues in use; zero while there is room in flight.
func (c Capacity) fill() float64 {
	if c.InFlight < c.Limit && c.Queued == 0 {
		return 0
	}
	if c.QueueCapacity == 0 {
		return 1
	}
	return float64(c.Queued) / float64(c.QueueCapacity)
}

// service is the usual service time.
func (c Capacity) service() time.Duration {
	if c.ServiceTime > 0 {
		return c.ServiceTime
	}
	return defaultService
}

// drain is how long the waiting calls take to be served.
func (c Capacity) drain() time.Duration {
	return time.Duration(float64(c.service()) * float64(c.Queued+1) / float64(max(1, c.Limit)))
}

// tooLate reports whether even a favourable course would miss the deadline.
func tooLate(now time.Time, request Request, capacity Capacity) bool {
	if request.Deadline.IsZero() {
		return false
	}
	wait := time.Duration(queueShare[request.Priority] * float64(capacity.drain()))
	if capacity.InFlight < capacity.Limit {
		wait = 0
	}
	if capacity.InFlight > 0 {
		wait += time.Duration(leastService * float64(capacity.service()))
	}
	return request.Deadline.Before(now.Add(wait))
}
