// Package platform is a stand-in for the platform: a key-value service with
// compare-and-swap, leases and watches, and a VM list that lags behind its changes.
// It implements the server side of the protocol of package adapters/platform and is
// for tests and measurements only. Its own calls are:
//
//	PUT    /admin/faults     body Faults
//	GET    /admin/stats      200 Stats
//	POST   /admin/snapshot   saves a copy of all keys
//	POST   /admin/rollback   restores that copy, including its revision
//	PUT    /admin/vms        body []core.VM, the complete list
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
	// DefaultWritesPerSecond is the rate limit of writes to the key-value service.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the rate limit of reads from the key-value service.
	DefaultReadsPerSecond = 2000
	// DefaultListLag is the delay until a change of the VM list is visible.
	DefaultListLag = 500 * time.Millisecond
)

// Config configures a Server; zero values select the defaults.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit calls; a negative value means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is the delay until a change of the VM list is visible; a negative value
	// means no delay.
	ListLag time.Duration
	// Faults are active from the start.
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

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mux    *http.ServeMux
	writes *bucket
	reads  *bucket
	random *standin.Random
	store  *store
	vms    *vmList

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	stats         Stats
}

var _ http.Handler = (*Server)(nil)

// New returns a Server. Call Close to stop its timers.
func New(config Config) *Server {
	config.fillDefaults()
	s := &Server{
		mux: http.NewServeMux(), random: standin.NewRandom(config.Faults.Seed),
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

// Close stops the lease timers.
func (s *Server) Close() { s.store.close() }
