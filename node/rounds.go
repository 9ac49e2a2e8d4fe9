package node

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Intervals of the rounds of exchange.
const (
	// ExchangeInterval is how often a process checks whether a round is due. It is
	// also the time between rounds while the process is not settled or requests the
	// states of its pool.
	ExchangeInterval = 500 * time.Millisecond
	// RoundInterval is the time between two rounds of an entry when nothing changes.
	RoundInterval = 2 * time.Second
	// regularRoundAfter is the time after which the next regular round of an entry is
	// due, and after which an endpoint's new state may be an unchanged one. It is less
	// than RoundInterval because rounds start at ticks of ExchangeInterval, which may
	// come early.
	regularRoundAfter = RoundInterval - ExchangeInterval/2
	// maxReportInterval is the longest time between two reports of an endpoint
	// process to an entry. reportStagger is the delay after which an unchanged state
	// is reported to the secondary entry as well; it spreads the exchanges over
	// time, so that documents reach the endpoint sooner. A changed load is reported
	// to both entries at the same time, and so is any state of a plain service,
	// because the entries must agree on it to find the home of a key.
	maxReportInterval = 2500 * time.Millisecond
	reportStagger     = time.Second
	// batchDelay is the delay before a triggered round, and thus the minimum time
	// between two of them, so that changes in quick succession are sent together.
	batchDelay = 50 * time.Millisecond
)

// reportSchedule is the time of an endpoint process's next report to each of its
// entries, indexed by the entry's rank.
type reportSchedule [endpointFanout]time.Time

// due reports whether a report to the entry of the given rank is due. If so, it
// schedules the next one.
func (r *reportSchedule) due(now time.Time, rank int) bool {
	if now.Before(r[rank]) {
		return false
	}
	r[rank] = now.Add(maxReportInterval)
	return true
}

// advance schedules reports of a new state, each stagger after the one of the
// previous rank, unless they are due earlier.
func (r *reportSchedule) advance(now time.Time, stagger time.Duration) {
	for rank := range r {
		if at := now.Add(time.Duration(rank) * stagger); at.Before(r[rank]) {
			r[rank] = at
		}
	}
}

// Run exchanges state with peers until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	n.started.Store(time.Now().UnixNano())
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	var lastRegular time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-n.trigger:
			if err := kernel.Sleep(ctx, batchDelay); err != nil {
				return err
			}
		}
		now := time.Now()
		scope, due := n.nextRound(now, now.Sub(lastRegular))
		if !due {
			continue
		}
		if scope != scopeZones {
			lastRegular = now
		}
		n.round(ctx, scope, false)
	}
}

// nextRound decides whether a round is due, and its scope. since is the time since
// the last round of scopeRegular or scopeAll.
func (n *Node) nextRound(now time.Time, since time.Duration) (scope scope, due bool) {
	pending := scopeOf(n.pendingScopes.Swap(0))
	if n.endpointState != nil && n.updateEndpointState(now) {
		pending = scopeAll
	}
	switch {
	case pending == scopeAll || !n.Settled() || n.requestsPool.Load():
		return scopeAll, true
	case n.Role == core.RoleEndpoint:
		return scopeRegular, true
	case since >= regularRoundAfter:
		// A regular round includes the other zones.
		return scopeRegular, true
	default:
		return pending, pending == scopeZones
	}
}

// updateEndpointState stores the current state of the endpoint on this VM and
// schedules its reports. It returns true if the state must be sent to the entries
// immediately.
func (n *Node) updateEndpointState(now time.Time) (urgent bool) {
	state := n.endpointState()
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, urgent := n.state.OfferOwn(now, state)
	if !fresh {
		return urgent
	}
	stagger := reportStagger
	if state.GetService() != "" || now.Sub(n.lastNewState) < regularRoundAfter {
		stagger = 0
	}
	n.lastNewState = now
	n.reports.advance(now, stagger)
	return urgent
}

// Trigger starts a round of the widest scope without waiting for the interval.
func (n *Node) Trigger() { n.triggerScope(scopeAll) }

// triggerScope starts a round of at least the given scope.
func (n *Node) triggerScope(scope scope) {
	n.pendingScopes.Or(uint32(1) << scope)
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

// scopeOf returns the widest scope among the bits set by triggerScope.
func scopeOf(bits uint32) scope {
	for _, wide := range []scope{scopeAll, scopeZones} {
		if bits&(1<<wide) != 0 {
			return wide
		}
	}
	return scopeRegular
}

// round exchanges state with the targets of a scope concurrently and then removes
// expired states. force is passed on to exchangeWith.
func (n *Node) round(ctx context.Context, scope scope, force bool) {
	var running sync.WaitGroup
	for _, t := range n.targets(time.Now(), scope) {
		running.Add(1)
		go func() {
			defer running.Done()
			n.exchangeWith(ctx, t, force)
		}()
	}
	running.Wait()
	n.mu.Lock()
	n.state.Expire(time.Now())
	n.mu.Unlock()
}

// Refresh performs a round immediately. When it returns, the node has the newest
// documents of the peers that were reached.
func (n *Node) Refresh(ctx context.Context) { n.round(ctx, scopeAll, true) }
