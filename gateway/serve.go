package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
	"github.com/zinniaseam/zinniaseam/placement"
)

// Bounds on the data, attempts and time of a call.
const (
	// maxHeadBytes bounds the head of a request, to which net/http adds 4 KiB; deployments
	// declare 16 KiB. defaultMaxBody bounds its body if the declaration sets no limit, in bytes.
	maxHeadBytes   = 28 << 10
	defaultMaxBody = 4 << 20
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// maxRejectionBytes and rejectionTimeout bound the reading of a rejection's body, which
	// is not passed on.
	maxRejectionBytes = 64 << 10
	rejectionTimeout  = 250 * time.Millisecond
	// maxEventsPerToken and maxExtraEvents bound the events of a stream by the maximum of
	// output tokens. An event has at least one token, or is a comment or a final event.
	maxEventsPerToken = 2
	maxExtraEvents    = 64
	// maxRejectedSends bounds the sends of one call that endpoints reject.
	maxRejectedSends = 3
	// answerMargin is subtracted from the deadline so that the final answer arrives in
	// time.
	answerMargin = 20 * time.Millisecond
)

// serveCall serves one call.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	arrived := g.now()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	maxBody := int64(defaultMaxBody)
	if deployment := g.tracker.View().Deployment; deployment != nil && deployment.Limits.BodyBytes > 0 {
		maxBody = deployment.Limits.BodyBytes
	}
	call, memory, err := g.readCall(w, r, maxBody)
	if err != nil {
		g.rejectUnread(w, r, err)
		return
	}
	if memory != nil {
		defer memory.Close()
	}
	// The body may have arrived long after the head.
	view, admittedAt := g.tracker.View(), g.now()
	a, rejected := g.check(view, call, arrived, admittedAt)
	if rejected != nil && rejected.unconfirmed && g.confirmer.confirm() {
		view, admittedAt = g.tracker.View(), g.now()
		a, rejected = g.check(view, call, arrived, admittedAt)
	}
	if rejected != nil {
		g.reject(w, call, rejected, "ageMs", admittedAt.Sub(view.ConfirmedAt).Milliseconds(), "declaration", view.DeclarationRevision())
		return
	}
	if !g.takes(a) {
		w.Header().Set("Connection", "close")
		g.reject(w, call, stopped, "route", a.route.Name, "team", a.teamName())
		return
	}
	g.budgets.earn(a.service)
	ctx, cancel := context.WithTimeoutCause(r.Context(), a.deadline.Sub(g.now())-answerMargin, errDeadline)
	defer cancel()
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	defer context.AfterFunc(g.ending, func() { abandon(errStopped) })()
	s := &session{gateway: g, admitted: a, memory: memory, writer: w, ctx: ctx, abandon: abandon, lastEvent: call.LastEvent}
	if part, admitted := g.quarantine.admit(s); !admitted {
		g.reject(w, call, quarantined, "route", a.route.Name, "team", a.teamName(), "part", part)
		return
	}
	defer g.quarantine.leave(s)
	s.run()
}

// errEndpointLost is the cancellation cause of an attempt whose endpoint is
// unreachable.
var errEndpointLost = errors.New("endpoint unreachable")

// errOverdue is the cancellation cause of an attempt that is moved to another endpoint.
var errOverdue = errors.New("first byte overdue")

// errQuarantined is the cancellation cause of a call whose prompt has a part that has been
// quarantined since the call arrived.
var errQuarantined = errors.New("part of the prompt quarantined")

// errStopped is the cancellation cause of a call that still runs when the process ends.
var errStopped = errors.New("process stopped")

// stopped rejects a call that would outlast the process.
var stopped = &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonLeaving, retryAfter: elsewhereRetryAfter}

// errDeadline is the cancellation cause of a call whose deadline has passed.
var errDeadline = errors.New("call deadline exceeded")

// rejectUnread rejects a request whose body has not been read to its end. Its connection is
// closed, so that the rest of the body takes neither memory nor time.
func (g *Gateway) rejectUnread(w http.ResponseWriter, r *http.Request, err error) {
	status, reason := http.StatusBadRequest, core.ReasonBadRequest
	switch {
	case forward.TooLong(err):
		status, reason = http.StatusRequestEntityTooLarge, core.ReasonTooLarge
	case forward.NoMemory(err):
		status, reason = http.StatusServiceUnavailable, core.ReasonNoMemory
		g.dialect.SetRetryAfter(w.Header(), elsewhereRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = http.StatusRequestTimeout, core.ReasonDeadline
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedReadTimeout))
	w.WriteHeader(status)
	rejections.Add(string(reason), 1)
	g.unreadLines.Info("Reading the request failed; rejecting it.", "request", g.dialect.ReadCall(r, nil).ID, "status", status, "reason", reason,
		"caller", r.RemoteAddr, "host", r.Host, "length", r.ContentLength, "memoryUsed", g.memory.Used(), "memoryCapacity", g.memory.Capacity(), "err", err)
}

