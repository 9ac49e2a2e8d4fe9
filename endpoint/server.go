// Package endpoint implements the process on an endpoint VM. It runs on the VM of one
// model engine or one plain service. It limits the work sent to the back end,
// guarantees that non-idempotent calls run at most once, fetches weights, and orders
// the engine to serve exactly the declared version.
package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Limits on the duration of a call.
const (
	// MaxCallTime is the longest time for a call. It also applies to calls without a
	// deadline.
	MaxCallTime = 10 * time.Minute
	// MaxServiceTime is the longest time for a call to a plain service, regardless of
	// the caller's deadline.
	MaxServiceTime = 60 * time.Second
	// defaultRetryAfter is the retry hint for callers after a rejection by this endpoint or
	// a failure of its back end.
	defaultRetryAfter = time.Second
)

// callStream is the server side of a Call stream.
type callStream = grpc.ServerStreamingServer[peerpb.CallEvent]

// Call implements peerpb.EndpointServer.
func (p *Process) Call(request *peerpb.CallRequest, stream callStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), remaining(request))
	defer cancel()
	refusal := p.dispatch(ctx, request, stream)
	if refusal == nil {
		return stream.Send(&peerpb.CallEvent{End: &peerpb.CallEnd{Load: p.load(), Cache: p.cacheUpdate(request)}})
	}
	p.recordRefusal(request, refusal.Refusal)
	message := p.refusalMessage(request, refusal.Refusal)
	message.KeyUnclaimed = refusal.unclaimed
	return stream.Send(&peerpb.CallEvent{Refused: message})
}

// dispatch runs the call on the engine or the service. It returns nil after a complete
// answer.
func (p *Process) dispatch(ctx context.Context, request *peerpb.CallRequest, stream callStream) *keyedRefusal {
	switch {
	case request.GetPool() != "" && request.GetPool() == string(p.config.Pool):
		if refusal := p.callModel(ctx, request, stream); refusal != nil {
			return &keyedRefusal{Refusal: refusal}
		}
		return nil
	case request.GetService() != "" && request.GetService() == string(p.config.Service):
		return p.callService(ctx, request, stream)
	default:
		return &keyedRefusal{Refusal: core.NotRun(core.ReasonNoEndpoint, 0, "this endpoint serves neither the pool nor the service")}
	}
}

func remaining(request *peerpb.CallRequest) time.Duration {
	left := time.Duration(request.GetRemainingMs()) * time.Millisecond
	if left <= 0 || left > MaxCallTime {
		return MaxCallTime
	}
	return left
}

func (p *Process) recordRefusal(request *peerpb.CallRequest, refusal *core.Refusal) {
	p.node.Recorder.Add(timeline.KindRefuse, core.RequestID(request.GetRequestId()), string(p.node.VM), refusal.Error())
}

func (p *Process) refusalMessage(request *peerpb.CallRequest, refusal *core.Refusal) *peerpb.CallRefused {
	return &peerpb.CallRefused{
		Outcome:      uint32(refusal.Kind),
		Reason:       string(refusal.Reason),
		Detail:       refusal.Detail,
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
		Home:         string(p.homeOf(request, refusal)),
		Load:         p.load(),
	}
}

// homeOf returns the VM that has taken over the key of a rejected call, if known.
func (p *Process) homeOf(request *peerpb.CallRequest, refusal *core.Refusal) core.VMID {
	finder, ok := p.ledger.(claims.HomeFinder)
	if !ok || refusal.Reason != core.ReasonNotHome {
		return ""
	}
	return finder.HomeOf(p.config.Service, request.GetIdempotencyKey())
}

// enter waits for admission by the gate.
func (p *Process) enter(ctx context.Context, request *peerpb.CallRequest) (*gate.Permit, *core.Refusal) {
	deadline, _ := ctx.Deadline()
	return p.gate.Enter(ctx, gate.Request{
		Priority: core.Priority(min(request.GetPriority(), uint32(core.PrioritySummary))),
		Team:     core.TeamID(request.GetTeam()),
		Deadline: deadline,
	})
}

