package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/notices"
)

// reportTTL is how long a load report is used. Calls that this process sent and saw end
// since the report are added to it.
const reportTTL = 2 * time.Second

// LoadReport is the load that an endpoint reported.
type LoadReport struct {
	Running, Waiting int
	// Slowdown is how long work takes at the endpoint now, 1 being as usual, 0 if it is not
	// reported.
	Slowdown float64
	At       boottime.Instant
}

// EngineStatus is a status report of the agent on an engine's VM.
type EngineStatus struct {
	// Address is the engine's address, Boot its start time in Unix milliseconds.
	Address          string
	Boot             int64
	Running, Waiting int
	// Loading is set while the engine starts no calls because it is loading weights.
	Loading bool
	// Version is the newest version of which the engine has all layers, 0 for none.
	Version int64
	// ClosesAt is when the agent is going to load other weights. From then on the engine
	// starts no calls. It is 0 if no load is planned.
	ClosesAt boottime.Instant
	// Unreachable is set when the engine did not respond to its agent.
	Unreachable bool
	// Granted is the number of slots that this process may fill, as divided among the
	// gateways by the agent. It is negative if the agent has not divided the slots.
	Granted int
	// Pace is how long work takes at the engine by its own report, 1 being as declared, 0 if it is
	// unknown.
	Pace float64
	At   boottime.Instant
	// Path is the newest measured round trip to the engine's VM.
	Path PathSample
}

// statusTTL is how long an agent's status takes precedence over the endpoint's own
// entry. Agents report only changes, while entries are written about once per second.
const statusTTL = 30 * time.Second

// endpointState is the last known state of one endpoint.
type endpointState struct {
	fleet.Endpoint
	profile *catalogue.EngineProfile
	backend *catalogue.Backend
	// open are the calls that this process has at the endpoint, borrowed is how many of
	// them run in slots of other processes.
	open     map[*Ticket]struct{}
	borrowed int
	// report is the newest load report, sentSince and endedSince count the calls sent
	// and ended after it.
	report                LoadReport
	sentSince, endedSince int
	health                health
	// status is the newest status from the endpoint's agent, path the newest measured
	// round trip to it. regionPath is the newest one to any agent of its region, nil for an
	// endpoint of the own region.
	status     EngineStatus
	path       receivedSample
	regionPath *regionPath
	// callTime is the EWMA of the duration of a call, 0 before the first call ended.
	callTime time.Duration
	// closedUntil is when the endpoint may be tried again after it rejected a call.
	closedUntil boottime.Instant
	// replaced is set when the agent reports an engine with a later start at the
	// address. replacedUntil is the time until which the endpoint counts as replaced
	// after another endpoint answered a call at the address.
	replaced      bool
	replacedUntil boottime.Instant
	// said is what the endpoint has said about itself.
	said  notices.State
	speed speed
	// usesPace is set if the pace that the agent reports is used.
	usesPace bool
	facts    facts
}

func newEndpointState(endpoint *fleet.Endpoint) *endpointState {
	return &endpointState{Endpoint: *endpoint, open: map[*Ticket]struct{}{}}
}

// load returns the estimated number of calls at the endpoint and the age of the report
// it is based on, -1 without a current report.
func (e *endpointState) load(now boottime.Instant) (calls int, age time.Duration) {
	own := len(e.open)
	age = now.Sub(e.report.At)
	if e.report.At == 0 || age > reportTTL {
		return own, -1
	}
	return max(own, e.report.Running+e.report.Waiting+e.sentSince-e.endedSince), age
}

// version returns the newest version of which the engine has all layers, 0 for none.
func (e *endpointState) version(now boottime.Instant) int64 {
	if e.status.At != 0 && now.Sub(e.status.At) < statusTTL {
		return e.status.Version
	}
	return e.CompleteVersion(e.profile.Layers)
}

func (e *endpointState) loading(now boottime.Instant) bool {
	return e.status.At != 0 && now.Sub(e.status.At) < statusTTL && e.status.Loading
}

// superseded reports whether another endpoint has taken over the address.
//
// Load pattern: all machines restart at once, and the entries of the previous endpoints
// remain for three more seconds. Each call would try these one after the other and be
// rejected, while the new ones are loading. Superseded endpoints are not eligible.
func (e *endpointState) superseded(now boottime.Instant) bool {
	return e.replaced || now.Before(e.replacedUntil)
}

// closesDuring reports whether the engine is going to load other weights before the
// request is likely to end.
//
// Load pattern: the engines of a fully loaded pool change version one after the other,
// and each waits for its longest call with most of its slots empty. Long calls go to
// engines whose change is far off, and short calls fill the others.
func (e *endpointState) closesDuring(now boottime.Instant, request *Request) bool {
	if e.status.ClosesAt == 0 || now.Sub(e.status.At) >= statusTTL {
		return false
	}
	return !now.Add(e.duration(request)).Before(e.status.ClosesAt)
}

// duration predicts how long a call runs.
func (e *endpointState) duration(request *Request) time.Duration {
	passes := (request.OutputTokens + e.profile.StepsPerPass - 1) / e.profile.StepsPerPass
	return time.Duration(passes)*e.fullBatchPass() + e.prefillTime(request.PromptTokens)
}

// fullBatchPass is the duration of a pass of a full engine, including the prefill that
// usually runs in it.
func (e *endpointState) fullBatchPass() time.Duration {
	return e.passTime(e.Slots) + e.prefillTime(e.profile.UsualPrompt)*3/4
}

