package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/placement"
)

// Bounds on what callers and endpoints may send.
const (
	maxHeadBytes   = 64 << 10
	defaultMaxBody = 4 << 20
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// maxRefusedSends bounds the endpoints that may refuse one call.
	maxRefusedSends = 3
	// answerMargin is kept from the deadline so that the final answer arrives by it.
	answerMargin = 20 * time.Millisecond
)

// serveCall answers one call.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	arrived := g.now()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	view := g.holder.View()
	maxBody := int64(defaultMaxBody)
	if view.Deployment != nil && view.Deployment.Limits.BodyBytes > 0 {
		maxBody = view.Deployment.Limits.BodyBytes
	}
	call, err := g.dialect.ReadCall(r, maxBody)
	if err != nil {
		g.refuseUnread(w, r, err)
		return
	}
	a, refused := g.check(view, call, arrived)
	if refused != nil {
		g.refuse(w, call, refused, "ageMs", arrived.Sub(view.ConfirmedAt).Milliseconds())
		return
	}
	g.budgets.earn(a.service)
	ctx, cancel := context.WithTimeoutCause(r.Context(), a.deadline.Sub(g.now())-answerMargin, errDeadline)
	defer cancel()
	s := &session{gateway: g, admitted: a, writer: w, ctx: ctx, lastEvent: call.LastEvent}
	s.run()
}

// errEndpointLost is the cause of an attempt's context whose endpoint is not reachable.
var errEndpointLost = errors.New("the endpoint is not reachable")

// errOverdue is the cause of an attempt's context that is moved to another endpoint.
var errOverdue = errors.New("the first byte is long overdue")

// errDeadline is the cause of a context whose call's time is over.
var errDeadline = errors.New("the time of the call is over")

func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	if g.dialect.TooLarge(err) {
		status = http.StatusRequestEntityTooLarge
	}
	g.log.Info("Request not read.", "status", status, "host", r.Host, "err", err)
	w.WriteHeader(status)
}

// refuse ends a call with an answer of this process.
func (g *Gateway) refuse(w http.ResponseWriter, call *forward.Call, refused *refusal, details ...any) {
	if refused.retryAfter > 0 {
		g.dialect.SetRetryAfter(w.Header(), refused.retryAfter)
	}
	w.WriteHeader(refused.status)
	g.log.Info("Refused.", append([]any{"request", call.ID, "status", refused.status, "reason", refused.reason,
		"retryAfterMs", refused.retryAfter.Milliseconds()}, details...)...)
	refusals.Add(string(refused.reason), 1)
}

// session is one call on its way through endpoints.
type session struct {
	gateway  *Gateway
	admitted *admitted
	writer   http.ResponseWriter
	ctx      context.Context

	tried []fleet.EndpointID
	// sends counts the attempts that may have run, refusedSends those that have not.
	sends, refusedSends int
	// begun says that the head of an answer was passed on.
	begun bool
	// lastEvent is the ID of the last event that was passed on.
	lastEvent string
	events    int64
}

// step is what to do after an attempt.
type step uint8

const (
	stepDone step = iota
	// stepAgain asks for another endpoint, if the call may be sent again.
	stepAgain
	// stepAgainPaid asks for another endpoint, after again has allowed it.
	stepAgainPaid
	// stepNotRun ends the call as one that has not run.
	stepNotRun
	// stepUnknown ends the call as one that may have run.
	stepUnknown
)

// run places the call and sends it until it is answered or given up.
func (s *session) run() {
	for {
		ticket, decision := s.gateway.scheduler.place(s.ctx, s.admitted.request(s.tried, s.begun))
		if decision.Verdict != placement.Place {
			s.notPlaced(decision)
			return
		}
		if s.ctx.Err() != nil {
			s.gateway.scheduler.ended(ticket, placement.EndLeft)
			s.notPlaced(decision)
			return
		}
		next := s.attempt(ticket, decision)
		if next == stepAgain {
			next = s.again()
		}
		switch next {
		case stepDone:
			return
		case stepNotRun:
			s.refuseNotRun(core.ReasonOverloaded, decision)
			return
		case stepUnknown:
			s.giveUp(core.ReasonConnectionLost)
			return
		}
	}
}

// again reports whether the call may be sent once more.
func (s *session) again() step {
	end := stepUnknown
	if s.sends == 0 {
		end = stepNotRun
	}
	switch {
	case s.ctx.Err() != nil:
		return end
	case s.sends > 0 && (!s.admitted.route.Retryable() || s.sends >= s.admitted.route.MaxAttempts):
		return end
	case s.refusedSends >= maxRefusedSends:
		return end
	case !s.gateway.budgets.take(s.admitted.service):
		return end
	}
	return stepAgain
}

// notPlaced ends a call that has no endpoint.
func (s *session) notPlaced(decision placement.Decision) {
	if s.sends > 0 || s.begun {
		s.giveUp(core.ReasonNoEndpoint)
		return
	}
	reason := decision.Reason
	if decision.Verdict != placement.Reject {
		reason = core.ReasonDeadline
	}
	s.refuseNotRun(reason, decision)
}

const minimumRetryAfter = 200 * time.Millisecond

func (s *session) refuseNotRun(reason core.Reason, decision placement.Decision) {
	if errors.Is(context.Cause(s.ctx), context.Canceled) {
		s.left()
		return
	}
	s.gateway.refuse(s.writer, s.admitted.call, &refusal{
		status: http.StatusServiceUnavailable, reason: reason, retryAfter: max(decision.RetryAfter, minimumRetryAfter),
	}, "route", s.admitted.route.Name, "team", s.admitted.teamName(), "waitedMs", decision.Waited.Milliseconds(),
		"candidates", decision.Candidates, "sends", s.refusedSends)
}

