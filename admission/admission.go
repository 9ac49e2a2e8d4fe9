// Package admission decides at an entry whether to forward a request. It rejects
// requests that no visible endpoint could answer before their deadline and, under load,
// requests of teams over their share. The final decision is made by the gate on each
// endpoint's VM, which sees the load of all entries, while an entry sees all endpoints.
// The package performs no I/O and reads no clock.
package admission

import (
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniaseam/zinniaseam/core"
)

// Request describes one caller's request.
type Request struct {
	Team     core.TeamID
	Priority core.Priority
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Capacity is the total capacity of the endpoints that could serve the request,
// according to the entry's current view.
type Capacity struct {
	// Endpoints is the number of endpoints that could serve the request.
	Endpoints int
	// Limit, InFlight and Queued are the sums over the latest reports of the
	// endpoints' gates.
	Limit    int
	InFlight int
	Queued   int
	// QueueCapacity is the total number of calls that may wait at these endpoints.
	QueueCapacity int
	// ServiceTime is the typical service time of a call; zero means unknown.
	ServiceTime time.Duration
}

// Decision is the result of an offer.
type Decision struct {
	// Refusal is nil if the request is admitted. The caller must then call Done.
	Refusal *core.Refusal
}

// Config configures a controller. Zero fields take defaults.
type Config struct {
	// MaxFill is, for each class, the fraction of the total queue capacity in use at
	// which requests of the class are rejected. With zero the entry does not
	// reject them for this reason; the gates decide.
	MaxFill [core.PriorityCount]float64
	// ShareThreshold is the fraction of the total queue capacity in use at which team
	// shares are enforced.
	ShareThreshold float64
	// TargetFill is the fraction of the total queue capacity in use that the shares
	// aim at.
	TargetFill float64
	// Gain is how strongly the shares respond to the difference from TargetFill.
	Gain float64
	// ActiveFor is how long after its last offer a team counts as active.
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
	// maxTeams is the maximum number of teams that are tracked.
	maxTeams = 256
	// minAdmitted is the decayed number of admitted requests below which a class of a
	// team is not rejected for the team's share.
	minAdmitted = 0.5
	// defaultWeight is the weight of a team without a declared weight.
	defaultWeight = 1
	// defaultService is the service time that is assumed while it is unknown.
	defaultService = 500 * time.Millisecond
	// minServiceShare is the minimum service time of a call, as a fraction of the
	// typical one.
	minServiceShare = 0.25
	// minRetryAfter and maxRetryAfter bound the retry time, before jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// minJitter is the smallest factor of the jitter, the largest is minJitter + 1.
	minJitter = 0.5
)

// servedBefore is, for each class, the fraction of the waiting calls that is served
// before a call of the class.
var servedBefore = [core.PriorityCount]float64{0, 0.5, 1}

// Controller decides which requests to admit. It is not safe for concurrent use.
type Controller struct {
	config  Config
	random  *rand.Rand
	weights map[core.TeamID]int
	teams   *lru.Cache[core.TeamID, *usage]
	// inFlight is the number of admitted requests that have not ended.
	inFlight int
}

// New returns a controller that takes the jitter of retry times from random.
func New(config Config, random *rand.Rand) *Controller {
	teams, err := lru.New[core.TeamID, *usage](maxTeams)
	if err != nil {
		panic("admission: " + err.Error())
	}
	return &Controller{config: config.withDefaults(), random: random, teams: teams}
}

// SetTeams replaces the weights of the teams. Teams without a weight have weight 1.
func (c *Controller) SetTeams(weights map[core.TeamID]int) { c.weights = weights }

// Offer decides on one request.
func (c *Controller) Offer(now time.Time, request Request, capacity Capacity) Decision {
	request.Priority = min(request.Priority, core.PriorityCount-1)
	team := c.team(request.Team)
	team.decay(now)
	team.lastOffer = now
	team.offered[request.Priority]++
	fill := capacity.fill()
	maxFill := c.config.MaxFill[request.Priority]
	switch {
	case capacity.Endpoints == 0 || capacity.Limit == 0:
		return c.reject(core.ReasonNoEndpoint, minRetryAfter, "no endpoint takes the request now")
	case cannotMeetDeadline(now, request, capacity):
		return c.reject(core.ReasonDeadline, capacity.drain(), "the deadline can't be met at the present load")
	case maxFill > 0 && fill >= maxFill:
		return c.reject(core.ReasonOverloaded, capacity.drain(), "no visible endpoint has room for this class")
	case fill >= c.config.ShareThreshold && c.overShare(now, request, team, fill):
		return c.reject(core.ReasonTeamShare, capacity.drain(), "the team is over its share while others wait")
	}
	team.admitted[request.Priority]++
	c.inFlight++
	return Decision{}
}

// Done records the end of an admitted request.
func (c *Controller) Done(core.TeamID) {
	c.inFlight = max(0, c.inFlight-1)
}

// InFlight returns the number of admitted requests that have not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// team returns the usage of a team. If there are too many teams, it evicts the least
// recently used one.
func (c *Controller) team(id core.TeamID) *usage {
	if known, ok := c.teams.Get(id); ok {
		return known
	}
	created := &usage{}
	c.teams.Add(id, created)
	return created
}

// overShare reports whether the team has already been admitted the part of its share
// that is left to the class, while other teams are active. The highest class is never
// limited by a share but counts towards it, so that a team's lowest class is shed
// first.
func (c *Controller) overShare(now time.Time, request Request, team *usage, fill float64) bool {
	if request.Priority == core.PriorityDispatch {
		return false
	}
	demands, used := c.activeTeams(now)
	if len(demands) < 2 {
		return false
	}
	total := used * (1 + c.config.Gain*(c.config.TargetFill-fill))
	share := c.weight(request.Team) * fairLevel(total, demands)
	left := share - sum(team.offered[:request.Priority])
	return team.admitted[request.Priority] >= max(minAdmitted, left)
}

// activeTeams returns the demands of the active teams and the sum of their admitted
// requests.
func (c *Controller) activeTeams(now time.Time) (demands []teamDemand, used float64) {
	for _, id := range c.teams.Keys() {
		team, _ := c.teams.Peek(id)
		if now.Sub(team.lastOffer) > c.config.ActiveFor {
			continue
		}
		team.decay(now)
		demands = append(demands, teamDemand{demand: team.demand(), weight: c.weight(id)})
		used += team.used()
	}
	return demands, used
}

func (c *Controller) weight(team core.TeamID) float64 {
	if weight := c.weights[team]; weight > 0 {
		return float64(weight)
	}
	return defaultWeight
}

// reject returns a refusal whose retry time has jitter.
func (c *Controller) reject(reason core.Reason, after time.Duration, detail string) Decision {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after = time.Duration(float64(after) * (minJitter + c.random.Float64()))
	return Decision{Refusal: &core.Refusal{Kind: core.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}}
}

// fill returns the fraction of the total queue capacity in use. It is zero while calls
// in flight are below the limit and no call waits.
func (c Capacity) fill() float64 {
	if c.InFlight < c.Limit && c.Queued == 0 {
		return 0
	}
	if c.QueueCapacity == 0 {
		return 1
	}
	return float64(c.Queued) / float64(c.QueueCapacity)
}

// service returns the typical service time.
func (c Capacity) service() time.Duration {
	if c.ServiceTime > 0 {
		return c.ServiceTime
	}
	return defaultService
}

// drain returns how long it takes to serve the waiting calls.
func (c Capacity) drain() time.Duration {
	return time.Duration(float64(c.service()) * float64(c.Queued+1) / float64(max(1, c.Limit)))
}

// cannotMeetDeadline reports whether the request would miss its deadline even under
// favorable conditions.
func cannotMeetDeadline(now time.Time, request Request, capacity Capacity) bool {
	if request.Deadline.IsZero() {
		return false
	}
	wait := time.Duration(servedBefore[request.Priority] * float64(capacity.drain()))
	if capacity.InFlight < capacity.Limit {
		wait = 0
	}
	if capacity.InFlight > 0 {
		wait += time.Duration(minServiceShare * float64(capacity.service()))
	}
	return request.Deadline.Before(now.Add(wait))
}
