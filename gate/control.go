package gate

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Config configures a gate; zero fields take defaults.
type Config struct {
	// Limiter bounds the calls in flight; nil takes the adaptive one.
	Limiter Limiter
	// QueueCapacity is how many calls may wait; zero sizes the queue by the limit.
	QueueCapacity int
	// InitialService is the service time that is assumed before one was seen.
	InitialService time.Duration
	// Random spreads retry times; nil takes a fixed seed.
	Random *rand.Rand
}

// Actions is what the gate decided on one event.
type Actions struct {
	// Admitted lists the calls that go to the endpoint now, in order.
	Admitted []uint64
	// Rejected lists the calls that end now without being run.
	Rejected []Rejection
}

// Rejection is one call that the gate turned down.
type Rejection struct {
	ID      uint64
	Refusal *core.Refusal
}

// Load is the gate's view of its endpoint.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
}

// Counters counts the gate's outcomes since its start.
type Counters struct {
	Admitted uint64
	Queued   uint64
	Ended    uint64
	Cold     uint64
	Rejected map[core.Reason]uint64
}

const (
	// serviceRate is the weight of the latest call in the mean service time.
	serviceRate = 0.1
	// unseenShare is the part of the mean over all classes that a call of a class
	// which was not seen yet needs at least.
	unseenShare = 0.25
	// mostDeviations is how many mean deviations above the mean most calls end.
	mostDeviations = 3
	// minRetryAfter and maxRetryAfter bound the time until a caller comes back, before spreading.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// closedRetryAfter is when to come back to a closed gate, before spreading.
	closedRetryAfter = time.Second
)

// Gate admits calls to one endpoint. At most the limiter's limit is in flight;
// a bounded queue holds the next ones. It is not safe for concurrent use; SharedGate is.
type Gate struct {
	limiter  Limiter
	queue    *Queue
	random   *rand.Rand
	running  map[uint64]core.Priority
	closed   core.Reason
	away     away
	initial  time.Duration
	service  [core.PriorityCount]service
	drains   [core.PriorityCount]drain
	counters Counters
}

// New returns an open gate.
func New(config Config) *Gate {
	if config.Limiter == nil {
		config.Limiter = NewAdaptive(AdaptiveConfig{})
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 1))
	}
	core.SetDefault(&config.InitialService, 500*time.Millisecond)
	return &Gate{
		limiter:  config.Limiter,
		queue:    NewQueue(config.QueueCapacity),
		random:   config.Random,
		running:  map[uint64]core.Priority{},
		initial:  config.InitialService,
		counters: Counters{Rejected: map[core.Reason]uint64{}},
	}
}

