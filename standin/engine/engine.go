// Package engine is a stand-in for a model engine. It implements the server side of
// the protocol of package adapters/engine and simulates continuous batching, a prefix
// cache, cold starts, crashes under overload and load orders. It is for tests and
// measurements only. Its own calls are:
//
//	PUT /admin/faults   body Faults
//	GET /admin/stats    200 Stats
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// loadedWeights describes the weights that the engine serves.
type loadedWeights struct {
	version core.VersionID
	// digest is the digest of the loaded bytes.
	digest core.Digest
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	config  Config
	mux     *http.ServeMux
	random  *standin.Random
	staging *staging
	// loading serializes load orders.
	loading sync.Mutex

	mu       sync.Mutex
	state    engine.State
	boot     uint64
	weights  *loadedWeights
	fence    uint64
	role     string
	adapters []string
	batch    batch
	cache    *prefixCache
	reports  loadReports
	faults   Faults
	// frozenUntil is the end of the simulated freeze.
	frozenUntil time.Time
	stats       Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a Server without weights.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		config: config, mux: http.NewServeMux(), random: standin.NewRandom(config.Seed),
		staging: newStaging(config.StagingBytes), state: engine.StateEmpty, boot: config.Boot,
		batch: newBatch(), cache: newPrefixCache(config, standin.NewRandom(config.Seed+1)),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.whenUnfrozen(s.postChat))
	s.mux.HandleFunc("POST /v1/cancel/{id}", s.whenUnfrozen(s.postCancel))
	s.mux.HandleFunc("GET /control/status", s.whenUnfrozen(s.getStatus))
	s.mux.HandleFunc("POST /control/load", s.whenUnfrozen(s.postLoad))
	s.mux.HandleFunc("PUT /control/staging/{version}/{chunk}", s.whenUnfrozen(s.putChunk))
	s.mux.HandleFunc("GET /control/staging/{version}/{chunk}", s.whenUnfrozen(s.getChunk))
	s.mux.HandleFunc("GET /control/staging/{version}", s.whenUnfrozen(s.getStaged))
	s.mux.HandleFunc("DELETE /control/staging/{version}", s.whenUnfrozen(s.deleteStaged))
	s.mux.HandleFunc("GET /control/cache-events", s.whenUnfrozen(s.getCacheEvents))
	s.mux.HandleFunc("PUT /admin/faults", standin.PutHandler(s.SetFaults))
	s.mux.HandleFunc("GET /admin/stats", standin.GetHandler(s.Stats))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Load makes the engine serve the given weights, without staging or a load order. The
// engine is cold afterwards.
func (s *Server) Load(version core.VersionID, weights core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activate(&loadedWeights{version: version, digest: weights})
}

// Warm gives the engine its full capacity at once.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.answered = s.config.MaxBatch * s.config.AnswersPerSlot
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Status())
}

// Status returns the status that the engine reports. Its load lags by ReportLag.
func (s *Server) Status() engine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := engine.Status{Boot: s.boot, State: s.state}
	status.Load = s.reports.lagging(time.Now(), s.config.ReportLag)
	if s.weights != nil {
		status.Version = s.weights.version
	}
	if s.config.CheckFence {
		status.Fence = s.fence
	}
	return status
}

// whenUnfrozen returns a handler that waits while the engine is frozen and then calls
// handle.
func (s *Server) whenUnfrozen(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.waitUnfrozen(r) {
			handle(w, r)
		}
	}
}

// waitUnfrozen waits while the engine is frozen. It returns false if the caller
// disconnects first.
func (s *Server) waitUnfrozen(r *http.Request) bool {
	s.mu.Lock()
	left := time.Until(s.frozenUntil)
	s.mu.Unlock()
	return standin.Sleep(r, left)
}
