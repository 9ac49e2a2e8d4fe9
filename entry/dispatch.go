// Package entry is the process on an entry VM: it takes callers' requests,
// picks endpoints for them, resumes cut streams and gives every caller a whole
// answer or a typed refusal.
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

// Bounds on the attempts of one request.
const (
	// MaxAttempts bounds the endpoints tried for one request.
	MaxAttempts = 6
	// defaultRetryAfter is told to callers when no endpoint said better.
	defaultRetryAfter = time.Second
)

// Call is one caller request.
type Call struct {
	ID core.RequestID
	// Exactly one of Pool and Service is set.
	Pool    core.PoolID
	Service core.ServiceID
	Method  string
	Path    string
	Headers []*peerpb.Header
	Body    []byte
	// Deadline is when the caller stops waiting.
	Deadline       time.Time
	Priority       core.Priority
	Team           core.TeamID
	IdempotencyKey string
	// Idempotent says that the call may be handed over more than once.
	Idempotent   bool
	PrefixHashes []uint64
}

// Sink receives the answer to a call.
type Sink interface {
	// Head starts the answer.
	Head(head *peerpb.CallHead) error
	// Data takes the next part, in order.
	Data(data *peerpb.CallData) error
	// Restart drops what was received and reports true when nothing has reached
	// the caller yet.
	Restart() bool
}

// Dispatcher runs calls over endpoints. It is safe for concurrent use.
type Dispatcher struct {
	node      *node.Node
	endpoints *EndpointTable
}

// NewDispatcher returns a dispatcher that chooses endpoints with table.
func NewDispatcher(n *node.Node, table *EndpointTable) *Dispatcher {
	return &Dispatcher{node: n, endpoints: table}
}

// progress is what the caller already has and what earlier attempts did.
type progress struct {
	attempt  uint32
	tokens   uint32
	version  string
	headSent bool
	// mayHaveRun is set once an attempt may have reached a back end.
	mayHaveRun bool
	// unclaimed is set once the home of the key said that it knows of no claim.
	unclaimed bool
	// home is the VM that owns the key, once an endpoint named it.
	home core.VMID
	// hedged is set once the request had two attempts side by side.
	hedged bool
	tried  map[core.VMID]bool
	last   *core.Refusal
}

// progressed lets other endpoints be tried again after an attempt on id that
// brought tokens.
func (s *progress) progressed(id core.VMID, had uint32) {
	if s.tokens > had && s.tried[id] {
		clear(s.tried)
		s.tried[id] = true
	}
}

// Do runs the call and passes the answer to sink. It returns nil after a whole
// answer, otherwise the final refusal.
func (d *Dispatcher) Do(ctx context.Context, call *Call, sink Sink) *core.Refusal {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	state := &progress{tried: map[core.VMID]bool{}}
	started := time.Now()
	// A call that may not be repeated always reaches the home of its key: only
	// that home knows whether an earlier request with the key has run.
	if refusal := d.endpoints.admit(call); refusal != nil && call.Idempotent {
		return d.final(call, state, refusal)
	}
	refusal := d.run(ctx, call, state, sink)
	d.endpoints.release(call, started, refusal == nil)
	if refusal == nil {
		requests.Add("answered", 1)
		wholeTime.Record(time.Since(started))
	}
	return refusal
}

