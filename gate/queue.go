package gate

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Ticket is one call at the gate.
type Ticket struct {
	// ID is unique among the calls of one gate; later calls have greater ones.
	ID uint64
	Request
	// Cost is what the call takes of its team's share; zero means 1.
	Cost float64
}

// cost returns the ticket's charge.
func (t Ticket) cost() float64 {
	if t.Cost > 0 {
		return t.Cost
	}
	return 1
}

// before orders the tickets of one team in one class: earliest deadline first.
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
	// maxQueueRoom, minQueueRoom and queuePerLimit size the queue by the limit.
	maxQueueRoom  = 64
	minQueueRoom  = 8
	queuePerLimit = 2
	// LowerClassInterval bounds the wait of lower classes: while calls of a class wait,
	// one call in LowerClassInterval goes to a lower class.
	LowerClassInterval = 8
)

// clearlyMore is the ratio of the waiting calls, by weight, of two teams at which
// the one with more gives way to the one with less.
const clearlyMore = 2

// minGiving is how many calls a team has waiting at least when one gives way.
const minGiving = 3

// classRoom is the part of the queue that a class may fill together with the
// higher ones, and the lowest class alone. So a call that waits need seldom give
// way to a higher class.
var classRoom = [core.PriorityCount]float64{1, 0.75, 0.5}

// DefaultQueueCapacity is how many calls may wait at a gate with the given limit. A longer
// queue would only hold calls that come too late.
func DefaultQueueCapacity(limit int) int {
	return min(maxQueueRoom, max(minQueueRoom, queuePerLimit*limit))
}

// Queue holds the calls that wait at one endpoint. It is ordered by class, then
// by team share, then by deadline. It is bounded.
type Queue struct {
	capacity int
	size     int
	shares   *shares
	classes  [core.PriorityCount]class
}

// class holds the waiting calls of one priority.
type class struct {
	size int
	// turns counts the calls served since the last one that went to a lower class.
	turns int
	teams map[core.TeamID][]Ticket
}

// NewQueue returns an empty queue; capacity zero sizes it by the gate's limit.
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

// Charge accounts a call that entered without waiting.
func (q *Queue) Charge(now time.Time, ticket Ticket) {
	q.shares.note(now, ticket.Team)
	q.shares.serve(ticket.Team, ticket.cost())
}

// Push adds a call. When there is no room for it at the gate's present limit, or
// its team already fills its part of the queue, it returns the ticket that must
// be shed, which may be the new one.
func (q *Queue) Push(now time.Time, ticket Ticket, limit int) (shed Ticket, full bool) {
	ticket.Priority = min(ticket.Priority, core.PriorityCount-1)
	q.shares.note(now, ticket.Team)
	q.insert(ticket)
	room := q.room(limit)
	switch {
	case q.size > room:
		shed = q.victim(ticket)
	case q.classFull(ticket.Priority, room):
		shed = q.victimIn(ticket.Priority, ticket)
	case ticket.Priority != core.PriorityDispatch && q.shares.waiting[ticket.Team] > q.shares.quota(now, ticket.Team, room):
		shed = q.lowestOf(ticket.Team)
	default:
		return Ticket{}, false
	}
	q.remove(shed)
	return shed, true
}

// Pop removes the call that is to be served next.
func (q *Queue) Pop() (Ticket, bool) {
	if q.size == 0 {
		return Ticket{}, false
	}
	line := q.classes[q.nextClass()].teams
	ticket := line[q.leastServed(line)][0]
	q.shares.serve(ticket.Team, ticket.cost())
	q.remove(ticket)
	return ticket, true
}

// Remove takes out the call with the given ID.
func (q *Queue) Remove(id uint64) bool {
	for _, ticket := range q.All() {
		if ticket.ID == id {
			q.remove(ticket)
			return true
		}
	}
	return false
}

// All lists the waiting calls in order of their IDs.
func (q *Queue) All() []Ticket {
	all := make([]Ticket, 0, q.size)
	for i := range q.classes {
		for _, line := range q.classes[i].teams {
			all = append(all, line...)
		}
	}
	slices.SortFunc(all, func(a, b Ticket) int { return int(int64(a.ID) - int64(b.ID)) })
	return all
}

// Ahead estimates how many waiting calls of higher classes and of the ticket's
// own class are served before it.
func (q *Queue) Ahead(ticket Ticket) (higher, own float64) {
	priority := min(ticket.Priority, core.PriorityCount-1)
	for i := range priority {
		higher += float64(q.classes[i].size)
	}
	line := &q.classes[priority]
	earlier := 0
	for _, other := range line.teams[ticket.Team] {
		if other.before(ticket) {
			earlier++
		}
	}
	weight := q.shares.weight(ticket.Team)
	total := q.shares.waitingWeight()
	if q.shares.waiting[ticket.Team] == 0 {
		total += weight
	}
	return higher, min(float64(line.size), float64(earlier)*total/weight)
}

