package configsync_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// maxPublishes keeps the history shorter than the lineage kept in documents.
const maxPublishes = 25

// rounds is the number of random action sequences in one schedule.
const rounds = 5

// model simulates processes that share one store under a schedule of faults.
type model struct {
	store    configsync.Observed
	saved    configsync.Observed
	down     bool
	written  map[configsync.ID]bool
	inFlight []swap
	procs    []*proc
	stamp    hlc.Stamp
	accepted map[uint64]configsync.ID
	rejected []configsync.ID
}

// swap is a compare-and-swap in flight.
type swap struct {
	doc      *configsync.Document
	previous uint64
}

// fataler is the subset of testing.TB and rapid.T that the model uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

type proc struct {
	holder *configsync.Holder
	pub    *configsync.Publication
	base   uint64
	draft  configsync.Draft
	seen   map[configsync.ID]bool
}

func newModel() *model {
	m := &model{written: map[configsync.ID]bool{}, accepted: map[uint64]configsync.ID{}}
	for range 3 {
		m.procs = append(m.procs, newProc())
	}
	return m
}

func newProc() *proc {
	return &proc{holder: configsync.NewHolder(), seen: map[configsync.ID]bool{}}
}

// applySwap performs s on the store and reports whether the comparison succeeded.
func (m *model) applySwap(s swap) bool {
	if m.store.ModRevision != s.previous {
		return false
	}
	m.store = configsync.Observed{ModRevision: s.previous + 1, Doc: s.doc}
	m.written[s.doc.ID] = true
	return true
}

// offer passes a document to p and checks that its current document never
// regresses and was written to the store before.
func (m *model) offer(t fataler, p *proc, doc *configsync.Document) {
	before := p.holder.Current()
	p.holder.Offer(doc)
	after := p.holder.Current()
	if configsync.Compare(after, before) < 0 {
		t.Fatalf("holder regressed from %v to %v", before.ID, after.ID)
	}
	if after != nil && !m.written[after.ID] {
		t.Fatalf("holder has %v, which was never written to the store", after.ID)
	}
	if after != nil {
		p.seen[after.ID] = true
	}
}

func (m *model) start(t fataler, p *proc, base uint64, draft configsync.Draft) {
	for _, other := range m.procs {
		m.offer(t, p, other.holder.Current())
	}
	m.stamp++
	p.base, p.draft = base, draft
	p.pub = configsync.NewPublication(base, draft, m.stamp, p.holder.Current(), p.holder.SetAt(base))
}

// step performs one step of p's publication with the given fault.
func (m *model) step(t fataler, p *proc, fault string) {
	lost := m.down || fault != "none"
	if p.pub.Next() == configsync.StepRead {
		if lost {
			p.pub.Failed(false)
			return
		}
		m.offer(t, p, m.store.Doc)
		p.pub.Read(m.store)
		m.finish(t, p)
		return
	}
	s := swap{doc: p.pub.Document(), previous: p.pub.Previous()}
	switch {
	case m.down || fault == "before":
		p.pub.Failed(true)
	case fault == "limited":
		p.pub.Failed(false)
	case fault == "after":
		m.applySwap(s)
		p.pub.Failed(true)
	case fault == "delayed":
		m.inFlight = append(m.inFlight, s)
		p.pub.Failed(true)
	default:
		swapped := m.applySwap(s)
		p.pub.Swapped(swapped)
		if swapped {
			m.offer(t, p, s.doc)
		}
	}
	m.finish(t, p)
}

// finish records the outcome of p's publication once it is done.
func (m *model) finish(t fataler, p *proc) {
	if p.pub.Next() != configsync.StepDone {
		return
	}
	outcome, doc := p.pub.Outcome(), p.pub.Document()
	p.pub = nil
	if doc == nil || outcome.Already {
		return
	}
	switch outcome.Kind {
	case configsync.Accepted:
		if !m.written[doc.ID] {
			t.Fatalf("accepted %v, which was never written to the store", doc.ID)
		}
		other, taken := m.accepted[doc.Revision]
		if taken && other != doc.ID && m.known(other) {
			t.Fatalf("two publishes on base %d were accepted: %v and %v", doc.Base, other, doc.ID)
		}
		m.accepted[doc.Revision] = doc.ID
	case configsync.Rejected:
		m.rejected = append(m.rejected, doc.ID)
	}
}

