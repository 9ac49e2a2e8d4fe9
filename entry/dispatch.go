// Package entry implements the process on an entry VM. It accepts callers' requests,
// selects endpoints for them, resumes interrupted streams, and ends every request with
// a complete answer or a typed refusal.
package entry

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Limits on the attempts of one request.
const (
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts = 6
	// defaultRetryAfter is the retry hint for callers when no endpoint has provided
	// one.
	defaultRetryAfter = time.Second
)

// Call is one request of a caller.
type Call struct {
	ID core.RequestID
	// Exactly one of Pool and Service is set.
	Pool    core.PoolID
	Service core.ServiceID
	Method  string
	Path    string
	Headers []*peerpb.Header
	Body    []byte
	// Deadline is the time after which the caller no longer waits.
	Deadline       time.Time
	Priority       core.Priority
	Team           core.TeamID
	IdempotencyKey string
	// Idempotent allows more than one attempt to reach a back end.
	Idempotent   bool
	PrefixHashes []uint64
}

// Sink receives the answer to a call.
type Sink interface {
	// Head starts the answer.
	Head(head *peerpb.CallHead) error
	// Data appends the next part of the answer. Parts arrive in order.
	Data(data *peerpb.CallData) error
	// Restart discards the parts received so far and returns true, unless part of the
	// answer has already reached the caller.
	Restart() bool
}

// Dispatcher runs calls on endpoints, with retries and hedging. It is safe for
// concurrent use.
type Dispatcher struct {
	node      *node.Node
	endpoints *EndpointTable
}

// NewDispatcher returns a dispatcher that selects endpoints from table.
func NewDispatcher(n *node.Node, table *EndpointTable) *Dispatcher {
	return &Dispatcher{node: n, endpoints: table}
}

// progress is the state of a request across its attempts.
type progress struct {
	attempt  uint32
	tokens   uint32
	version  string
	headSent bool
	// mayHaveRun is set once an attempt may have reached a back end.
	mayHaveRun bool
	// unclaimed is set once the home of the idempotency key has reported that the key
	// has no claim.
	unclaimed bool
	// home is the VM that owns the idempotency key, as reported by an endpoint; empty
	// if none has reported it.
	home core.VMID
	// hedged is set once the request has had two concurrent attempts.
	hedged bool
	tried  map[core.VMID]bool
	last   *core.Refusal
}

// resetTried makes the other endpoints eligible again after an attempt on id that
// delivered tokens.
func (s *progress) resetTried(id core.VMID, tokensBefore uint32) {
	if s.tokens > tokensBefore && s.tried[id] {
		clear(s.tried)
		s.tried[id] = true
	}
}

// Do runs the call and passes the answer to sink. It returns nil after a complete
// answer, and the final refusal otherwise.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) *core.Refusal {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	state := &progress{tried: map[core.VMID]bool{}}
	started := time.Now()
	// A non-idempotent call is sent to the home of its key even if admission rejects
	// it: only the home knows whether an earlier request with the key has run.
	if refusal := d.endpoints.admit(call); refusal != nil && call.Idempotent {
		return d.final(call, state, refusal)
	}
	refusal := d.run(ctx, call, state, sink)
	d.endpoints.release(call, started, refusal == nil)
	if refusal == nil {
		requests.Add("answered", 1)
		answerTime.Record(time.Since(started))
	}
	return refusal
}

// run makes attempts until one delivers the complete answer or no further attempt is
// allowed.
func (d *Dispatcher) run(ctx context.Context, call *Call, state *progress, sink Sink) *core.Refusal {
	for {
		chosen, refusal := d.endpoints.choose(call, state)
		if refusal != nil {
			return d.final(call, state, refusal)
		}
		state.attempt++
		attempts.Add(1)
		refusal = d.attemptHedged(ctx, call, chosen, state, sink)
		if refusal == nil {
			d.node.Recorder.Add(timeline.KindAnswer, call.ID, string(chosen.id), "Answered whole.")
			return nil
		}
		state.last = refusal
		if refusal.Kind == core.OutcomeUnknown {
			state.mayHaveRun = true
		}
		if ctx.Err() != nil || !d.prepareRetry(ctx, call, state, sink, refusal) {
			return d.final(call, state, refusal)
		}
	}
}

