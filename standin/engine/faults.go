package engine

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/standin"
)

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// CutStreamAfter drops the connection of streams after so many tokens; zero never.
	CutStreamAfter int `json:"cutStreamAfter"`
	// CutStreams bounds how many streams are so cut; zero means all.
	CutStreams int `json:"cutStreams"`
	// FreezeMS stops everything but admin calls for a while.
	FreezeMS int64 `json:"freezeMs"`
	// ColdRestart restarts the engine at the same address at once.
	ColdRestart bool `json:"goCold"`
	// FailNext answers 500 to the next completions.
	FailNext int `json:"failNext"`
	// Silent takes completions and never answers.
	Silent bool `json:"silent"`
	// MisrouteNext answers the next completions with events of another stream.
	MisrouteNext int `json:"crossNext"`
	// LoseOrders loses the answers to the next load orders after their effect.
	LoseOrders int `json:"loseOrders"`
}

// Stats counts what the engine did since the start.
type Stats struct {
	// Crashes counts how often a cold engine was pushed over.
	Crashes int `json:"falls"`
	// Started counts completions taken into the queue.
	Started int `json:"started"`
	// Served counts whole answers.
	Served     int `json:"served"`
	MaxRunning int `json:"maxRunning"`
	// Refused counts completions that were not started.
	Refused int `json:"refused"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// PromptBytes and CachedBytes measure the prefix cache.
	PromptBytes int     `json:"promptBytes"`
	CachedBytes int     `json:"cachedBytes"`
	Orders      []Order `json:"orders"`
}

func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// SetFaults replaces the failures acted out from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.FreezeMS > 0 {
		s.frozen = time.Now().Add(standin.Milliseconds(faults.FreezeMS))
	}
	if faults.ColdRestart {
		s.restart(0)
	}
}

// Stats returns the counts so far.
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

// streamFaults is what happens to one completion, decided at its start.
type streamFaults struct {
	fail     bool
	silent   bool
	cutAfter int
	crossed  bool
}

func (s *Server) drawStreamFaults() streamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := streamFaults{fail: takeOne(&s.faults.FailNext), silent: s.faults.Silent, crossed: takeOne(&s.faults.MisrouteNext)}
	if s.faults.CutStreamAfter <= 0 {
		return drawn
	}
	drawn.cutAfter = s.faults.CutStreamAfter
	if s.faults.CutStreams > 0 && takeOne(&s.faults.CutStreams) && s.faults.CutStreams == 0 {
		s.faults.CutStreamAfter = 0
	}
	return drawn
}
