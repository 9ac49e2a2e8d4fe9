package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// Fault is a fault injected during a spread.
type Fault string

// Faults of a spread.
const (
	FaultNone    Fault = "none"
	FaultDeaths  Fault = "deaths"
	FaultStalled Fault = "stalled"
	FaultCorrupt Fault = "corrupt"
	FaultVersion Fault = "version_change"
	FaultZoneCut Fault = "zone_cut"
)

// Sizes and times of the faults. Times without a unit are shares of the lower bound.
const (
	deathShare    = 0.05
	deathsFrom    = 0.1
	deathsTo      = 0.9
	stallAt       = 0.25
	corruptShare  = 0.01
	changeAt      = 0.5
	partitionFrom = 0.3
	partitionTo   = 0.8
	samplePeriod  = 0.02
	listPeriod    = 5 * time.Second
	startStagger  = 500 * time.Millisecond
	secondVersion = "v2"
)

// plan schedules the start of the spread and the faults of a run.
type plan struct {
	sim     *simulation
	fault   Fault
	bound   time.Duration
	weights Weights
	members []spread.Member
	// membersChanged is set if a machine has crashed since the last update of the
	// member lists.
	membersChanged bool
	manifest       *core.Manifest
	// startedAt is when the measured version became the target version.
	startedAt time.Duration
	// originSent, upSent and regionSent are the bytes sent by each link at startedAt.
	originSent int64
	upSent     map[*machine]int64
	regionSent map[regionPair]int64
}

// schedule schedules the first version, the samples and the run's fault.
func (p *plan) schedule() {
	p.sim.unfinished = len(p.sim.machines)
	p.startVersionOnAll(p.manifest, 1)
	p.sim.sampleEvery(p.boundShare(samplePeriod))
	switch p.fault {
	case FaultDeaths:
		p.scheduleDeaths()
	case FaultStalled:
		p.sim.at(p.boundShare(stallAt), func() { p.stall(p.sim.machines[1]) })
	case FaultCorrupt:
		p.sim.corrupt = corruptShare
	case FaultVersion:
		p.sim.at(p.boundShare(changeAt), p.changeVersion)
	case FaultZoneCut:
		last := p.members[len(p.members)-1].Zone
		p.sim.at(p.boundShare(partitionFrom), func() { p.sim.partitionedZone = last; p.sim.failDisconnected() })
		p.sim.at(p.boundShare(partitionTo), func() { p.sim.partitionedZone = "" })
	}
}

// boundShare returns a share of the lower bound.
func (p *plan) boundShare(of float64) time.Duration { return time.Duration(of * float64(p.bound)) }

// startVersionOnAll makes a version the target version of every live machine, each
// after a random delay of up to startStagger.
func (p *plan) startVersionOnAll(manifest *core.Manifest, epoch int) {
	for _, m := range p.sim.machines {
		delay := time.Duration(p.sim.random.Int64N(int64(startStagger)))
		p.sim.After(delay, func() {
			if m.alive {
				p.sim.startVersion(m, manifest, epoch, p.members)
			}
		})
	}
}

// changeVersion replaces the target version of all machines and restarts the
// measurement for the new one.
func (p *plan) changeVersion() {
	p.startedAt = p.sim.now()
	p.recordSent()
	p.sim.samples = nil
	p.sim.unfinished = len(p.sim.machines)
	for _, m := range p.sim.machines {
		m.doneAt = 0
	}
	p.sim.gateways = nil
	p.startVersionOnAll(p.weights.manifest(versionOf(secondVersion, p.sim.seed)), 2)
}

// recordSent records the bytes sent so far by each link.
func (p *plan) recordSent() {
	p.originSent = p.sim.origin.sent
	p.upSent = map[*machine]int64{}
	for _, m := range p.sim.machines {
		p.upSent[m] = m.up.sent
	}
	p.regionSent = map[regionPair]int64{}
	for pair, l := range p.sim.regions {
		p.regionSent[pair] = l.sent
	}
}

// scheduleDeaths schedules the crash of a random share of the machines, and the later
// updates of the member lists.
func (p *plan) scheduleDeaths() {
	count := max(1, int(deathShare*float64(len(p.sim.machines))+0.5))
	for _, index := range p.sim.random.Perm(len(p.sim.machines))[:count] {
		m := p.sim.machines[index]
		when := p.boundShare(deathsFrom + (deathsTo-deathsFrom)*p.sim.random.Float64())
		p.sim.at(when, func() { p.kill(m) })
	}
	p.sim.After(listPeriod, p.updateLists)
}

// kill crashes a machine for the rest of the run.
func (p *plan) kill(m *machine) {
	m.alive = false
	p.membersChanged = true
	if m.doneAt == 0 {
		p.sim.unfinished--
	}
	p.sim.failDisconnected()
}

// stall disconnects a machine for the rest of the run and excludes it from the
// measurement.
func (p *plan) stall(m *machine) {
	m.stalled = true
	if m.doneAt == 0 {
		p.sim.unfinished--
	}
	p.sim.failDisconnected()
}

// updateLists sends the current member list to every machine after changes. The
// interval models the lag of the platform's VM list.
func (p *plan) updateLists() {
	p.sim.After(listPeriod, p.updateLists)
	if !p.membersChanged {
		return
	}
	p.membersChanged = false
	var alive []spread.Member
	for _, m := range p.sim.machines {
		if m.alive {
			alive = append(alive, m.member)
		}
	}
	p.members = alive
	p.sim.members = alive
	p.sim.gateways = nil
	p.sim.listenersOf = nil
	for _, m := range p.sim.machines {
		p.sim.step(m, spread.MembersChanged{Members: alive})
	}
}