// final returns the refusal for the caller. Its outcome covers all attempts, and it
// always has a retry hint.
func (d *Dispatcher) final(call *Call, state *progress, refusal *core.Refusal) *core.Refusal {
	out := *refusal
	if state.mayHaveRun || !call.Idempotent && !state.unclaimed && concernsKey(refusal.Reason) {
		out.Kind = core.OutcomeUnknown
	}
	if out.RetryAfter == 0 {
		out.RetryAfter = d.endpoints.jitter(defaultRetryAfter)
	}
	requests.Add(out.Kind.String()+"_"+string(out.Reason), 1)
	d.node.Recorder.Add(timeline.KindRefuse, call.ID, "", out.Error())
	return &out
}

// concernsKey reports whether a refusal leaves the outcome of earlier requests with the
// same key open. A refusal caused by invalid use of the key in this request does not.
func concernsKey(reason core.Reason) bool {
	switch reason {
	case core.ReasonBadRequest, core.ReasonKeyMissing, core.ReasonKeyMismatch:
		return false
	default:
		return true
	}
}

// prepareRetry decides whether to make another attempt after refusal, and waits for the
// backoff.
func (d *Dispatcher) prepareRetry(ctx context.Context, call *Call, state *progress, sink Sink, refusal *core.Refusal) bool {
	if !call.Idempotent && !allowsOtherHome(refusal.Reason) {
		return false
	}
	if !canContinue(call, state, sink, refusal) {
		return false
	}
	decision := d.endpoints.decide(call, state, refusal)
	if !decision.Retry {
		return false
	}
	return kernel.Sleep(ctx, decision.After) == nil
}

// allowsOtherHome reports whether a non-idempotent call may be sent to another
// endpoint. This is the case only if the home of its key is unavailable or has named
// another home.
func allowsOtherHome(reason core.Reason) bool {
	switch reason {
	case core.ReasonConnectionLost, core.ReasonNotHome, core.ReasonLeaving, core.ReasonZoneOut:
		return true
	default:
		return false
	}
}

// canContinue reports whether a further attempt can complete the answer, either from
// the start or, on the same version, from the token at which it was interrupted.
func canContinue(call *Call, state *progress, sink Sink, refusal *core.Refusal) bool {
	if !state.headSent {
		return true
	}
	if call.Pool != "" && refusal.Reason != core.ReasonVersionMismatch {
		return true
	}
	if !sink.Restart() {
		return false
	}
	state.tokens, state.version, state.headSent = 0, "", false
	return true
}

// attempt runs the call once on the chosen endpoint.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, chosen choice, state *progress, sink Sink) *core.Refusal {
	conn, err := d.node.Pool.Get(chosen.addr)
	if err != nil {
		return core.NotRun(core.ReasonConnectionLost, 0, "the endpoint can't be dialled")
	}
	callCtx, end := conn.Begin(ctx)
	defer end()
	if err := conn.Ready(callCtx); err != nil {
		if canceled(ctx) {
			return core.NotRun(core.ReasonCanceledByCaller, 0, "the attempt was given up")
		}
		d.endpoints.failed(chosen.id)
		state.tried[chosen.id] = true
		return core.NotRun(core.ReasonConnectionLost, 0, "the endpoint can't be reached")
	}
	tokensBefore := state.tokens
	defer func() { state.resetTried(chosen.id, tokensBefore) }()
	d.endpoints.sent(chosen.id)
	defer d.endpoints.ended(chosen.id)
	start := time.Now()
	d.node.Recorder.Add(timeline.KindRoute, call.ID, string(chosen.id), "Attempt sent.")
	stream, err := conn.Endpoint().Call(callCtx, d.message(call, state, chosen))
	if err != nil {
		return d.streamBroken(ctx, call, chosen, conn, state, sink)
	}
	return d.receive(ctx, call, chosen, conn, stream, state, sink, start)
}

func (d *Dispatcher) message(call *Call, state *progress, chosen choice) *peerpb.CallRequest {
	left := max(time.Until(call.Deadline), time.Millisecond)
	return &peerpb.CallRequest{
		RequestId: string(call.ID), Attempt: state.attempt,
		Pool: string(call.Pool), Service: string(call.Service), Version: state.version,
		Method: call.Method, Path: call.Path, Headers: call.Headers, Body: call.Body,
		RemainingMs: uint32(left.Milliseconds()), Priority: uint32(call.Priority), Team: string(call.Team),
		IdempotencyKey: call.IdempotencyKey, Idempotent: call.Idempotent,
		ResumeOffset: state.tokens, PrefixHashes: call.PrefixHashes, Cache: d.endpoints.cacheCursor(call, chosen.id),
	}
}

