package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// indexWatcher applies membership events to an index.
type indexWatcher struct{ index *endpointIndex }

func (w indexWatcher) EndpointUpdated(e membership.Endpoint) { w.index.update(e) }
func (w indexWatcher) EndpointRemoved(id core.VMID)          { w.index.remove(id) }

// expectedEndpoints computes the usable endpoints by filtering and sorting all of them.
// The index must return the same list.
func expectedEndpoints(alive []membership.Endpoint, view *node.View, to target) []string {
	ids := []string{}
	for _, e := range alive {
		s := e.State
		switch {
		case s.GetPool() != string(to.pool) || s.GetService() != string(to.service):
		case !s.GetReady() || s.GetLeaving() || view.Leaving(core.VMID(s.GetVm())):
		case view.ZonesOut[core.ZoneID(s.GetZone())]:
		default:
			ids = append(ids, s.GetVm())
		}
	}
	slices.Sort(ids)
	return ids
}

// names returns the VM identifiers in the states of the endpoints.
func names(list []*member) []string {
	ids := []string{}
	for _, m := range list {
		ids = append(ids, m.state.GetVm())
	}
	return ids
}

// generateState generates a report of one of count+1 endpoints.
func generateState(t *rapid.T, count int) *peerpb.EndpointState {
	state := &peerpb.EndpointState{
		Vm:   fmt.Sprintf("vm-%03d", rapid.IntRange(0, count).Draw(t, "vm")),
		Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Sequence: rapid.Uint64Range(1, 50).Draw(t, "sequence"), Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0,
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, Load: &peerpb.EndpointLoad{Limit: 4},
	}
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		state.Service = "desk"
	} else {
		state.Pool = "main"
	}
	return state
}

// generateView generates a view with leaving VMs and zones taken out of service.
func generateView(t *rapid.T, count int) *node.View {
	view := &node.View{VMs: map[core.VMID]core.VM{}, ZonesOut: map[core.ZoneID]bool{}}
	view.ZonesOut["a"] = rapid.Bool().Draw(t, "a out")
	view.ZonesOut["b"] = rapid.IntRange(0, 4).Draw(t, "b out") == 0
	for range rapid.IntRange(0, 3).Draw(t, "marked") {
		id := core.VMID(fmt.Sprintf("vm-%03d", rapid.IntRange(0, count).Draw(t, "leaving vm")))
		view.VMs[id] = core.VM{ID: id, State: core.VMLeaving}
	}
	return view
}

func TestIndexEqualsTheNaiveListAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{3, 12, 150}).Draw(t, "count")
		state := membership.NewInZone("entry-1", "a")
		index := newEndpointIndex("a", 7)
		state.Observe(indexWatcher{index})
		now := time.Unix(1_000_000, 0)
		view := &node.View{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				view = generateView(t, count)
			case 1:
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, membership.EndpointTimeout, membership.ExpireAfter}).Draw(t, "time"))
			case 2:
				state.Expire(now)
			default:
				state.OfferEndpoint(now, "peer", generateState(t, count))
			}
			for _, to := range []target{{pool: "main"}, {service: "desk"}} {
				checkGroup(t, index, to, now, view, expectedEndpoints(state.Alive(now), view, to))
			}
		}
	})
}

func checkGroup(t *rapid.T, index *endpointIndex, to target, now time.Time, view *node.View, want []string) {
	g := index.lookup(to, now, view)
	if g == nil {
		g = &targetGroup{}
	}
	if got := names(g.usable); !slices.Equal(got, want) {
		t.Fatalf("the index has %v, want %v", got, want)
	}
	subset := names(g.subset)
	if len(subset) != min(len(want), routing.DefaultSubset) {
		t.Fatalf("the subset has %d of %d usable endpoints", len(subset), len(want))
	}
	for _, id := range subset {
		if _, found := slices.BinarySearch(want, id); !found {
			t.Fatalf("%s is in the subset but not usable", id)
		}
	}
	for _, m := range g.usable {
		if strings.Compare(string(m.id), m.state.GetVm()) != 0 || index.all[m.id] != m {
			t.Fatalf("endpoint %s is indexed as %s", m.state.GetVm(), m.id)
		}
	}
}

// countChoices makes 200 choices for a call and counts them per endpoint.
func countChoices(g *WithT, table *EndpointTable, call *Call, state *progress) map[core.VMID]int {
	counts := map[core.VMID]int{}
	for range 200 {
		chosen, refusal := table.choose(call, state)
		if refusal != nil {
			g.Expect(refusal.Reason).To(Equal(core.ReasonNoEndpoint))
			continue
		}
		counts[chosen.id]++
	}
	return counts
}

func TestAnEndpointThatMayTakeNoWorkIsNotChosenFromThenOn(t *testing.T) {
	g := NewWithT(t)
	n := newNodeWithEndpoints(t, 3)
	table := newTable(t, n)
	call := &Call{Pool: "main", Idempotent: true}
	g.Expect(countChoices(g, table, call, &progress{})).To(HaveLen(3))

	report := func(state *peerpb.EndpointState) {
		_, err := n.Exchange(t.Context(), &peerpb.Knowledge{From: "entry-2", FromEntry: true, Endpoints: []*peerpb.EndpointState{state}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	leaving := endpointState(0, 2)
	leaving.Leaving = true
	report(leaving)
	g.Expect(countChoices(g, table, call, &progress{})).To(And(HaveLen(2), Not(HaveKey(core.VMID("vm-0")))))
	cold := endpointState(1, 2)
	cold.Ready = false
	report(cold)
	g.Expect(countChoices(g, table, call, &progress{})).To(And(HaveLen(1), HaveKey(core.VMID("vm-2"))))
	g.Expect(n.OfferZoneOrder(zoneOut("zone-2"))).To(BeTrue())
	g.Expect(countChoices(g, table, call, &progress{})).To(BeEmpty())
	report(endpointState(1, 3))
	g.Expect(countChoices(g, table, call, &progress{})).To(And(HaveLen(1), HaveKey(core.VMID("vm-1"))))
}

func TestAChoiceGoesBeyondTheSubsetWhenNothingInItFits(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, newNodeWithEndpoints(t, 200))
	call := &Call{Pool: "main", Idempotent: true}
	subset := countChoices(g, table, call, &progress{})
	g.Expect(len(subset)).To(BeNumerically("<=", routing.DefaultSubset))
	tried := map[core.VMID]bool{}
	for _, m := range table.index.groups[call.target()].subset {
		tried[m.id] = true
	}
	for id := range countChoices(g, table, call, &progress{tried: tried}) {
		g.Expect(tried).NotTo(HaveKey(id))
	}
	g.Expect(countChoices(g, table, call, &progress{tried: tried})).NotTo(BeEmpty())
	for id := range subset {
		table.failed(id)
	}
	g.Expect(countChoices(g, table, call, &progress{version: "v1"})).NotTo(HaveKey(BeElementOf(keys(subset))))
	g.Expect(countChoices(g, table, call, &progress{version: "v2"})).To(BeEmpty())
}

func keys(counts map[core.VMID]int) []core.VMID {
	var ids []core.VMID
	for id := range counts {
		ids = append(ids, id)
	}
	return ids
}
