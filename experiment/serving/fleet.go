package serving

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/routing"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// Times of the modelled deployment.
const (
	sameRegionLatency  = 500 * time.Microsecond
	otherRegionLatency = time.Millisecond
	reportEvery        = 250 * time.Millisecond
	gateTick           = 20 * time.Millisecond
	// bootPoll is the interval at which an endpoint process polls its engine's boot
	// number.
	bootPoll = 200 * time.Millisecond
	// cacheEventLag is the minimum lag of a cache event; the maximum is twice as long.
	cacheEventLag = 200 * time.Millisecond
	// cacheEventLoss is the share of cache events that an entry does not receive.
	cacheEventLoss = 0.1
	defaultLag     = 250 * time.Millisecond
)

// setup holds the parameters of a run.
type setup struct {
	seed      uint64
	endpoints int
	entries   int
	zones     int
	limiter   string
	picker    string
	admission bool
	hedges    bool
	workload  workload
	reportLag time.Duration
	// shapeOf returns the kind of engine of an endpoint.
	shapeOf func(index int) engineShape
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

// fleet is the modelled deployment of one run.
type fleet struct {
	setup       setup
	clock       *virtualtime.Clock
	endpoints   []*endpoint
	entries     []*entry
	tally       *tally
	arrivals    *rand.Rand
	nextRequest uint64
	nextAttempt uint64
}

// newFleet returns a deployment with warm engines and schedules the first arrival.
func newFleet(s setup) (*fleet, error) {
	if s.reportLag == 0 {
		s.reportLag = defaultLag
	}
	f := &fleet{setup: s, clock: virtualtime.New(epoch), tally: newTally(), arrivals: rand.New(rand.NewPCG(s.seed, 1))}
	for i := range s.endpoints {
		if err := f.addEndpoint(i); err != nil {
			return nil, err
		}
	}
	for i := range s.entries {
		if err := f.addEntry(i); err != nil {
			return nil, err
		}
	}
	f.scheduleArrival()
	return f, nil
}

// addEndpoint adds an endpoint with its engine and gate.
func (f *fleet) addEndpoint(index int) error {
	e := &endpoint{
		fleet: f, index: index, id: core.VMID(fmt.Sprintf("vm-%02d", index)),
		zone: zoneName(index % f.setup.zones), region: regionName(index % f.setup.zones),
		open: map[uint64]*attempt{}, random: rand.New(rand.NewPCG(f.setup.seed, uint64(1000+index))),
	}
	e.engine = newEngine(f.clock, f.setup.shapeOf(index), e)
	limiter, err := newLimiter(f.setup.limiter, e.engine)
	if err != nil {
		return err
	}
	e.gate = gate.New(gate.Config{Limiter: limiter, Random: e.random})
	e.gate.SetTeams(f.setup.workload.weights())
	f.endpoints = append(f.endpoints, e)
	f.clock.Every(reportEvery, e.report)
	f.clock.Every(gateTick, func() { e.feed(traceEvent{Op: traceTick}) })
	return nil
}

// addEntry adds an entry process.
func (f *fleet) addEntry(index int) error {
	construct, err := routing.Pickers.New(f.setup.picker)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(f.setup.seed, uint64(2000+index)))
	budget := routing.NewBudget(routing.BudgetConfig{})
	e := &entry{
		fleet: f, zone: zoneName(index % f.setup.zones), region: regionName(index % f.setup.zones),
		picker: construct(random), budget: budget,
		retrier: routing.NewRetrier(routing.RetryConfig{}, budget, random),
		views:   make([]view, f.setup.endpoints),
	}
	if f.setup.admission {
		e.admission = admission.New(admission.Config{}, random)
		e.admission.SetTeams(f.setup.workload.weights())
	}
	if f.setup.hedges {
		e.hedger = routing.NewHedger(routing.HedgeConfig{})
	}
	for i, endpoint := range f.endpoints {
		e.views[i].update(endpoint.gate.Load(f.clock.Now()), f.clock.Now())
	}
	f.entries = append(f.entries, e)
	return nil
}

// scheduleArrival schedules the next request; each arrival schedules the one after
// it.
func (f *fleet) scheduleArrival() {
	f.clock.After(f.setup.workload.gap(f.arrivals), func() {
		f.nextRequest++
		r := f.setup.workload.randomRequest(f.arrivals, f.nextRequest, f.clock.Now())
		e := f.entries[f.arrivals.IntN(len(f.entries))]
		f.tally.arrived(r)
		e.arrive(r)
		f.scheduleArrival()
	})
}

// run advances virtual time to until after the start.
func (f *fleet) run(until time.Duration) { f.clock.RunUntil(epoch.Add(until)) }

// collapses returns the number of engine collapses since the start.
func (f *fleet) collapses() int {
	collapses := 0
	for _, e := range f.endpoints {
		collapses += e.engine.collapses
	}
	return collapses
}

// latency returns the one-way network latency between two regions.
func latency(from, to core.RegionID) time.Duration {
	if from == to {
		return sameRegionLatency
	}
	return otherRegionLatency
}

func zoneName(i int) core.ZoneID     { return core.ZoneID(fmt.Sprintf("zone-%d", i)) }
func regionName(i int) core.RegionID { return core.RegionID(fmt.Sprintf("region-%d", i)) }