// receive passes the events of one attempt to sink until the attempt ends.
func (d *Dispatcher) receive(ctx context.Context, call *Call, chosen choice, conn *peers.Conn, stream peerpb.Endpoint_CallClient, state *progress, sink Sink, start time.Time) *core.Refusal {
	var firstToken time.Duration
	event := new(peerpb.CallEvent)
	for {
		// RecvMsg resets event before decoding into it.
		if err := stream.RecvMsg(event); err != nil {
			return d.streamBroken(ctx, call, chosen, conn, state, sink)
		}
		conn.RecordProgress()
		if firstToken == 0 && event.GetData() != nil {
			firstToken = time.Since(start)
			firstDataTime.Record(firstToken)
		}
		if refusal := d.handleParts(call, state, sink, event); refusal != nil {
			return refusal
		}
		if refused := event.GetRefused(); refused != nil {
			return d.handleRefusal(call, chosen, state, refused)
		}
		if end := event.GetEnd(); end != nil {
			d.endpoints.answered(call, chosen.id, firstToken, end)
			return nil
		}
	}
}

// handleParts passes the head and the data of an event to sink.
func (d *Dispatcher) handleParts(call *Call, state *progress, sink Sink, event *peerpb.CallEvent) *core.Refusal {
	if head := event.GetHead(); head != nil {
		if refusal := d.handleHead(state, sink, head); refusal != nil {
			return refusal
		}
	}
	if data := event.GetData(); data != nil {
		return handleData(call, state, sink, data)
	}
	return nil
}

func (d *Dispatcher) handleHead(state *progress, sink Sink, head *peerpb.CallHead) *core.Refusal {
	if state.headSent {
		if head.GetVersion() != state.version {
			return core.Unknown(core.ReasonVersionMismatch, 0, "the answer would continue on another version")
		}
		return nil
	}
	state.headSent = true
	state.version = head.GetVersion()
	if err := sink.Head(head); err != nil {
		return core.Unknown(core.ReasonCanceledByCaller, 0, "the caller is gone")
	}
	return nil
}

func handleData(call *Call, state *progress, sink Sink, data *peerpb.CallData) *core.Refusal {
	if call.Pool != "" && data.GetTokenOffset() != state.tokens {
		return core.Unknown(core.ReasonIncomplete, 0, "token %d arrived, want %d", data.GetTokenOffset(), state.tokens)
	}
	if err := sink.Data(data); err != nil {
		return core.Unknown(core.ReasonCanceledByCaller, 0, "the caller is gone")
	}
	state.tokens++
	return nil
}

func (d *Dispatcher) handleRefusal(call *Call, chosen choice, state *progress, refused *peerpb.CallRefused) *core.Refusal {
	d.endpoints.rejected(chosen.id, refused.GetLoad())
	state.unclaimed = state.unclaimed || refused.GetKeyUnclaimed()
	if home := core.VMID(refused.GetHome()); home != "" {
		state.home = home
	} else {
		state.tried[chosen.id] = true
	}
	return &core.Refusal{
		Kind:       outcomeKind(refused.GetOutcome()),
		Reason:     core.Reason(refused.GetReason()),
		Detail:     refused.GetDetail(),
		RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
	}
}

func outcomeKind(outcome uint32) core.OutcomeKind {
	if outcome == uint32(core.OutcomeNotRun) {
		return core.OutcomeNotRun
	}
	return core.OutcomeUnknown
}

// streamBroken returns the refusal for an attempt whose stream ended without a final
// event. If the connection was discarded as unresponsive, the endpoint remains eligible
// and can be tried again over a new connection.
func (d *Dispatcher) streamBroken(ctx context.Context, call *Call, chosen choice, conn *peers.Conn, state *progress, sink Sink) *core.Refusal {
	if canceled(ctx) {
		return core.Unknown(core.ReasonCanceledByCaller, 0, "the attempt was given up")
	}
	d.endpoints.failed(chosen.id)
	if !conn.Discarded() {
		state.tried[chosen.id] = true
	}
	if ctx.Err() != nil {
		return core.Unknown(core.ReasonDeadline, 0, "the caller's time ran out")
	}
	if call.Idempotent {
		return core.Unknown(core.ReasonConnectionLost, 0, "the connection to the endpoint broke")
	}
	return d.resolveFate(ctx, call, chosen, sink)
}

// canceled reports whether the attempt was canceled, because the caller has
// disconnected or another attempt has won. A canceled attempt does not count as a
// failure of the endpoint.
func canceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
