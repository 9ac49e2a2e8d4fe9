package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	id     string
	at     time.Time
	runner string
}

// runner stands in for a runner of a plain service. It stops work at the time limit that it
// receives, echoes the request's id, and rejects what it has no room for.
type runner struct {
	d             *deployment
	id, service   string
	host          int
	slots, queue  int
	work          time.Duration
	slot          chan struct{}
	server        *http.Server
	stopHeartbeat context.CancelFunc

	mu       sync.Mutex
	leaving  bool
	running  int
	arrivals []arrival
}

const (
	deskSlots = 6
	deskQueue = 4
	deskWork  = 15 * time.Millisecond
)

// startRunner starts a runner and registers it.
func (d *deployment) startRunner(id, service string, host int) (*runner, error) {
	r := &runner{d: d, id: id, service: service, host: host, slots: deskSlots, queue: deskQueue, work: deskWork, slot: make(chan struct{}, deskSlots)}
	listener, err := net.Listen("tcp", d.address(host, portApp))
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopHeartbeat = cancel
	started := time.Now()
	d.note("runner %s starts at %s", id, d.address(host, portApp))
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for sequence := 1; ctx.Err() == nil; sequence++ {
			r.register(sequence, started)
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
	return r, nil
}

func (r *runner) register(sequence int, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	r.d.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.d.address(r.host, portApp), "zone": "yard", "version": "v1", "capacity": r.slots,
		"state": "ready", wire["cold"]: 0, "sequence": sequence, "born": started.UnixMilli(),
	})
}

// leave makes the runner leave: from now on it writes no entry and says in its answers that it is
// leaving.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.stopHeartbeat()
}

// end ends the process of the runner.
func (r *runner) end() {
	_ = r.server.Close()
	r.d.note("runner %s ends", r.id)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", r.id)
	w.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get(wire["expect"]); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.enter(w, id) {
		w.Header().Set(wire["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leaveSlot()
	limit, err := strconv.ParseInt(request.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil {
		limit = 1000
	}
	timeout := time.NewTimer(time.Duration(limit) * time.Millisecond)
	defer timeout.Stop()
	select {
	case r.slot <- struct{}{}:
	case <-timeout.C:
		w.Header().Set(wire["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	defer func() { <-r.slot }()
	r.d.note("runner %s runs %s", r.id, id)
	select {
	case <-time.After(r.work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set(wire["seal"], "seal."+id)
	fmt.Fprintf(w, "done by %s\n", r.id)
}

// enter records an arrival and sets the headers that all answers have. It returns false if the
// runner is full.
func (r *runner) enter(w http.ResponseWriter, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), runner: r.id})
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.running >= r.slots+r.queue {
		return false
	}
	r.running++
	w.Header().Set(wire["load"], fmt.Sprintf("%d,%d,%d", min(r.running, r.slots), max(r.running-r.slots, 0), r.slots))
	return true
}

func (r *runner) leaveSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// arrivedAfter returns the requests that reached the runner after a time.
func (r *runner) arrivedAfter(t time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []arrival
	for _, a := range r.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}