// pendingPrefill returns the prompt tokens of calls in own slots that have not produced
// a first event.
func (e *endpointState) pendingPrefill() int {
	tokens := 0
	for ticket := range e.open {
		if !ticket.started && !ticket.borrowed {
			tokens += ticket.Request.PromptTokens
		}
	}
	return tokens
}

const (
	// An endpoint is unresponsive if a call has waited for its first byte longer than
	// slowFactor times the prediction plus slowSlack.
	slowFactor = 2
	slowSlack  = 300 * time.Millisecond
)

// unresponsive reports whether a call of this process has waited far longer than
// predicted, because the endpoint hangs or its link is narrow, or whether its agent
// cannot reach it.
func (e *endpointState) unresponsive(now boottime.Instant) bool {
	if e.status.Unreachable {
		return true
	}
	for ticket := range e.open {
		if ticket.overdue(now) {
			return true
		}
	}
	return false
}

// movable returns the calls without a first byte that may run on another endpoint.
func (e *endpointState) movable() []*Ticket {
	var tickets []*Ticket
	for ticket := range e.open {
		if !ticket.started && ticket.Request.MayMove {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// overdue reports whether the first byte is far later than predicted.
func (t *Ticket) overdue(now boottime.Instant) bool {
	return !t.started && now.Sub(t.sentAt) > slowFactor*t.decision.Expected+slowSlack
}

func (e *endpointState) applyReport(report LoadReport) {
	if report.At < e.report.At {
		return
	}
	e.report = report
	e.sentSince, e.endedSince = 0, 0
	if report.Slowdown > 0 {
		e.speed.report(report.At, report.Slowdown)
	}
}

// predictFirstByte predicts the time to the first byte of an answer.
func (e *endpointState) predictFirstByte(now boottime.Instant, request *Request) time.Duration {
	calls, _ := e.load(now)
	wait := time.Duration(0)
	if ahead := calls - e.Slots + 1; ahead > 0 {
		wait = time.Duration(ahead) * e.expectedCallTime() / time.Duration(e.Slots)
	}
	slowdown := e.slowdown(now)
	if e.profile == nil {
		return scaled(wait+e.expectedCallTime(), slowdown)
	}
	tokens := e.pendingPrefill() + request.PromptTokens
	return scaled(wait+e.passTime(calls)+e.prefillTime(tokens), slowdown)
}

// passTime is the duration of one pass of an engine that runs the given number of other
// calls.
func (e *endpointState) passTime(calls int) time.Duration {
	running := time.Duration(min(calls+1, e.Slots))
	p := e.profile
	context := time.Duration(p.UsualPrompt+p.UsualAnswer/2) * p.StepPerThousand / 1000
	return time.Duration(p.StepsPerPass) * (p.Step + running*(p.StepPerCall+context))
}

func (e *endpointState) prefillTime(tokens int) time.Duration {
	if e.profile.PromptTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.profile.PromptTokensPerSecond * float64(time.Second))
}

// defaultPlainCallTime is the assumed duration of a call to a plain service before one
// has ended.
const defaultPlainCallTime = 30 * time.Millisecond

// expectedCallTime is how long a call is expected to occupy a slot.
func (e *endpointState) expectedCallTime() time.Duration {
	if e.callTime > 0 {
		return e.callTime
	}
	if e.profile == nil {
		return defaultPlainCallTime
	}
	p := e.profile
	passes := max(p.UsualAnswer/max(p.StepsPerPass, 1), 1)
	return time.Duration(passes) * (e.passTime(e.Slots) + e.prefillTime(p.UsualPrompt))
}

// callTimeSmoothing is the weight of a new sample in the EWMA of call durations.
const callTimeSmoothing = 0.1

func (e *endpointState) recordCallTime(took time.Duration) {
	usual := e.expectedCallTime()
	e.callTime = usual + time.Duration(callTimeSmoothing*float64(took-usual))
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
		return e.usedSlots() >= e.status.Granted
	}
}

// divided reports whether the agent divides the engine's slots among gateways.
func (e *endpointState) divided(now boottime.Instant) bool {
	return e.status.At != 0 && now.Sub(e.status.At) < statusTTL && e.status.Granted >= 0
}

// usedSlots returns how many of its own slots this process has filled or lent.
func (e *endpointState) usedSlots() int { return len(e.open) - e.borrowed }

// ownSlots returns how many slots this process fills or may fill.
func (e *endpointState) ownSlots(now boottime.Instant) int {
	if e.divided(now) {
		return max(e.status.Granted, e.usedSlots())
	}
	return len(e.open)
}

// maxPendingPrefill bounds the prefill queued at an engine by all gateways together to the time of
// a full engine's pass: the answers that it is writing keep half of their pace.
func (e *endpointState) maxPendingPrefill() time.Duration { return e.passTime(e.Slots) }

// prefillLimitReached reports whether the request would exceed this process's share of
// maxPendingPrefill. One call is always admitted.
//
// Load pattern: an engine without calls becomes ready while calls wait at all gateways.
// If it were filled at once, it would prefill all prompts before its first token, and the last
// of these callers could as well have waited for another engine. Calls are sent as the pending
// prefill allows.
func (e *endpointState) prefillLimitReached(now boottime.Instant, request *Request) bool {
	if e.profile == nil || !e.divided(now) {
		return false
	}
	pending := e.pendingPrefill()
	part := float64(e.status.Granted) / float64(e.Slots)
	return pending > 0 && e.prefillTime(pending+request.PromptTokens) > time.Duration(part*float64(e.maxPendingPrefill()))
}
