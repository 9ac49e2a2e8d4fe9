package gate

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Ticket is one call at the gate.
type Ticket struct {
	// ID is unique among the calls of one gate. Later calls have higher IDs.
	ID uint64
	Request
	// Cost is the charge against the team's share; zero means 1.
	Cost float64
}

func (t Ticket) cost() float64 {
	if t.Cost > 0 {
		return t.Cost
	}
	return 1
}

// before reports the order of tickets of one team in one class: earliest deadline
// first, then lowest ID.
func (t Ticket) before(other Ticket) bool {
	switch {
	case t.Deadline.Equal(other.Deadline):
		return t.ID < other.ID
	case t.Deadline.IsZero():
		return false
	case other.Deadline.IsZero():
		return true
	default:
		return t.Deadline.Before(other.Deadline)
	}
}

const (
	// maxQueueCapacity, minQueueCapacity and queuePerLimit derive the queue capacity
	// from the limit.
	maxQueueCapacity = 64
	minQueueCapacity = 8
	queuePerLimit    = 2
	// LowerClassInterval bounds the wait of lower classes: while calls of a class are
	// waiting, one call in LowerClassInterval is served from a lower class.
	LowerClassInterval = 8
)

// shedRatio is the ratio of two teams' waiting calls, by weight, above which a call of
// the first team is shed in favor of the second.
const shedRatio = 2

// minShedBacklog is the number of calls a team must have waiting before one is shed in
// favor of another team.
const minShedBacklog = 3

// classShare is, for each class, the fraction of the queue that the class may fill
// together with the higher classes, and for the lowest class on its own. It reserves
// capacity for higher classes, so that waiting calls are rarely shed in favor of them.
var classShare = [core.PriorityCount]float64{1, 0.75, 0.5}

// DefaultQueueCapacity returns the number of calls that may wait at a gate with the
// given limit. In a longer queue calls would miss their deadlines.
func DefaultQueueCapacity(limit int) int {
	return min(maxQueueCapacity, max(minQueueCapacity, queuePerLimit*limit))
}

// Queue is the bounded queue of the calls waiting at one endpoint. It is ordered by
// class, then by team share, then by deadline.
type Queue struct {
	capacity int
	size     int
	shares   *shares
	classes  [core.PriorityCount]class
}

// class holds the waiting calls of one priority.
type class struct {
	size int
	// sinceLower is the number of calls served since the last call of a lower class.
	sinceLower int
	teams      map[core.TeamID][]Ticket
}

// NewQueue returns an empty queue. With capacity zero the capacity follows from the
// gate's limit.
func NewQueue(capacity int) *Queue {
	q := &Queue{capacity: capacity, shares: newShares()}
	for i := range q.classes {
		q.classes[i].teams = map[core.TeamID][]Ticket{}
	}
	return q
}

// SetTeams replaces the weights of the teams.
func (q *Queue) SetTeams(weights map[core.TeamID]int) { q.shares.weights = weights }

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.size }

// Charge charges a call that was admitted without waiting to its team's share.
func (q *Queue) Charge(now time.Time, ticket Ticket) {
	q.shares.recordArrival(now, ticket.Team)
	q.shares.charge(ticket.Team, ticket.cost())
}

// Push adds a call. If the queue is full at the gate's current limit, or if the call's
// class or team exceeds its part of the queue, Push removes one call and returns it
// with full set. That call may be the new one.
func (q *Queue) Push(now time.Time, ticket Ticket, limit int) (shed Ticket, full bool) {
	ticket.Priority = min(ticket.Priority, core.PriorityCount-1)
	q.shares.recordArrival(now, ticket.Team)
	q.insert(ticket)
	capacity := q.effectiveCapacity(limit)
	switch {
	case q.size > capacity:
		shed = q.victim(ticket)
	case q.classFull(ticket.Priority, capacity):
		shed = q.victimIn(ticket.Priority, ticket)
	case ticket.Priority != core.PriorityDispatch && q.shares.waiting[ticket.Team] > q.shares.quota(now, ticket.Team, capacity):
		shed = q.lowestPriorityOf(ticket.Team)
	default:
		return Ticket{}, false
	}
	q.remove(shed)
	return shed, true
}

// Pop removes and returns the next call to serve. It reports false if the queue is
// empty.
func (q *Queue) Pop() (Ticket, bool) {
	if q.size == 0 {
		return Ticket{}, false
	}
	teams := q.classes[q.nextClass()].teams
	ticket := teams[q.leastServed(teams)][0]
	q.shares.charge(ticket.Team, ticket.cost())
	q.remove(ticket)
	return ticket, true
}

// Remove removes the call with the given ID and reports whether it was found.
func (q *Queue) Remove(id uint64) bool {
	for _, ticket := range q.All() {
		if ticket.ID == id {
			q.remove(ticket)
			return true
		}
	}
	return false
}

// All returns the waiting calls in ascending order of their IDs.
func (q *Queue) All() []Ticket {
	all := make([]Ticket, 0, q.size)
	for i := range q.classes {
		for _, calls := range q.classes[i].teams {
			all = append(all, calls...)
		}
	}
	slices.SortFunc(all, func(a, b Ticket) int { return int(int64(a.ID) - int64(b.ID)) })
	return all
}

// Ahead estimates how many waiting calls of higher classes and of the ticket's own
// class are served before the ticket.
func (q *Queue) Ahead(ticket Ticket) (higher, own float64) {
	priority := min(ticket.Priority, core.PriorityCount-1)
	for i := range priority {
		higher += float64(q.classes[i].size)
	}
	sameClass := &q.classes[priority]
	earlier := 0
	for _, other := range sameClass.teams[ticket.Team] {
		if other.before(ticket) {
			earlier++
		}
	}
	weight := q.shares.weight(ticket.Team)
	total := q.shares.waitingWeight()
	if q.shares.waiting[ticket.Team] == 0 {
		total += weight
	}
	return higher, min(float64(sameClass.size), float64(earlier)*total/weight)
}

