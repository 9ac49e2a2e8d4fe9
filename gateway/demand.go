package gateway

import (
	"context"
	"math"
	"time"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// reportDemand sends this process's slot demand to the agents until ctx ends, and joins what
// they report of other gateways.
func (a *agents) reportDemand(ctx context.Context) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.refreshRelays()
			a.setDemand(a.scheduler.slotDemand())
		}
	}
}

func (a *agents) setDemand(demands map[string]slotshare.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for address, link := range a.current {
		demand, known := demands[address]
		if !known && now.Sub(link.demandAt) >= demandRepeat {
			link.demandAt = now
			link.wake()
		}
		if !known || link.demand != nil && now.Sub(link.demandAt) < link.demandRepeat() && (!link.sameRegion || !demandChanged(link.demand, demand)) {
			continue
		}
		link.demand, link.demandAt = encodeDemand(demand), now
		link.wake()
	}
}

// demandRepeat returns how often an unchanged demand is sent. Each message extends a lease.
func (link *agentLink) demandRepeat() time.Duration {
	if link.leased {
		return leasedDemandRepeat
	}
	return demandRepeat
}

func encodeDemand(demand slotshare.Demand) *peerpb.SlotWant {
	want := &peerpb.SlotWant{Calls: float32(demand.Calls), Open: uint32(demand.Open)}
	for rank, calls := range demand.Ranked {
		if calls > 0 {
			want.Ranked = append(want.Ranked, make([]float32, rank-len(want.Ranked))...)
			want.Ranked = append(want.Ranked, float32(calls))
		}
	}
	return want
}

// demandChanged reports whether a demand is sent before the next repetition. The calls of each
// rank are compared too: the rank decides before the total.
func demandChanged(sent *peerpb.SlotWant, demand slotshare.Demand) bool {
	threshold := demandThreshold * demand.Calls
	if int(sent.GetOpen()) != demand.Open || math.Abs(float64(sent.GetCalls())-demand.Calls) > threshold {
		return true
	}
	for rank, calls := range demand.Ranked {
		before := 0.0
		if rank < len(sent.GetRanked()) {
			before = float64(sent.GetRanked()[rank])
		}
		if math.Abs(before-calls) > threshold {
			return true
		}
	}
	return false
}
