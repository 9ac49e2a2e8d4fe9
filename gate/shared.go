package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// SharedConfig configures a shared gate; zero fields take defaults.
type SharedConfig struct {
	// Limiter is the ID of the limiter; empty takes "adaptive".
	Limiter string
	// QueueCapacity is how many calls may wait; zero sizes the queue by the limit.
	QueueCapacity int
	// Seed seeds the spread of retry times.
	Seed uint64
	// Now reads the clock; nil takes time.Now.
	Now func() time.Time
}

// DefaultLimiter is the limiter that is used when settings name none.
const DefaultLimiter = "adaptive"

// tickEvery is how often waiting calls are checked against their deadlines.
const tickEvery = 20 * time.Millisecond

// SharedGate is a Gate for concurrent use. It owns the timer that expires waiting calls.
type SharedGate struct {
	now func() time.Time

	mu      sync.Mutex
	gate    *Gate
	nextID  uint64
	waiting map[uint64]chan *core.Refusal
	ticking bool
	idle    chan struct{}
}

// NewShared returns an open gate. It fails when the limiter is not registered.
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

// Enter waits until the call may be handed to the endpoint. It returns either a
// pass, which must be ended with Done, or a refusal with outcome not_run.
func (s *SharedGate) Enter(ctx context.Context, request Request) (*Permit, *core.Refusal) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	verdict := make(chan *core.Refusal, 1)
	s.waiting[id] = verdict
	s.apply(s.gate.Offer(s.now(), Ticket{ID: id, Request: request}))
	s.mu.Unlock()
	select {
	case refusal := <-verdict:
		return s.pass(id, refusal)
	case <-ctx.Done():
		return s.abandon(id, verdict, ctx)
	}
}

// Close stops admission and refuses what waits; work in flight goes on.
func (s *SharedGate) Close(reason core.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.gate.Close(reason))
}

// Reopen admits again, ramped from the start limit.
func (s *SharedGate) Reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Reopen(s.now())
}

// Closed returns why the gate is closed; empty when it is open.
func (s *SharedGate) Closed() core.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Closed()
}

// Cold records that the endpoint lost its warm state, for example by a new boot number.
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

// Load reports the present load.
func (s *SharedGate) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(s.now())
}

// Counters returns the outcome counts since the start.
func (s *SharedGate) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Counters()
}

// Drain waits until no call is in flight.
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

// pass turns a verdict into the results of Enter.
func (s *SharedGate) pass(id uint64, refusal *core.Refusal) (*Permit, *core.Refusal) {
	if refusal != nil {
		return nil, refusal
	}
	started := s.now()
	return &Permit{gate: s, id: id, started: started, last: started}, nil
}

// abandon ends the wait of a call whose caller went away.
func (s *SharedGate) abandon(id uint64, verdict chan *core.Refusal, ctx context.Context) (*Permit, *core.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.waiting[id]; waits {
		delete(s.waiting, id)
		s.gate.Cancel(id)
	} else if refusal := <-verdict; refusal == nil {
		s.end(id, Result{NotStarted: true})
	}
	reason := core.ReasonCanceledByCaller
	if ctx.Err() == context.DeadlineExceeded {
		reason = core.ReasonDeadline
	}
	return nil, core.NotRun(reason, 0, "the caller stopped waiting before the call was started")
}

// end records the end of a call. The caller holds the lock.
func (s *SharedGate) end(id uint64, result Result) {
	s.apply(s.gate.Done(s.now(), id, result))
	if s.idle != nil && s.gate.Load(s.now()).InFlight == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// apply tells the waiting calls what was decided. The caller holds the lock.
func (s *SharedGate) apply(actions Actions) {
	for _, id := range actions.Admitted {
		s.tell(id, nil)
	}
	for _, refused := range actions.Rejected {
		s.tell(refused.ID, refused.Refusal)
	}
	if !s.ticking && len(s.waiting) > 0 {
		s.ticking = true
		time.AfterFunc(tickEvery, s.tick)
	}
}

// tell gives one waiting call its verdict.
func (s *SharedGate) tell(id uint64, refusal *core.Refusal) {
	verdict, waits := s.waiting[id]
	if !waits {
		return
	}
	delete(s.waiting, id)
	verdict <- refusal
}

// tick expires waiting calls and runs again while any is left.
func (s *SharedGate) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	s.apply(s.gate.Tick(s.now()))
}