// known reports whether a running process has known id.
func (m *model) known(id configsync.ID) bool {
	for _, p := range m.procs {
		if p.seen[id] {
			return true
		}
	}
	return false
}

// sync performs one read and reconciliation of p as a watcher does.
func (m *model) sync(t fataler, p *proc) {
	if m.down {
		return
	}
	current := p.holder.Current()
	switch configsync.Reconcile(current, m.store) {
	case configsync.AdoptStored:
		m.offer(t, p, m.store.Doc)
	case configsync.WriteBack:
		m.applySwap(swap{doc: current, previous: m.store.ModRevision})
	}
}

func (m *model) idle() bool {
	for _, p := range m.procs {
		if p.pub != nil {
			return false
		}
	}
	return len(m.inFlight) == 0
}

func (m *model) publishing() []*proc {
	var found []*proc
	for _, p := range m.procs {
		if p.pub != nil {
			found = append(found, p)
		}
	}
	return found
}

func draftWithWeight(weight int) configsync.Draft {
	return configsync.Draft{Author: "operator", Set: &catalogue.Set{Teams: []catalogue.Team{{Name: "t", Weight: weight}}}}
}

// settle ends all faults, completes pending work and checks the invariants: all
// processes agree with the store, no known revision is lost, and no rejected
// publish was written.
func (m *model) settle(t fataler) {
	m.down = false
	for _, s := range m.inFlight {
		m.applySwap(s)
	}
	m.inFlight = nil
	for _, p := range m.publishing() {
		for range 10 {
			if p.pub != nil {
				m.step(t, p, "none")
			}
		}
		if p.pub != nil {
			t.Fatalf("publication did not finish within 10 steps without faults")
		}
	}
	for range 3 {
		for _, p := range m.procs {
			m.sync(t, p)
		}
	}
	final := m.store.Doc
	for _, p := range m.procs {
		if configsync.Compare(p.holder.Current(), final) != 0 {
			t.Fatalf("process and store have different documents")
		}
		for id := range p.seen {
			if !final.Contains(id) {
				t.Fatalf("revision %v is lost although a running process knew it", id)
			}
		}
	}
	for _, id := range m.rejected {
		if m.written[id] {
			t.Fatalf("%v was rejected but written to the store", id)
		}
	}
}

func TestScheduledFaultsNeverRevertOrLieAboutAPublish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		published := 0
		pick := func(procs []*proc) *proc { return rapid.SampledFrom(procs).Draw(t, "process") }
		actions := map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				p := pick(m.procs)
				if p.pub != nil || published >= maxPublishes {
					return
				}
				published++
				var base uint64
				if current := p.holder.Current(); current != nil {
					base = current.Revision
				}
				m.start(t, p, base, draftWithWeight(published))
			},
			"step": func(t *rapid.T) {
				if open := m.publishing(); len(open) > 0 {
					m.step(t, pick(open), rapid.SampledFrom([]string{"none", "none", "before", "after", "delayed", "limited"}).Draw(t, "fault"))
				}
			},
			"give up": func(t *rapid.T) {
				open := m.publishing()
				if len(open) == 0 {
					return
				}
				p := pick(open)
				p.pub.GiveUp()
				unknown := p.pub.Outcome().Kind == configsync.Unknown
				m.finish(t, p)
				if unknown && rapid.Bool().Draw(t, "ask again") {
					m.start(t, p, p.base, p.draft)
				}
			},
			"land": func(*rapid.T) {
				if len(m.inFlight) > 0 {
					m.applySwap(m.inFlight[0])
					m.inFlight = m.inFlight[1:]
				}
			},
			"sync": func(t *rapid.T) { m.sync(t, pick(m.procs)) },
			"tell": func(t *rapid.T) { m.offer(t, pick(m.procs), pick(m.procs).holder.Current()) },
			"outage": func(t *rapid.T) {
				m.down = rapid.Bool().Draw(t, "down")
			},
			"snapshot": func(*rapid.T) { m.saved = m.store },
			"rollback": func(*rapid.T) {
				if m.idle() {
					m.store = m.saved
				}
			},
			"replace": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "replaced")
				if m.procs[i].pub != nil {
					return
				}
				m.procs[i] = newProc()
				m.offer(t, m.procs[i], m.procs[(i+1)%len(m.procs)].holder.Current())
			},
		}
		actions["step again"] = actions["step"]
		for range rounds {
			t.Repeat(actions)
		}
		m.settle(t)
	})
}

