package spreading

import (
	"fmt"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// Defaults of the virtual network.
const (
	megabyte     = 1 << 20
	weightsBytes = 1 << 30
	chunkBytes   = 1 << 20
	timeFrame    = 60 * time.Second
	regionRate   = 25e6 / 8 // 25 Mb/s
	firstVersion = "v1"
	arrivalShare = 0.95
)

// Case is a measured configuration.
type Case struct {
	Policy  string  `json:"policy"`
	Fault   Fault   `json:"fault"`
	Shape   Shape   `json:"shape"`
	Weights Weights `json:"weights"`
	Seed    uint64  `json:"seed"`
	// Tuning overrides the parameters of the chunk_owner policy.
	Tuning *spread.Tuning `json:"tuning,omitempty"`
	// Network overrides the network that budgetNetwork returns for timeFrame.
	Network *Network `json:"network,omitempty"`
}

func (c Case) construct() (spread.Constructor, error) {
	if c.Tuning != nil {
		return spread.NewChunkOwner(*c.Tuning), nil
	}
	return spread.Policies.New(c.Policy)
}

// Outcome is the result of one run of a case. Times are in seconds, copies in
// multiples of the size of the weights.
type Outcome struct {
	Case
	Finished bool `json:"finished"`
	// BoundSeconds is the lower bound; DirectBoundSeconds is the lower bound if every
	// region fetches only over its link from the origin's region.
	BoundSeconds       float64 `json:"boundSeconds"`
	DirectBoundSeconds float64 `json:"directBoundSeconds,omitempty"`
	// First, Quarter, Half, Most and All are the times until one machine, a quarter,
	// half, 95% and all of the machines store the weights.
	First   float64 `json:"firstSeconds"`
	Quarter float64 `json:"quarterSeconds"`
	Half    float64 `json:"halfSeconds"`
	Most    float64 `json:"p95Seconds"`
	All     float64 `json:"allSeconds"`
	// Ratio is All divided by the lower bound.
	Ratio float64 `json:"ratio"`
	// OriginCopies is what the origin sent of the measured version.
	OriginCopies float64 `json:"originCopies"`
	// RegionLinkCopies is the maximum that a link between regions carried, and
	// RegionInCopies the maximum that a region received.
	RegionLinkCopies float64 `json:"regionLinkCopies"`
	RegionInCopies   float64 `json:"regionInCopies"`
	// MaxUpCopies is the maximum that a machine sent, MeanUp the mean.
	MaxUpCopies float64 `json:"maxUpCopies"`
	MeanUp      float64 `json:"meanUpCopies"`
	// MessagesPerChunk is the number of messages sent and received by a machine for
	// each chunk.
	MessagesPerChunk float64 `json:"messagesPerChunk"`
	MaxInFlight      int     `json:"maxInFlight"`
	// StepsPerChunk and CPUPerChunk are the calls of a machine's policy for each chunk
	// and the microseconds spent in them.
	StepsPerChunk float64 `json:"stepsPerChunk"`
	CPUPerChunk   float64 `json:"policyMicrosecondsPerChunk"`
	// Curve holds the times at which machines had all chunks, in ascending order.
	Curve   []float64 `json:"-"`
	samples []sample
	startAt time.Duration
}

// run simulates a case.
func (c Case) run() (Outcome, error) {
	construct, err := c.construct()
	if err != nil {
		return Outcome{}, err
	}
	network := budgetNetwork(c.Weights, timeFrame)
	if c.Network != nil {
		network = *c.Network
	}
	members := c.Shape.members()
	sim := newSimulation(network, members, construct, c.Seed)
	sim.sharedLinks = c.Policy == chunkOwnerPolicy
	p := &plan{
		sim: sim, fault: c.Fault, bound: lowerBound(c.Weights, c.Shape, network),
		weights: c.Weights, members: members, manifest: c.Weights.manifest(versionOf(firstVersion, c.Seed)),
	}
	p.schedule()
	finished := sim.run()
	outcome := c.outcome(sim, p)
	outcome.Finished = finished
	return outcome, nil
}

func (c Case) outcome(sim *simulation, p *plan) Outcome {
	network := sim.network
	size := float64(c.Weights.SizeBytes)
	o := Outcome{
		Case: c, startAt: p.startedAt, samples: sim.samples,
		BoundSeconds:       p.bound.Seconds(),
		DirectBoundSeconds: directBound(c.Weights, c.Shape, network).Seconds(),
		OriginCopies:       float64(sim.origin.sent-p.originSent) / size,
	}
	var messages int64
	for _, m := range sim.machines {
		if m.alive && !m.stalled && m.doneAt > 0 {
			o.Curve = append(o.Curve, (m.doneAt - p.startedAt).Seconds())
		}
		up := float64(m.up.sent-p.upSent[m]) / size
		o.MaxUpCopies = max(o.MaxUpCopies, up)
		o.MeanUp += up / float64(len(sim.machines))
		o.MaxInFlight = max(o.MaxInFlight, m.maxInFlight)
		messages += m.messages
	}
	chunks := float64(len(sim.machines) * len(p.manifest.Chunks))
	o.MessagesPerChunk = float64(messages) / chunks
	o.StepsPerChunk = float64(sim.steps) / chunks
	o.CPUPerChunk = float64(sim.stepTime.Nanoseconds()) / 1000 / chunks
	slices.Sort(o.Curve)
	o.setTimes()
	o.setRegionCopies(sim, p, size)
	return o
}

func (o *Outcome) setTimes() {
	if len(o.Curve) == 0 {
		return
	}
	o.First = o.Curve[0]
	o.Quarter = atShare(o.Curve, 0.25)
	o.Half = atShare(o.Curve, 0.5)
	o.Most = atShare(o.Curve, arrivalShare)
	o.All = o.Curve[len(o.Curve)-1]
	o.Ratio = o.All / o.BoundSeconds
}

func atShare(sorted []float64, share float64) float64 {
	index := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

func (o *Outcome) setRegionCopies(sim *simulation, p *plan, size float64) {
	in := map[string]float64{}
	for pair, l := range sim.regions {
		copies := float64(l.sent-p.regionSent[pair]) / size
		o.RegionLinkCopies = max(o.RegionLinkCopies, copies)
		in[string(pair.to)] += copies
	}
	for _, copies := range in {
		o.RegionInCopies = max(o.RegionInCopies, copies)
	}
}

// versionOf returns a version ID that contains the seed. Chunk placement depends on
// the ID, so each seed measures another placement.
func versionOf(name string, seed uint64) core.VersionID {
	return core.VersionID(fmt.Sprintf("%s-%d", name, seed))
}

func (c Case) String() string {
	return fmt.Sprintf("%s/%s/N=%d/%dz%dr", c.Policy, c.Fault, c.Shape.Machines, c.Shape.Zones, c.Shape.Regions)
}
