package spreading

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// maxVirtualTime is the virtual time after which a run counts as not finished.
const maxVirtualTime = 4 * time.Hour

// regionPair is one direction of the link between two regions.
type regionPair struct{ from, to core.RegionID }

// simulation runs the policies of all machines in virtual time.
type simulation struct {
	clock
	network  Network
	machines []*machine
	byID     map[core.VMID]*machine
	origin   link
	regions  map[regionPair]*link
	// members is the current member list. gateways caches the number of senders of
	// each region link derived from it.
	members  []spread.Member
	gateways map[regionPair]int
	// sharedLinks gives each gateway a fixed share of a link between regions, like the
	// production processes. Otherwise, for baselines, senders use the full link first
	// come, first served.
	sharedLinks bool
	random      *rand.Rand
	seed        uint64
	// corrupt is the share of transfers that arrive damaged.
	corrupt         float64
	partitionedZone core.ZoneID
	// policy constructs the policy of a machine.
	policy spread.Constructor
	// unfinished counts the live machines without all chunks of the latest version.
	unfinished int
	samples    []sample
	corrupted  int
	// steps counts the calls of policies; stepTime is the time spent in them.
	steps    int64
	stepTime time.Duration
	// listenersOf caches listeners; nil after each change of neighbours.
	listenersOf map[core.VMID][]*machine
}

// sample holds the bytes sent by the origin and by all region links until a time.
type sample struct {
	at       time.Duration
	origin   int64
	regional int64
}

func newSimulation(network Network, members []spread.Member, policy spread.Constructor, seed uint64) *simulation {
	s := &simulation{
		clock: newClock(), network: network, byID: map[core.VMID]*machine{}, regions: map[regionPair]*link{},
		random: rand.New(rand.NewPCG(seed, 0x5eed)), seed: seed, policy: policy, members: members,
	}
	for i, member := range members {
		m := &machine{index: i, member: member, alive: true, waiting: map[int][]*request{}, shares: map[core.RegionID]*link{}}
		s.machines = append(s.machines, m)
		s.byID[member.ID] = m
	}
	return s
}

// startVersion makes a version the target version of a machine, aborts its requests in
// flight and starts a new policy.
func (s *simulation) startVersion(m *machine, manifest *core.Manifest, epoch int, members []spread.Member) {
	m.epoch = epoch
	m.manifest = manifest
	m.stored = make([]bool, len(manifest.Chunks))
	m.storedCount = 0
	m.doneAt = 0
	for _, r := range m.inFlight {
		r.done = true
	}
	m.inFlight = m.inFlight[:0]
	m.policy = s.policy(spread.Start{
		Now: s.Now(), Self: m.member, OriginRegion: originRegion, Manifest: manifest,
		Stored: make([]bool, len(manifest.Chunks)), Members: members, Seed: s.seed,
	})
	m.tickAt = 0
	s.listenersOf = nil
	s.startAnnouncing(m)
	s.step(m, spread.Tick{})
}

// step passes an event to a machine's policy and starts the fetches it returns.
func (s *simulation) step(m *machine, e spread.Event) {
	if !m.alive || m.policy == nil {
		return
	}
	s.steps++
	began := time.Now()
	fetches := m.policy.Step(s.Now(), e)
	s.stepTime += time.Since(began)
	for _, fetch := range fetches {
		s.startFetch(m, fetch)
	}
	s.scheduleTick(m)
}

// scheduleTick schedules the next tick that a machine's policy requests.
func (s *simulation) scheduleTick(m *machine) {
	next := m.policy.NextTick()
	if next.IsZero() {
		return
	}
	due := max(next.Sub(epoch), s.now()+time.Millisecond)
	if m.tickAt > s.now() && m.tickAt <= due {
		return
	}
	m.tickAt = due
	version := m.epoch
	s.at(due, func() {
		if m.tickAt == due && m.epoch == version {
			m.tickAt = 0
			s.step(m, spread.Tick{})
		}
	})
}

