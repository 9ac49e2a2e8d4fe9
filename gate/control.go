package gate

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Config configures a gate. Zero fields take defaults.
type Config struct {
	// Limiter bounds the calls in flight; nil selects the adaptive limiter.
	Limiter Limiter
	// QueueCapacity is the maximum number of waiting calls; zero derives it from the
	// limit.
	QueueCapacity int
	// InitialService is the service time that is assumed before the first call has
	// ended.
	InitialService time.Duration
	// Random adds jitter to retry times; nil selects a source with a fixed seed.
	Random *rand.Rand
}

// Actions lists the gate's decisions on one event.
type Actions struct {
	// Admitted lists the calls to send to the endpoint now, in order.
	Admitted []uint64
	// Rejected lists the calls that end now without being run.
	Rejected []Rejection
}

// Rejection is one call that the gate rejected.
type Rejection struct {
	ID      uint64
	Refusal *core.Refusal
}

// Load is the current load of one gate.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
}

// Counters counts the gate's decisions and completed calls since its start.
type Counters struct {
	Admitted uint64
	Queued   uint64
	Ended    uint64
	Cold     uint64
	Rejected map[core.Reason]uint64
}

const (
	// serviceSmoothing is the weight of the latest call in the mean service time.
	serviceSmoothing = 0.1
	// unseenClassShare is the minimum service time of a class without completed calls,
	// as a fraction of the mean over all classes.
	unseenClassShare = 0.25
	// upperDeviations is the number of mean absolute deviations above the mean within
	// which most calls end.
	upperDeviations = 3
	// minRetryAfter and maxRetryAfter bound the retry time of rejected callers, before
	// jitter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// closedRetryAfter is the retry time at a closed gate, before jitter.
	closedRetryAfter = time.Second
)

// Gate is the admission control of one endpoint. It keeps the calls in flight within
// the limiter's limit and queues further calls in a bounded queue. A Gate is not safe
// for concurrent use; see SharedGate.
type Gate struct {
	limiter        Limiter
	queue          *Queue
	random         *rand.Rand
	running        map[uint64]core.Priority
	closed         core.Reason
	backoff        backoff
	initialService time.Duration
	service        [core.PriorityCount]serviceStats
	drains         [core.PriorityCount]drainStats
	counters       Counters
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
		limiter:        config.Limiter,
		queue:          NewQueue(config.QueueCapacity),
		random:         config.Random,
		running:        map[uint64]core.Priority{},
		initialService: config.InitialService,
		counters:       Counters{Rejected: map[core.Reason]uint64{}},
	}
}

// Offer submits a call. If the returned actions neither admit nor reject the ticket,
// the call waits in the queue.
func (g *Gate) Offer(now time.Time, ticket Ticket) Actions {
	ticket.Priority = min(ticket.Priority, core.PriorityCount-1)
	g.observeDrains(now)
	var actions Actions
	g.admitWaiting(now, &actions)
	switch {
	case g.closed != "":
		g.reject(&actions, ticket, g.closed, g.jitter(closedRetryAfter), "the endpoint takes no new work")
	case g.backoff.active(now):
		g.rejectUnreachable(now, &actions, ticket)
	case g.cannotMeetDeadline(now, ticket):
		g.reject(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline is too near")
	case len(g.running) < g.limiter.Limit(now):
		g.queue.Charge(now, ticket)
		g.admit(now, &actions, ticket)
	case ticket.dueBefore(now.Add(g.wait(now, ticket) + g.serviceTime(ticket.Priority))):
		g.reject(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the queue is too long for the deadline")
	default:
		g.enqueue(now, &actions, ticket)
	}
	return actions
}

// Done records the end of an admitted call. It ignores calls that are not in flight.
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
		g.backoff = backoff{}
	}
	if result.Canceled && result.Elapsed > g.service[priority].mean {
		// The call would have run at least this long. Learning only from calls that
		// ended before their deadline would bias the estimate towards short calls.
		g.service[priority].learn(result.Elapsed)
	}
	g.limiter.Done(now, result)
	if result.Unreachable {
		g.unreachable(now, &actions)
	}
	g.admitWaiting(now, &actions)
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
		g.admitWaiting(now, &actions)
	}
	return actions
}