// Offer asks for a call to enter. The ticket is among the admitted, among the
// refused, or in neither list, and then it waits.
func (g *Gate) Offer(now time.Time, ticket Ticket) Actions {
	ticket.Priority = min(ticket.Priority, core.PriorityCount-1)
	g.observeDrains(now)
	var actions Actions
	g.fill(now, &actions)
	switch {
	case g.closed != "":
		g.refuse(&actions, ticket, g.closed, g.spread(closedRetryAfter), "the endpoint takes no new work")
	case g.away.holds(now):
		g.refuseAway(now, &actions, ticket)
	case g.hopeless(now, ticket):
		g.refuse(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline is too near")
	case len(g.running) < g.limiter.Limit(now):
		g.queue.Charge(now, ticket)
		g.admit(now, &actions, ticket)
	case ticket.due(now.Add(g.wait(now, ticket) + g.serviceTime(ticket.Priority))):
		g.refuse(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the queue is too long for the deadline")
	default:
		g.enqueue(now, &actions, ticket)
	}
	return actions
}

// Done records the end of an admitted call. Calls that are not in flight are ignored.
func (g *Gate) Done(now time.Time, id uint64, result Result) Actions {
	var actions Actions
	priority, known := g.running[id]
	if !known {
		return actions
	}
	delete(g.running, id)
	g.observeDrains(now)
	g.counters.Ended++
	if !result.Failed && !result.NotStarted && !result.Canceled {
		g.service[priority].learn(result.Elapsed)
		g.away = away{}
	}
	if result.Canceled && result.Elapsed > g.service[priority].mean {
		// The call would have run for at least so long; learning only from those
		// that ended in time would make the estimate too short.
		g.service[priority].learn(result.Elapsed)
	}
	g.limiter.Done(now, result)
	if result.Unreachable {
		g.unreachable(now, &actions)
	}
	g.fill(now, &actions)
	return actions
}

// FirstToken records the first token of a running call.
func (g *Gate) FirstToken(now time.Time, after time.Duration) {
	if limiter, ok := g.limiter.(ProgressLimiter); ok {
		limiter.FirstToken(now, after)
	}
}

// Tokens records further tokens of a running call.
func (g *Gate) Tokens(now time.Time, count int, over time.Duration) Actions {
	var actions Actions
	if limiter, ok := g.limiter.(ProgressLimiter); ok {
		limiter.Tokens(now, count, over)
		g.fill(now, &actions)
	}
	return actions
}

// Cancel takes out a call that no longer wants to wait.
func (g *Gate) Cancel(id uint64) bool { return g.queue.Remove(id) }

// Tick refuses waiting calls that can no longer make their deadline.
func (g *Gate) Tick(now time.Time) Actions {
	g.observeDrains(now)
	var actions Actions
	for _, ticket := range g.queue.All() {
		if g.hopeless(now, ticket) {
			g.queue.Remove(ticket.ID)
			g.refuse(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline came near while waiting")
		}
	}
	g.fill(now, &actions)
	return actions
}

// Cold records that the endpoint lost its warm state.
func (g *Gate) Cold(now time.Time) {
	g.counters.Cold++
	g.limiter.Cold(now)
}

// SetTeams replaces the weights of the teams.
func (g *Gate) SetTeams(weights map[core.TeamID]int) { g.queue.SetTeams(weights) }

// Close stops admission and refuses what waits; work in flight goes on.
func (g *Gate) Close(reason core.Reason) Actions {
	g.closed = reason
	var actions Actions
	for _, ticket := range g.queue.All() {
		g.queue.Remove(ticket.ID)
		g.refuse(&actions, ticket, reason, g.spread(closedRetryAfter), "the endpoint takes no new work")
	}
	return actions
}

// Reopen admits again, from the start limit.
func (g *Gate) Reopen(now time.Time) {
	if g.closed == "" {
		return
	}
	g.closed = ""
	g.limiter.Cold(now)
}

// Closed returns why the gate is closed; empty when it is open.
func (g *Gate) Closed() core.Reason { return g.closed }

// Load reports the present load.
func (g *Gate) Load(now time.Time) Load {
	return Load{InFlight: len(g.running), Limit: g.limiter.Limit(now), Queued: g.queue.Len()}
}

// Counters returns a copy of the outcome counts.
func (g *Gate) Counters() Counters {
	counters := g.counters
	counters.Rejected = make(map[core.Reason]uint64, len(g.counters.Rejected))
	for reason, count := range g.counters.Rejected {
		counters.Rejected[reason] = count
	}
	return counters
}

// enqueue lets a call wait and refuses what a full queue sheds.
func (g *Gate) enqueue(now time.Time, actions *Actions, ticket Ticket) {
	shed, full := g.queue.Push(now, ticket, g.limiter.Limit(now))
	if !full {
		g.counters.Queued++
		return
	}
	if shed.ID != ticket.ID {
		g.counters.Queued++
	}
	reason, detail := core.ReasonOverloaded, "the queue is full"
	if g.queue.OverShare(now, shed.Team, g.limiter.Limit(now)) {
		reason, detail = core.ReasonTeamShare, "the queue is full and the team is over its share"
	}
	g.refuse(actions, shed, reason, g.retryAfter(now), detail)
}

// fill admits waiting calls while the limit has room.
func (g *Gate) fill(now time.Time, actions *Actions) {
	if g.closed != "" || g.away.holds(now) {
		return
	}
	for g.queue.Len() > 0 && len(g.running) < g.limiter.Limit(now) {
		ticket, _ := g.queue.Pop()
		g.drains[ticket.Priority].served++
		if g.hopeless(now, ticket) {
			g.refuse(actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline came near while waiting")
			continue
		}
		g.admit(now, actions, ticket)
	}
}

// admit hands a call to the endpoint.
func (g *Gate) admit(now time.Time, actions *Actions, ticket Ticket) {
	g.running[ticket.ID] = ticket.Priority
	g.counters.Admitted++
	g.limiter.Started(now)
	actions.Admitted = append(actions.Admitted, ticket.ID)
}

// refuse ends a call that was never handed over.
func (g *Gate) refuse(actions *Actions, ticket Ticket, reason core.Reason, after time.Duration, detail string) {
	g.counters.Rejected[reason]++
	refusal := &core.Refusal{Kind: core.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
	actions.Rejected = append(actions.Rejected, Rejection{ID: ticket.ID, Refusal: refusal})
}
