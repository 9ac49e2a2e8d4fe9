package endpoint

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/service"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// callService runs one attempt on the plain service. It returns nil after a complete
// answer.
func (p *Process) callService(ctx context.Context, request *peerpb.CallRequest, stream callStream) *keyedRefusal {
	answer, refusal := p.answerService(ctx, request)
	if refusal != nil {
		return refusal
	}
	if err := sendAnswer(stream, answer); err != nil {
		return &keyedRefusal{Refusal: incomplete("the entry is gone")}
	}
	return nil
}

// keyedRefusal is a refusal with the known state of the call's key.
type keyedRefusal struct {
	*core.Refusal
	// unclaimed is set if this process owns the key's partition and the key has no
	// claim.
	unclaimed bool
}

func (p *Process) answerService(ctx context.Context, request *peerpb.CallRequest) (*claims.Answer, *keyedRefusal) {
	if request.GetIdempotent() {
		answer, refusal := p.admitAndRun(ctx, request, p.execute)
		if refusal != nil {
			return nil, &keyedRefusal{Refusal: refusal}
		}
		return answer, nil
	}
	if request.GetIdempotencyKey() == "" {
		return nil, &keyedRefusal{Refusal: core.NotRun(core.ReasonKeyMissing, 0, "a call that may not be repeated needs an Idempotency-Key")}
	}
	onlyRequest := p.keys.enter(request.GetIdempotencyKey())
	defer p.keys.leave(request.GetIdempotencyKey())
	answer, refusal := p.admitAndRun(ctx, request, p.runOnce)
	if refusal == nil {
		return answer, nil
	}
	return p.reconcileRefusal(ctx, request, refusal, onlyRequest)
}

// reconcileRefusal makes sure that a refusal with outcome "not run" is only returned if
// no earlier request with the key may have run. It looks up the key in the ledger and
// returns a stored answer if there is one. onlyRequest is whether no other request with
// the key was open here on arrival.
func (p *Process) reconcileRefusal(ctx context.Context, request *peerpb.CallRequest, refusal *core.Refusal, onlyRequest bool) (*claims.Answer, *keyedRefusal) {
	if refusal.Kind != core.OutcomeNotRun || refusal.Reason == core.ReasonKeyMismatch {
		return nil, &keyedRefusal{Refusal: refusal}
	}
	ctx = context.WithoutCancel(ctx)
	fate, answer := p.ledger.Lookup(ctx, p.config.Service, request.GetIdempotencyKey())
	switch {
	case fate == claims.FateAnswered && answer != nil:
		return answer, nil
	case fate == claims.FateNone && onlyRequest && p.unclaimed(ctx, request):
		return nil, &keyedRefusal{Refusal: refusal, unclaimed: true}
	case triesOtherHome(refusal.Reason):
		return nil, &keyedRefusal{Refusal: refusal}
	default:
		unknown := *refusal
		unknown.Kind = core.OutcomeUnknown
		unknown.Detail += "; this request was not handed over, an earlier one with the key may have been"
		return nil, &keyedRefusal{Refusal: &unknown}
	}
}

// unclaimed reports whether the ledger has verified that no process has claimed the
// key.
func (p *Process) unclaimed(ctx context.Context, request *peerpb.CallRequest) bool {
	verifier, ok := p.ledger.(claims.Verifier)
	return ok && verifier.Unclaimed(ctx, p.config.Service, request.GetIdempotencyKey())
}

// triesOtherHome reports whether the entry tries another home of the key after a
// refusal with this reason.
func triesOtherHome(reason core.Reason) bool {
	switch reason {
	case core.ReasonNotHome, core.ReasonLeaving, core.ReasonZoneOut:
		return true
	default:
		return false
	}
}

