// Package origin is a stand-in for the weight store and the origin of weights.
// It speaks the protocol of package adapters/origin. It is test equipment.
//
//	PUT /admin/versions/<version>?path=FILE&chunk_bytes=N   serves a file as a version; 200 manifest
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
	// DefaultBytesPerSecond is the rate of the origin's link.
	DefaultBytesPerSecond = 64 << 20
	// DefaultStoreCallsPerSecond is the rate of manifest calls.
	DefaultStoreCallsPerSecond = 50
	// DefaultChunkBytes is the size of a chunk when none is named.
	DefaultChunkBytes = 1 << 20
)

// Config configures a stand-in; zero values take the defaults.
type Config struct {
	// BytesPerSecond limits the origin's bytes over all clients.
	BytesPerSecond int
	// StoreCallsPerSecond limits manifest calls.
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

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// CorruptRate is the share of range answers with a wrong byte.
	CorruptRate float64 `json:"corruptRate"`
	// StallRate is the share of range answers that stall in the middle.
	StallRate float64 `json:"stallRate"`
	// StallMS is how long a stalled answer rests.
	StallMS int64 `json:"stallMs"`
	// Seed restarts the chance of the rates.
	Seed uint64 `json:"seed"`
	// Outage answers 503 to every call.
	Outage bool `json:"outage"`
}

// Stats counts calls and bytes since the start.
type Stats struct {
	// BytesServed counts the bytes of weights sent, by version.
	BytesServed map[core.VersionID]int64 `json:"bytesServed"`
	// Copies is BytesServed in units of the version's size.
	Copies        map[core.VersionID]float64 `json:"copies"`
	ManifestCalls int                        `json:"manifestCalls"`
	RangeCalls    int                        `json:"rangeCalls"`
	// Limited counts calls answered 429.
	Limited int `json:"limited"`
	// Corrupted and Stalled count the answers so treated.
	Corrupted int `json:"corrupted"`
	Stalled   int `json:"stalled"`
}

type version struct {
	manifest core.Manifest
	file     *os.File
}

// pieceBytes is how many bytes are paced at a time.
const pieceBytes = 16 << 10

// Server is the stand-in.
type Server struct {
	mux        *http.ServeMux
	chance     *standin.Random
	link       *rate.Limiter
	storeCalls *rate.Limiter

	mu       sync.Mutex
	versions map[core.VersionID]*version
	faults   Faults
	stats    Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		mux: http.NewServeMux(), chance: standin.NewRandom(config.Faults.Seed), faults: config.Faults,
		link:       rate.NewLimiter(rate.Limit(config.BytesPerSecond), pieceBytes),
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

// SetFaults replaces the failures acted out from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.chance.Reseed(faults.Seed)
}

// Stats returns the counts so far.
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

// limited answers 429 and returns true when the store's rate is spent.
func (s *Server) limited(w http.ResponseWriter) bool {
	if s.storeCalls.AllowN(time.Now(), 1) {
		return false
	}
	s.count(func() { s.stats.Limited++ })
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
	return true
}
