package service

import (
	"io"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// fate is how one call ends, decided before it executes.
type fate struct {
	dieBefore bool
	dieAfter  bool
	silent    bool
	fail      bool
	delayMS   int64
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	ending := s.decide()
	if ending.dieBefore {
		standin.DropConnection()
	}
	// A call that has begun runs to its end, also when its caller has gone.
	time.Sleep(standin.Milliseconds(ending.delayMS))
	reply := s.execute(r, body)
	switch {
	case ending.dieAfter:
		standin.DropConnection()
	case ending.silent:
		<-r.Context().Done()
		standin.DropConnection()
	case ending.fail:
		standin.WriteJSON(w, http.StatusInternalServerError, reply)
	default:
		standin.WriteJSON(w, http.StatusOK, reply)
	}
}

func (s *Server) decide() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return fate{
		dieBefore: takeOne(&s.faults.DropBefore) || s.chance.Bernoulli(s.faults.DropBeforeRate),
		dieAfter:  takeOne(&s.faults.DropAfter) || s.chance.Bernoulli(s.faults.DropAfterRate),
		silent:    s.faults.Silent || takeOne(&s.faults.SilentNext),
		fail:      s.chance.Bernoulli(s.faults.FailRate),
		delayMS:   s.faults.DelayMS,
	}
}

func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

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