// Waiting returns the number of waiting calls of a class.
func (q *Queue) Waiting(priority core.Priority) int { return q.classes[priority].size }

// OverShare reports whether team fills its part of the queue while others want capacity.
func (q *Queue) OverShare(now time.Time, team core.TeamID, limit int) bool {
	room := q.room(limit)
	return len(q.shares.seen) > 1 && float64(q.shares.waiting[team]+1) > float64(q.shares.quota(now, team, room))/quotaSlack
}

// room is how many calls may wait.
func (q *Queue) room(limit int) int {
	if q.capacity > 0 {
		return q.capacity
	}
	return DefaultQueueCapacity(limit)
}

// classFull reports whether more calls of a class wait than its part of room.
func (q *Queue) classFull(priority core.Priority, room int) bool {
	count := q.classes[priority].size
	if priority != core.PrioritySummary {
		for i := range priority {
			count += q.classes[i].size
		}
	}
	return count > max(1, int(classRoom[priority]*float64(room)))
}

// insert stores a ticket in its line.
func (q *Queue) insert(ticket Ticket) {
	own := &q.classes[ticket.Priority]
	line := own.teams[ticket.Team]
	at, _ := slices.BinarySearchFunc(line, ticket, compareTickets)
	own.teams[ticket.Team] = slices.Insert(line, at, ticket)
	own.size++
	q.size++
	q.shares.join(ticket.Team)
}

// remove takes a stored ticket out of its line.
func (q *Queue) remove(ticket Ticket) {
	own := &q.classes[ticket.Priority]
	line := own.teams[ticket.Team]
	at, found := slices.BinarySearchFunc(line, ticket, compareTickets)
	if !found {
		return
	}
	own.teams[ticket.Team] = slices.Delete(line, at, at+1)
	if len(line) == 1 {
		delete(own.teams, ticket.Team)
	}
	own.size--
	q.size--
	q.shares.leave(ticket.Team)
}

// compareTickets orders tickets for binary search.
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

// nextClass picks the class to serve and counts the turn. The queue is not empty.
func (q *Queue) nextClass() core.Priority {
	rest := q.size
	for i := range core.PriorityCount {
		own := &q.classes[i]
		rest -= own.size
		if own.size == 0 {
			own.turns = 0
			continue
		}
		if rest == 0 {
			return i
		}
		if own.turns < LowerClassInterval-1 {
			own.turns++
			return i
		}
		own.turns = 0
	}
	panic("gate: queue counts do not add up")
}

// leastServed picks the team of a class whose use by weight is least.
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

// victim picks what a full queue sheds, in the lowest class that waits.
func (q *Queue) victim(newest Ticket) Ticket {
	for i := core.PriorityCount; i > 0; i-- {
		if q.classes[i-1].size > 0 {
			return q.victimIn(i-1, newest)
		}
	}
	panic("gate: empty queue has no victim")
}

// victimIn picks what a full class sheds: the latest deadline of the team most
// over its share. A call that waits gives way only to a higher class or to a
// team that has clearly less.
func (q *Queue) victimIn(priority core.Priority, newest Ticket) Ticket {
	teams := q.classes[priority].teams
	team := q.mostWaiting(teams)
	if priority == newest.Priority && !q.givesWay(team, newest.Team) {
		return newest
	}
	line := teams[team]
	return line[len(line)-1]
}

// givesWay reports whether a team has clearly more calls waiting than another, by weight.
func (q *Queue) givesWay(team, other core.TeamID) bool {
	return q.shares.waiting[team] >= minGiving && q.shares.load(team) >= clearlyMore*q.shares.load(other)
}

// lowestOf picks the call of a waiting team with the lowest class and the latest deadline.
func (q *Queue) lowestOf(team core.TeamID) Ticket {
	for i := core.PriorityCount; i > 0; i-- {
		if line := q.classes[i-1].teams[team]; len(line) > 0 {
			return line[len(line)-1]
		}
	}
	panic("gate: team without waiting calls has no lowest one")
}

// mostWaiting picks the team with the most waiting calls by weight.
func (q *Queue) mostWaiting(teams map[core.TeamID][]Ticket) core.TeamID {
	best, most := core.TeamID(""), -1.0
	for team := range teams {
		load := q.shares.load(team)
		if load > most || load == most && team < best {
			best, most = team, load
		}
	}
	return best
}

// due reports whether the ticket's deadline comes before at.
func (t Ticket) due(at time.Time) bool {
	return !t.Deadline.IsZero() && t.Deadline.Before(at)
}
