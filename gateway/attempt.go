package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// remaining returns the time left for an endpoint to answer.
func (s *session) remaining() time.Duration {
	return s.admitted.deadline.Sub(s.gateway.now()) - answerMargin
}

// attempt sends the call to one endpoint and passes its answer on.
func (s *session) attempt(ticket *placement.Ticket, decision placement.Decision) step {
	g := s.gateway
	endpoint := decision.Endpoint
	s.tried = append(s.tried, endpoint.ID)
	attempt := forward.Attempt{
		Call: s.admitted.call, Endpoint: endpoint, Team: s.admitted.teamName(), LastEvent: s.lastEvent,
		Rank: slotshare.Rank(ticket.Request.Priority), Ranked: g.config.Contention,
		Start:    func() (time.Duration, bool) { return s.remaining(), g.scheduler.mayStart(ticket) },
		Received: func(c forward.Classification) { s.endpointSaid(endpoint, c) },
	}
	sent := g.now()
	s.endpoint, s.sentAt, s.begunAt, s.lost, s.provedSound = endpoint, sent, 0, false, false
	answer, err := g.pool.Do(g.scheduler.attempt(s.ctx, ticket), g.dialect, attempt, s.admitted.route.Retryable())
	if err != nil {
		return s.attemptFailed(ticket, decision, err)
	}
	defer answer.Close()
	if load := answer.Classification.Load; load != nil {
		g.scheduler.report(endpoint.ID, placement.LoadReport{Running: load.Running, Waiting: load.Waiting, Slowdown: load.Slowdown, At: g.now()})
	}
	if answer.Classification.NotRun {
		return s.attemptRejected(ticket, decision, answer)
	}
	s.sends++
	g.scheduler.started(ticket)
	firstByte.Record(g.now().Sub(s.admitted.arrived))
	if ran := answer.Classification.Weights; ran > 0 && ran < decision.NewestWeights && decision.SupersededFor >= 0 {
		olderWeights.Record(decision.SupersededFor + g.now().Sub(sent))
	}
	var outcome placement.Outcome
	var next step
	if s.admitted.route.Kind == catalogue.KindStream && answer.Status == http.StatusOK {
		outcome, next = s.forwardEvents(answer)
	} else {
		outcome, next = s.forwardBuffered(answer)
	}
	if s.ctx.Err() != nil && next != stepDone {
		outcome = placement.OutcomeCanceled
	}
	g.scheduler.ended(ticket, outcome)
	if outcome == placement.OutcomeAnswered {
		g.durations.Observe(s.admitted.route.Name, g.now().Sub(sent))
	}
	if outcome == placement.OutcomeAnswered && answer.Status < http.StatusMultipleChoices && !s.provedSound {
		if s.begunAt == 0 {
			s.begunAt = g.now()
		}
		g.quarantine.proved(s)
	}
	g.log.Info("Attempt ended.", "request", s.admitted.call.ID, "route", s.admitted.route.Name, "endpoint", endpoint.ID,
		"status", answer.Status, "ending", outcome, "events", s.events, "timeoutMs", s.admitted.call.Timeout.Milliseconds(), "load", decision.Load, "loadAgeMs", decision.LoadAge.Milliseconds(),
		"expectedMs", decision.Expected.Milliseconds(), "pathMs", decision.PathDelay.Milliseconds(), "waitedMs", decision.Waited.Milliseconds(), "startsInMs", decision.StartsIn.Milliseconds(), "ahead", decision.Ahead, "ms", g.now().Sub(sent).Milliseconds(),
		"viewAgeMs", decision.ViewAge.Milliseconds(), "unregistered", decision.Unregistered,
		"startLimit", decision.StartLimit, "starts", decision.Starts, "granted", decision.Granted, "grantAgeMs", decision.GrantAge.Milliseconds(),
		"weights", decision.Weights, "ranOn", answer.Classification.Weights, "newestWeights", decision.NewestWeights, "supersededMs", supersededMs(decision),
		"begunMs", s.begunMs(), "parts", loggedParts(s.admitted.call.SharedParts),
		"prompt", s.admitted.call.PromptTokens, "output", s.admitted.call.OutputTokens, "maxOutput", s.admitted.call.MaxOutputTokens)
	return next
}

