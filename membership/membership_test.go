package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

var start = time.Unix(1000, 0)

// drawMessage generates a message with values from small ranges, so that
// conflicts are frequent.
func drawMessage(t *rapid.T, label string) *peerpb.Knowledge {
	k := &peerpb.Knowledge{From: fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, label+"-from"))}
	if revision := rapid.Uint64Range(0, 5).Draw(t, label+"-vms"); revision > 0 {
		k.Vms = &peerpb.VMList{Revision: revision, Json: fmt.Appendf(nil, "vms-%d", revision)}
	}
	if stamp := rapid.Uint64Range(0, 5).Draw(t, label+"-stamp"); stamp > 0 {
		k.ZoneOrders = []*peerpb.ZoneOrder{{Zone: "z", Stamp: stamp, Out: stamp%2 == 0}}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, label+"-count") {
		name := fmt.Sprintf("%s-%d", label, i)
		k.Endpoints = append(k.Endpoints, &peerpb.EndpointState{
			Vm:          fmt.Sprintf("vm%d", rapid.IntRange(0, 2).Draw(t, name+"-vm")),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, name+"-inc"),
			Sequence:    rapid.Uint64Range(1, 3).Draw(t, name+"-seq"),
		})
	}
	return k
}

// summary returns the part of the state on which two processes must converge.
func summary(s *membership.State) string {
	text := fmt.Sprint(s.VMs().Revision)
	for _, order := range s.ZoneOrders() {
		text += fmt.Sprint(" order ", order.GetStamp())
	}
	versions := map[string]string{}
	for _, e := range s.Alive(start) {
		versions[e.State.GetVm()] = fmt.Sprint(e.State.GetIncarnation(), "/", e.State.GetSequence())
	}
	return text + fmt.Sprint(versions)
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []*peerpb.Knowledge
		for i := range rapid.IntRange(1, 6).Draw(t, "messages") {
			messages = append(messages, drawMessage(t, fmt.Sprint("m", i)))
		}
		forward, shuffled := membership.New("a"), membership.New("b")
		for _, m := range messages {
			forward.Merge(start, m)
		}
		for _, i := range rapid.Permutation(indexes(len(messages))).Draw(t, "order") {
			shuffled.Merge(start, messages[i])
			shuffled.Merge(start, messages[i])
		}
		if summary(forward) != summary(shuffled) {
			t.Fatalf("merged in order: %s, shuffled with duplicates: %s", summary(forward), summary(shuffled))
		}
	})
}

func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := membership.New("a")
		var vms uint64
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			s.Merge(start, drawMessage(t, fmt.Sprint("m", i)))
			if s.VMs().Revision < vms {
				t.Fatalf("VM list regressed from revision %d to %d", vms, s.VMs().Revision)
			}
			vms = s.VMs().Revision
		}
	})
}

func TestLostMessagesAreSentAgainAndDeliveredOnesAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := membership.New("a"), membership.New("b")
		for i := range rapid.IntRange(1, 10).Draw(t, "rounds") {
			message := drawMessage(t, fmt.Sprint("m", i))
			a.Merge(start, &peerpb.Knowledge{Vms: message.GetVms(), ZoneOrders: message.GetZoneOrders()})
			for _, state := range message.GetEndpoints() {
				a.OfferEndpoint(start, core.VMID(state.GetVm()), state)
			}
			d := a.Build(membership.Receiver{ID: "b", ConfigRevision: b.Config().Revision, VMsRevision: b.VMs().Revision, WantsEndpoints: true})
			if rapid.Bool().Draw(t, fmt.Sprint("lost", i)) {
				continue
			}
			b.Merge(start, d.Message)
			a.Delivered(d)
		}
		last := a.Build(membership.Receiver{ID: "b", ConfigRevision: b.Config().Revision, VMsRevision: b.VMs().Revision, WantsEndpoints: true})
		b.Merge(start, last.Message)
		a.Delivered(last)
		again := a.Build(membership.Receiver{ID: "b", ConfigRevision: b.Config().Revision, VMsRevision: b.VMs().Revision, WantsEndpoints: true})
		if len(again.Message.GetEndpoints()) != 0 || again.Message.GetVms() != nil {
			t.Fatalf("delivered state is sent again: %v", again.Message)
		}
		if summary(a) != summary(b) {
			t.Fatalf("a has %s, b has %s", summary(a), summary(b))
		}
	})
}

