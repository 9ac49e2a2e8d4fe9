package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// SharedConfig configures a shared gate. Zero fields take defaults.
type SharedConfig struct {
	// Limiter is the ID of a registered limiter; empty selects DefaultLimiter.
	Limiter string
	// QueueCapacity is the maximum number of waiting calls; zero derives it from the
	// limit.
	QueueCapacity int
	// Seed seeds the jitter of retry times.
	Seed uint64
	// Now returns the current time; nil selects time.Now.
	Now func() time.Time
}

// DefaultLimiter is the limiter that is used if none is configured.
const DefaultLimiter = "adaptive"

// tickInterval is the interval at which waiting calls are checked against their
// deadlines.
const tickInterval = 20 * time.Millisecond

// SharedGate is a Gate that is safe for concurrent use. It owns the timer that expires
// waiting calls.
type SharedGate struct {
	now func() time.Time

	mu      sync.Mutex
	gate    *Gate
	nextID  uint64
	waiting map[uint64]chan *core.Refusal
	ticking bool
	idle    chan struct{}
}

// NewShared returns an open gate. It returns an error if the limiter is not registered.
func NewShared(config SharedConfig) (*SharedGate, error) {
	core.SetDefault(&config.Limiter, DefaultLimiter)
	if config.Now == nil {
		config.Now = time.Now
	}
	limiter, err := Limiters.New(config.Limiter)
	if err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	g := New(Config{
		Limiter:       limiter,
		QueueCapacity: config.QueueCapacity,
		Random:        rand.New(rand.NewPCG(config.Seed, 1)),
	})
	return &SharedGate{now: config.Now, gate: g, waiting: map[uint64]chan *core.Refusal{}}, nil
}

// Enter waits until the call may be sent to the endpoint. It returns either a permit,
// which must be ended with Done or Release, or a refusal with outcome not_run.
func (s *SharedGate) Enter(ctx context.Context, request Request) (*Permit, *core.Refusal) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	decision := make(chan *core.Refusal, 1)
	s.waiting[id] = decision
	s.apply(s.gate.Offer(s.now(), Ticket{ID: id, Request: request}))
	s.mu.Unlock()
	select {
	case refusal := <-decision:
		return s.permit(id, refusal)
	case <-ctx.Done():
		return s.abandon(id, decision, ctx)
	}
}

// Close stops admission and rejects all waiting calls. Calls in flight continue.
func (s *SharedGate) Close(reason core.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.gate.Close(reason))
}

// Reopen resumes admission from the start limit.
func (s *SharedGate) Reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Reopen(s.now())
}

// Closed returns the reason for which the gate is closed, or an empty reason if it is
// open.
func (s *SharedGate) Closed() core.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Closed()
}

// Cold records that the endpoint lost its warm state, for example when its boot number
// changed.
func (s *SharedGate) Cold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Cold(s.now())
}

// SetTeams replaces the weights of the teams.
func (s *SharedGate) SetTeams(weights map[core.TeamID]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetTeams(weights)
}

// Load returns the current load.
func (s *SharedGate) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(s.now())
}

// Counters returns a copy of the counters.
func (s *SharedGate) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Counters()
}

// Drain waits until no call is in flight. It returns an error if ctx ends first.
func (s *SharedGate) Drain(ctx context.Context) error {
	s.mu.Lock()
	if s.gate.Load(s.now()).InFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
}

// permit converts a decision into the results of Enter.
func (s *SharedGate) permit(id uint64, refusal *core.Refusal) (*Permit, *core.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	started := s.now()
	return &Permit{gate: s, id: id, started: started, lastReport: started}, nil
}

// abandon removes a call whose context ended. If the call was admitted meanwhile, its
// slot is released.
func (s *SharedGate) abandon(id uint64, decision chan *core.Refusal, ctx context.Context) (*Permit, *core.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isWaiting := s.waiting[id]; isWaiting {
		delete(s.waiting, id)
		s.gate.Cancel(id)
	} else if refusal := <-decision; refusal == nil {
		s.end(id, Result{NotStarted: true})
	}
	reason := core.ReasonCanceledByCaller
	if ctx.Err() == context.DeadlineExceeded {
		reason = core.ReasonDeadline
	}
	return nil, core.NotRun(reason, 0, "the caller stopped waiting before the call was started")
}

// end records the end of a call. The caller must hold s.mu.
func (s *SharedGate) end(id uint64, result Result) {
	s.apply(s.gate.Done(s.now(), id, result))
	if s.idle != nil && s.gate.Load(s.now()).InFlight == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// apply delivers decisions to the waiting calls and schedules the next tick. The caller
// must hold s.mu.
func (s *SharedGate) apply(actions Actions) {
	for _, id := range actions.Admitted {
		s.deliver(id, nil)
	}
	for _, rejection := range actions.Rejected {
		s.deliver(rejection.ID, rejection.Refusal)
	}
	if !s.ticking && len(s.waiting) > 0 {
		s.ticking = true
		time.AfterFunc(tickInterval, s.tick)
	}
}

// deliver sends the decision to one waiting call. A nil refusal admits the call.
func (s *SharedGate) deliver(id uint64, refusal *core.Refusal) {
	decision, isWaiting := s.waiting[id]
	if !isWaiting {
		return
	}
	delete(s.waiting, id)
	decision <- refusal
}

// tick expires waiting calls. It runs again while calls are waiting.
func (s *SharedGate) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	s.apply(s.gate.Tick(s.now()))
}
