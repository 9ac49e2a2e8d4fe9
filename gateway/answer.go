package gateway

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"

	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/placement"
)

var (
	refusals  = expvar.NewMap("refusals")
	outcomes  = expvar.NewMap("outcomes")
	firstByte = metrics.NewHistogram("first_byte")
)

// passWhole holds an answer until it is whole and passes it on.
func (s *session) passWhole(answer *forward.Answer) (placement.Ending, step) {
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		s.gateway.log.Warn("Answer not whole.", "request", s.admitted.call.ID, "status", answer.Status, "bytes", len(body), "err", err)
		return placement.EndFailed, stepAgain
	}
	if s.begun {
		return placement.EndFailed, stepAgain // a resumed stream can't end with another answer
	}
	if answer.Status >= http.StatusInternalServerError && s.admitted.route.Retryable() && s.again() == stepAgain {
		return placement.EndFailed, stepAgainPaid
	}
	s.begun = true
	status := answer.Status
	header := s.writer.Header()
	if promisesNotRun(status) {
		// The endpoint does not confirm it, so that the caller must not be told.
		status = http.StatusBadGateway
	} else {
		s.gateway.dialect.PassHeaders(header, answer.Header)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(status)
	if _, err := s.writer.Write(body); err != nil {
		return placement.EndLeft, stepDone
	}
	outcomes.Add("answered", 1)
	if status >= http.StatusInternalServerError {
		return placement.EndFailed, stepDone
	}
	return placement.EndAnswered, stepDone
}

// promisesNotRun reports whether a status tells the caller that a call has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// passEvents passes whole events on as they come.
func (s *session) passEvents(answer *forward.Answer) (placement.Ending, step) {
	flusher := http.NewResponseController(s.writer)
	reader := forward.NewEventReader(answer)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && answer.Framed {
			s.startEvents(answer)
			outcomes.Add("answered", 1)
			return placement.EndAnswered, stepDone
		}
		if err != nil {
			return s.streamBroke(err)
		}
		if !s.follows(event) {
			s.gateway.log.Warn("Event out of order.", "request", s.admitted.call.ID, "event", event.ID, "last", s.lastEvent)
			return s.streamBroke(forward.ErrBroken)
		}
		s.startEvents(answer)
		if _, err := s.writer.Write(event.Bytes); err != nil {
			return placement.EndLeft, s.afterWriteError()
		}
		if err := flusher.Flush(); err != nil {
			return placement.EndLeft, s.afterWriteError()
		}
		s.events++
		if event.Numbered {
			s.lastEvent = strconv.FormatInt(event.ID, 10)
		}
	}
}

// startEvents passes the head of the first answer on.
func (s *session) startEvents(answer *forward.Answer) {
	if s.begun {
		return
	}
	s.begun = true
	s.gateway.dialect.PassHeaders(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
}

// follows reports whether an event is the next one.
func (s *session) follows(event forward.Event) bool {
	if !event.Numbered {
		return true
	}
	if s.lastEvent == "" {
		return true
	}
	last, err := strconv.ParseInt(s.lastEvent, 10, 64)
	return err == nil && event.ID == last+1
}

// streamBroke ends an attempt whose stream was cut.
func (s *session) streamBroke(err error) (placement.Ending, step) {
	s.gateway.log.Warn("Stream broke.", "request", s.admitted.call.ID, "events", s.events, "last", s.lastEvent, "err", err)
	return placement.EndFailed, stepAgain
}

// afterWriteError ends a call whose caller can't be written to.
func (s *session) afterWriteError() step {
	s.gateway.log.Info("Caller left.", "request", s.admitted.call.ID, "events", s.events)
	outcomes.Add("left", 1)
	return stepDone
}