// reject answers a call with a rejection. details are additional log keys and values.
func (g *Gateway) reject(w http.ResponseWriter, call *forward.Call, rejected *rejection, details ...any) {
	if rejected.retryAfter > 0 {
		g.dialect.SetRetryAfter(w.Header(), rejected.retryAfter)
	}
	w.WriteHeader(rejected.status)
	g.log.Info("Call rejected.", append([]any{"request", call.ID, "status", rejected.status, "reason", rejected.reason,
		"retryAfterMs", rejected.retryAfter.Milliseconds()}, details...)...)
	rejections.Add(string(rejected.reason), 1)
}

// session is one call and its attempts.
type session struct {
	gateway  *Gateway
	admitted *admitted
	// memory holds the body of the call, nil if it has none.
	memory *membudget.Holder
	writer http.ResponseWriter
	ctx    context.Context
	// abandon ends ctx with a cause.
	abandon context.CancelCauseFunc

	tried []fleet.EndpointID
	// sends counts the attempts that may have run, rejectedSends those that have not.
	sends, rejectedSends int
	// headSent is set when the head of an answer has been passed on.
	headSent bool
	// mediaType is the media type of the stream whose head has been passed on.
	mediaType string
	// lastEvent is the ID of the last event that was passed on.
	lastEvent string
	// lastEventAt is when it was passed on, 0 before the first.
	lastEventAt boottime.Instant
	events      int64
	// endpoint is where the current attempt was sent, at sentAt. begunAt is when the
	// attempt's first event or complete answer arrived, 0 before.
	endpoint        *fleet.Endpoint
	sentAt, begunAt boottime.Instant
	// begun is set once the call has begun to be answered. trial is set for a call that is sent
	// to find out whether trialPart, which is suspended or quarantined, still ends engines.
	begun     atomic.Bool
	trial     bool
	trialPart core.PromptPart
	// triedAt is when the trial was recorded for which the call was sent last.
	triedAt boottime.Instant
	// held is how long the call has waited while a part of its prompt was suspended.
	held time.Duration
	// provedSound is set once the current attempt has shown that the call does not end its
	// engine.
	provedSound bool
	// lost is set if the attempt's connection ended before the answer was complete.
	lost bool
}

// step is the next step after an attempt.
type step uint8

const (
	stepDone step = iota
	// stepRetry retries at another endpoint, if the call may be sent again.
	stepRetry
	// stepRetryApproved retries at another endpoint; retryStep has permitted it already.
	stepRetryApproved
	// stepNotRun ends the call as one that has not run.
	stepNotRun
	// stepUnknown ends the call as one that may have run.
	stepUnknown
)

// run places and sends the call until it is answered or no further attempt is
// permitted.
func (s *session) run() {
	for {
		if rejected, part := s.gateway.quarantine.await(s); rejected != nil {
			s.endHeld(rejected, part)
			return
		}
		ticket, decision := s.gateway.scheduler.place(s.ctx, s.admitted.request(s.tried, s.headSent, s.lastEventAt))
		if decision.Verdict != placement.Place {
			s.notPlaced(decision)
			return
		}
		if s.ctx.Err() != nil {
			s.gateway.scheduler.ended(ticket, placement.OutcomeCanceled)
			s.notPlaced(decision)
			return
		}
		if !s.gateway.quarantine.maySend(s) {
			s.gateway.scheduler.ended(ticket, placement.OutcomeCanceled)
			continue
		}
		next := s.attempt(ticket, decision)
		if s.lost {
			next = s.afterLoss(next)
		}
		if next == stepRetry {
			next = s.retryStep()
		}
		switch next {
		case stepDone:
			return
		case stepNotRun:
			s.rejectNotRun(core.ReasonOverloaded, decision)
			return
		case stepUnknown:
			s.fail(core.ReasonConnectionLost)
			return
		}
	}
}

// afterLoss reports a lost connection, and ends the call instead of a retry if its engine
// has ended and the call may have been the cause.
func (s *session) afterLoss(next step) step {
	ended := s.gateway.quarantine.connectionLost(s)
	if ended && next != stepDone && !s.gateway.quarantine.mayRepeat(s) {
		s.gateway.log.Warn("The engine of the call ended, and the call may be the cause; it is not sent again.", "request", s.admitted.call.ID,
			"endpoint", s.endpoint.ID, "boot", s.endpoint.Boot, "parts", loggedParts(s.admitted.call.SharedParts), "sends", s.sends)
		return stepUnknown
	}
	return next
}

