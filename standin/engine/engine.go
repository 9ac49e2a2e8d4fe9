// Package engine is a stand-in for a model engine. It speaks the protocol of
// package adapters/engine and acts out continuous batching, a prefix cache,
// cold starts, falls under load and load orders. It is test equipment.
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

// loaded is the weights that the engine serves.
type loaded struct {
	version core.VersionID
	// whole is the digest of the bytes that were loaded.
	whole core.Digest
}

// Server is the stand-in.
type Server struct {
	config  Config
	mux     *http.ServeMux
	chance  *standin.Random
	staging *staging
	// loading admits one load order at a time.
	loading sync.Mutex

	mu       sync.Mutex
	state    engine.State
	boot     uint64
	weights  *loaded
	fence    uint64
	role     string
	adapters []string
	batch    batch
	cache    *prefixCache
	reports  loadReports
	faults   Faults
	frozen   time.Time
	stats    Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in without weights.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		config: config, mux: http.NewServeMux(), chance: standin.NewRandom(config.Seed),
		staging: newStaging(config.StagingBytes), state: engine.StateEmpty, boot: config.Boot,
		batch: newBatch(), cache: newPrefixCache(config, standin.NewRandom(config.Seed+1)),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.thawed(s.postChat))
	s.mux.HandleFunc("POST /v1/cancel/{id}", s.thawed(s.postCancel))
	s.mux.HandleFunc("GET /control/status", s.thawed(s.getStatus))
	s.mux.HandleFunc("POST /control/load", s.thawed(s.postLoad))
	s.mux.HandleFunc("PUT /control/staging/{version}/{chunk}", s.thawed(s.putChunk))
	s.mux.HandleFunc("GET /control/staging/{version}/{chunk}", s.thawed(s.getChunk))
	s.mux.HandleFunc("GET /control/staging/{version}", s.thawed(s.getStaged))
	s.mux.HandleFunc("DELETE /control/staging/{version}", s.thawed(s.deleteStaged))
	s.mux.HandleFunc("GET /control/cache-events", s.thawed(s.getCacheEvents))
	s.mux.HandleFunc("PUT /admin/faults", standin.PutHandler(s.SetFaults))
	s.mux.HandleFunc("GET /admin/stats", standin.GetHandler(s.Stats))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Load serves the given weights at once, without staging or a load order.
func (s *Server) Load(version core.VersionID, whole core.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(&loaded{version: version, whole: whole})
}

// Warm makes the engine bear its full batch at once.
func (s *Server) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.answered = s.config.MaxBatch * s.config.AnswersPerSlot
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Status())
}

// Status returns what the engine says of itself; its load lags.
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

// thawed wraps a handler so that it waits while the engine is frozen.
func (s *Server) thawed(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.waitThaw(r) {
			handle(w, r)
		}
	}
}

// waitThaw returns false when the caller has gone meanwhile.
func (s *Server) waitThaw(r *http.Request) bool {
	s.mu.Lock()
	left := time.Until(s.frozen)
	s.mu.Unlock()
	return standin.Sleep(r, left)
}
