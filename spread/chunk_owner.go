package spread

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Windows, timeouts and retry limits of the chunk_owner policy.
const (
	ownerGuessWindow = 4
	ownerPeerWait    = 8 * time.Second
	ownerCrossWait   = 8 * time.Second
	ownerRetry       = 200 * time.Millisecond
	// ownerFirstRetry is the maximum delay before the first retry.
	ownerFirstRetry = ownerRetry / 4
	// ownerMaxDoublings prevents an overflow of the backoff.
	ownerMaxDoublings = 8
	// ownerQuickMissWeight is the weight of a FailureMissing that arrived before
	// the end of the wait; one that used the full wait counts 1.
	ownerQuickMissWeight = 2
	// ownerMinCross is the smallest cross-region window of a head.
	ownerMinCross = 2
	// ownerRootRanks and ownerFirstRanks are how many machines of the root region
	// and of a chunk's first region may request that chunk from the origin.
	ownerRootRanks  = 3
	ownerFirstRanks = 1
	// ownerFirstOriginAttempts is the number of failures after which the first
	// region requests a chunk from the origin.
	ownerFirstOriginAttempts = 6
	// ownerHolderAttempts is how many times a head requests a chunk from machines
	// that are listed as having all chunks before it fetches the chunk from
	// outside the region.
	ownerHolderAttempts = 2
	// ownerRelayAttempts is the number of failures of a chunk after which every
	// second attempt bypasses all relays that have failed.
	ownerRelayAttempts = 4
	// ownerGuessInterval is the length of the cycle of a head's attempts; the
	// last attempt of each cycle goes to a random machine of the region and the
	// one before it to a random other region.
	ownerGuessInterval = 6
)

// Tuning sets the tree, windows and timeouts of the chunk_owner policy.
type Tuning struct {
	// Arity is the number of children of a machine in a chunk's tree.
	Arity int
	// OriginWindow, CrossWindow and PeerWindow limit the fetches in flight from
	// the origin, from other regions and from this region.
	OriginWindow, CrossWindow, PeerWindow int
	// RelayWindow replaces PeerWindow for machines that fetch from relays. A few
	// chunks in flight fill their links, and more would only lengthen the queue
	// there.
	RelayWindow int
	// RegionWindow limits the cross-region fetches of all heads of a region
	// together; each head gets an equal part, at most CrossWindow.
	RegionWindow int
	// StartWindow is the initial value of PeerWindow and CrossWindow; 0 starts at
	// the full windows.
	StartWindow int
	// SlowTransfer is the transfer time above which the windows shrink; shorter
	// transfers let them grow. 0 keeps them fixed.
	SlowTransfer time.Duration
	// Timeouts limits the waits for sources that fail.
	Timeouts Timeouts `json:"Patience"`
}

// Timeouts holds the timeouts and retry limits for sources that fail.
type Timeouts struct {
	// OriginTimeout, CrossTimeout and PeerTimeout are how long the origin, a
	// machine of another region and a machine of this region may send nothing. A
	// source that is itself waiting for a chunk sends a heartbeat every second.
	OriginTimeout, CrossTimeout, PeerTimeout time.Duration
	// CrossWait and PeerWait are how long a machine may hold a request for a
	// chunk that it is still to receive. GuessWait is the same for a source that
	// was picked at random.
	CrossWait, PeerWait, GuessWait time.Duration
	// CrossMisses and PeerMisses are the weighted numbers of FailureMissing after
	// which the next source is tried.
	CrossMisses, PeerMisses uint8
	// MaxRetry is the maximum backoff before a chunk is requested again.
	MaxRetry time.Duration
	// HoldOff is how long a source is avoided after its first failure; each
	// further failure doubles it, up to MaxHoldOff.
	HoldOff, MaxHoldOff time.Duration
}

