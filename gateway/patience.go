package gateway

import (
	"sync"
	"time"
)

// patienceSeen holds the most patience that callers of each route showed. Callers
// that come back after a refusal have less.
type patienceSeen struct {
	mu   sync.Mutex
	most map[string]time.Duration
}

// maxPatienceRoutes bounds the routes that are remembered.
const maxPatienceRoutes = 4096

// returned reports whether a caller's patience is that of one who came back.
func (p *patienceSeen) returned(route string, patience time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil || len(p.most) >= maxPatienceRoutes {
		p.most = map[string]time.Duration{}
	}
	if patience >= p.most[route] {
		p.most[route] = patience
		return false
	}
	return float64(patience) < returnedShare*float64(p.most[route])
}
