package node

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
)

// Times of the rounds of exchange.
const (
	// ExchangeInterval is how often a process looks whether a round is due, and
	// the time between rounds while it is not settled or follows its pool.
	ExchangeInterval = 500 * time.Millisecond
	// RoundInterval is the time between two rounds of an entry without news.
	RoundInterval = 2 * time.Second
	// reportGap is how long an endpoint process says nothing to an entry at
	// most; reportStagger is how long after the first its second entry hears a
	// state that says the same, so that documents reach the endpoint sooner.
	// Entries hear of another load, and of plain services, on which they must
	// agree to find the home of a key, at the same time.
	reportGap     = 2500 * time.Millisecond
	reportStagger = time.Second
	// newsGap is the least time between two rounds, so that news that come
	// together travel together.
	newsGap = 50 * time.Millisecond
)

// reports is when an endpoint process reports to its entries next, by their rank.
type reports [endpointFanout]time.Time

// due reports whether the entry of a rank is to be told now.
func (r *reports) due(now time.Time, rank int) bool {
	if now.Before(r[rank]) {
		return false
	}
	r[rank] = now.Add(reportGap)
	return true
}

// fresh takes note that there is a state that was not reported.
func (r *reports) fresh(now time.Time, stagger time.Duration) {
	for rank := range r {
		if at := now.Add(time.Duration(rank) * stagger); at.Before(r[rank]) {
			r[rank] = at
		}
	}
}

// Run exchanges knowledge with peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.started.Store(time.Now().UnixNano())
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	var usual time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-n.trigger:
			if err := kernel.Sleep(ctx, newsGap); err != nil {
				return err
			}
		}
		now := time.Now()
		scope, due := n.nextRound(now, now.Sub(usual))
		if !due {
			continue
		}
		if scope != scopeZones {
			usual = now
		}
		n.round(ctx, scope, false)
	}
}

// nextRound decides whether a round is due, and whom it tells. since is the time
// since the last round that told the usual peers.
func (n *Node) nextRound(now time.Time, since time.Duration) (scope scope, due bool) {
	news := scopeOf(n.news.Swap(0))
	if n.own != nil && n.reportOwn(now) {
		news = scopeAll
	}
	switch {
	case news == scopeAll || !n.Settled() || n.wantsPool.Load():
		return scopeAll, true
	case n.Role == core.RoleEndpoint:
		return scopeUsual, true
	case since >= RoundInterval-ExchangeInterval/2:
		// A usual round tells the zones as well.
		return scopeUsual, true
	default:
		return news, news == scopeZones
	}
}

// reportOwn takes the present state of the endpoint on this VM. It reports
// whether that says something that entries should hear of at once.
func (n *Node) reportOwn(now time.Time) (news bool) {
	state := n.own()
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, news := n.state.OfferOwn(now, state)
	if !fresh {
		return news
	}
	stagger := reportStagger
	if state.GetService() != "" || now.Sub(n.lastFresh) < RoundInterval-ExchangeInterval/2 {
		stagger = 0
	}
	n.lastFresh = now
	n.reports.fresh(now, stagger)
	return news
}

// Trigger starts a round with all entries that this process tells, without
// waiting for the interval.
func (n *Node) Trigger() { n.triggerScope(scopeAll) }

// triggerScope starts a round that tells at least those in scope.
func (n *Node) triggerScope(scope scope) {
	n.news.Or(uint32(1) << scope)
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

// scopeOf returns the widest scope among the bits that triggerScope set.
func scopeOf(bits uint32) scope {
	for _, wide := range []scope{scopeAll, scopeZones} {
		if bits&(1<<wide) != 0 {
			return wide
		}
	}
	return scopeUsual
}

// round tells the chosen peers and merges their replies.
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

// Refresh performs one round of exchange at once. It returns with the newest
// documents of the peers that it reached.
func (n *Node) Refresh(ctx context.Context) { n.round(ctx, scopeAll, true) }