// callModel runs one attempt on the engine. It returns nil after a complete answer.
func (p *Process) callModel(ctx context.Context, request *peerpb.CallRequest, stream callStream) *core.Refusal {
	if _, refusal := p.servingTarget(core.VersionID(request.GetVersion())); refusal != nil {
		return refusal
	}
	permit, refusal := p.enter(ctx, request)
	if refusal != nil {
		return refusal
	}
	defer permit.Release()
	// The version may have changed while the call was waiting at the gate.
	target, refusal := p.servingTarget(core.VersionID(request.GetVersion()))
	if refusal != nil {
		return refusal
	}
	body, err := engine.ChatBody(request.GetBody(), core.RequestID(request.GetRequestId()), target.Version, int(request.GetResumeOffset()), int(request.GetPriority()))
	if err != nil {
		return core.NotRun(core.ReasonBadRequest, 0, "the body is not a JSON object")
	}
	answer, err := p.engine.Chat(ctx, body)
	if err != nil {
		alive := ctx.Err() == nil
		permit.Done(gate.Result{Failed: alive, Canceled: !alive, Unreachable: alive && errors.Is(err, engine.ErrNotSent)})
		return chatRefusal(ctx, err)
	}
	defer answer.Close()
	relay := modelRelay{
		id: core.RequestID(request.GetRequestId()), next: int(request.GetResumeOffset()), stream: stream, permit: permit, weights: p.weights, target: target,
	}
	refusal = relay.run(ctx, answer)
	permit.Done(gate.Result{Failed: refusal != nil && ctx.Err() == nil, Canceled: ctx.Err() != nil})
	if relay.mismatch {
		p.recordEngineChange()
	}
	return refusal
}

func chatRefusal(ctx context.Context, err error) *core.Refusal {
	switch {
	case ctx.Err() != nil:
		return core.Unknown(core.ReasonDeadline, 0, "the caller's time ran out")
	case errors.Is(err, engine.ErrWrongVersion):
		return core.NotRun(core.ReasonVersionMismatch, 0, "the engine changed its version")
	case errors.Is(err, engine.ErrNotSent):
		return core.NotRun(core.ReasonBackendFailed, defaultRetryAfter, "the engine can't be reached")
	default:
		return core.Unknown(core.ReasonBackendFailed, defaultRetryAfter, "the engine did not start the stream")
	}
}

// modelRelay forwards the events of an engine stream to the entry.
type modelRelay struct {
	id       core.RequestID
	stream   callStream
	permit   *gate.Permit
	weights  *weights
	target   activation.Target
	mismatch bool
	// next is the offset expected in the next token.
	next int
	// message and data are reused for each token. Send encodes them before it returns.
	message peerpb.CallEvent
	data    peerpb.CallData
}

// run forwards events until the engine ends the stream. Every event must have the
// stream's ID, the expected version and the next token offset. The first one is sent
// together with the head.
func (r *modelRelay) run(ctx context.Context, answer *engine.Stream) *core.Refusal {
	first := true
	matcher := newEventMatcher(r.id)
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return core.Unknown(core.ReasonDeadline, 0, "the caller's time ran out")
			}
			return incomplete("the engine cut the stream")
		}
		if first && !r.weights.confirm(ctx, r.target, answer.Boot) {
			r.mismatch = true
			return core.Unknown(core.ReasonVersionMismatch, 0, "the engine restarted")
		}
		if !matcher.matches(event.Raw) {
			return incomplete("the engine sent an event of another stream")
		}
		if event.Version != r.target.Version || event.Offset != r.next {
			r.mismatch = true
			return incomplete("the engine changed version or offset in the stream")
		}
		if err := r.send(event, first); err != nil {
			return incomplete("the entry is gone")
		}
		first = false
	}
}

// send forwards one token.
func (r *modelRelay) send(event engine.Event, first bool) error {
	r.permit.Token()
	r.next++
	r.message.Head = nil
	if first {
		r.message.Head = &peerpb.CallHead{Status: http.StatusOK, Version: string(r.target.Version)}
	}
	r.data.Body, r.data.TokenOffset = event.Raw, uint32(event.Offset)
	r.message.Data = &r.data
	return r.stream.Send(&r.message)
}

func incomplete(detail string) *core.Refusal {
	return core.Unknown(core.ReasonIncomplete, 0, "%s", detail)
}
