// Package origin is a stand-in for the weight store and the origin of weights. It
// implements the server side of the protocol of package adapters/origin and is for
// tests and measurements only. Its own calls are:
//
//	PUT /admin/versions/<version>?path=FILE&chunk_bytes=N   adds a file as a version; 200 manifest
//	PUT /admin/faults                                       body Faults
//	GET /admin/stats                                        200 Stats
package origin

import (
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// Default settings.
const (
	// DefaultBytesPerSecond is the bandwidth of the origin's link.
	DefaultBytesPerSecond = 64 << 20
	// DefaultStoreCallsPerSecond is the rate limit of manifest calls.
	DefaultStoreCallsPerSecond = 50
	// DefaultChunkBytes is the chunk size of a version that is added without one.
	DefaultChunkBytes = 1 << 20
)

// Config configures a Server; zero values select the defaults.
type Config struct {
	// BytesPerSecond is the bandwidth of the origin's link, shared by all clients.
	BytesPerSecond int
	// StoreCallsPerSecond is the rate limit of manifest calls.
	StoreCallsPerSecond int
	Faults              Faults
}

func (c *Config) fillDefaults() {
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = DefaultBytesPerSecond
	}
	if c.StoreCallsPerSecond == 0 {
		c.StoreCallsPerSecond = DefaultStoreCallsPerSecond
	}
}

// Faults configures the failures that the stand-in simulates.
type Faults struct {
	// CorruptRate is the probability that a range response has one corrupted byte.
	CorruptRate float64 `json:"corruptRate"`
	// StallRate is the probability that a range response stalls in the middle.
	StallRate float64 `json:"stallRate"`
	// StallMS is the duration of a stall in milliseconds.
	StallMS int64 `json:"stallMs"`
	// Seed is the seed of the random decisions.
	Seed uint64 `json:"seed"`
	// Outage responds to every call with status 503.
	Outage bool `json:"outage"`
}

// Stats holds counters since the start.
type Stats struct {
	// BytesServed counts the bytes of weights sent for each version.
	BytesServed map[core.VersionID]int64 `json:"bytesServed"`
	// Copies is BytesServed as a multiple of the version's size.
	Copies        map[core.VersionID]float64 `json:"copies"`
	ManifestCalls int                        `json:"manifestCalls"`
	RangeCalls    int                        `json:"rangeCalls"`
	// Limited counts responses with status 429.
	Limited int `json:"limited"`
	// Corrupted and Stalled count the corrupted and stalled range responses.
	Corrupted int `json:"corrupted"`
	Stalled   int `json:"stalled"`
}

type version struct {
	manifest core.Manifest
	file     *os.File
}

// writeBytes is the size of one rate-limited write, and the burst of the link's rate
// limiter.
const writeBytes = 16 << 10

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mux        *http.ServeMux
	random     *standin.Random
	link       *rate.Limiter
	storeCalls *rate.Limiter

	mu       sync.Mutex
	versions map[core.VersionID]*version
	faults   Faults
	stats    Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a Server without versions.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		mux: http.NewServeMux(), random: standin.NewRandom(config.Faults.Seed), faults: config.Faults,
		link:       rate.NewLimiter(rate.Limit(config.BytesPerSecond), writeBytes),
		storeCalls: rate.NewLimiter(rate.Limit(config.StoreCallsPerSecond), max(1, config.StoreCallsPerSecond)),
		versions:   map[core.VersionID]*version{},
		stats:      Stats{BytesServed: map[core.VersionID]int64{}},
	}
	s.mux.HandleFunc("GET /store/versions/{version}", s.getManifest)
	s.mux.HandleFunc("GET /origin/{version}", s.getRange)
	s.mux.HandleFunc("PUT /admin/versions/{version}", s.putVersion)
	s.mux.HandleFunc("PUT /admin/faults", standin.PutHandler(s.SetFaults))
	s.mux.HandleFunc("GET /admin/stats", standin.GetHandler(s.Stats))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random.Reseed(faults.Seed)
}

// Stats returns the counters so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.BytesServed = map[core.VersionID]int64{}
	stats.Copies = map[core.VersionID]float64{}
	for id, bytes := range s.stats.BytesServed {
		stats.BytesServed[id] = bytes
		stats.Copies[id] = float64(bytes) / float64(s.versions[id].manifest.SizeBytes)
	}
	return stats
}

func (s *Server) count(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) find(id core.VersionID) *version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[id]
}

// limited reports whether the rate limit of manifest calls is exceeded, and responds
// with status 429 in that case.
func (s *Server) limited(w http.ResponseWriter) bool {
	if s.storeCalls.AllowN(time.Now(), 1) {
		return false
	}
	s.count(func() { s.stats.Limited++ })
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
	return true
}
