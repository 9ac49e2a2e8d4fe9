package spread

import (
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Windows and times of the chunk_owner policy.
const (
	ownerGuessWindow = 4
	ownerPeerWait    = 8 * time.Second
	ownerCrossWait   = 8 * time.Second
	ownerRetry       = 200 * time.Millisecond
	// ownerQuickMiss is how often an answer "missing" counts that came before the
	// end of the wait.
	ownerQuickMiss = 2
	// ownerMinCross is the least window of a head across regions.
	ownerMinCross = 2
	// ownerRootRanks and ownerFirstRanks are how many machines of the root and
	// of a chunk's first region may ever ask the origin for that chunk.
	ownerRootRanks  = 3
	ownerFirstRanks = 1
	// ownerFirstPatience is after how many failures a first region asks the origin.
	ownerFirstPatience = 6
	// ownerHolderTries is how often a head asks machines that are said to hold a
	// chunk before it draws the chunk from outside.
	ownerHolderTries = 2
	// ownerRelayPatience is after how many failures of a chunk relays that have
	// failed are done without, every other time.
	ownerRelayPatience = 4
	// ownerGuessEach is after how many failures a head asks machines by chance.
	ownerGuessEach = 6
)

// Tuning sets the sizes of the chunk_owner policy.
type Tuning struct {
	// Arity is how many children a machine has in a chunk's tree.
	Arity int
	// OriginWindow, CrossWindow and PeerWindow bound the fetches in flight from
	// the origin, from other regions and from this region.
	OriginWindow, CrossWindow, PeerWindow int
	// RelayWindow takes the place of PeerWindow for machines that relays serve:
	// few chunks at once fill their links and keep the queue there short.
	RelayWindow int
	// RegionWindow bounds the fetches across regions of all heads of a region
	// together; each head takes an equal part, at most CrossWindow.
	RegionWindow int
	// StartWindow is where PeerWindow and CrossWindow begin; 0 begins with the whole.
	StartWindow int
	// SlowTransfer is the time of a transfer from which the windows shrink; shorter
	// ones let them grow. 0 leaves them as they are.
	SlowTransfer time.Duration
	// Timeouts bounds the waits for sources that fail.
	Timeouts Timeouts
}

// Timeouts bounds the waits for sources that fail.
type Timeouts struct {
	// OriginTimeout, CrossTimeout and PeerTimeout are how long the origin, a
	// machine of another region and one of this region may be silent. A source
	// that waits for a chunk itself says so each second.
	OriginTimeout, CrossTimeout, PeerTimeout time.Duration
	// CrossWait and PeerWait are how long a machine may hold a request for a chunk
	// that it expects itself, GuessWait the same for one that was taken by chance.
	CrossWait, PeerWait, GuessWait time.Duration
	// CrossMisses and PeerMisses are after how many answers "missing" the next
	// source is asked.
	CrossMisses, PeerMisses uint8
	// MaxRetry bounds the wait before a chunk is asked for again.
	MaxRetry time.Duration
	// HoldOff is how long a source is avoided after its first failure; each
	// further one doubles it up to MaxHoldOff.
	HoldOff, MaxHoldOff time.Duration
}

// DefaultTuning is what the policy chunk_owner uses: for weights of gigabytes.
var DefaultTuning = Tuning{
	Arity: 4, OriginWindow: 1, CrossWindow: 12, PeerWindow: 64, RelayWindow: 8, RegionWindow: 128,
	Timeouts: Timeouts{
		OriginTimeout: 10 * time.Second, CrossTimeout: 5 * time.Second, PeerTimeout: 3 * time.Second,
		CrossWait: 8 * time.Second, PeerWait: 8 * time.Second, GuessWait: time.Second, CrossMisses: 8, PeerMisses: 4,
		MaxRetry: 5 * time.Second, HoldOff: firstHoldOff, MaxHoldOff: maxHoldOff,
	},
}

// QuickTuning is what the policy chunk_owner_quick uses: for weights that spread
// within seconds, so that sources that come back are asked again at once.
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

// NewChunkOwner returns the constructor of the policy with other sizes.
func NewChunkOwner(tuning Tuning) Constructor {
	return func(start Start) Policy { return newChunkOwner(start, tuning) }
}

var _ Policy = (*chunkOwner)(nil)

// fetchClass says over which kind of link a chunk comes.
type fetchClass uint8

const (
	classOrigin fetchClass = iota
	classCross
	classPeer
	// classGuess is a fetch from a machine taken by chance.
	classGuess
	classCount
)

func (t Tuning) windows() [classCount]int {
	return [classCount]int{t.OriginWindow, t.CrossWindow, t.PeerWindow, ownerGuessWindow}
}

type chunkState uint8

const (
	chunkWanted chunkState = iota
	chunkInFlight
	chunkHeld
)

// chunkRecord is the state of one chunk.
type chunkRecord struct {
	state    chunkState
	class    fetchClass
	attempts uint8
	misses   uint8
	// climb is how many ancestors to pass over, because they had nothing.
	climb uint8
	// draws counts failed draws from the origin.
	draws uint8
	// guess says that the last source was taken by chance, with no reason to think
	// that it holds the chunk or expects it.
	guess bool
}

// chunkOwner gives each chunk one head in each region. The head of the root
// region draws it from the origin; the head of the chunk's first region takes
// it from there across the region link, and the heads of the other regions take
// it from the first region. Only some gateways send on each link. In a zone the chunk goes down a k-ary tree in the order of the
// machines' hashes for it. A machine whose parent fails asks the next ancestor.
type chunkOwner struct {
	start   Start
	tuning  Tuning
	windows [classCount]int
	// most is what the windows may grow to.
	most     [classCount]int
	topology *topology
	tree     tree
	chunks   []chunkRecord
	order    chunkOrder
	ready    [classCount]chunkQueue
	delayed  delayQueue
	inFlight [classCount]int
	suspects suspects
	chance   *rand.Rand
	path     []core.VMID
	// started is when each chunk in flight was asked for.
	started map[int]time.Time
}

func newChunkOwner(start Start, tuning Tuning) Policy {
	p := &chunkOwner{
		start:    start,
		tuning:   tuning,
		most:     tuning.windows(),
		chunks:   make([]chunkRecord, len(start.Stored)),
		suspects: suspects{},
		chance:   rand.New(rand.NewPCG(start.Seed, hashMember(start.Manifest.Version, start.Self.ID))),
		started:  map[int]time.Time{},
	}
	for chunk, held := range start.Stored {
		if held {
			p.chunks[chunk].state = chunkHeld
		}
	}
	p.start.Stored = nil
	p.windows = p.most
	if tuning.StartWindow > 0 {
		p.windows[classPeer] = min(tuning.StartWindow, p.most[classPeer])
		p.windows[classCross] = min(tuning.StartWindow, p.most[classCross])
	}
	p.setMembers(start.Members, start.Now)
	return p
}

// setMembers works out the places anew and queues every wanted chunk.
func (p *chunkOwner) setMembers(members []Member, now time.Time) {
	p.start.Members = nil
	p.topology = newTopology(p.start.Manifest.Version, p.start.Self, p.start.OriginRegion, members)
	p.tree = tree{topology: p.topology, arity: p.tuning.Arity}
	p.order = newChunkOrder(len(p.chunks), p.topology.headRow())
	p.most[classPeer] = p.peerWindow()
	p.windows[classPeer] = min(max(p.windows[classPeer], 1), p.most[classPeer])
	p.most[classCross] = p.crossWindow()
	p.windows[classCross] = min(p.windows[classCross], p.most[classCross])
	if p.tuning.SlowTransfer == 0 {
		p.windows[classCross] = p.most[classCross]
	}
	p.suspects.keep(p.topology.zoneOf)
	p.delayed = p.delayed[:0]
	for class := range p.ready {
		p.ready[class] = p.ready[class][:0]
	}
	for chunk := range p.chunks {
		if p.chunks[chunk].state == chunkWanted {
			p.chunks[chunk].attempts /= 2
			p.chunks[chunk].climb = 0
			p.enqueue(now, chunk)
		}
	}
}

func (p *chunkOwner) peerWindow() int {
	if len(p.topology.relays) > 0 && !p.start.Self.Relay {
		return p.tuning.RelayWindow
	}
	return p.tuning.PeerWindow
}

// crossWindow is this machine's part of RegionWindow.
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
		p.onHeld(e)
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
// it when the class proves to be another.
func (p *chunkOwner) enqueue(now time.Time, chunk int) {
	p.noteSilent(now, chunk)
	class := classPeer
	if head, ok := p.effectiveHead(now, chunk); ok && head.ID == p.start.Self.ID {
		_, class = p.chooseAsHead(now, chunk)
	}
	p.push(class, chunk)
}

func (p *chunkOwner) push(class fetchClass, chunk int) {
	p.ready[class].add(int(p.order.ranks[chunk]))
}

// startFetches fills the windows. A chunk whose source changed class since it
// was queued moves to the other queue.
func (p *chunkOwner) startFetches(now time.Time) []Fetch {
	var fetches []Fetch
	for moved := true; moved; {
		moved = false
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

// wait is how long the source of a chunk may hold the request.
func (p *chunkOwner) wait(chunk int) time.Duration {
	patience, record := p.tuning.Timeouts, &p.chunks[chunk]
	switch {
	case record.guess:
		return patience.GuessWait
	case record.class == classOrigin:
		return 0
	case record.class == classCross:
		return patience.CrossWait
	default:
		return patience.PeerWait
	}
}

// timeout is how long a source of a class may be silent.
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

// finish ends a fetch and returns when it was started.
func (p *chunkOwner) finish(chunk int) time.Time {
	record := &p.chunks[chunk]
	if record.state == chunkInFlight {
		p.inFlight[record.class]--
	}
	started := p.started[chunk]
	delete(p.started, chunk)
	return started
}

// adapt fits a window to the link. Load pattern answered: live requests share a
// link that has become narrow, and would wait behind all chunks in flight.
func (p *chunkOwner) adapt(class fetchClass, transfer time.Duration) {
	if p.tuning.SlowTransfer == 0 || transfer == 0 {
		return
	}
	if transfer > p.tuning.SlowTransfer {
		p.windows[class] = max(p.windows[class]/2, 1)
		return
	}
	p.windows[class] = min(p.windows[class]+1, p.most[class])
}

func (p *chunkOwner) onHeld(e ChunkStored) {
	class := p.chunks[e.Chunk].class
	p.finish(e.Chunk)
	p.chunks[e.Chunk].state = chunkHeld
	p.adapt(class, e.Transfer)
	p.suspects.clear(e.Source.Peer, p.topology.zoneOf)
}
