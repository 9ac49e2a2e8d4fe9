package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/fleet"
)

// reportLife is how long a load report is used; what this process sent and saw
// ending since is added to it.
const reportLife = 2 * time.Second

// LoadReport is what an endpoint said of its load.
type LoadReport struct {
	Running, Waiting int
	At               boottime.Instant
}

// EngineStatus is what the agent beside an engine said.
type EngineStatus struct {
	// Address is the engine's, Boot when it started, in Unix milliseconds.
	Address          string
	Boot             int64
	Running, Waiting int
	// Loading says that the engine starts no call because it loads weights.
	Loading bool
	// Version is the newest of which it holds all layers, 0 for none.
	Version int64
	// ClosesAt is when the agent will have other weights loaded, from which on the
	// engine starts no call; 0 when it is not planned.
	ClosesAt boottime.Instant
	// Unreachable says that the engine did not answer its agent.
	Unreachable bool
	// Granted is how many slots this process may fill, by the agent's division
	// among gateways; negative when the agent has not divided them.
	Granted int
	At      boottime.Instant
}

// newsLife is how long news of an agent goes before the endpoint's own entry;
// agents tell only what changes, and entries are written about each second.
const newsLife = 30 * time.Second

// endpointState is what is believed of one endpoint.
type endpointState struct {
	fleet.Endpoint
	profile *catalogue.EngineProfile
	backend *catalogue.Backend
	// open are the calls that this process has there, borrowed how many of them run
	// in slots of other processes.
	open     map[*Ticket]struct{}
	borrowed int
	// report is the newest, sentSince and endedSince what happened after it.
	report                LoadReport
	sentSince, endedSince int
	// coldUntil is until when it gets only a share of the cold rate.
	coldUntil boottime.Instant
	cold      window
	health    health
	// news is the newest of its agent.
	news EngineStatus
	// callTime is the usual time of a call, from sending to its end.
	callTime time.Duration
	// closedUntil is when the endpoint may be tried again after it refused.
	closedUntil boottime.Instant
	// replaced says that a later start answers at the address, and replacedUntil is
	// until when this is taken for granted after a call found another endpoint there.
	replaced      bool
	replacedUntil boottime.Instant
}

func newEndpointState(endpoint *fleet.Endpoint) *endpointState {
	return &endpointState{Endpoint: *endpoint, open: map[*Ticket]struct{}{}}
}

// load returns the believed number of calls, with the age of the report behind it.
func (e *endpointState) load(now boottime.Instant) (calls int, age time.Duration) {
	own := len(e.open)
	age = now.Sub(e.report.At)
	if e.report.At == 0 || age > reportLife {
		return own, -1
	}
	return max(own, e.report.Running+e.report.Waiting+e.sentSince-e.endedSince), age
}

// version returns the weights that the engine holds whole, 0 for none.
func (e *endpointState) version(now boottime.Instant) int64 {
	if e.news.At != 0 && now.Sub(e.news.At) < newsLife {
		return e.news.Version
	}
	return e.CompleteVersion(e.profile.Layers)
}

func (e *endpointState) loading(now boottime.Instant) bool {
	return e.news.At != 0 && now.Sub(e.news.At) < newsLife && e.news.Loading
}

// gone reports whether another endpoint has the address.
//
// Load pattern answered: all machines start again at once, and the entries of the
// endpoints from before are there for three more seconds. Each call would try
// them one after the other and be turned away, while the new ones load.
func (e *endpointState) gone(now boottime.Instant) bool {
	return e.replaced || now.Before(e.replacedUntil)
}

// closing reports whether the engine will have other weights loaded before a
// call is likely to have ended.
//
// Load pattern answered: the engines of a full pool change version one after the
// other, and each waits for its longest call with most of its slots empty. Long
// calls go to engines whose turn is far off, short ones fill the others.
func (e *endpointState) closing(now boottime.Instant, request *Request) bool {
	if e.news.ClosesAt == 0 || now.Sub(e.news.At) >= newsLife {
		return false
	}
	return !now.Add(e.duration(request)).Before(e.news.ClosesAt)
}

// duration predicts how long a call will run.
func (e *endpointState) duration(request *Request) time.Duration {
	passes := (request.OutputTokens + e.profile.StepsPerPass - 1) / e.profile.StepsPerPass
	return time.Duration(passes)*e.fullPass() + e.readTime(request.PromptTokens)
}

// fullPass is the time of a pass of a full engine with the prompts that are
// usually read in it.
func (e *endpointState) fullPass() time.Duration {
	return e.passTime(e.Slots) + e.readTime(e.profile.UsualPrompt)*3/4
}

// unread returns the prompt tokens of calls in own slots that have no first event yet.
func (e *endpointState) unread() int {
	tokens := 0
	for ticket := range e.open {
		if !ticket.started && !ticket.borrowed {
			tokens += ticket.Request.PromptTokens
		}
	}
	return tokens
}

