// Package service is a stand-in for a plain service. It executes every call,
// including duplicates, and keeps a ledger of the executions of each Idempotency-Key.
// It is for tests and measurements only. Its own calls are:
//
//	GET    /admin/ledger   200 {key: executions}
//	GET    /admin/stats    200 Stats
//	PUT    /admin/faults   body Faults
//	DELETE /admin/ledger   clears the ledger
//
// Every other request is a call to the service.
package service

import (
	"net/http"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// HeaderKey is the header with the key of a non-idempotent call.
const HeaderKey = "Idempotency-Key"

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 16 << 20

// Faults configures the failures that the stand-in simulates.
type Faults struct {
	// DelayMS delays every execution, in milliseconds.
	DelayMS int64 `json:"delayMs"`
	// Silent executes every call and never responds.
	Silent bool `json:"silent"`
	// SilentNext is the number of next calls that are executed without a response.
	SilentNext int `json:"silentNext"`
	// DropBefore is the number of next calls whose connections are dropped before they
	// execute.
	DropBefore int `json:"dieBefore"`
	// DropAfter is the number of next calls whose connections are dropped after they
	// executed.
	DropAfter int `json:"dieAfter"`
	// DropBeforeRate is the probability that a call is dropped before it executes.
	DropBeforeRate float64 `json:"dieBeforeRate"`
	// DropAfterRate is the probability that a call is dropped after it executed.
	DropAfterRate float64 `json:"dieAfterRate"`
	// FailRate is the probability that a call is executed and receives status 500.
	FailRate float64 `json:"failRate"`
	// Seed is the seed of the random decisions.
	Seed uint64 `json:"seed"`
}

// Reply is the JSON body of a response.
type Reply struct {
	Service core.ServiceID `json:"service,omitempty"`
	Key     string         `json:"key"`
	// Execution is the number of executions of the key including this one, or of all
	// calls if there is no key.
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
	BodyHash  string `json:"bodyHash"`
}

// Stats holds counters since the start; Keys and Duplicates restart when the ledger is
// cleared.
type Stats struct {
	Calls      int `json:"calls"`
	Executions int `json:"executions"`
	Keys       int `json:"keys"`
	// Duplicates is the number of keys that were executed more than once.
	Duplicates int `json:"doubles"`
}

// Config configures a Server.
type Config struct {
	// Name is returned in every Reply.
	Name   core.ServiceID
	Faults Faults
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	config Config
	mux    *http.ServeMux
	random *standin.Random

	mu         sync.Mutex
	faults     Faults
	ledger     map[string]int
	calls      int
	executions int
}

var _ http.Handler = (*Server)(nil)

// New returns a Server with an empty ledger.
func New(config Config) *Server {
	s := &Server{
		config: config, mux: http.NewServeMux(), random: standin.NewRandom(config.Faults.Seed),
		faults: config.Faults, ledger: map[string]int{},
	}
	s.mux.HandleFunc("GET /admin/ledger", s.getLedger)
	s.mux.HandleFunc("DELETE /admin/ledger", s.clearLedger)
	s.mux.HandleFunc("GET /admin/stats", standin.GetHandler(s.Stats))
	s.mux.HandleFunc("PUT /admin/faults", standin.PutHandler(s.SetFaults))
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Ledger())
}

func (s *Server) clearLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = map[string]int{}
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random.Reseed(faults.Seed)
}

// Ledger returns a copy of the number of executions of each key.
func (s *Server) Ledger() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.ledger))
	for key, count := range s.ledger {
		copied[key] = count
	}
	return copied
}

// Stats returns the counters so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Calls: s.calls, Executions: s.executions, Keys: len(s.ledger)}
	for _, count := range s.ledger {
		if count > 1 {
			stats.Duplicates++
		}
	}
	return stats
}
