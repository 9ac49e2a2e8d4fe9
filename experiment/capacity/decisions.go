package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/routing"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Decision is the processor time of one decision.
type Decision struct {
	Name string `json:"name"`
	// Size is the number of candidates, teams or live VMs that the cost depends on.
	Size   int     `json:"size"`
	Micros float64 `json:"microseconds"`
}

const (
	// pickWork is the number of candidates over all picks of one measurement.
	pickWork      = 1_000_000
	decisionCount = 20_000
	teamCount     = 8
	serviceName   = core.ServiceID("dispatch-desk")
)

func measureDecisions(options experiment.Options) []Decision {
	divisor := 1
	candidates := []int{10, 100, 164, 1000, 2300}
	if options.Quick {
		divisor = quickWorkDivisor
		candidates = candidates[:3]
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var rows []Decision
	for _, size := range candidates {
		rows = append(rows, measurePick(size, max(10, pickWork/size/divisor), random))
	}
	for _, size := range []int{1, teamCount} {
		rows = append(rows, measureAdmission(size, decisionCount/divisor, random))
	}
	for _, size := range []int{3, 10, 100} {
		rows = append(rows, measureHome(size, max(10, decisionCount/size/divisor)))
	}
	return append(rows, measureGate(decisionCount/divisor), measureToken(decisionCount/divisor), measureEvent(decisionCount/divisor))
}

func measurePick(size, count int, random *rand.Rand) Decision {
	now := time.Now()
	picker := routing.NewWeighted(routing.WeightedConfig{}, random)
	candidates := make([]routing.Candidate, size)
	for i := range candidates {
		zone := i % zoneCount
		candidates[i] = routing.Candidate{
			ID: core.VMID(fmt.Sprintf("yard-zone-%02d-model-%04d", zone, i)), Zone: zoneName(zone), Region: regionName(zone),
			ReportedInFlight: 5, ReportedLimit: largeLimit, ReportedAt: now,
		}
	}
	hashes := []uint64{1, 2, 3, 4}
	picker.Answered(now, candidates[0].ID, hashes, time.Millisecond)
	query := routing.Query{Now: now, Zone: zoneName(0), Region: regionName(0), PrefixHashes: hashes}
	return Decision{Name: "pick of an endpoint, by candidates", Size: size, Micros: microseconds(count, func() { picker.Pick(query, candidates) })}
}

func measureAdmission(teams, count int, random *rand.Rand) Decision {
	controller := admission.New(admission.Config{}, random)
	now := time.Now()
	capacity := admission.Capacity{Endpoints: 100, Limit: 6400, InFlight: 6400, Queued: 640, QueueCapacity: 12_800, ServiceTime: time.Second}
	next := 0
	micros := microseconds(count, func() {
		now = now.Add(time.Millisecond)
		next++
		team := core.TeamID(fmt.Sprintf("team-%d", next%teams))
		if controller.Offer(now, admission.Request{Team: team, Priority: core.PriorityBriefing}, capacity).Refusal == nil {
			controller.Done(team)
		}
	})
	return Decision{Name: "admission under pressure, by teams", Size: teams, Micros: micros}
}

func measureHome(live, count int) Decision {
	ids := make([]core.VMID, live)
	for i := range ids {
		ids[i] = core.VMID(fmt.Sprintf("yard-zone-00-desk-%03d", i))
	}
	next := 0
	micros := microseconds(count, func() {
		next++
		claims.Home(serviceName, fmt.Sprintf("order-%d", next), ids)
	})
	return Decision{Name: "home of a key, by live VMs", Size: live, Micros: micros}
}

func newSharedGate() *gate.SharedGate {
	shared, err := gate.NewShared(gate.SharedConfig{Seed: 1})
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return shared
}

// enter returns a permit for a call. It panics if the gate rejects the call.
func enter(shared *gate.SharedGate) *gate.Permit {
	permit, refusal := shared.Enter(context.Background(), gate.Request{Team: "desk", Priority: core.PriorityBriefing})
	if refusal != nil {
		panic("capacity: gate rejected the call: " + refusal.Error())
	}
	return permit
}

func measureGate(count int) Decision {
	shared := newSharedGate()
	micros := microseconds(count, func() {
		permit := enter(shared)
		permit.FirstToken()
		permit.Done(gate.Result{})
	})
	return Decision{Name: "gate, one call", Size: 1, Micros: micros}
}

func measureToken(count int) Decision {
	permit := enter(newSharedGate())
	permit.FirstToken()
	return Decision{Name: "gate, one token", Size: 1, Micros: microseconds(count, permit.Token)}
}

func measureEvent(count int) Decision {
	recorder := timeline.NewRecorder(hlc.New(time.Now), sender, zoneName(0), 8192)
	micros := microseconds(count, func() { recorder.Add(timeline.KindRoute, "request", receiver, "Attempt sent.") })
	return Decision{Name: "time line, one event", Size: 1, Micros: micros}
}
