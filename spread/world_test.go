package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// world runs policies against a network of one-chunk transfers that fail as
// told. It checks what must hold at every fetch.
type world struct {
	clock    *virtualtime.Clock
	chance   *rand.Rand
	nodes    []*worldNode
	byID     map[core.VMID]*worldNode
	manifest *core.Manifest
	windows  [classCount]int

	originDown  bool
	corrupt     float64
	originDraws []int
	// reads counts the chunks that came from the origin.
	reads  int
	broken []string
}

type worldNode struct {
	member  Member
	policy  Policy
	members []Member
	held    []bool
	dead    bool
	cut     bool
	// refused says that the origin refuses this machine at once, and originLost that
	// the latest fetch from it failed: requests are then not held.
	refused    bool
	originLost bool
	inFlight   map[int]bool
	tick       time.Time
}

const (
	worldLatency = 20 * time.Millisecond
	worldOrigin  = core.RegionID("r0")
)

func worldMembers(count, zones, regions int) []Member {
	members := make([]Member, count)
	for i := range members {
		zone := i % zones
		members[i] = Member{
			ID:   core.VMID(fmt.Sprintf("vm-%02d", i)),
			Zone: core.ZoneID(fmt.Sprintf("z%d", zone)), Region: core.RegionID(fmt.Sprintf("r%d", zone%regions)),
		}
	}
	return members
}

// addRelays adds relays, one zone after the other.
func addRelays(members []Member, count, zones, regions int) []Member {
	for i, m := range worldMembers(count, zones, regions) {
		m.ID = core.VMID(fmt.Sprintf("relay-%02d", i))
		m.Relay = true
		members = append(members, m)
	}
	return members
}

func newWorld(members []Member, chunks int, seed uint64, build Constructor) *world {
	w := &world{
		clock: virtualtime.New(time.Unix(1000, 0)), chance: rand.New(rand.NewPCG(seed, 1)), byID: map[core.VMID]*worldNode{},
		manifest: &core.Manifest{Version: "v", SizeBytes: int64(chunks), ChunkBytes: 1, Chunks: make([]core.Digest, chunks)},
		windows:  DefaultTuning.windows(), originDraws: make([]int, chunks),
	}
	for _, m := range members {
		n := &worldNode{member: m, members: members, held: make([]bool, chunks), inFlight: map[int]bool{}}
		n.policy = build(Start{
			Now: w.clock.Now(), Self: m, OriginRegion: worldOrigin, Manifest: w.manifest,
			Stored: make([]bool, chunks), Members: members, Seed: seed,
		})
		w.nodes = append(w.nodes, n)
		w.byID[m.ID] = n
	}
	for _, n := range w.nodes {
		w.after(0, func() { w.step(n, Tick{}) })
	}
	return w
}

func (w *world) after(wait time.Duration, do func()) { w.clock.After(wait, do) }

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) step(n *worldNode, event Event) {
	if n.dead {
		return
	}
	for _, fetch := range n.policy.Step(w.clock.Now(), event) {
		w.check(n, fetch)
		n.inFlight[fetch.Chunk] = true
		w.begin(n, fetch)
	}
	if next := n.policy.NextTick(); !next.IsZero() && !next.Equal(n.tick) {
		n.tick = next
		w.after(max(next.Sub(w.clock.Now()), time.Millisecond), func() { w.step(n, Tick{}) })
	}
}

// check holds every fetch against what a policy may do.
func (w *world) check(n *worldNode, fetch Fetch) {
	if n.held[fetch.Chunk] || n.inFlight[fetch.Chunk] {
		w.fail("%s fetches chunk %d that it has or fetches already", n.member.ID, fetch.Chunk)
	}
	limit := 0
	for _, window := range w.windows {
		limit += window
	}
	if len(n.inFlight) >= limit {
		w.fail("%s has more than %d fetches in flight", n.member.ID, limit)
	}
	if fetch.Timeout <= 0 {
		w.fail("%s asks without a timeout", n.member.ID)
	}
	if fetch.Source.IsOrigin() {
		w.originDraws[fetch.Chunk]++
		if !mayDraw(n, fetch.Chunk) {
			w.fail("%s asks the origin for chunk %d outside the first ranks", n.member.ID, fetch.Chunk)
		}
		return
	}
	known := slices.ContainsFunc(n.members, func(m Member) bool { return m.ID == fetch.Source.Peer })
	if !known || fetch.Source.Peer == n.member.ID {
		w.fail("%s asks %s, which is not another member", n.member.ID, fetch.Source.Peer)
	}
}