// mesh simulates entries in several zones that relay endpoint states to each
// other.
type mesh struct {
	entries []*membership.State
	zones   []core.ZoneID
	sent    int
}

func newMesh(zones, each int) *mesh {
	m := &mesh{}
	for z := range zones {
		for e := range each {
			zone := core.ZoneID(fmt.Sprint("z", z))
			m.entries = append(m.entries, membership.NewInZone(core.VMID(fmt.Sprint("entry-", z, "-", e)), zone))
			m.zones = append(m.zones, zone)
		}
	}
	return m
}

// relay builds a message from one entry and merges it into another.
func (m *mesh) relay(from, to int) {
	d := m.entries[from].Build(membership.Receiver{ID: core.VMID(fmt.Sprint("to-", to)), Zone: m.zones[to], WantsEndpoints: true})
	d.Message.Zone = string(m.zones[from])
	m.sent += len(d.Message.GetEndpoints())
	m.entries[to].Merge(start, d.Message)
	m.entries[from].Delivered(d)
}

func TestEveryEntryHearsOfItsZoneOfAllServicesAndOfABoundedPartOfEachPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, each := rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(2, 4).Draw(t, "entries")
		m := newMesh(zones, each)
		engines := rapid.IntRange(1, 12).Draw(t, "engines")
		for z := range zones {
			for e := range engines + 1 {
				state := &peerpb.EndpointState{Vm: fmt.Sprint("vm-", z, "-", e), Zone: fmt.Sprint("z", z), Pool: "main", Incarnation: 1, Sequence: 1}
				if e == engines {
					state.Pool, state.Service = "", "desk"
				}
				m.entries[z*each+e%each].OfferEndpoint(start, core.VMID(state.Vm), state)
			}
		}
		for range 3 {
			for from := range m.entries {
				for to := range m.entries {
					if from != to {
						m.relay(from, to)
					}
				}
			}
		}
		want := engines + 1 + (zones-1)*(min(engines, membership.MaxRemoteEndpoints)+1)
		for i, entry := range m.entries {
			// Entries store more than the minimum: each also has the endpoints that report to it directly, and
			// hash ranks computed before all endpoints are known may select further ones.
			if got := len(entry.Alive(start)); got < want {
				t.Fatalf("entry %d has %d endpoints, want at least %d", i, got, want)
			}
		}
		before := m.sent
		for from := range m.entries {
			for to := range m.entries {
				if from != to {
					m.relay(from, to)
				}
			}
		}
		if m.sent != before {
			t.Fatalf("%d states were sent again", m.sent-before)
		}
	})
}

func TestSilentEndpointsAreNotAliveAndAreForgotten(t *testing.T) {
	g := NewWithT(t)
	s := membership.New("a")
	s.OfferEndpoint(start, "p", &peerpb.EndpointState{Vm: "vm", Incarnation: 1, Sequence: 1})
	g.Expect(s.Alive(start.Add(membership.EndpointTimeout))).To(HaveLen(1))
	g.Expect(s.Alive(start.Add(membership.EndpointTimeout + time.Millisecond))).To(BeEmpty())
	s.Expire(start.Add(membership.ExpireAfter + time.Millisecond))
	g.Expect(s.OfferEndpoint(start, "p", &peerpb.EndpointState{Vm: "vm", Incarnation: 1, Sequence: 1})).To(BeTrue())
}

func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := membership.New("a")
	for i := range membership.MaxEndpoints + 10 {
		s.OfferEndpoint(start, "p", &peerpb.EndpointState{Vm: fmt.Sprint("vm", i), Incarnation: 1, Sequence: 1})
	}
	for i := range membership.MaxZoneOrders + 10 {
		s.OfferZoneOrder(&peerpb.ZoneOrder{Zone: fmt.Sprint("z", i), Stamp: 1})
	}
	g.Expect(s.Alive(start)).To(HaveLen(membership.MaxEndpoints))
	g.Expect(s.ZoneOrders()).To(HaveLen(membership.MaxZoneOrders))
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