const (
	// slowFactor and slowSlack tell an endpoint that does not respond: a call waits
	// for its first byte longer than so many times the prediction, and this much more.
	slowFactor = 2
	slowSlack  = 300 * time.Millisecond
)

// unresponsive reports whether an own call waits far longer than predicted: the
// endpoint hangs, or its link is narrow.
func (e *endpointState) unresponsive(now boottime.Instant) bool {
	if e.news.Unreachable {
		return true
	}
	for ticket := range e.open {
		if ticket.overdue(now) {
			return true
		}
	}
	return false
}

// movable returns the calls without a first byte that may run elsewhere.
func (e *endpointState) movable() []*Ticket {
	var tickets []*Ticket
	for ticket := range e.open {
		if !ticket.started && ticket.Request.MayMove {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// overdue reports whether the first byte should have come long ago.
func (t *Ticket) overdue(now boottime.Instant) bool {
	return !t.started && now.Sub(t.sentAt) > slowFactor*t.decision.Expected+slowSlack
}

func (e *endpointState) takeReport(report LoadReport) {
	if report.At < e.report.At {
		return
	}
	e.report = report
	e.sentSince, e.endedSince = 0, 0
}

// expect predicts the time to the first byte of an answer.
func (e *endpointState) expect(now boottime.Instant, request *Request) time.Duration {
	calls, _ := e.load(now)
	wait := time.Duration(0)
	if ahead := calls - e.Slots + 1; ahead > 0 {
		wait = time.Duration(ahead) * e.usualCall() / time.Duration(e.Slots)
	}
	if e.profile == nil {
		return wait + e.usualCall()
	}
	tokens := e.unread() + request.PromptTokens
	return wait + e.passTime(calls) + e.readTime(tokens)
}

// passTime is the time of one pass of an engine with so many calls.
func (e *endpointState) passTime(calls int) time.Duration {
	running := time.Duration(min(calls+1, e.Slots))
	p := e.profile
	context := time.Duration(p.UsualPrompt+p.UsualAnswer/2) * p.StepPerThousand / 1000
	return time.Duration(p.StepsPerPass) * (p.Step + running*(p.StepPerCall+context))
}

func (e *endpointState) readTime(tokens int) time.Duration {
	if e.profile.PromptTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.profile.PromptTokensPerSecond * float64(time.Second))
}

// usualCallPlain stands in for the time of a call to a plain service before one was seen.
const usualCallPlain = 30 * time.Millisecond

// usualCall is the time that a call occupies a slot.
func (e *endpointState) usualCall() time.Duration {
	if e.callTime > 0 {
		return e.callTime
	}
	if e.profile == nil {
		return usualCallPlain
	}
	p := e.profile
	passes := max(p.UsualAnswer/max(p.StepsPerPass, 1), 1)
	return time.Duration(passes) * (e.passTime(e.Slots) + e.readTime(p.UsualPrompt))
}

// callTimeShare is the weight of a new call in the mean time of calls.
const callTimeShare = 0.1

func (e *endpointState) learn(took time.Duration) {
	usual := e.usualCall()
	e.callTime = usual + time.Duration(callTimeShare*float64(took-usual))
}

// full reports whether the endpoint has no slot for another call of this process.
func (e *endpointState) full(now boottime.Instant) bool {
	calls, _ := e.load(now)
	switch {
	case e.profile == nil:
		return calls >= e.Slots+plainQueue
	case !e.divided(now):
		return calls >= e.Slots+engineQueue
	default:
		return e.filled() >= e.news.Granted
	}
}

// divided reports whether the agent divides the engine's slots among gateways.
func (e *endpointState) divided(now boottime.Instant) bool {
	return e.news.At != 0 && now.Sub(e.news.At) < newsLife && e.news.Granted >= 0
}

// filled returns how many of its own slots this process has filled or lent.
func (e *endpointState) filled() int { return len(e.open) - e.borrowed }

// own returns how many slots this process fills or may fill.
func (e *endpointState) own(now boottime.Instant) int {
	if e.divided(now) {
		return max(e.news.Granted, e.filled())
	}
	return len(e.open)
}

// readAhead is how much reading of prompts, all gateways together, an engine is
// given ahead: half of the time in which first events are usually due.
const readAhead = 200 * time.Millisecond

// reading reports whether this process's part of the reading ahead is used up.
//
// Load pattern answered: an engine with no calls becomes ready while calls wait at
// all gateways. Filled at once, it would read all prompts before it writes its
// first token, and each of the calls would be late.
func (e *endpointState) reading(now boottime.Instant, request *Request) bool {
	if e.profile == nil || !e.divided(now) {
		return false
	}
	unread := e.unread()
	part := float64(e.news.Granted) / float64(e.Slots)
	return unread > 0 && e.readTime(unread+request.PromptTokens) > time.Duration(part*float64(readAhead))
}

// free returns how many slots this process may fill now.
func (e *endpointState) free(now boottime.Instant) int {
	if e.divided(now) {
		return e.own(now) - e.filled()
	}
	calls, _ := e.load(now)
	return max(e.Slots-calls, 0)
}