// begunMs returns how long the current attempt has been answering, -1 if it has not begun.
func (s *session) begunMs() int64 {
	if s.begunAt == 0 {
		return -1
	}
	return s.gateway.now().Sub(s.begunAt).Milliseconds()
}

// supersededMs returns how long the endpoint's weights have been superseded for a log
// line, -1 if that is unknown.
func supersededMs(decision placement.Decision) int64 {
	if decision.SupersededFor < 0 {
		return -1
	}
	return decision.SupersededFor.Milliseconds()
}

// attemptFailed ends an attempt without an answer.
func (s *session) attemptFailed(ticket *placement.Ticket, decision placement.Decision, err error) step {
	outcome := placement.OutcomeFailed
	notSent := errors.Is(err, forward.ErrNotSent)
	withdrawn := errors.Is(err, forward.ErrWithdrawn)
	switch {
	case s.ctx.Err() != nil, withdrawn:
		outcome = placement.OutcomeCanceled
	case errors.Is(err, errOverdue):
		outcome = placement.OutcomeOverdue
	default:
		s.lost = !notSent
	}
	if notSent {
		s.rejectedSends++
		s.gateway.quarantine.notRun(s)
	} else {
		s.sends++
	}
	s.gateway.scheduler.ended(ticket, outcome)
	s.gateway.log.Warn("Attempt failed.", "request", s.admitted.call.ID, "endpoint", decision.Endpoint.ID, "sent", !notSent, "outcome", outcome,
		"sinceSentMs", s.gateway.now().Sub(s.sentAt).Milliseconds(), "parts", loggedParts(s.admitted.call.SharedParts),
		"load", decision.Load, "expectedMs", decision.Expected.Milliseconds(), "pathMs", decision.PathDelay.Milliseconds(),
		"viewAgeMs", decision.ViewAge.Milliseconds(), "unregistered", decision.Unregistered,
		"startLimit", decision.StartLimit, "starts", decision.Starts, "granted", decision.Granted, "grantAgeMs", decision.GrantAge.Milliseconds(),
		"weights", decision.Weights, "newestWeights", decision.NewestWeights, "supersededMs", supersededMs(decision), "err", err)
	if withdrawn {
		s.tried = s.tried[:len(s.tried)-1] // the endpoint may have the call later
	}
	if withdrawn && s.ctx.Err() == nil && s.rejectedSends < maxRejectedSends {
		return stepRetryApproved // nothing reached an endpoint, so no retry budget is used
	}
	return stepRetry
}

// attemptRejected ends an attempt that the endpoint did not run.
func (s *session) attemptRejected(ticket *placement.Ticket, decision placement.Decision, answer *forward.Answer) step {
	outcome := placement.OutcomeRejected
	if answer.Classification.Misdirected {
		outcome = placement.OutcomeMisdirected
	}
	if err := answer.Discard(maxRejectionBytes, rejectionTimeout); err != nil {
		s.gateway.log.Warn("Reading an endpoint's rejection failed; the call counts as rejected.", "request", s.admitted.call.ID, "endpoint", decision.Endpoint.ID, "status", answer.Status, "err", err)
	}
	s.rejectedSends++
	s.gateway.quarantine.notRun(s)
	endpointRejections.Add(strconv.Itoa(answer.Status), 1)
	s.gateway.scheduler.ended(ticket, outcome)
	s.gateway.log.Info("Endpoint rejected the call.", "request", s.admitted.call.ID, "endpoint", decision.Endpoint.ID, "status", answer.Status,
		"misdirected", answer.Classification.Misdirected, "answerRequest", answer.Classification.AnswerID,
		"exchanges", answer.Provenance.Exchanges, "requestWritten", answer.Provenance.RequestWritten, "load", decision.Load, "loadAgeMs", decision.LoadAge.Milliseconds(),
		"viewAgeMs", decision.ViewAge.Milliseconds(), "unregistered", decision.Unregistered)
	return stepRetry
}