// startFetch starts a fetch by sending a request to its source.
func (s *simulation) startFetch(m *machine, fetch spread.Fetch) {
	_, length := m.manifest.ChunkRange(fetch.Chunk)
	r := &request{from: m, fetch: fetch, epoch: m.epoch, bytes: length}
	m.inFlight = append(m.inFlight, r)
	m.maxInFlight = max(m.maxInFlight, len(m.inFlight))
	m.messages++
	if fetch.Source.IsOrigin() {
		if s.disconnected(r) {
			s.failAfterTimeout(r)
			return
		}
		s.After(regionLatency, func() { s.serveFromOrigin(r) })
		return
	}
	r.source = s.byID[fetch.Source.Peer]
	if s.disconnected(r) {
		s.failAfterTimeout(r)
		return
	}
	s.After(latency(m, r.source), func() { s.arrive(r) })
}

// failAfterTimeout fails a request whose source does not respond, after its timeout.
func (s *simulation) failAfterTimeout(r *request) {
	s.After(r.fetch.Timeout, func() { s.fail(r, spread.FailureTimeout) })
}

// fail ends a request and reports the failure to the policy.
func (s *simulation) fail(r *request, failure spread.Failure) {
	if !s.finish(r) {
		return
	}
	s.step(r.from, spread.FetchFailed{Chunk: r.fetch.Chunk, Source: r.fetch.Source, Failure: failure})
}

// finish ends a request. It reports whether the machine's policy still needs the
// outcome: false if the request had ended, the machine died or its version changed.
func (s *simulation) finish(r *request) bool {
	if r.done {
		return false
	}
	r.done = true
	r.from.removeInFlight(r)
	return r.from.alive && r.epoch == r.from.epoch
}

func (s *simulation) serveFromOrigin(r *request) {
	if r.done {
		return
	}
	sent := s.origin.transfer(s.now(), r.bytes, s.network.Origin)
	if r.from.member.Region != originRegion {
		sent = s.regionLink(originRegion, r.from.member.Region).transfer(sent, r.bytes, s.network.Region)
	}
	s.receive(r, sent+regionLatency)
}

// arrive handles a request at its source. A source without the chunk keeps the request
// waiting for up to Wait.
func (s *simulation) arrive(r *request) {
	m := r.source
	m.messages++
	if r.done || s.disconnected(r) {
		return
	}
	if m.manifest != nil && m.epoch == r.epoch && m.stored[r.fetch.Chunk] {
		s.enqueue(r)
		return
	}
	if r.fetch.Wait <= 0 {
		s.After(latency(m, r.from), func() { s.fail(r, spread.FailureMissing) })
		return
	}
	m.waiting[r.fetch.Chunk] = append(m.waiting[r.fetch.Chunk], r)
	s.After(r.fetch.Wait, func() {
		if !r.queued && !s.disconnected(r) {
			s.fail(r, spread.FailureMissing)
		}
	})
}

// enqueue appends a request to its source's upload queue.
func (s *simulation) enqueue(r *request) {
	r.queued = true
	m := r.source
	m.queue = append(m.queue, r)
	if !m.uploading {
		s.upload(m)
	}
}

// upload sends the next queued chunk and schedules the one after it.
func (s *simulation) upload(m *machine) {
	m.uploading = false
	for len(m.queue) > 0 {
		r := m.queue[0]
		m.queue = m.queue[1:]
		if r.done || s.disconnected(r) {
			continue
		}
		sent := m.up.transfer(s.now(), r.bytes, s.network.upRate(m))
		arrival := sent
		if from, to := m.member.Region, r.from.member.Region; from != to {
			arrival = s.crossRegion(m, from, to, r.bytes)
		}
		s.receive(r, max(arrival, sent)+latency(m, r.from))
		m.uploading = true
		s.at(sent, func() { s.upload(m) })
		return
	}
}

