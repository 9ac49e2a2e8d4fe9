package gateway

import (
	"errors"
	"expvar"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/placement"
)

var (
	rejections = expvar.NewMap("refusals")
	outcomes   = expvar.NewMap("outcomes")
	// standingRejections counts the calls that were rejected so that a standing queue drains.
	standingRejections = expvar.NewInt("standing_queue_refusals")
	// endpointRejections counts rejections by endpoints by status.
	endpointRejections = expvar.NewMap("endpoint_rejections")
	firstByte          = metrics.NewHistogram("first_byte")
	// olderWeights is how long weights had been superseded when a call started on them.
	olderWeights = metrics.NewHistogram("older_weights_superseded")
)

// forwardBuffered reads the complete answer before it passes it on.
func (s *session) forwardBuffered(answer *forward.Answer) (placement.Outcome, step) {
	body, err := answer.ReadAll(maxAnswerBytes)
	if err == nil && !answer.Framed && s.gateway.quarantine.engineEnded(s) {
		err = fmt.Errorf("%w: the endpoint has ended after %d bytes", forward.ErrTruncated, len(body))
	}
	if err != nil {
		s.lost = s.ctx.Err() == nil
		s.gateway.log.Warn("Answer truncated; the attempt failed.", "request", s.admitted.call.ID, "status", answer.Status, "err", err)
		return placement.OutcomeFailed, stepRetry
	}
	if s.headSent {
		return placement.OutcomeFailed, stepRetry // a resumed stream cannot be completed by another kind of answer
	}
	if answer.Status >= http.StatusInternalServerError && s.admitted.route.Retryable() && s.retryStep() == stepRetry {
		return placement.OutcomeFailed, stepRetryApproved
	}
	s.headSent = true
	status := answer.Status
	header := s.writer.Header()
	if impliesNotRun(status) {
		// The endpoint does not confirm that the call has not run, so the answer must not
		// imply it.
		status = http.StatusBadGateway
	} else {
		s.gateway.dialect.PassHeaders(header, answer.Header)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(status)
	if err := s.deliver(answer, body); err != nil {
		return placement.OutcomeCanceled, stepDone
	}
	outcomes.Add("answered", 1)
	if status >= http.StatusInternalServerError {
		return placement.OutcomeFailed, stepDone
	}
	return placement.OutcomeAnswered, stepDone
}

// deliver writes a complete answer. If the caller stalls while its memory is needed, the write
// fails and the connection is closed.
func (s *session) deliver(answer *forward.Answer, body []byte) error {
	if s.memory != nil {
		// The call is not sent again, so a caller that reads slowly need not hold its body.
		s.admitted.call.Body = nil
		s.memory.Close()
	}
	controller := http.NewResponseController(s.writer)
	var evicted atomic.Bool
	progress := answer.Deliver(func() {
		evicted.Store(true)
		_ = controller.SetWriteDeadline(time.Now())
	})
	piece := min(answerPiece, max(callerPiece, len(body)/membudget.ProgressParts))
	for len(body) > 0 {
		n, err := 0, errEvicted
		if !evicted.Load() {
			n, err = s.writer.Write(body[:min(piece, len(body))])
		}
		if err != nil {
			if evicted.Load() {
				stalledCallers.Add("evicted", 1)
				s.gateway.connectionLines.Info("The caller does not read its answer and memory is short; aborting the connection.", "request", s.admitted.call.ID, "unread", len(body),
					"memoryUsed", s.gateway.memory.Used(), "memoryCapacity", s.gateway.memory.Capacity())
			}
			return err
		}
		progress(n)
		body = body[n:]
	}
	return nil
}

// impliesNotRun reports whether a status means to callers that the call has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardEvents passes complete events on as they arrive.
func (s *session) forwardEvents(answer *forward.Answer) (placement.Outcome, step) {
	if kind := mediaType(answer.Header); s.mediaType != "" && kind != "" && kind != s.mediaType {
		s.gateway.log.Warn("The answer does not continue the stream; the attempt failed.", "request", s.admitted.call.ID, "endpoint", s.endpoint.ID,
			"contentType", kind, "streamContentType", s.mediaType)
		return placement.OutcomeFailed, stepRetry
	}
	flusher := http.NewResponseController(s.writer)
	reader := answer.Events()
	// Only a number shows where the events of a further attempt belong.
	located := !s.headSent
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && s.endsComplete(answer) {
			s.writeHead(answer)
			outcomes.Add("answered", 1)
			return placement.OutcomeAnswered, stepDone
		}
		if err != nil {
			return s.streamFailed(err)
		}
		if !located && !event.Numbered && !event.Comment {
			s.gateway.log.Warn("Event without a number after a break; the attempt failed.", "request", s.admitted.call.ID, "last", s.lastEvent)
			return s.streamFailed(forward.ErrNoEvent)
		}
		located = located || event.Numbered
		if !s.inSequence(event) {
			s.gateway.log.Warn("Event out of sequence; the attempt failed.", "request", s.admitted.call.ID, "event", event.ID, "last", s.lastEvent)
			return s.streamFailed(forward.ErrTruncated)
		}
		if maxEvents := s.maxEvents(); s.events >= maxEvents {
			s.gateway.log.Warn("Stream longer than the maximum output; ending it.", "request", s.admitted.call.ID, "endpoint", s.endpoint.ID,
				"events", s.events, "maxEvents", maxEvents, "maxOutput", s.admitted.call.MaxOutputTokens)
			return placement.OutcomeFailed, stepUnknown
		}
		if s.begunAt == 0 {
			s.begunAt = s.gateway.now()
			s.begun.Store(true)
		}
		if !s.provedSound && s.gateway.now().Sub(s.begunAt) >= provingTime {
			s.gateway.quarantine.proved(s)
		}
		s.writeHead(answer)
		if _, err := s.writer.Write(event.Bytes); err != nil {
			return placement.OutcomeCanceled, s.afterWriteError()
		}
		if err := flusher.Flush(); err != nil {
			return placement.OutcomeCanceled, s.afterWriteError()
		}
		s.events++
		s.lastEventAt = s.gateway.now()
		if event.Numbered {
			s.lastEvent = strconv.FormatInt(event.ID, 10)
		}
	}
}