// giveUp ends a call that may have run.
func (s *session) giveUp(reason core.Reason) {
	if errors.Is(context.Cause(s.ctx), context.Canceled) {
		s.left()
		return
	}
	if s.begun {
		s.gateway.log.Warn("Answer cut.", "request", s.admitted.call.ID, "reason", reason, "events", s.events, "sends", s.sends)
		outcomes.Add("cut", 1)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if errors.Is(context.Cause(s.ctx), errDeadline) {
		status, reason = http.StatusGatewayTimeout, core.ReasonDeadline
	}
	s.gateway.log.Warn("Fate unknown.", "request", s.admitted.call.ID, "status", status, "reason", reason, "sends", s.sends, "endpoints", s.tried)
	outcomes.Add("unknown", 1)
	s.writer.WriteHeader(status)
}

// left ends a call whose caller went away.
func (s *session) left() {
	s.gateway.log.Info("Caller left.", "request", s.admitted.call.ID, "sends", s.sends, "events", s.events)
	outcomes.Add("left", 1)
	panic(http.ErrAbortHandler)
}

// remaining is how long an endpoint may work.
func (s *session) remaining() time.Duration {
	return s.admitted.deadline.Sub(s.gateway.now()) - answerMargin
}

// attempt sends the call to one endpoint and passes its answer on.
func (s *session) attempt(ticket *placement.Ticket, decision placement.Decision) step {
	g := s.gateway
	endpoint := decision.Endpoint
	s.tried = append(s.tried, endpoint.ID)
	attempt := forward.Attempt{
		Call: s.admitted.call, Endpoint: endpoint, Team: s.admitted.teamName(), Remaining: s.remaining(),
		LastEvent: s.lastEvent,
	}
	sent := g.now()
	answer, err := g.pool.Do(g.scheduler.attempt(s.ctx, ticket), g.dialect, attempt, s.admitted.route.Retryable())
	if err != nil {
		return s.failed(ticket, decision, err)
	}
	defer answer.Close()
	if load := answer.Judgement.Load; load != nil {
		g.scheduler.report(endpoint.ID, placement.Report{Running: load.Running, Waiting: load.Waiting, At: g.now()})
	}
	if answer.Judgement.NotRun {
		return s.refusedBy(ticket, decision, answer)
	}
	s.sends++
	g.scheduler.started(ticket)
	firstByte.Record(g.now().Sub(s.admitted.arrived))
	var ending placement.Ending
	var next step
	if s.admitted.route.Kind == catalogue.KindStream && answer.Status == http.StatusOK {
		ending, next = s.passEvents(answer)
	} else {
		ending, next = s.passWhole(answer)
	}
	if s.ctx.Err() != nil && next != stepDone {
		ending = placement.EndLeft
	}
	g.scheduler.ended(ticket, ending)
	g.log.Info("Attempt ended.", "request", s.admitted.call.ID, "route", s.admitted.route.Name, "endpoint", endpoint.ID,
		"status", answer.Status, "ending", ending, "events", s.events, "patienceMs", s.admitted.call.Patience.Milliseconds(), "returned", s.admitted.returned, "load", decision.Load, "loadAgeMs", decision.LoadAge.Milliseconds(),
		"expectedMs", decision.Expected.Milliseconds(), "waitedMs", decision.Waited.Milliseconds(), "ms", g.now().Sub(sent).Milliseconds(),
		"prompt", s.admitted.call.PromptTokens, "output", s.admitted.call.OutputTokens, "maxOutput", s.admitted.call.MaxOutputTokens)
	return next
}

// failed ends an attempt without an answer.
func (s *session) failed(ticket *placement.Ticket, decision placement.Decision, err error) step {
	ending := placement.EndFailed
	notSent := errors.Is(err, forward.ErrNotSent)
	switch {
	case s.ctx.Err() != nil:
		ending = placement.EndLeft
	case errors.Is(err, errOverdue):
		ending = placement.EndOverdue
	}
	if notSent {
		s.refusedSends++
	} else {
		s.sends++
	}
	s.gateway.scheduler.ended(ticket, ending)
	s.gateway.log.Warn("Attempt failed.", "request", s.admitted.call.ID, "endpoint", decision.Endpoint.ID, "sent", !notSent,
		"load", decision.Load, "expectedMs", decision.Expected.Milliseconds(), "err", err)
	return stepAgain
}

// refusedBy ends an attempt that the endpoint did not run.
func (s *session) refusedBy(ticket *placement.Ticket, decision placement.Decision, answer *forward.Answer) step {
	ending := placement.EndRefused
	if answer.Judgement.Misdirected {
		ending = placement.EndMisdirected
	}
	if _, err := answer.ReadAll(maxAnswerBytes); err != nil {
		s.gateway.log.Warn("Refusal not read whole.", "request", s.admitted.call.ID, "err", err)
	}
	s.refusedSends++
	s.gateway.scheduler.ended(ticket, ending)
	s.gateway.log.Info("Endpoint refused.", "request", s.admitted.call.ID, "endpoint", decision.Endpoint.ID, "status", answer.Status,
		"misdirected", answer.Judgement.Misdirected, "load", decision.Load, "loadAgeMs", decision.LoadAge.Milliseconds())
	return stepAgain
}