// DefaultTuning is the tuning of the policy chunk_owner, for weights of
// gigabytes.
var DefaultTuning = Tuning{
	Arity: 4, OriginWindow: 1, CrossWindow: 12, PeerWindow: 64, RelayWindow: 8, RegionWindow: 128,
	Timeouts: Timeouts{
		OriginTimeout: 10 * time.Second, CrossTimeout: 5 * time.Second, PeerTimeout: 3 * time.Second,
		CrossWait: 8 * time.Second, PeerWait: 8 * time.Second, GuessWait: time.Second, CrossMisses: 8, PeerMisses: 4,
		MaxRetry: 5 * time.Second, HoldOff: firstHoldOff, MaxHoldOff: maxHoldOff,
	},
}

// QuickTuning is the tuning of the policy chunk_owner_quick, for weights that
// spread within seconds. Its short timeouts and hold-offs let a recovered
// source be used again at once.
var QuickTuning = Tuning{
	Arity: 4, OriginWindow: 1, CrossWindow: 12, PeerWindow: 16, RelayWindow: 3, RegionWindow: 128,
	StartWindow: 6, SlowTransfer: 500 * time.Millisecond,
	Timeouts: Timeouts{
		OriginTimeout: 1500 * time.Millisecond, CrossTimeout: 1500 * time.Millisecond, PeerTimeout: 1300 * time.Millisecond,
		CrossWait: time.Second, PeerWait: time.Second, GuessWait: 200 * time.Millisecond, CrossMisses: 4, PeerMisses: 2,
		MaxRetry: 400 * time.Millisecond, HoldOff: 300 * time.Millisecond, MaxHoldOff: 900 * time.Millisecond,
	},
}

func init() {
	Policies.Register("chunk_owner", func() Constructor { return NewChunkOwner(DefaultTuning) })
	Policies.Register("chunk_owner_quick", func() Constructor { return NewChunkOwner(QuickTuning) })
}

// NewChunkOwner returns a constructor of the chunk_owner policy with the given
// tuning.
func NewChunkOwner(tuning Tuning) Constructor {
	return func(start Start) Policy { return newChunkOwner(start, tuning) }
}

var _ Policy = (*chunkOwner)(nil)

// fetchClass is the kind of source, and thus of link, that a fetch uses. Each
// class has its own window.
type fetchClass uint8

const (
	classOrigin fetchClass = iota
	classCross
	classPeer
	// classGuess is a fetch from a random machine of this region.
	classGuess
	classCount
)

func (t Tuning) windows() [classCount]int {
	return [classCount]int{t.OriginWindow, t.CrossWindow, t.PeerWindow, ownerGuessWindow}
}

type chunkState uint8

const (
	chunkNeeded chunkState = iota
	chunkInFlight
	chunkStored
)

// chunkRecord is the state of one chunk.
type chunkRecord struct {
	state    chunkState
	class    fetchClass
	attempts uint8
	misses   uint8
	// skippedAncestors is how many ancestors to skip because they did not have
	// the chunk.
	skippedAncestors uint8
	// originFailures counts failed fetches from the origin.
	originFailures uint8
	// guess is set when the last source was picked at random, without any sign
	// that it has the chunk or is about to receive it.
	guess bool
}

// chunkOwner gives each chunk one head in each region. The head of the root
// region fetches the chunk from the origin, the head of the chunk's first
// region fetches it from the root region, and the heads of the other regions
// fetch it from the first region. Only a few gateways send on each region link.
// Within a region the chunk goes down a k-ary tree over the machines of each
// zone, ordered by hash and rotated for each chunk. A machine whose parent
// fails asks the next ancestor.
type chunkOwner struct {
	start   Start
	tuning  Tuning
	windows [classCount]int
	// maxWindows are the upper limits of windows.
	maxWindows [classCount]int
	topology   *topology
	tree       tree
	chunks     []chunkRecord
	order      chunkOrder
	ready      [classCount]chunkQueue
	delayed    delayQueue
	inFlight   [classCount]int
	suspects   suspects
	random     *rand.Rand
	path       []core.VMID
	// started is the start time of each fetch in flight.
	started map[int]time.Time
	// originFailed is set from a fetch that the origin did not answer until one that it did,
	// at originReturnedAt.
	originFailed     bool
	originReturnedAt time.Time
}