// mayDraw works out anew whether a machine is among those that may ask the
// origin for a chunk: the first three heads of the root region and the first
// head of the chunk's first region.
func mayDraw(n *worldNode, chunk int) bool {
	var others []core.RegionID
	present := map[core.RegionID]bool{}
	for _, m := range n.members {
		if !present[m.Region] {
			present[m.Region] = true
			others = append(others, m.Region)
		}
	}
	slices.Sort(others)
	root := worldOrigin
	if !present[root] {
		root = slices.MinFunc(others, func(a, b core.RegionID) int {
			if hashName("v", string(a)) < hashName("v", string(b)) {
				return -1
			}
			return 1
		})
	}
	others = slices.DeleteFunc(others, func(r core.RegionID) bool { return r == root })
	ranks := ownerRootRanks
	if n.member.Region != root {
		if len(others) == 0 || others[chunk%len(others)] != n.member.Region {
			return false
		}
		ranks = ownerFirstRanks
	}
	candidates := n.members
	if !n.member.Relay {
		// Machines that are no relays stand in for relays that do not answer.
		candidates = slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.Relay })
	}
	heads := Heads("v", n.member.Region, candidates)
	var distinct []core.VMID
	for position := 0; position < len(heads) && len(distinct) < ranks; position++ {
		id := heads[(chunk/max(len(others), 1)+position)%len(heads)].ID
		if !slices.Contains(distinct, id) {
			distinct = append(distinct, id)
		}
	}
	return slices.Contains(distinct, n.member.ID)
}

// begin resolves one fetch after a latency.
func (w *world) begin(n *worldNode, fetch Fetch) {
	deadline := w.clock.Now().Add(fetch.Wait)
	var look func()
	look = func() {
		switch {
		case n.dead:
		case fetch.Source.IsOrigin() && n.refused:
			w.finish(n, fetch, FailureTimeout, false)
		case w.silent(n, fetch):
			w.after(fetch.Timeout, func() { w.finish(n, fetch, FailureTimeout, false) })
		case fetch.Source.IsOrigin() || w.byID[fetch.Source.Peer].held[fetch.Chunk]:
			corrupt := w.chance.Float64() < w.corrupt
			w.finish(n, fetch, FailureCorrupt, !corrupt)
		case !w.clock.Now().Before(deadline) || n.member.Relay && w.byID[fetch.Source.Peer].member.Region == n.member.Region && w.byID[fetch.Source.Peer].originLost:
			w.finish(n, fetch, FailureMissing, false)
		default:
			w.after(5*worldLatency, look)
		}
	}
	w.after(worldLatency, look)
}

func (w *world) silent(n *worldNode, fetch Fetch) bool {
	if fetch.Source.IsOrigin() {
		return w.originDown || n.cut
	}
	source := w.byID[fetch.Source.Peer]
	return source.dead || source.cut != n.cut || source.cut && source.member.Zone != n.member.Zone
}

func (w *world) finish(n *worldNode, fetch Fetch, failure Failure, ok bool) {
	delete(n.inFlight, fetch.Chunk)
	if n.dead {
		return
	}
	if fetch.Source.IsOrigin() {
		n.originLost = !ok && failure == FailureTimeout
	}
	if !ok {
		w.step(n, FetchFailed{Chunk: fetch.Chunk, Source: fetch.Source, Failure: failure})
		return
	}
	n.held[fetch.Chunk] = true
	if fetch.Source.IsOrigin() {
		w.reads++
	}
	w.step(n, ChunkStored{Chunk: fetch.Chunk, Source: fetch.Source})
}

// runUntil runs events up to a time.
func (w *world) runUntil(until time.Time) {
	for len(w.broken) == 0 && w.clock.NextUntil(until) {
		continue
	}
}

func (w *world) allHeld() bool {
	for _, n := range w.nodes {
		if !n.dead && slices.Contains(n.held, false) {
			return false
		}
	}
	return true
}

// sourcesLive reports whether every chunk can still be had from somewhere.
func (w *world) sourcesLive() bool {
	if !w.originDown {
		return true
	}
	for chunk := range w.manifest.Chunks {
		if !slices.ContainsFunc(w.nodes, func(n *worldNode) bool { return !n.dead && n.held[chunk] }) {
			return false
		}
	}
	return true
}

// updateLists tells every live machine who is alive.
func (w *world) updateLists() {
	var alive []Member
	for _, n := range w.nodes {
		if !n.dead {
			alive = append(alive, n.member)
		}
	}
	for _, n := range w.nodes {
		if !n.dead {
			n.members = alive
			w.step(n, MembersChanged{Members: alive})
		}
	}
}
