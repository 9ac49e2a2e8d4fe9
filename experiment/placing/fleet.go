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
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// Times of the modelled deployment.
const (
	// callerLatency and engineLatency are one way.
	callerLatency = 3 * time.Millisecond
	engineLatency = time.Millisecond
	// zoneLatency is that between two gateways of a zone.
	zoneLatency = 300 * time.Microsecond
	// emptyTime is how long a gateway is not asked again that had no slot to lend.
	emptyTime = 50 * time.Millisecond
	// newsInterval is how often an engine's agent tells its load.
	newsInterval = 200 * time.Millisecond
	pumpInterval = 10 * time.Millisecond
)

const (
	service = core.ServiceID("engines")
	model   = "m"
	layers  = 16
)

// epoch is where virtual time begins; boottime.Instant 0 stands for unknown.
var epoch = time.Unix(1_000_000, 0)

// profile is the engine of the modelled deployment.
func profile() *catalogue.EngineProfile {
	return &catalogue.EngineProfile{
		Models: []string{model}, BatchSlots: 16, Step: 7400 * time.Microsecond, StepPerCall: 39 * time.Microsecond,
		StepPerThousand: 20 * time.Microsecond, StepsPerPass: 6, PromptTokensPerSecond: 31_900, PromptChunk: 2048,
		UsualPrompt: 973, UsualAnswer: 106, Layers: layers,
	}
}

// Scenario is a load over a deployment.
type Scenario struct {
	Name string
	// Engines is how many there are at each time, Load the arrivals a second.
	Engines []Step
	Load    []Step
	// GatewayShares are the parts of the callers that come to each gateway.
	GatewayShares []float64
	// Lending has gateways of a zone lend each other slots.
	Lending bool
	// Change declares another version.
	Change *VersionChange
	// Undivided leaves the slots of engines to whoever comes first.
	Undivided bool
	Length    time.Duration
}

// VersionChange is a version that is declared. The weights are at all engines after
// Whole, and the engines change one after the other from First to Last.
type VersionChange struct {
	At                 time.Duration
	StoredAfter, First, Last time.Duration
	// Announced has agents tell when their turn is.
	Announced bool
}

// Step is a value from an instant on.
type Step struct {
	From  time.Duration
	Value float64
}

func at(steps []Step, when time.Duration) float64 {
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
	// closesAt are the announced turns.
	closesAt map[*engine]boottime.Instant
}

// Run replays a scenario and returns what became of the calls.
func Run(scenario Scenario, seed uint64) *Tally {
	d := &deployment{
		scenario: scenario, clock: virtualtime.New(epoch), random: rand.New(rand.NewPCG(seed, seed+1)),
		dividers: map[string]*slotshare.Divider{}, closesAt: map[*engine]boottime.Instant{}, byID: map[fleet.EndpointID]*engine{}, tally: newTally(scenario.Length),
	}
	d.build()
	d.nextArrival()
	d.clock.RunUntil(epoch.Add(scenario.Length + patience))
	return d.tally
}

func (d *deployment) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(d.clock.Now().Sub(epoch))
}

func (d *deployment) build() {
	most := 0
	for _, step := range d.scenario.Engines {
		most = max(most, int(step.Value))
	}
	view := fleet.NewView()
	view.Deployment = &catalogue.Deployment{Services: map[core.ServiceID]catalogue.Backend{service: {Name: service, Engine: profile()}}}
	view.Versions[model] = 1
	for i := range most {
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		view.Endpoints[id] = &fleet.Endpoint{
			ID: id, Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: profile().BatchSlots,
			Zone: core.ZoneID(fmt.Sprintf("z%d", i%3)), Region: core.RegionID(fmt.Sprintf("r%d", i%3)), Boot: 1,
			Weights: []fleet.LoadedLayers{{Model: model, Version: 1, From: 0, To: layers}}, SeenAt: d.now(),
		}
		e := &engine{clock: d.clock, profile: profile(), version: 1}
		d.engines = append(d.engines, e)
		d.byID[id] = e
		d.follow(e, view.Endpoints[id].Address)
	}
	for i := range d.scenario.GatewayShares {
		d.gateways = append(d.gateways, newGateway(d, i, view))
	}
	d.declare(view)
	for _, step := range d.scenario.Engines {
		d.clock.At(epoch.Add(step.From), func() { d.setEngines(int(step.Value)) })
	}
}

// declare has the engines change version one after the other.
func (d *deployment) declare(view *fleet.View) {
	change := d.scenario.Change
	if change == nil {
		return
	}
	next := *view
	next.Versions = map[string]int64{model: 2}
	d.clock.At(epoch.Add(change.At), func() {
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
			e.change()
			delete(d.closesAt, e)
		})
	}
}

// setEngines crashes or brings back engines so that so many are there.
func (d *deployment) setEngines(count int) {
	for i, e := range d.engines {
		switch {
		case i >= count && !e.away:
			e.crash()
		case i < count && e.away:
			e.away = false
		}
	}
}

// follow tells the gateways of an engine's load, each engine at its own times.
func (d *deployment) follow(e *engine, address string) {
	divider := slotshare.NewDivider(address)
	divider.SetSlots(e.profile.BatchSlots)
	d.dividers[address] = divider
	tell := func() {
		divider.Divide(d.now())
		news := placement.EngineStatus{
			Address: address, Boot: 1, Running: len(e.running), Waiting: len(e.waiting), Version: e.version,
			Loading: e.draining, Unreachable: e.away, ClosesAt: d.closesAt[e],
		}
		d.clock.After(engineLatency, func() {
			for _, g := range d.gateways {
				news.At = d.now()
				news.Granted = -1
				if granted, counted := divider.Granted(g.name); counted && !d.scenario.Undivided {
					news.Granted = granted
				}
				g.engineNews(news)
			}
		})
	}
	d.clock.After(time.Duration(d.random.Int64N(int64(newsInterval))), func() { tell(); d.clock.Every(newsInterval, tell) })
}

// nextArrival draws calls until the scenario ends.
func (d *deployment) nextArrival() {
	elapsed := d.clock.Now().Sub(epoch)
	if elapsed >= d.scenario.Length {
		return
	}
	rate := at(d.scenario.Load, elapsed)
	d.clock.After(time.Duration(d.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := draw(d.random, d.clock.Now(), d.scenario.GatewayShares)
		d.tally.arrived(c)
		d.clock.After(callerLatency, func() { d.gateways[c.gateway].arrive(c) })
		d.nextArrival()
	})
}