// retryStep returns stepRetry if the call may be sent once more, and otherwise the step
// that ends it.
func (s *session) retryStep() step {
	end := stepUnknown
	if s.sends == 0 {
		end = stepNotRun
	}
	switch {
	case s.ctx.Err() != nil:
		return end
	case s.sends > 0 && (!s.admitted.route.Retryable() || s.sends >= s.admitted.route.MaxAttempts):
		return end
	case s.rejectedSends >= maxRejectedSends:
		return end
	case !s.gateway.budgets.take(s.admitted.service):
		return end
	}
	return stepRetry
}

// notPlaced ends a call that was not placed.
func (s *session) notPlaced(decision placement.Decision) {
	reason := decision.Reason
	switch {
	case s.quarantined():
		reason = core.ReasonQuarantined
	case s.sends > 0 || s.headSent:
		reason = core.ReasonNoEndpoint
	case errors.Is(context.Cause(s.ctx), errStopped):
		reason = core.ReasonLeaving
	case decision.Verdict != placement.Reject:
		reason = core.ReasonDeadline
	}
	if s.sends > 0 || s.headSent {
		s.fail(reason)
		return
	}
	s.rejectNotRun(reason, decision)
}

// endHeld ends a call whose prompt has a part that is suspended or quarantined.
func (s *session) endHeld(rejected *rejection, part core.PromptPart) {
	switch {
	case s.ctx.Err() != nil:
		s.notPlaced(placement.Decision{})
	case s.sends > 0 || s.headSent:
		s.fail(core.ReasonQuarantined)
	default:
		s.gateway.reject(s.writer, s.admitted.call, rejected, "route", s.admitted.route.Name, "team", s.admitted.teamName(), "part", part, "waitedMs", s.held.Milliseconds())
	}
}

// quarantined reports whether a part of the call's prompt has been quarantined since the
// call arrived.
func (s *session) quarantined() bool { return errors.Is(context.Cause(s.ctx), errQuarantined) }

// elsewhereRetryAfter is the retry time of calls that have not run, where no room is predicted: a
// retry reaches another process, or another endpoint.
const elsewhereRetryAfter = 200 * time.Millisecond

func (s *session) rejectNotRun(reason core.Reason, decision placement.Decision) {
	if errors.Is(context.Cause(s.ctx), context.Canceled) {
		s.callerDisconnected()
		return
	}
	rejected := &rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: decision.RetryAfter}
	if rejected.retryAfter <= 0 {
		rejected.retryAfter = elsewhereRetryAfter
	}
	if s.quarantined() {
		rejected = quarantined
	}
	if decision.StandingFor > 0 {
		standingRejections.Add(1)
	}
	s.gateway.reject(s.writer, s.admitted.call, rejected, "route", s.admitted.route.Name, "team", s.admitted.teamName(), "waitedMs", decision.Waited.Milliseconds(),
		"timeLeftMs", decision.TimeLeft.Milliseconds(), "startsInMs", decision.StartsIn.Milliseconds(), "ahead", decision.Ahead,
		"standingMs", decision.StandingFor.Milliseconds(), "candidates", decision.Candidates, "sends", s.rejectedSends, "endpoints", s.tried)
}

// fail ends a call that may have run.
func (s *session) fail(reason core.Reason) {
	if errors.Is(context.Cause(s.ctx), context.Canceled) {
		s.callerDisconnected()
		return
	}
	switch {
	case s.quarantined():
		reason = core.ReasonQuarantined
	case errors.Is(context.Cause(s.ctx), errStopped):
		reason = core.ReasonLeaving
		s.writer.Header().Set("Connection", "close")
	}
	if s.headSent {
		s.gateway.log.Warn("Answer interrupted; aborting the connection to the caller.", "request", s.admitted.call.ID, "reason", reason, "events", s.events, "sends", s.sends)
		outcomes.Add("cut", 1)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if errors.Is(context.Cause(s.ctx), errDeadline) {
		status, reason = http.StatusGatewayTimeout, core.ReasonDeadline
	}
	s.gateway.log.Warn("Call failed; it may have run.", "request", s.admitted.call.ID, "status", status, "reason", reason, "sends", s.sends, "endpoints", s.tried)
	outcomes.Add("unknown", 1)
	s.writer.WriteHeader(status)
}

// callerDisconnected ends a call whose caller disconnected, by aborting its handler.
func (s *session) callerDisconnected() {
	s.gateway.log.Info("Caller disconnected; the call was canceled.", "request", s.admitted.call.ID, "sends", s.sends, "events", s.events)
	outcomes.Add("left", 1)
	panic(http.ErrAbortHandler)
}
