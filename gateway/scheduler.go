package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// pumpInterval is how often waiting calls are looked at when nothing else happens.
const pumpInterval = 10 * time.Millisecond

// overdueInterval is how often calls without a first byte are looked at.
const overdueInterval = 50 * time.Millisecond

// scheduler runs a placer for many goroutines and wakes those that wait.
type scheduler struct {
	now boottime.Clock

	mu      sync.Mutex
	placer  *placement.Placer
	waiting map[*placement.Ticket]chan struct{}
	// open ends the attempts under way.
	open map[*placement.Ticket]context.CancelCauseFunc
}

func newScheduler(placer *placement.Placer, now boottime.Clock) *scheduler {
	return &scheduler{placer: placer, now: now, waiting: map[*placement.Ticket]chan struct{}{}, open: map[*placement.Ticket]context.CancelCauseFunc{}}
}

// run looks at the waiting calls until ctx ends.
func (s *scheduler) run(ctx context.Context) error {
	ticker, overdue := time.NewTicker(pumpInterval), time.NewTicker(overdueInterval)
	defer ticker.Stop()
	defer overdue.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.pump()
		case <-overdue.C:
			s.moveOverdue()
		}
	}
}

// moveOverdue ends attempts that are better made elsewhere.
func (s *scheduler) moveOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ticket := range s.placer.Overdue(s.now()) {
		if abandon, open := s.open[ticket]; open {
			abandon(errOverdue)
		}
	}
}

// pump decides anew on the waiting calls, if there are any.
func (s *scheduler) pump() {
	s.mu.Lock()
	idle := len(s.waiting) == 0
	s.mu.Unlock()
	if !idle {
		s.update(func(*placement.Placer, boottime.Instant) {})
	}
}

// update changes the placer and decides anew on the waiting calls.
func (s *scheduler) update(change func(placer *placement.Placer, now boottime.Instant)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	change(s.placer, now)
	for _, ticket := range s.placer.Pump(now) {
		if wake, ok := s.waiting[ticket]; ok {
			close(wake)
			delete(s.waiting, ticket)
		}
	}
}

func (s *scheduler) setView(view *fleet.View) {
	s.update(func(p *placement.Placer, now boottime.Instant) { p.SetView(now, view) })
}

// place waits for the verdict on a request. When ctx ends first, the verdict is Wait.
func (s *scheduler) place(ctx context.Context, request placement.Request) (*placement.Ticket, placement.Decision) {
	s.mu.Lock()
	ticket := s.placer.Submit(s.now(), request)
	decision := ticket.Decision()
	if decision.Verdict != placement.Wait {
		s.mu.Unlock()
		return ticket, decision
	}
	wake := make(chan struct{})
	s.waiting[ticket] = wake
	s.mu.Unlock()
	select {
	case <-wake:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, still := s.waiting[ticket]; still {
		delete(s.waiting, ticket)
		s.placer.Cancel(ticket)
	}
	return ticket, ticket.Decision()
}

// attempt returns the context of an attempt, which also ends when its endpoint is lost.
func (s *scheduler) attempt(ctx context.Context, ticket *placement.Ticket) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[ticket] = cancel
	return ctx
}

func (s *scheduler) started(ticket *placement.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.Started(s.now(), ticket)
}

func (s *scheduler) ended(ticket *placement.Ticket, ending placement.Ending) {
	s.update(func(p *placement.Placer, now boottime.Instant) {
		p.Ended(now, ticket, ending)
		if cancel, open := s.open[ticket]; open {
			cancel(nil)
			delete(s.open, ticket)
		}
	})
}

// wants returns what this process would like to run at each engine.
func (s *scheduler) wants() map[string]slotshare.Want {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Wants(s.now())
}

func (s *scheduler) report(id fleet.EndpointID, report placement.Report) {
	s.update(func(p *placement.Placer, _ boottime.Instant) { p.Report(id, report) })
}
