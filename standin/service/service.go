// Package service is a stand-in for a plain service. It runs every call that
// reaches it, duplicates included, and keeps a ledger of executions by the
// Idempotency-Key header. It is test equipment.
//
//	GET    /admin/ledger   200 {key: executions}
//	GET    /admin/stats    200 Stats
//	PUT    /admin/faults   body Faults
//	DELETE /admin/ledger   empties the ledger
//
// Every other request is a call of the service.
package service

import (
	"net/http"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// HeaderKey is the header that names a call that may not be repeated.
const HeaderKey = "Idempotency-Key"

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 16 << 20

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// DelayMS delays every execution.
	DelayMS int64 `json:"delayMs"`
	// Silent executes every call and never answers.
	Silent bool `json:"silent"`
	// SilentNext executes the next calls and never answers them.
	SilentNext int `json:"silentNext"`
	// DropBefore drops the connections of the next calls before they execute.
	DropBefore int `json:"dieBefore"`
	// DropAfter drops the connections of the next calls after they executed.
	DropAfter int `json:"dieAfter"`
	// DropBeforeRate is the share of calls dropped before they execute.
	DropBeforeRate float64 `json:"dieBeforeRate"`
	// DropAfterRate is the share of calls dropped after they executed.
	DropAfterRate float64 `json:"dieAfterRate"`
	// FailRate is the share of calls that execute and answer 500.
	FailRate float64 `json:"failRate"`
	// Seed restarts the chance of the rates.
	Seed uint64 `json:"seed"`
}

// Reply is the JSON body of an answer.
type Reply struct {
	Service core.ServiceID `json:"service,omitempty"`
	Key     string         `json:"key"`
	// Execution counts the executions of the key, this one included.
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
	BodyHash  string `json:"bodyHash"`
}

// Stats counts the calls of the stand-in.
type Stats struct {
	Calls      int `json:"calls"`
	Executions int `json:"executions"`
	Keys       int `json:"keys"`
	// Duplicates is the number of keys that ran more than once.
	Duplicates int `json:"doubles"`
}

// Config configures a stand-in.
type Config struct {
	// Name is repeated in every answer.
	Name   core.ServiceID
	Faults Faults
}

// Server is the stand-in.
type Server struct {
	config Config
	mux    *http.ServeMux
	chance *standin.Random

	mu         sync.Mutex
	faults     Faults
	ledger     map[string]int
	calls      int
	executions int
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in.
func New(config Config) *Server {
	s := &Server{
		config: config, mux: http.NewServeMux(), chance: standin.NewRandom(config.Faults.Seed),
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

// SetFaults replaces the failures acted out from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.chance.Reseed(faults.Seed)
}

// Ledger returns the number of executions of every key.
func (s *Server) Ledger() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.ledger))
	for key, count := range s.ledger {
		copied[key] = count
	}
	return copied
}

// Stats returns the counts so far.
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
