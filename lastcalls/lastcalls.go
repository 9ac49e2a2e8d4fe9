// Package lastcalls decides which calls a process still takes while it stops. It performs no
// I/O: it takes durations and returns decisions.
//
// Load pattern: a planned stop under steady load. Callers go on using open connections, and
// bodies that began to arrive before the stop end late in it. A call that is passed on and
// outlasts the process is cut, and its caller doesn't know whether it has run. One that is
// rejected at once has not run and goes to another process.
package lastcalls

import (
	"sync"
	"time"
)

const (
	// gain and deviationGain weigh the newest duration in the mean and in the deviation, as in
	// the estimate of round-trip times of TCP.
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is how many mean deviations a call may last longer than the mean.
	deviations = 4
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Durations estimates how long the calls of each route last. It is safe for concurrent use.
// The zero value is ready to use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]estimate
}

type estimate struct{ mean, deviation time.Duration }

// Observe records how long a call of a route has lasted.
func (d *Durations) Observe(route string, lasted time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.routes[route]
	if !known {
		if d.routes == nil || len(d.routes) >= maxRoutes {
			d.routes = map[string]estimate{}
		}
		d.routes[route] = estimate{mean: lasted, deviation: lasted / 2}
		return
	}
	off := lasted - e.mean
	e.deviation += time.Duration(deviationGain * float64(off.Abs()-e.deviation))
	e.mean += time.Duration(gain * float64(off))
	d.routes[route] = e
}

// Fits reports whether a call of a route will have ended when the time left is over. limit is
// how long its caller waits; without an estimate the call may last as long.
func (d *Durations) Fits(route string, limit, left time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	need := limit
	if e, known := d.routes[route]; known {
		need = min(need, e.mean+deviations*e.deviation)
	}
	return need <= left
}
