package placing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// Times of the modelled deployment.
const (
	// callerLatency and engineLatency are one-way latencies.
	callerLatency = 3 * time.Millisecond
	engineLatency = time.Millisecond
	// zoneLatency is the one-way latency between two gateways of a zone.
	zoneLatency = 300 * time.Microsecond
	// emptyPeerBackoff is how long a gateway that had no slot to lend is not asked
	// again.
	emptyPeerBackoff = 50 * time.Millisecond
	// statusInterval is how often agents send status reports and gateways send
	// their slot demand.
	statusInterval = 200 * time.Millisecond
	pumpInterval   = 10 * time.Millisecond
)

// An engine may receive coldRate*coldOver+coldSlack calls within a second.
const (
	coldRate  = 36
	coldOver  = 1.5
	coldSlack = 5
)

const (
	service = core.ServiceID("engines")
	model   = "m"
	layers  = 16
)

// epoch is the wall-clock time at which the simulation starts.
var epoch = time.Unix(1_000_000, 0)

// profile returns the engine profile of the modelled deployment.
func profile() *catalogue.EngineProfile {
	return &catalogue.EngineProfile{
		Models: []string{model}, BatchSlots: 16, Step: 7400 * time.Microsecond, StepPerCall: 39 * time.Microsecond,
		StepPerThousand: 20 * time.Microsecond, StepsPerPass: 6, PromptTokensPerSecond: 31_900, PromptChunk: 2048,
		UsualPrompt: 973, UsualAnswer: 106, Layers: layers,
	}
}

// Scenario is a deployment with a load pattern.
type Scenario struct {
	Name string
	// Engines is the number of running engines over time, Load the arrival rate in
	// calls a second.
	Engines []Step
	Load    []Step
	// GatewayShares are the relative shares of callers for each gateway.
	GatewayShares []float64
	// Lending lets gateways of a zone lend each other slots.
	Lending bool
	// Change is a version change during the run; nil means none.
	Change *VersionChange
	// Undivided shares engine slots first come, first served, without a quota for
	// each gateway.
	Undivided bool
	Length    time.Duration
}

// VersionChange declares another target version at At. The other durations count
// from there: the weights are stored on all engines' VMs after StoredAfter, and the
// engines change version one after the other between First and Last, but not before
// StoredAfter.
type VersionChange struct {
	At                       time.Duration
	StoredAfter, First, Last time.Duration
	// Announced makes agents report in advance when their engine will drain.
	Announced bool
}

// Step sets a value from a time after the start on.
type Step struct {
	From  time.Duration
	Value float64
}

// valueAt returns the value of the last step that has begun at when, 0 before the
// first one.
func valueAt(steps []Step, when time.Duration) float64 {
	value := 0.0
	for _, step := range steps {
		if when >= step.From {
			value = step.Value
		}
	}
	return value
}

// deployment is one run of a scenario.
type deployment struct {
	scenario Scenario
	clock    *virtualtime.Clock
	random   *rand.Rand
	engines  []*engine
	byID     map[fleet.EndpointID]*engine
	gateways []*gateway
	tally    *Tally
	dividers map[string]*slotshare.Divider
	quotas   map[string]*startquota.Quota
	// closesAt holds the announced drain times.
	closesAt map[*engine]boottime.Instant
}

// Run simulates a scenario and returns the outcomes of its calls.
func Run(scenario Scenario, seed uint64) *Tally {
	d := &deployment{
		scenario: scenario, clock: virtualtime.New(epoch), random: rand.New(rand.NewPCG(seed, seed+1)),
		dividers: map[string]*slotshare.Divider{}, quotas: map[string]*startquota.Quota{}, closesAt: map[*engine]boottime.Instant{}, byID: map[fleet.EndpointID]*engine{}, tally: newTally(),
	}
	d.build()
	d.nextArrival()
	d.clock.RunUntil(epoch.Add(scenario.Length + callerTimeout))
	return d.tally
}

// now returns the virtual time. It starts at one hour because boottime.Instant 0
// means an unknown time.
func (d *deployment) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(d.clock.Now().Sub(epoch))
}