// crossRegion sends n bytes over the link between two regions, at the sender's share
// of the rate with sharedLinks, and returns when the last byte has passed.
func (s *simulation) crossRegion(m *machine, from, to core.RegionID, n int64) time.Duration {
	if !s.sharedLinks {
		return s.regionLink(from, to).transfer(s.now(), n, s.network.Region)
	}
	s.regionLink(from, to).sent += n
	share, ok := m.shares[to]
	if !ok {
		share = &link{}
		m.shares[to] = share
	}
	senders := max(s.senders(m.manifest.Version, from, to), 1)
	return share.transfer(s.now(), n, s.network.Region/float64(senders))
}

// senders returns the number of gateways that share the link between two regions.
func (s *simulation) senders(version core.VersionID, from, to core.RegionID) int {
	if s.gateways == nil {
		s.gateways = map[regionPair]int{}
	}
	pair := regionPair{from: from, to: to}
	if _, known := s.gateways[pair]; !known {
		s.gateways[pair] = len(spread.Gateways(version, from, to, s.members))
	}
	return s.gateways[pair]
}

func (s *simulation) regionLink(from, to core.RegionID) *link {
	pair := regionPair{from: from, to: to}
	l, ok := s.regions[pair]
	if !ok {
		l = &link{}
		s.regions[pair] = l
	}
	return l
}

// receive transfers a chunk over the receiver's link and delivers it. last is when the
// last byte reaches that link.
func (s *simulation) receive(r *request, last time.Duration) {
	down := s.network.downRate(r.from)
	transfer := time.Duration(float64(r.bytes) / down * float64(time.Second))
	s.at(last-transfer, func() {
		passed := r.from.down.transfer(s.now(), r.bytes, down)
		s.at(max(passed, last), func() { s.deliver(r) })
	})
}

// deliver handles a received chunk: it stores the chunk, or fails the request if the
// chunk is corrupt, and serves the requests that wait for the chunk at this machine.
func (s *simulation) deliver(r *request) {
	if r.done {
		return
	}
	if s.disconnected(r) {
		s.failAfterTimeout(r)
		return
	}
	if s.corrupt > 0 && s.random.Float64() < s.corrupt {
		s.corrupted++
		s.fail(r, spread.FailureCorrupt)
		return
	}
	if !s.finish(r) {
		return
	}
	m := r.from
	chunk := r.fetch.Chunk
	if !m.stored[chunk] {
		m.stored[chunk] = true
		m.storedCount++
		m.chunkLog = append(m.chunkLog, chunk)
	}
	if m.storedCount == len(m.stored) && m.doneAt == 0 {
		m.doneAt = s.now()
		s.unfinished--
	}
	s.step(m, spread.ChunkStored{Chunk: chunk, Source: r.fetch.Source})
	waiting := m.waiting[chunk]
	delete(m.waiting, chunk)
	for _, waiter := range waiting {
		if !waiter.done && waiter.epoch == m.epoch {
			s.enqueue(waiter)
		}
	}
}

// sampleEvery records a sample now and every period.
func (s *simulation) sampleEvery(period time.Duration) {
	s.samples = append(s.samples, sample{at: s.now(), origin: s.origin.sent, regional: s.regionalBytes()})
	s.After(period, func() { s.sampleEvery(period) })
}

func (s *simulation) regionalBytes() int64 {
	var total int64
	for _, l := range s.regions {
		total += l.sent
	}
	return total
}

// failDisconnected makes every request in flight whose path is interrupted time out.
func (s *simulation) failDisconnected() {
	for _, m := range s.machines {
		for _, r := range m.inFlight {
			if s.disconnected(r) {
				s.failAfterTimeout(r)
			}
		}
	}
}

// run advances virtual time until all live machines store all chunks. It returns
// false if there are no events left or maxVirtualTime has passed.
func (s *simulation) run() bool {
	for s.unfinished > 0 {
		if s.now() > maxVirtualTime || !s.Step() {
			return false
		}
	}
	return true
}