func newChunkOwner(start Start, tuning Tuning) Policy {
	p := &chunkOwner{
		start:      start,
		tuning:     tuning,
		maxWindows: tuning.windows(),
		chunks:     make([]chunkRecord, len(start.Stored)),
		suspects:   suspects{},
		random:     rand.New(rand.NewPCG(start.Seed, hashMember(start.Manifest.Version, start.Self.ID))),
		started:    map[int]time.Time{},
	}
	for chunk, stored := range start.Stored {
		if stored {
			p.chunks[chunk].state = chunkStored
		}
	}
	p.start.Stored = nil
	p.windows = p.maxWindows
	if tuning.StartWindow > 0 {
		p.windows[classPeer] = min(tuning.StartWindow, p.maxWindows[classPeer])
		p.windows[classCross] = min(tuning.StartWindow, p.maxWindows[classCross])
	}
	p.setMembers(start.Members, start.Now)
	return p
}

// setMembers rebuilds the topology and requeues every needed chunk.
func (p *chunkOwner) setMembers(members []Member, now time.Time) {
	p.start.Members = nil
	p.topology = newTopology(p.start.Manifest.Version, p.start.Self, p.start.OriginRegion, members)
	p.tree = tree{topology: p.topology, arity: p.tuning.Arity}
	p.order = newChunkOrder(len(p.chunks), p.topology.chunksPerHead())
	p.maxWindows[classPeer] = p.peerWindow()
	p.windows[classPeer] = min(max(p.windows[classPeer], 1), p.maxWindows[classPeer])
	p.maxWindows[classCross] = p.crossWindow()
	p.windows[classCross] = min(p.windows[classCross], p.maxWindows[classCross])
	if p.tuning.SlowTransfer == 0 {
		p.windows[classCross] = p.maxWindows[classCross]
	}
	p.suspects.keep(p.topology.zoneOf)
	p.delayed = p.delayed[:0]
	for class := range p.ready {
		p.ready[class] = p.ready[class][:0]
	}
	for chunk := range p.chunks {
		if p.chunks[chunk].state == chunkNeeded {
			p.chunks[chunk].attempts /= 2
			p.chunks[chunk].skippedAncestors = 0
			p.enqueue(now, chunk)
		}
	}
}

func (p *chunkOwner) peerWindow() int {
	if p.fetchesFromRelays() {
		return p.tuning.RelayWindow
	}
	return p.tuning.PeerWindow
}

// crossWindow returns this machine's part of RegionWindow.
func (p *chunkOwner) crossWindow() int {
	heads := min(len(p.topology.region)+1, HeadsPerRegion)
	if relays := len(p.topology.relays); relays > 0 {
		heads = min(relays, HeadsPerRegion)
	}
	return min(max(p.tuning.RegionWindow/heads, ownerMinCross), p.tuning.CrossWindow)
}

// Step implements Policy.
func (p *chunkOwner) Step(now time.Time, event Event) []Fetch {
	switch e := event.(type) {
	case MembersChanged:
		p.setMembers(e.Members, now)
	case ChunkStored:
		p.onStored(now, e)
	case FetchFailed:
		p.onFailed(now, e)
	case ChunkLost:
		p.chunks[e.Chunk] = chunkRecord{}
		p.enqueue(now, e.Chunk)
	}
	for {
		chunk, due := p.delayed.takeDue(now)
		if !due {
			break
		}
		p.enqueue(now, chunk)
	}
	return p.startFetches(now)
}

// NextTick implements Policy.
func (p *chunkOwner) NextTick() time.Time { return p.delayed.next() }

// enqueue puts a chunk into the queue of its likely class; startFetches moves
// it when the chunk turns out to have another class.
func (p *chunkOwner) enqueue(now time.Time, chunk int) {
	p.updateSilentRegions(now, chunk)
	class := classPeer
	if head, ok := p.effectiveHead(now, chunk); ok && head.ID == p.start.Self.ID {
		_, class = p.chooseAsHead(now, chunk)
	}
	p.push(class, chunk)
}

func (p *chunkOwner) push(class fetchClass, chunk int) {
	p.ready[class].add(int(p.order.ranks[chunk]))
}