// Waiting returns the number of waiting calls of a class.
func (q *Queue) Waiting(priority core.Priority) int { return q.classes[priority].size }

// OverShare reports whether one more call of team would exceed the team's share of the
// queue while other teams are active.
func (q *Queue) OverShare(now time.Time, team core.TeamID, limit int) bool {
	capacity := q.effectiveCapacity(limit)
	return len(q.shares.lastSeen) > 1 && float64(q.shares.waiting[team]+1) > float64(q.shares.quota(now, team, capacity))/quotaSlack
}

// effectiveCapacity returns the maximum number of waiting calls.
func (q *Queue) effectiveCapacity(limit int) int {
	if q.capacity > 0 {
		return q.capacity
	}
	return DefaultQueueCapacity(limit)
}

// classFull reports whether a class exceeds its part of capacity.
func (q *Queue) classFull(priority core.Priority, capacity int) bool {
	count := q.classes[priority].size
	if priority != core.PrioritySummary {
		for i := range priority {
			count += q.classes[i].size
		}
	}
	return count > max(1, int(classShare[priority]*float64(capacity)))
}

// insert adds a ticket to the calls of its team and class.
func (q *Queue) insert(ticket Ticket) {
	own := &q.classes[ticket.Priority]
	calls := own.teams[ticket.Team]
	at, _ := slices.BinarySearchFunc(calls, ticket, compareTickets)
	own.teams[ticket.Team] = slices.Insert(calls, at, ticket)
	own.size++
	q.size++
	q.shares.join(ticket.Team)
}

// remove removes a ticket from the calls of its team and class.
func (q *Queue) remove(ticket Ticket) {
	own := &q.classes[ticket.Priority]
	calls := own.teams[ticket.Team]
	at, found := slices.BinarySearchFunc(calls, ticket, compareTickets)
	if !found {
		return
	}
	own.teams[ticket.Team] = slices.Delete(calls, at, at+1)
	if len(calls) == 1 {
		delete(own.teams, ticket.Team)
	}
	own.size--
	q.size--
	q.shares.leave(ticket.Team)
}

// compareTickets is the comparison function for binary search.
func compareTickets(a, b Ticket) int {
	switch {
	case a.ID == b.ID:
		return 0
	case a.before(b):
		return -1
	default:
		return 1
	}
}

// nextClass selects the class to serve and updates the counts of served calls. The
// queue must not be empty.
func (q *Queue) nextClass() core.Priority {
	rest := q.size
	for i := range core.PriorityCount {
		own := &q.classes[i]
		rest -= own.size
		if own.size == 0 {
			own.sinceLower = 0
			continue
		}
		if rest == 0 {
			return i
		}
		if own.sinceLower < LowerClassInterval-1 {
			own.sinceLower++
			return i
		}
		own.sinceLower = 0
	}
	panic("gate: queue size does not match the sizes of its classes")
}

// leastServed returns the team with the lowest weighted usage.
func (q *Queue) leastServed(teams map[core.TeamID][]Ticket) core.TeamID {
	best, found := core.TeamID(""), false
	for team := range teams {
		used, least := q.shares.used[team], q.shares.used[best]
		if !found || used < least || used == least && team < best {
			best, found = team, true
		}
	}
	return best
}

// victim selects the call that a full queue sheds, from the lowest waiting class.
func (q *Queue) victim(newest Ticket) Ticket {
	for i := core.PriorityCount; i > 0; i-- {
		if q.classes[i-1].size > 0 {
			return q.victimIn(i-1, newest)
		}
	}
	panic("gate: no call to shed in an empty queue")
}

// victimIn selects the call that a full class sheds: the one with the latest deadline
// of the team that most exceeds its share. A waiting call is only shed in favor of a
// higher class or of a team with clearly fewer waiting calls.
func (q *Queue) victimIn(priority core.Priority, newest Ticket) Ticket {
	teams := q.classes[priority].teams
	team := q.mostWaiting(teams)
	if priority == newest.Priority && !q.farExceeds(team, newest.Team) {
		return newest
	}
	calls := teams[team]
	return calls[len(calls)-1]
}

// farExceeds reports whether a team has clearly more calls waiting than another, by
// weight.
func (q *Queue) farExceeds(team, other core.TeamID) bool {
	return q.shares.waiting[team] >= minShedBacklog && q.shares.weightedBacklog(team) >= shedRatio*q.shares.weightedBacklog(other)
}

// lowestPriorityOf returns the waiting call of a team with the lowest class and, within
// it, the latest deadline.
func (q *Queue) lowestPriorityOf(team core.TeamID) Ticket {
	for i := core.PriorityCount; i > 0; i-- {
		if calls := q.classes[i-1].teams[team]; len(calls) > 0 {
			return calls[len(calls)-1]
		}
	}
	panic("gate: no call to shed of team " + string(team) + ", which has no waiting calls")
}

// mostWaiting returns the team with the most waiting calls by weight.
func (q *Queue) mostWaiting(teams map[core.TeamID][]Ticket) core.TeamID {
	best, most := core.TeamID(""), -1.0
	for team := range teams {
		load := q.shares.weightedBacklog(team)
		if load > most || load == most && team < best {
			best, most = team, load
		}
	}
	return best
}

// dueBefore reports whether the ticket's deadline is before at.
func (t Ticket) dueBefore(at time.Time) bool {
	return !t.Deadline.IsZero() && t.Deadline.Before(at)
}
