// Package platform is a stand-in for the platform: a key-value service with
// compare-and-swap, leases and watches, and a lagging VM list. It speaks the
// protocol of package adapters/platform. It is test equipment.
//
//	PUT    /admin/faults     body Faults
//	GET    /admin/stats      200 Stats
//	POST   /admin/snapshot   keeps a copy of all keys
//	POST   /admin/rollback   returns to that copy, its revision included
//	PUT    /admin/vms        body []core.VM, the whole list
//	PATCH  /admin/vms/<id>   body {"state": "leaving"}
//	DELETE /admin/vms/<id>   removes a VM
//	DELETE /admin/kv/<key>   removes a key
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/standin"
)

// Default settings.
const (
	// DefaultWritesPerSecond is the rate of writes of the key-value service.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the rate of reads of the key-value service.
	DefaultReadsPerSecond = 2000
	// DefaultListLag is how long a change of the VM list stays invisible.
	DefaultListLag = 500 * time.Millisecond
)

// Config configures a stand-in; zero values take the defaults.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit calls; a negative value lifts the limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is how long a change of the VM list stays invisible; a negative value means none.
	ListLag time.Duration
	// Faults are in force from the start.
	Faults Faults
}

func (c *Config) fillDefaults() {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
}

// Server is the stand-in.
type Server struct {
	mux    *http.ServeMux
	writes *bucket
	reads  *bucket
	chance *standin.Random
	store  *store
	vms    *vmList

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	stats         Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a stand-in.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		mux: http.NewServeMux(), chance: standin.NewRandom(config.Faults.Seed),
		writes: newBucket(config.WritesPerSecond), reads: newBucket(config.ReadsPerSecond),
		store: newStore(), vms: newVMList(config.ListLag),
		faults: config.Faults, faultsChanged: make(chan struct{}),
	}
	s.routeCalls()
	s.routeAdmin()
	return s
}

func (s *Server) routeCalls() {
	s.mux.HandleFunc("GET /kv/{key...}", s.read(s.getKey))
	s.mux.HandleFunc("PUT /kv/{key...}", s.write(s.putKey))
	s.mux.HandleFunc("GET /watch", s.read(s.watchKey))
	s.mux.HandleFunc("GET /list", s.read(s.listKeys))
	s.mux.HandleFunc("POST /leases", s.write(s.createLease))
	s.mux.HandleFunc("PUT /leases/{id}", s.write(s.renewLease))
	s.mux.HandleFunc("DELETE /leases/{id}", s.write(s.endLease))
	s.mux.HandleFunc("GET /vms", s.read(s.listVMs))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends the timers of the stand-in.
func (s *Server) Close() { s.store.close() }
