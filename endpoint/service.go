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

// callService runs one attempt on the plain service. It returns nil after a whole answer.
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

// keyedRefusal is a refusal with what is known of the call's key.
type keyedRefusal struct {
	*core.Refusal
	// unclaimed says that this process holds the key's partition and knows of no claim.
	unclaimed bool
}

func (p *Process) answerService(ctx context.Context, request *peerpb.CallRequest) (*claims.Answer, *keyedRefusal) {
	if request.GetIdempotent() {
		answer, refusal := p.passAndRun(ctx, request, p.execute)
		if refusal != nil {
			return nil, &keyedRefusal{Refusal: refusal}
		}
		return answer, nil
	}
	if request.GetIdempotencyKey() == "" {
		return nil, &keyedRefusal{Refusal: core.NotRun(core.ReasonKeyMissing, 0, "a call that may not be repeated needs an Idempotency-Key")}
	}
	alone := p.keys.enter(request.GetIdempotencyKey())
	defer p.keys.leave(request.GetIdempotencyKey())
	answer, refusal := p.passAndRun(ctx, request, p.runOnce)
	if refusal == nil {
		return answer, nil
	}
	return p.trueRefusal(ctx, request, refusal, alone)
}

// trueRefusal keeps a refusal from saying "not run" of a key that an earlier
// request may have run: it asks the ledger, and passes a stored answer on. alone
// says that no other request with the key was open here on arrival.
func (p *Process) trueRefusal(ctx context.Context, request *peerpb.CallRequest, refusal *core.Refusal, alone bool) (*claims.Answer, *keyedRefusal) {
	if refusal.Kind != core.OutcomeNotRun || refusal.Reason == core.ReasonKeyMismatch {
		return nil, &keyedRefusal{Refusal: refusal}
	}
	ctx = context.WithoutCancel(ctx)
	fate, answer := p.ledger.Lookup(ctx, p.config.Service, request.GetIdempotencyKey())
	switch {
	case fate == claims.FateAnswered && answer != nil:
		return answer, nil
	case fate == claims.FateNone && alone && p.unclaimed(ctx, request):
		return nil, &keyedRefusal{Refusal: refusal, unclaimed: true}
	case movesOn(refusal.Reason):
		return nil, &keyedRefusal{Refusal: refusal}
	default:
		unknown := *refusal
		unknown.Kind = core.OutcomeUnknown
		unknown.Detail += "; this request was not handed over, an earlier one with the key may have been"
		return nil, &keyedRefusal{Refusal: &unknown}
	}
}

// unclaimed asks the ledger to prove that no process has claimed the key.
func (p *Process) unclaimed(ctx context.Context, request *peerpb.CallRequest) bool {
	verifier, ok := p.ledger.(claims.Verifier)
	return ok && verifier.Unclaimed(ctx, p.config.Service, request.GetIdempotencyKey())
}

// movesOn reports whether the entry will ask another home of the key.
func movesOn(reason core.Reason) bool {
	switch reason {
	case core.ReasonNotHome, core.ReasonLeaving, core.ReasonZoneOut:
		return true
	default:
		return false
	}
}

// passAndRun takes a place at the gate and runs the call. A call has its place
// before its key is claimed, so that no claim is made for a call that the gate
// would refuse.
func (p *Process) passAndRun(ctx context.Context, request *peerpb.CallRequest, run runCall) (*claims.Answer, *core.Refusal) {
	pass, refusal := p.enter(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	defer pass.Release()
	return run(ctx, request, pass)
}

// runCall runs a call that has its place at the gate.
type runCall func(context.Context, *peerpb.CallRequest, *gate.Permit) (*claims.Answer, *core.Refusal)

// runOnce runs a call that may not be repeated under the ledger's guard.
func (p *Process) runOnce(ctx context.Context, request *peerpb.CallRequest, pass *gate.Permit) (*claims.Answer, *core.Refusal) {
	call := claims.Call{
		Service:     p.config.Service,
		Key:         request.GetIdempotencyKey(),
		Fingerprint: fingerprint(request),
		Request:     core.RequestID(request.GetRequestId()),
	}
	return p.ledger.Run(ctx, call, func(runCtx context.Context) (*claims.Answer, *core.Refusal) {
		// A request that waited in a frozen process or a cut link may have been
		// given up meanwhile, and its caller told that the key has not run.
		if ctx.Err() != nil {
			return nil, core.NotRun(core.ReasonCanceledByCaller, 0, "the entry gave the request up before it was handed over")
		}
		p.node.Recorder.Add(timeline.KindClaim, call.Request, string(p.node.VM), "Key claimed; the call is handed over.")
		p.running.Add(1)
		defer p.running.Done()
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(runCtx), ServiceTime)
		defer cancel()
		return p.execute(callCtx, request, pass)
	})
}

// fingerprint is a digest of what the call does.
func fingerprint(request *peerpb.CallRequest) core.Digest {
	text := request.GetMethod() + "\x00" + request.GetPath() + "\x00"
	return core.DigestOf(append([]byte(text), request.GetBody()...))
}

// execute hands the call to the service once and ends its place at the gate.
func (p *Process) execute(ctx context.Context, request *peerpb.CallRequest, pass *gate.Permit) (*claims.Answer, *core.Refusal) {
	start := time.Now()
	answer, err := p.service.Do(ctx, serviceRequest(request))
	elapsed := time.Since(start)
	away := ctx.Err() == nil && errors.Is(err, service.ErrNotSent)
	pass.Done(gate.Result{Failed: err != nil, Unreachable: away, FirstToken: elapsed, Tokens: 1, Elapsed: elapsed})
	if err == nil {
		return claimAnswer(answer), nil
	}
	if errors.Is(err, service.ErrNotSent) {
		return nil, core.NotRun(core.ReasonBackendFailed, time.Second, "the service can't be reached")
	}
	return nil, core.Unknown(core.ReasonBackendFailed, time.Second, "the service gave no whole answer; the call may have run")
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
