package service

import (
	"io"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// callFaults holds the failures of one call, chosen before it executes.
type callFaults struct {
	dropBefore bool
	dropAfter  bool
	silent     bool
	fail       bool
	delayMS    int64
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	faults := s.chooseFaults()
	if faults.dropBefore {
		standin.DropConnection()
	}
	// A started call completes even if its caller disconnects.
	time.Sleep(standin.Milliseconds(faults.delayMS))
	reply := s.execute(r, body)
	switch {
	case faults.dropAfter:
		standin.DropConnection()
	case faults.silent:
		<-r.Context().Done()
		standin.DropConnection()
	case faults.fail:
		standin.WriteJSON(w, http.StatusInternalServerError, reply)
	default:
		standin.WriteJSON(w, http.StatusOK, reply)
	}
}

// chooseFaults counts a call and returns its failures.
func (s *Server) chooseFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return callFaults{
		dropBefore: takeOne(&s.faults.DropBefore) || s.random.Bernoulli(s.faults.DropBeforeRate),
		dropAfter:  takeOne(&s.faults.DropAfter) || s.random.Bernoulli(s.faults.DropAfterRate),
		silent:     s.faults.Silent || takeOne(&s.faults.SilentNext),
		fail:       s.random.Bernoulli(s.faults.FailRate),
		delayMS:    s.faults.DelayMS,
	}
}

// takeOne decrements count and returns true, or returns false if count is zero.
func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// execute records one execution in the ledger and returns the reply.
func (s *Server) execute(r *http.Request, body []byte) Reply {
	key := r.Header.Get(HeaderKey)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions++
	execution := s.executions
	if key != "" {
		s.ledger[key]++
		execution = s.ledger[key]
	}
	return Reply{
		Service: s.config.Name, Key: key, Execution: execution, Method: r.Method,
		Path: r.URL.RequestURI(), BodyBytes: len(body), BodyHash: core.DigestOf(body).String(),
	}
}