// run makes attempts until one brings the whole answer or none is left.
func (d *Dispatcher) run(ctx context.Context, call *Call, state *progress, sink Sink) *core.Refusal {
	for {
		chosen, refusal := d.endpoints.choose(call, state)
		if refusal != nil {
			return d.final(call, state, refusal)
		}
		state.attempt++
		attempts.Add(1)
		refusal = d.try(ctx, call, chosen, state, sink)
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

// final gives the refusal its true kind over all attempts and a time to come back.
func (d *Dispatcher) final(call *Call, state *progress, refusal *core.Refusal) *core.Refusal {
	out := *refusal
	if state.mayHaveRun || !call.Idempotent && !state.unclaimed && concernsKey(refusal.Reason) {
		out.Kind = core.OutcomeUnknown
	}
	if out.RetryAfter == 0 {
		out.RetryAfter = d.endpoints.spread(defaultRetryAfter)
	}
	requests.Add(out.Kind.String()+"_"+string(out.Reason), 1)
	d.node.Recorder.Add(timeline.KindRefuse, call.ID, "", out.Error())
	return &out
}

// concernsKey reports whether a refusal leaves open what became of earlier
// requests with the same key. A key that this request used wrongly does not.
func concernsKey(reason core.Reason) bool {
	switch reason {
	case core.ReasonBadRequest, core.ReasonKeyMissing, core.ReasonKeyMismatch:
		return false
	default:
		return true
	}
}

// prepareRetry decides whether another attempt is made after refusal, and
// waits until its time.
func (d *Dispatcher) prepareRetry(ctx context.Context, call *Call, state *progress, sink Sink, refusal *core.Refusal) bool {
	if !call.Idempotent && !leavesHome(refusal.Reason) {
		return false
	}
	if !continuable(call, state, sink, refusal) {
		return false
	}
	decision := d.endpoints.decide(call, state, refusal)
	if !decision.Retry {
		return false
	}
	return kernel.Sleep(ctx, decision.After) == nil
}

// leavesHome reports whether a call that may not be repeated is tried at
// another endpoint: only when the home of its key is gone or names another.
func leavesHome(reason core.Reason) bool {
	switch reason {
	case core.ReasonConnectionLost, core.ReasonNotHome, core.ReasonLeaving, core.ReasonZoneOut:
		return true
	default:
		return false
	}
}

// continuable reports whether a further attempt can complete the answer: from
// the start, or from the token where it was cut, on the same version.
func continuable(call *Call, state *progress, sink Sink, refusal *core.Refusal) bool {
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
	had := state.tokens
	defer func() { state.progressed(chosen.id, had) }()
	d.endpoints.sent(chosen.id)
	defer d.endpoints.ended(chosen.id)
	start := time.Now()
	d.node.Recorder.Add(timeline.KindRoute, call.ID, string(chosen.id), "Attempt sent.")
	stream, err := conn.Endpoint().Call(callCtx, d.message(call, state, chosen))
	if err != nil {
		return d.broken(ctx, call, chosen, conn, state, sink)
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
		ResumeOffset: state.tokens, PrefixHashes: call.PrefixHashes, Cache: d.endpoints.cursor(call, chosen.id),
	}
}

// receive passes the events of one attempt to sink until the attempt ends.
func (d *Dispatcher) receive(ctx context.Context, call *Call, chosen choice, conn *peers.Conn, stream peerpb.Endpoint_CallClient, state *progress, sink Sink, start time.Time) *core.Refusal {
	var firstToken time.Duration
	event := new(peerpb.CallEvent)
	for {
		// RecvMsg drops what the event held before.
		if err := stream.RecvMsg(event); err != nil {
			return d.broken(ctx, call, chosen, conn, state, sink)
		}
		conn.RecordProgress()
		if firstToken == 0 && event.GetData() != nil {
			firstToken = time.Since(start)
			firstTime.Record(firstToken)
		}
		if refusal := d.takeParts(call, state, sink, event); refusal != nil {
			return refusal
		}
		if refused := event.GetRefused(); refused != nil {
			return d.takeRefusal(call, chosen, state, refused)
		}
		if end := event.GetEnd(); end != nil {
			d.endpoints.answered(call, chosen.id, firstToken, end)
			return nil
		}
	}
}

// takeParts takes the head and the data of an event.
func (d *Dispatcher) takeParts(call *Call, state *progress, sink Sink, event *peerpb.CallEvent) *core.Refusal {
	if head := event.GetHead(); head != nil {
		if refusal := d.takeHead(state, sink, head); refusal != nil {
			return refusal
		}
	}
	if data := event.GetData(); data != nil {
		return takeData(call, state, sink, data)
	}
	return nil
}

func (d *Dispatcher) takeHead(state *progress, sink Sink, head *peerpb.CallHead) *core.Refusal {
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

func takeData(call *Call, state *progress, sink Sink, data *peerpb.CallData) *core.Refusal {
	if call.Pool != "" && data.GetTokenOffset() != state.tokens {
		return core.Unknown(core.ReasonIncomplete, 0, "token %d arrived, want %d", data.GetTokenOffset(), state.tokens)
	}
	if err := sink.Data(data); err != nil {
		return core.Unknown(core.ReasonCanceledByCaller, 0, "the caller is gone")
	}
	state.tokens++
	return nil
}

func (d *Dispatcher) takeRefusal(call *Call, chosen choice, state *progress, refused *peerpb.CallRefused) *core.Refusal {
	d.endpoints.refused(chosen.id, refused.GetLoad())
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

// broken is the result of an attempt whose stream ended without its last event.
// After a silent connection the endpoint may be tried again over a new one.
func (d *Dispatcher) broken(ctx context.Context, call *Call, chosen choice, conn *peers.Conn, state *progress, sink Sink) *core.Refusal {
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
	return d.askFate(ctx, call, chosen, sink)
}

// canceled reports whether nobody waits for the attempt any more: the caller is
// gone, or another attempt came first. That says nothing of the endpoint.
func canceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
