package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// pumpInterval is how often waiting calls are evaluated without other events.
const pumpInterval = 10 * time.Millisecond

// borrowInterval is how often slots of other gateways are requested for waiting calls.
const borrowInterval = 20 * time.Millisecond

// overdueInterval is how often calls without a first byte are checked.
const overdueInterval = 50 * time.Millisecond

// scheduler serializes access to a placer and wakes the goroutines whose calls were
// decided.
type scheduler struct {
	now boottime.Clock

	mu      sync.Mutex
	placer  *placement.Placer
	waiting map[*placement.Ticket]chan struct{}
	// open are the cancel functions of the attempts in progress.
	open map[*placement.Ticket]context.CancelCauseFunc
	// leases are the borrowed slots in which attempts run.
	leases map[*placement.Ticket]slotLease
	lender *lender
	// borrowing is set while a slot is requested for the waiting calls.
	borrowing atomic.Bool
	// lastBorrower is the waiting call for which a slot was requested last.
	lastBorrower *placement.Ticket
}

func newScheduler(placer *placement.Placer, now boottime.Clock) *scheduler {
	return &scheduler{placer: placer, now: now, waiting: map[*placement.Ticket]chan struct{}{}, open: map[*placement.Ticket]context.CancelCauseFunc{},
		leases: map[*placement.Ticket]slotLease{}}
}

// run evaluates waiting and overdue calls until ctx ends.
func (s *scheduler) run(ctx context.Context) error {
	ticker, overdue, borrow := time.NewTicker(pumpInterval), time.NewTicker(overdueInterval), time.NewTicker(borrowInterval)
	defer ticker.Stop()
	defer overdue.Stop()
	defer borrow.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.pump()
		case <-overdue.C:
			s.moveOverdue()
		case <-borrow.C:
			s.borrowForWaiting(ctx)
		}
	}
}

// borrowForWaiting requests a slot of another gateway for a waiting call. At most one request is in
// progress.
func (s *scheduler) borrowForWaiting(ctx context.Context) {
	if s.borrowing.Load() {
		return // run is the only caller, so that no other request begins meanwhile
	}
	s.mu.Lock()
	ticket := s.placer.NextToBorrow(s.lastBorrower)
	s.lastBorrower = ticket
	s.mu.Unlock()
	if ticket == nil {
		return
	}
	s.borrowing.Store(true)
	go func() {
		defer s.borrowing.Store(false)
		s.lender.borrow(ctx, ticket, s.placeWaiting)
	}()
}

// moveOverdue cancels attempts that should be retried at another endpoint.
func (s *scheduler) moveOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ticket := range s.placer.Overdue(s.now()) {
		if cancel, open := s.open[ticket]; open {
			cancel(errOverdue)
		}
	}
}

// pump evaluates the waiting calls, if there are any.
func (s *scheduler) pump() {
	s.mu.Lock()
	idle := len(s.waiting) == 0
	s.mu.Unlock()
	if !idle {
		s.update(func(*placement.Placer, boottime.Instant) {})
	}
}

// update changes the placer and evaluates the waiting calls again.
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

// place waits for the verdict on a request. If ctx ends first, the verdict is Wait.
func (s *scheduler) place(ctx context.Context, request placement.Request) (*placement.Ticket, placement.Decision) {
	ticket, wake := s.submit(request)
	decision := s.decision(ticket)
	switch {
	case decision.Verdict == placement.Place:
		return ticket, decision
	case decision.Verdict == placement.Reject && decision.Reason != core.ReasonOverloaded:
		return ticket, decision
	case s.lender.borrow(ctx, ticket, s.placeBorrowed):
		return ticket, s.decision(ticket)
	case wake == nil:
		return ticket, decision
	}
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

// submit submits a request. If it has to wait, the returned channel is closed when the
// verdict is known; otherwise the channel is nil.
func (s *scheduler) submit(request placement.Request) (*placement.Ticket, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket := s.placer.Submit(s.now(), request)
	if ticket.Decision().Verdict != placement.Wait {
		return ticket, nil
	}
	wake := make(chan struct{})
	s.waiting[ticket] = wake
	return ticket, wake
}

func (s *scheduler) decision(ticket *placement.Ticket) placement.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ticket.Decision()
}

// lend lends a slot to another gateway. It returns nil if no slot can be spared.
func (s *scheduler) lend(request placement.Request) *placement.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Lend(s.now(), request)
}

// placeBorrowed places a ticket in a slot of another gateway, or a waiting one that goes before
// it. It returns the ticket that was placed, nil if neither may run there.
func (s *scheduler) placeBorrowed(ticket *placement.Ticket, id fleet.EndpointID, expected time.Duration, sendBy boottime.Instant, from slotLease) *placement.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placeIn(ticket, id, expected, sendBy, from)
}

// placeWaiting is placeBorrowed for a ticket whose caller may have left meanwhile. The slot is
// then for the first call that still waits.
func (s *scheduler) placeWaiting(ticket *placement.Ticket, id fleet.EndpointID, expected time.Duration, sendBy boottime.Instant, from slotLease) *placement.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.waiting[ticket]; !waits {
		ticket = s.placer.NextToBorrow(nil)
	}
	if ticket == nil {
		return nil
	}
	return s.placeIn(ticket, id, expected, sendBy, from)
}

// placeIn is placeBorrowed. The caller must hold s.mu.
func (s *scheduler) placeIn(ticket *placement.Ticket, id fleet.EndpointID, expected time.Duration, sendBy boottime.Instant, from slotLease) *placement.Ticket {
	placed := s.placer.PlaceBorrowed(s.now(), ticket, id, expected, sendBy)
	if placed == nil {
		return nil
	}
	if wake, ok := s.waiting[placed]; ok {
		close(wake)
	}
	delete(s.waiting, placed)
	s.leases[placed] = from
	return placed
}

// attempt returns the context of an attempt. It is also canceled when the endpoint is
// lost or the call is moved.
func (s *scheduler) attempt(ctx context.Context, ticket *placement.Ticket) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[ticket] = cancel
	return ctx
}

// mayStart reports whether a placed call may still be sent.
func (s *scheduler) mayStart(ticket *placement.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.MayStart(s.now(), ticket)
}

func (s *scheduler) started(ticket *placement.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.Started(s.now(), ticket)
}

func (s *scheduler) ended(ticket *placement.Ticket, outcome placement.Outcome) {
	s.update(func(p *placement.Placer, now boottime.Instant) {
		p.Ended(now, ticket, outcome)
		if cancel, open := s.open[ticket]; open {
			cancel(nil)
			delete(s.open, ticket)
		}
		if from, borrowed := s.leases[ticket]; borrowed {
			delete(s.leases, ticket)
			s.lender.release(from)
		}
	})
}

// slotDemand returns the number of slots that this process needs at each engine.
func (s *scheduler) slotDemand() map[string]slotshare.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.SlotDemand(s.now())
}

func (s *scheduler) report(id fleet.EndpointID, report placement.LoadReport) {
	s.update(func(p *placement.Placer, _ boottime.Instant) { p.UpdateLoad(id, report) })
}