func (d *deployment) build() {
	engineCount := 0
	for _, step := range d.scenario.Engines {
		engineCount = max(engineCount, int(step.Value))
	}
	view := fleet.NewView()
	backend := catalogue.Backend{Name: service, Engine: profile()}
	if !d.scenario.Undivided {
		backend.ColdRate = coldRate
	}
	view.Deployment = &catalogue.Deployment{Services: map[core.ServiceID]catalogue.Backend{service: backend}}
	view.Versions[model] = 1
	for i := range engineCount {
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		view.Endpoints[id] = &fleet.Endpoint{
			ID: id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: profile().BatchSlots,
			Zone: core.ZoneID(fmt.Sprintf("z%d", i%3)), Region: core.RegionID(fmt.Sprintf("r%d", i%3)), Boot: 1,
			Weights: []fleet.LoadedLayers{{Model: model, Version: 1, From: 0, To: layers}}, SeenAt: d.now(),
		}
		e := &engine{clock: d.clock, profile: profile(), version: 1}
		d.engines = append(d.engines, e)
		d.byID[id] = e
		d.reportStatus(e, view.Endpoints[id].Address)
	}
	for i := range d.scenario.GatewayShares {
		d.gateways = append(d.gateways, newGateway(d, i, view))
	}
	d.scheduleVersionChange(view)
	for _, step := range d.scenario.Engines {
		d.clock.At(epoch.Add(step.From), func() { d.setEngines(int(step.Value)) })
	}
}

// scheduleVersionChange schedules the scenario's version change: the gateways get
// the new target version, then the engines change one after the other in random
// order.
func (d *deployment) scheduleVersionChange(view *fleet.View) {
	change := d.scenario.Change
	if change == nil {
		return
	}
	next := *view
	next.Versions = map[string]int64{model: 2}
	d.clock.At(epoch.Add(change.At), func() {
		next.DeclaredAt = map[string]fleet.DeclarationTime{model: {MadeAt: d.now()}}
		for _, g := range d.gateways {
			g.placer.SetView(d.now(), &next)
		}
	})
	for place, index := range d.random.Perm(len(d.engines)) {
		e := d.engines[index]
		turn := change.At + change.First + (change.Last-change.First)*time.Duration(place)/time.Duration(len(d.engines)-1)
		turn = max(turn, change.At+change.StoredAfter)
		if change.Announced {
			d.clock.At(epoch.Add(change.At+change.StoredAfter), func() {
				d.closesAt[e] = d.now() + boottime.Instant(turn-change.At-change.StoredAfter)
			})
		}
		d.clock.At(epoch.Add(turn), func() {
			e.startVersionChange()
			delete(d.closesAt, e)
		})
	}
}

// setEngines crashes or restarts engines so that the first count are running.
func (d *deployment) setEngines(count int) {
	for i, e := range d.engines {
		switch {
		case i >= count && !e.crashed:
			e.crash()
		case i < count && e.crashed:
			e.crashed = false
		}
	}
}

// reportStatus sends status reports of an engine to all gateways every
// statusInterval, starting at a random offset.
func (d *deployment) reportStatus(e *engine, address string) {
	divider := slotshare.NewDivider(address)
	divider.SetSlots(e.profile.BatchSlots)
	d.dividers[address] = divider
	quota := startquota.New(d.now())
	quota.SetUnprecedented()
	quota.SetLimit(coldRate*coldOver+coldSlack, e.profile.BatchSlots)
	d.quotas[address] = quota
	report := func() {
		divider.Divide(d.now())
		quota.Divide(d.now(), func(gateway string) int {
			slots, _ := divider.Granted(gateway)
			return slots
		})
		status := placement.EngineStatus{
			Address: address, Boot: 1, Running: len(e.running), Waiting: len(e.waiting), Version: e.version,
			Loading: e.draining, Unreachable: e.crashed, ClosesAt: d.closesAt[e],
		}
		d.clock.After(engineLatency, func() {
			for _, g := range d.gateways {
				status.At = d.now()
				status.Granted = -1
				if granted, counted := divider.Granted(g.name); counted && !d.scenario.Undivided {
					status.Granted = granted
				}
				lease := quota.Lease(g.name)
				g.leases[address] = lease.Number
				g.placer.UpdatePermit(address, startquota.Permit{Starts: lease.Starts, Until: d.now().Add(startquota.LeaseTime)})
				g.updateEngine(status)
			}
		})
	}
	d.clock.After(time.Duration(d.random.Int64N(int64(statusInterval))), func() { report(); d.clock.Every(statusInterval, report) })
}

// nextArrival schedules the next call, until the scenario ends.
func (d *deployment) nextArrival() {
	elapsed := d.clock.Now().Sub(epoch)
	if elapsed >= d.scenario.Length {
		return
	}
	rate := valueAt(d.scenario.Load, elapsed)
	d.clock.After(time.Duration(d.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := randomCall(d.random, d.clock.Now(), d.scenario.GatewayShares)
		d.tally.arrived(c)
		d.clock.After(callerLatency, func() { d.gateways[c.gateway].arrive(c) })
		d.nextArrival()
	})
}