// endsComplete reports whether a stream that has ended between two events is complete. A
// closed connection without an event is no stream. Without a length and chunks, the end of an
// engine between two events looks like the end of the stream.
func (s *session) endsComplete(answer *forward.Answer) bool {
	return answer.Framed || s.begunAt != 0 && !s.gateway.quarantine.engineEnded(s)
}

// maxEvents returns the maximum number of events that are passed on for the call.
func (s *session) maxEvents() int64 {
	tokens := int64(s.admitted.call.MaxOutputTokens)
	if tokens <= 0 || tokens > (math.MaxInt64-maxExtraEvents)/maxEventsPerToken {
		return math.MaxInt64
	}
	return tokens*maxEventsPerToken + maxExtraEvents
}

// writeHead passes on the head of the first answer.
func (s *session) writeHead(answer *forward.Answer) {
	if s.headSent {
		return
	}
	s.headSent, s.mediaType = true, mediaType(answer.Header)
	s.gateway.dialect.PassHeaders(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
}

// mediaType returns the media type of a body without its parameters.
func mediaType(header http.Header) string {
	kind, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// inSequence reports whether an event is the next one.
func (s *session) inSequence(event forward.Event) bool {
	if !event.Numbered {
		return true
	}
	if s.lastEvent == "" {
		return true
	}
	last, err := strconv.ParseInt(s.lastEvent, 10, 64)
	return err == nil && event.ID == last+1
}

// streamFailed ends an attempt whose stream was interrupted or malformed.
func (s *session) streamFailed(err error) (placement.Outcome, step) {
	s.lost = s.ctx.Err() == nil
	s.gateway.log.Warn("Stream interrupted; the attempt failed.", "request", s.admitted.call.ID, "endpoint", s.endpoint.ID, "begunMs", s.begunMs(),
		"parts", loggedParts(s.admitted.call.SharedParts), "events", s.events, "last", s.lastEvent, "err", err)
	return placement.OutcomeFailed, stepRetry
}

// afterWriteError ends a call whose caller disconnected.
func (s *session) afterWriteError() step {
	s.gateway.log.Info("Caller disconnected.", "request", s.admitted.call.ID, "events", s.events)
	outcomes.Add("left", 1)
	return stepDone
}
