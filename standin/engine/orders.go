package engine

import (
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// maxOrders bounds the number of orders kept for Stats.
const maxOrders = 1000

// Order is a record of one load order.
type Order struct {
	Version core.VersionID `json:"version"`
	Fence   uint64         `json:"fence"`
	// Status is the HTTP status of the response.
	Status int `json:"status"`
	// Running is the number of streams that ran when the order was applied.
	Running int       `json:"running"`
	At      time.Time `json:"at"`
}

func (s *Server) postLoad(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadOrder
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	status := s.acceptFence(order.Fence)
	running := 0
	if status == http.StatusOK {
		status, running = s.execute(&order)
	}
	s.recordOrder(&order, status, running)
	if s.shouldLoseOrder() {
		standin.DropConnection()
	}
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	standin.WriteJSON(w, http.StatusOK, engine.LoadReply{Version: order.Version, Boot: s.Status().Boot})
}

// acceptFence returns the HTTP status for a fencing token. An engine that checks
// tokens records the newest one and rejects older ones.
func (s *Server) acceptFence(fence uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.CheckFence {
		return http.StatusOK
	}
	if fence < s.fence {
		return http.StatusConflict
	}
	s.fence = fence
	return http.StatusOK
}

// execute applies a load order. It completes even if the caller disconnects. It returns
// the HTTP status and the number of streams that ran while the weights changed.
func (s *Server) execute(order *engine.LoadOrder) (status, running int) {
	s.loading.Lock()
	defer s.loading.Unlock()
	// A newer order may have been accepted while this one waited.
	if status := s.acceptFence(order.Fence); status != http.StatusOK {
		return status, 0
	}
	if s.applyWithoutLoad(order) {
		return http.StatusOK, 0
	}
	if order.Manifest.Version != order.Version || order.Manifest.Validate() != nil {
		return http.StatusBadRequest, 0
	}
	digest, complete := s.staging.assemble(&order.Manifest)
	if !complete && !s.config.TrustStaging {
		return http.StatusPreconditionFailed, 0
	}
	boot, ok := s.beginLoad()
	if !ok {
		return http.StatusServiceUnavailable, 0
	}
	time.Sleep(max(0, s.config.LoadTime))
	return s.finishLoad(boot, &loadedWeights{version: order.Version, digest: digest})
}

// applyWithoutLoad applies the role and adapters of an order. It returns false if the
// order also needs its weights loaded.
func (s *Server) applyWithoutLoad(order *engine.LoadOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = order.Role
	s.adapters = order.Adapters
	if s.state != engine.StateReady || s.weights == nil || s.weights.version != order.Version {
		return false
	}
	return len(order.Manifest.Chunks) == 0 || s.weights.digest == order.Manifest.Whole
}

func (s *Server) beginLoad() (boot uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == engine.StateFailed {
		return 0, false
	}
	s.state = engine.StateLoading
	return s.boot, true
}

func (s *Server) finishLoad(boot uint64, weights *loadedWeights) (status, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != boot {
		return http.StatusServiceUnavailable, 0
	}
	running = s.batch.running
	s.activate(weights)
	s.admit()
	return http.StatusOK, running
}

func (s *Server) recordOrder(order *engine.LoadOrder, status, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stats.Orders) >= maxOrders {
		s.stats.Orders = s.stats.Orders[1:]
	}
	s.stats.Orders = append(s.stats.Orders, Order{
		Version: order.Version, Fence: order.Fence, Status: status, Running: running, At: time.Now(),
	})
}

// shouldLoseOrder reports whether the response to this load order is lost, and counts
// LoseOrders down.
func (s *Server) shouldLoseOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return takeOne(&s.faults.LoseOrders)
}