// naive is a process that adopts whatever document the store returns.
type naive struct{ current *configsync.Document }

func (n *naive) sync(seen configsync.Observed) { n.current = seen.Doc }

func TestTakingWhateverTheStoreSaysRevertsWhereAHolderDoesNot(t *testing.T) {
	g := NewWithT(t)
	m := newModel()
	var n naive
	publish := func(weight int) {
		m.start(t, m.procs[0], uint64(weight-1), draftWithWeight(weight))
		m.step(t, m.procs[0], "none")
		m.step(t, m.procs[0], "none")
	}
	publish(1)
	m.saved = m.store
	publish(2)
	n.sync(m.store)
	g.Expect(n.current.Revision).To(BeEquivalentTo(2))
	m.store = m.saved
	n.sync(m.store)
	g.Expect(n.current.Revision).To(BeEquivalentTo(1), "the naive process adopts the older document")
	m.sync(t, m.procs[0])
	g.Expect(m.procs[0].holder.Current().Revision).To(BeEquivalentTo(2))
	g.Expect(m.store.Doc.Revision).To(BeEquivalentTo(2), "the lost revision was written back to the store")
}

func TestAPublishOnAStoreThatIsBehindIsRefused(t *testing.T) {
	g := NewWithT(t)
	m := newModel()
	for weight := range 2 {
		m.start(t, m.procs[0], uint64(weight), draftWithWeight(weight+1))
		m.step(t, m.procs[0], "none")
		m.step(t, m.procs[0], "none")
	}
	m.store = configsync.Observed{}
	m.start(t, m.procs[1], 2, draftWithWeight(3))
	pub := m.procs[1].pub
	m.step(t, m.procs[1], "none")
	g.Expect(pub.Outcome().Cause).To(Equal(configsync.CauseStoreBehind))
}

func TestTheLoserOfARaceIsToldWhatChanged(t *testing.T) {
	g := NewWithT(t)
	m := newModel()
	m.start(t, m.procs[0], 0, draftWithWeight(1))
	m.step(t, m.procs[0], "none")
	m.step(t, m.procs[0], "none")
	for i := range 2 {
		m.start(t, m.procs[i], 1, draftWithWeight(2+i))
		m.step(t, m.procs[i], "none")
	}
	loser := m.procs[1].pub
	m.step(t, m.procs[0], "none")
	m.step(t, m.procs[1], "none")
	m.step(t, m.procs[1], "none")
	g.Expect(loser.Outcome().Cause).To(Equal(configsync.CauseConflict))
	g.Expect(loser.Outcome().Changes).To(HaveLen(1))
	g.Expect(loser.Outcome().Changes[0].String()).To(Equal("changed team/t: weight: 1 -> 2"))
}

func TestWatchersAreTwoInEachZone(t *testing.T) {
	g := NewWithT(t)
	vms := []core.VM{
		{ID: "a1", Role: core.RoleEntry, Zone: "a"}, {ID: "a2", Role: core.RoleEntry, Zone: "a"},
		{ID: "a3", Role: core.RoleEntry, Zone: "a"}, {ID: "a4", Role: core.RoleEntry, Zone: "a", State: core.VMLeaving},
		{ID: "b1", Role: core.RoleEntry, Zone: "b"}, {ID: "e1", Role: core.RoleEndpoint, Zone: "a"},
	}
	watching := 0
	for _, vm := range vms[:4] {
		if configsync.IsWatcher(vm.ID, "a", vms) {
			watching++
		}
	}
	g.Expect(watching).To(Equal(configsync.WatchersPerZone))
	g.Expect(configsync.IsWatcher("a4", "a", vms)).To(BeFalse())
	g.Expect(configsync.IsWatcher("b1", "b", vms)).To(BeTrue())
}