// startFetches fills the windows. A chunk whose source has changed class since
// it was queued moves to the queue of the new class.
func (p *chunkOwner) startFetches(now time.Time) []Fetch {
	var fetches []Fetch
	for moved := true; moved; {
		moved = p.leaveGuesses(now)
		for class := range classCount {
			for p.inFlight[class] < p.windows[class] && p.ready[class].Len() > 0 {
				chunk := int(p.order.chunks[p.ready[class].take()])
				source, actual := p.choose(now, chunk)
				if actual != class {
					p.push(actual, chunk)
					moved = true
					continue
				}
				fetches = append(fetches, p.begin(now, chunk, source, class))
			}
		}
	}
	return fetches
}

func (p *chunkOwner) begin(now time.Time, chunk int, source Source, class fetchClass) Fetch {
	p.chunks[chunk].state = chunkInFlight
	p.chunks[chunk].class = class
	p.inFlight[class]++
	p.started[chunk] = now
	fetch := Fetch{Chunk: chunk, Source: source, Wait: p.wait(chunk), Timeout: p.tuning.Timeouts.timeout(class)}
	p.suspects.probe(source.Peer, now, fetch.Timeout)
	return fetch
}

// wait returns how long the source of a chunk may hold the request.
func (p *chunkOwner) wait(chunk int) time.Duration {
	timeouts, record := p.tuning.Timeouts, &p.chunks[chunk]
	switch {
	case record.guess:
		return timeouts.GuessWait
	case record.class == classOrigin:
		return 0
	case record.class == classCross:
		return timeouts.CrossWait
	default:
		return timeouts.PeerWait
	}
}

// fetchesFromRelays reports whether this machine fetches from relays without being one.
func (p *chunkOwner) fetchesFromRelays() bool {
	return len(p.topology.relays) > 0 && !p.start.Self.Relay
}

// timeout returns how long a source of a class may send nothing.
func (p Timeouts) timeout(class fetchClass) time.Duration {
	switch class {
	case classOrigin:
		return p.OriginTimeout
	case classCross:
		return p.CrossTimeout
	default:
		return p.PeerTimeout
	}
}

// finish ends a fetch and returns its start time.
func (p *chunkOwner) finish(chunk int) time.Time {
	record := &p.chunks[chunk]
	if record.state == chunkInFlight {
		p.inFlight[record.class]--
	}
	started := p.started[chunk]
	delete(p.started, chunk)
	return started
}

// adapt halves the window of a class after a slow transfer and grows it by one
// after a fast one.
//
// Load pattern: live requests share a link that has become slow, and would wait
// behind all chunks in flight. A smaller window keeps that queue short.
func (p *chunkOwner) adapt(class fetchClass, transfer time.Duration) {
	if p.tuning.SlowTransfer == 0 || transfer == 0 {
		return
	}
	if transfer > p.tuning.SlowTransfer {
		p.windows[class] = max(p.windows[class]/2, 1)
		return
	}
	p.windows[class] = min(p.windows[class]+1, p.maxWindows[class])
}

func (p *chunkOwner) onStored(now time.Time, e ChunkStored) {
	class := p.chunks[e.Chunk].class
	p.finish(e.Chunk)
	p.chunks[e.Chunk].state = chunkStored
	p.adapt(class, e.Transfer)
	p.suspects.clear(e.Source.Peer, p.topology.zoneOf)
	if e.Source.IsOrigin() && p.originFailed {
		p.originFailed, p.originReturnedAt = false, now
		p.forgetFailures()
	}
}

// forgetFailures makes all chunks that are not stored be requested from their heads first
// again. While the origin was away, no head had them. Chunks that wait for a random machine, of which
// most have not been requested since, no longer do.
func (p *chunkOwner) forgetFailures() {
	for chunk := range p.chunks {
		if record := &p.chunks[chunk]; record.state != chunkStored {
			record.attempts, record.misses, record.skippedAncestors = 0, 0, 0
		}
	}
	for p.ready[classGuess].Len() > 0 {
		p.ready[classPeer].add(p.ready[classGuess].take())
	}
}
