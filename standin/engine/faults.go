package engine

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/standin"
)

// Faults configures the failures that the stand-in simulates.
type Faults struct {
	// CutStreamAfter is the number of tokens after which the connection of a stream is
	// dropped; zero means never.
	CutStreamAfter int `json:"cutStreamAfter"`
	// CutStreams bounds the number of streams dropped by CutStreamAfter; zero means all.
	CutStreams int `json:"cutStreams"`
	// FreezeMS blocks all calls except admin calls for this many milliseconds.
	FreezeMS int64 `json:"freezeMs"`
	// ColdRestart restarts the engine at once, without downtime.
	ColdRestart bool `json:"goCold"`
	// FailNext is the number of next completions that fail with status 500.
	FailNext int `json:"failNext"`
	// Silent accepts completions and never responds.
	Silent bool `json:"silent"`
	// MisrouteNext is the number of next completions that receive the events of another
	// stream.
	MisrouteNext int `json:"crossNext"`
	// LoseOrders is the number of next load orders whose responses are lost after their
	// effect.
	LoseOrders int `json:"loseOrders"`
}

// Stats holds counters since the start.
type Stats struct {
	// Crashes counts how often the cold engine crashed under overload.
	Crashes int `json:"falls"`
	// Started counts completions that were queued.
	Started int `json:"started"`
	// Served counts complete answers.
	Served     int `json:"served"`
	MaxRunning int `json:"maxRunning"`
	// Refused counts completions that were rejected with an error response.
	Refused int `json:"refused"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// PromptBytes counts bytes of prompts, CachedBytes those found in the prefix cache.
	PromptBytes int     `json:"promptBytes"`
	CachedBytes int     `json:"cachedBytes"`
	Orders      []Order `json:"orders"`
}

// takeOne decrements count and returns true, or returns false if count is zero.
func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// SetFaults replaces the simulated failures. FreezeMS and ColdRestart take effect at
// once.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.FreezeMS > 0 {
		s.frozenUntil = time.Now().Add(standin.Milliseconds(faults.FreezeMS))
	}
	if faults.ColdRestart {
		s.restart(0)
	}
}

// Stats returns the counters so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Orders = slices.Clone(s.stats.Orders)
	return stats
}

func (s *Server) count(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// streamFaults holds the failures of one completion, chosen at its start.
type streamFaults struct {
	fail      bool
	silent    bool
	cutAfter  int
	misrouted bool
}

// chooseStreamFaults returns the failures of the next completion and updates the
// counts of remaining failures.
func (s *Server) chooseStreamFaults() streamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := streamFaults{fail: takeOne(&s.faults.FailNext), silent: s.faults.Silent, misrouted: takeOne(&s.faults.MisrouteNext)}
	if s.faults.CutStreamAfter <= 0 {
		return chosen
	}
	chosen.cutAfter = s.faults.CutStreamAfter
	if s.faults.CutStreams > 0 && takeOne(&s.faults.CutStreams) && s.faults.CutStreams == 0 {
		s.faults.CutStreamAfter = 0
	}
	return chosen
}
