// Package endpoint is the process in the slot of an endpoint VM. It stands
// beside one model engine or one plain service: it bounds the work handed to
// it, guards calls that may not be repeated, fetches weights and orders the
// engine to serve exactly the declared version.
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

// Bounds on one call.
const (
	// MaxCallTime bounds a call whose caller gave no deadline.
	MaxCallTime = 10 * time.Minute
	// ServiceTime bounds one call of a plain service, whatever the caller's deadline.
	ServiceTime = 60 * time.Second
)

// callStream is the sending end of a Call.
type callStream = grpc.ServerStreamingServer[peerpb.CallEvent]

// Call implements peerpb.EndpointServer.
func (p *Process) Call(request *peerpb.CallRequest, stream callStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), remaining(request))
	defer cancel()
	refusal := p.dispatch(ctx, request, stream)
	if refusal == nil {
		return stream.Send(&peerpb.CallEvent{End: &peerpb.CallEnd{Load: p.load(), Cache: p.cacheNews(request)}})
	}
	p.recordRefusal(request, refusal.Refusal)
	message := p.refused(request, refusal.Refusal)
	message.KeyUnclaimed = refusal.unclaimed
	return stream.Send(&peerpb.CallEvent{Refused: message})
}

// dispatch runs the call on the engine or the service. It returns nil after a whole answer.
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

func (p *Process) refused(request *peerpb.CallRequest, refusal *core.Refusal) *peerpb.CallRefused {
	return &peerpb.CallRefused{
		Outcome:      uint32(refusal.Kind),
		Reason:       string(refusal.Reason),
		Detail:       refusal.Detail,
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
		Home:         string(p.homeOf(request, refusal)),
		Load:         p.load(),
	}
}

// homeOf returns the VM that took over the key of a refused call, if known.
func (p *Process) homeOf(request *peerpb.CallRequest, refusal *core.Refusal) core.VMID {
	finder, ok := p.ledger.(claims.HomeFinder)
	if !ok || refusal.Reason != core.ReasonNotHome {
		return ""
	}
	return finder.HomeOf(p.config.Service, request.GetIdempotencyKey())
}

// enter asks the gate for room.
func (p *Process) enter(ctx context.Context, request *peerpb.CallRequest) (*gate.Permit, *core.Refusal) {
	deadline, _ := ctx.Deadline()
	return p.gate.Enter(ctx, gate.Request{
		Priority: core.Priority(min(request.GetPriority(), uint32(core.PrioritySummary))),
		Team:     core.TeamID(request.GetTeam()),
		Deadline: deadline,
	})
}

// callModel runs one attempt on the engine. It returns nil after a whole answer.
func (p *Process) callModel(ctx context.Context, request *peerpb.CallRequest, stream callStream) *core.Refusal {
	if _, refusal := p.servable(core.VersionID(request.GetVersion())); refusal != nil {
		return refusal
	}
	pass, refusal := p.enter(ctx, request)
	if refusal != nil {
		return refusal
	}
	defer pass.Release()
	// The version may have changed while the call waited at the gate.
	target, refusal := p.servable(core.VersionID(request.GetVersion()))
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
		pass.Done(gate.Result{Failed: alive, Canceled: !alive, Unreachable: alive && errors.Is(err, engine.ErrNotSent)})
		return chatRefusal(ctx, err)
	}
	defer answer.Close()
	relay := modelRelay{
		id: core.RequestID(request.GetRequestId()), next: int(request.GetResumeOffset()), stream: stream, pass: pass, weights: p.weights, target: target,
	}
	refusal = relay.run(ctx, answer)
	pass.Done(gate.Result{Failed: refusal != nil && ctx.Err() == nil, Canceled: ctx.Err() != nil})
	if relay.mismatch {
		p.engineChanged()
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
		return core.NotRun(core.ReasonBackendFailed, time.Second, "the engine can't be reached")
	default:
		return core.Unknown(core.ReasonBackendFailed, time.Second, "the engine did not start the stream")
	}
}

// modelRelay passes the events of one engine stream to the entry.
type modelRelay struct {
	id       core.RequestID
	stream   callStream
	pass     *gate.Permit
	weights  *weights
	target   activation.Target
	mismatch bool
	// next is the offset that the next token must carry.
	next int
	// message and data are filled anew for each token; Send encodes them before it returns.
	message peerpb.CallEvent
	data    peerpb.CallData
}

// run relays events until the engine ends the stream. Every event must carry
// the stream's ID, the expected version and the next token offset. The head goes with the first.
func (r *modelRelay) run(ctx context.Context, answer *engine.Stream) *core.Refusal {
	first := true
	owner := newEventOwner(r.id)
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
		if !owner.owns(event.Raw) {
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

// send passes one token on.
func (r *modelRelay) send(event engine.Event, first bool) error {
	r.pass.Token()
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