// admitAndRun waits for admission by the gate and runs the call. Admission comes before
// the claim on the key, so that no claim is made for a call that the gate rejects.
func (p *Process) admitAndRun(ctx context.Context, request *peerpb.CallRequest, run runCall) (*claims.Answer, *core.Refusal) {
	permit, refusal := p.enter(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	defer permit.Release()
	return run(ctx, request, permit)
}

// runCall runs a call that the gate has admitted.
type runCall func(context.Context, *peerpb.CallRequest, *gate.Permit) (*claims.Answer, *core.Refusal)

// runOnce runs a non-idempotent call under a claim of the ledger.
func (p *Process) runOnce(ctx context.Context, request *peerpb.CallRequest, permit *gate.Permit) (*claims.Answer, *core.Refusal) {
	call := claims.Call{
		Service:     p.config.Service,
		Key:         request.GetIdempotencyKey(),
		Fingerprint: fingerprint(request),
		Request:     core.RequestID(request.GetRequestId()),
	}
	return p.ledger.Run(ctx, call, func(runCtx context.Context) (*claims.Answer, *core.Refusal) {
		// The request may have been delayed by a paused process or a broken
		// connection. In the meantime the entry may have canceled it and reported
		// to the caller that the call has not run.
		if ctx.Err() != nil {
			return nil, core.NotRun(core.ReasonCanceledByCaller, 0, "the entry gave the request up before it was handed over")
		}
		p.node.Recorder.Add(timeline.KindClaim, call.Request, string(p.node.VM), "Key claimed; the call is handed over.")
		p.running.Add(1)
		defer p.running.Done()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(runCtx), MaxServiceTime)
		defer cancel()
		return p.execute(callCtx, request, permit)
	})
}

// fingerprint returns a digest of the method, path and body of a call.
func fingerprint(request *peerpb.CallRequest) core.Digest {
	text := request.GetMethod() + "\x00" + request.GetPath() + "\x00"
	return core.DigestOf(append([]byte(text), request.GetBody()...))
}

// execute sends the call to the service once and reports the result to the gate.
func (p *Process) execute(ctx context.Context, request *peerpb.CallRequest, permit *gate.Permit) (*claims.Answer, *core.Refusal) {
	start := time.Now()
	answer, err := p.service.Do(ctx, serviceRequest(request))
	elapsed := time.Since(start)
	unreachable := ctx.Err() == nil && errors.Is(err, service.ErrNotSent)
	permit.Done(gate.Result{Failed: err != nil, Unreachable: unreachable, FirstToken: elapsed, Tokens: 1, Elapsed: elapsed})
	if err == nil {
		return claimAnswer(answer), nil
	}
	if errors.Is(err, service.ErrNotSent) {
		return nil, core.NotRun(core.ReasonBackendFailed, defaultRetryAfter, "the service can't be reached")
	}
	return nil, core.Unknown(core.ReasonBackendFailed, defaultRetryAfter, "the service gave no whole answer; the call may have run")
}

func serviceRequest(request *peerpb.CallRequest) *service.Request {
	out := &service.Request{Method: request.GetMethod(), Path: request.GetPath(), Body: request.GetBody()}
	for _, h := range request.GetHeaders() {
		out.Headers = append(out.Headers, service.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func claimAnswer(answer *service.Answer) *claims.Answer {
	out := &claims.Answer{Status: answer.Status, Body: answer.Body}
	for _, h := range answer.Headers {
		out.Headers = append(out.Headers, claims.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

func sendAnswer(stream callStream, answer *claims.Answer) error {
	head := &peerpb.CallHead{Status: uint32(answer.Status), Headers: pbHeaders(answer.Headers)}
	return stream.Send(&peerpb.CallEvent{Head: head, Data: &peerpb.CallData{Body: answer.Body}})
}

func pbHeaders(headers []claims.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

// Ask implements peerpb.EndpointServer.
func (p *Process) Ask(ctx context.Context, request *peerpb.AskRequest) (*peerpb.AskReply, error) {
	fate, answer := p.ledger.Lookup(ctx, core.ServiceID(request.GetService()), request.GetIdempotencyKey())
	reply := &peerpb.AskReply{Fate: uint32(fate)}
	if answer != nil {
		reply.Status = uint32(answer.Status)
		reply.Headers = pbHeaders(answer.Headers)
		reply.Body = answer.Body
	}
	return reply, nil
}

// FetchChunk implements peerpb.EndpointServer.
func (p *Process) FetchChunk(request *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	if p.spreader == nil {
		return stream.Send(&peerpb.ChunkPart{Missing: true})
	}
	return p.spreader.ServeChunk(request, stream)
}