// Cancel removes a waiting call and reports whether it was found.
func (g *Gate) Cancel(id uint64) bool { return g.queue.Remove(id) }

// Tick rejects waiting calls that can no longer meet their deadline.
func (g *Gate) Tick(now time.Time) Actions {
	g.observeDrains(now)
	var actions Actions
	for _, ticket := range g.queue.All() {
		if g.cannotMeetDeadline(now, ticket) {
			g.queue.Remove(ticket.ID)
			g.reject(&actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline came near while waiting")
		}
	}
	g.admitWaiting(now, &actions)
	return actions
}

// Cold records that the endpoint lost its warm state.
func (g *Gate) Cold(now time.Time) {
	g.counters.Cold++
	g.limiter.Cold(now)
}

// SetTeams replaces the weights of the teams.
func (g *Gate) SetTeams(weights map[core.TeamID]int) { g.queue.SetTeams(weights) }

// Close stops admission and rejects all waiting calls. Calls in flight continue.
func (g *Gate) Close(reason core.Reason) Actions {
	g.closed = reason
	var actions Actions
	for _, ticket := range g.queue.All() {
		g.queue.Remove(ticket.ID)
		g.reject(&actions, ticket, reason, g.jitter(closedRetryAfter), "the endpoint takes no new work")
	}
	return actions
}

// Reopen resumes admission from the start limit.
func (g *Gate) Reopen(now time.Time) {
	if g.closed == "" {
		return
	}
	g.closed = ""
	g.limiter.Cold(now)
}

// Closed returns the reason for which the gate is closed, or an empty reason if it is
// open.
func (g *Gate) Closed() core.Reason { return g.closed }

// Load returns the current load.
func (g *Gate) Load(now time.Time) Load {
	return Load{InFlight: len(g.running), Limit: g.limiter.Limit(now), Queued: g.queue.Len()}
}

// Counters returns a copy of the counters.
func (g *Gate) Counters() Counters {
	counters := g.counters
	counters.Rejected = make(map[core.Reason]uint64, len(g.counters.Rejected))
	for reason, count := range g.counters.Rejected {
		counters.Rejected[reason] = count
	}
	return counters
}

// enqueue adds a call to the queue and rejects the call that a full queue sheds.
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
	g.reject(actions, shed, reason, g.retryAfter(now), detail)
}

// admitWaiting admits waiting calls while the calls in flight are below the limit.
func (g *Gate) admitWaiting(now time.Time, actions *Actions) {
	if g.closed != "" || g.backoff.active(now) {
		return
	}
	for g.queue.Len() > 0 && len(g.running) < g.limiter.Limit(now) {
		ticket, _ := g.queue.Pop()
		g.drains[ticket.Priority].served++
		if g.cannotMeetDeadline(now, ticket) {
			g.reject(actions, ticket, core.ReasonDeadline, g.retryAfter(now), "the deadline came near while waiting")
			continue
		}
		g.admit(now, actions, ticket)
	}
}

// admit marks a call as in flight.
func (g *Gate) admit(now time.Time, actions *Actions, ticket Ticket) {
	g.running[ticket.ID] = ticket.Priority
	g.counters.Admitted++
	g.limiter.Started(now)
	actions.Admitted = append(actions.Admitted, ticket.ID)
}

// reject ends a call that was never sent to the endpoint.
func (g *Gate) reject(actions *Actions, ticket Ticket, reason core.Reason, after time.Duration, detail string) {
	g.counters.Rejected[reason]++
	refusal := &core.Refusal{Kind: core.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
	actions.Rejected = append(actions.Rejected, Rejection{ID: ticket.ID, Refusal: refusal})
}
