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

// indexWatcher applies the events of a membership state to an index.
type indexWatcher struct{ index *endpointIndex }

func (w indexWatcher) EndpointUpdated(e membership.Endpoint) { w.index.heard(e) }
func (w indexWatcher) EndpointRemoved(id core.VMID)          { w.index.forgotten(id) }

// naive filters and sorts all endpoints, as the index must.
func naive(alive []membership.Endpoint, view *node.View, to target) []string {
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

// names returns the identifiers of listed endpoints and of their states.
func names(list []*listed) []string {
	ids := []string{}
	for _, l := range list {
		ids = append(ids, l.state.GetVm())
	}
	return ids
}

// drawState draws a report of one of many endpoints.
func drawState(t *rapid.T, count int) *peerpb.EndpointState {
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

// drawView draws marks and orders of the platform.
func drawView(t *rapid.T, count int) *node.View {
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
				view = drawView(t, count)
			case 1:
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, membership.EndpointTimeout, membership.ExpireAfter}).Draw(t, "time"))
			case 2:
				state.Expire(now)
			default:
				state.OfferEndpoint(now, "peer", drawState(t, count))
			}
			for _, to := range []target{{pool: "main"}, {service: "desk"}} {
				compare(t, index, to, now, view, naive(state.Alive(now), view, to))
			}
		}
	})
}

func compare(t *rapid.T, index *endpointIndex, to target, now time.Time, view *node.View, want []string) {
	g := index.of(to, now, view)
	if g == nil {
		g = &group{}
	}
	if got := names(g.usable); !slices.Equal(got, want) {
		t.Fatalf("the index has %v, want %v", got, want)
	}
	near := names(g.near)
	if len(near) != min(len(want), routing.DefaultSubset) {
		t.Fatalf("%d of %d endpoints are near", len(near), len(want))
	}
	for _, id := range near {
		if _, found := slices.BinarySearch(want, id); !found {
			t.Fatalf("%s is near and not usable", id)
		}
	}
	for _, l := range g.usable {
		if strings.Compare(string(l.id), l.state.GetVm()) != 0 || index.all[l.id] != l {
			t.Fatalf("%s is listed as %s", l.state.GetVm(), l.id)
		}
	}
}

// choices returns the endpoints that many choices of a call took.
func choices(g *WithT, table *EndpointTable, call *Call, state *progress) map[core.VMID]int {
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
	n := knowing(t, 3)
	table := newTable(t, n)
	call := &Call{Pool: "main", Idempotent: true}
	g.Expect(choices(g, table, call, &progress{})).To(HaveLen(3))

	report := func(state *peerpb.EndpointState) {
		_, err := n.Exchange(t.Context(), &peerpb.Knowledge{From: "entry-2", FromEntry: true, Endpoints: []*peerpb.EndpointState{state}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	leaving := endpointState(0, 2)
	leaving.Leaving = true
	report(leaving)
	g.Expect(choices(g, table, call, &progress{})).To(And(HaveLen(2), Not(HaveKey(core.VMID("vm-0")))))
	cold := endpointState(1, 2)
	cold.Ready = false
	report(cold)
	g.Expect(choices(g, table, call, &progress{})).To(And(HaveLen(1), HaveKey(core.VMID("vm-2"))))
	g.Expect(n.OfferZoneOrder(zoneOut("zone-2"))).To(BeTrue())
	g.Expect(choices(g, table, call, &progress{})).To(BeEmpty())
	report(endpointState(1, 3))
	g.Expect(choices(g, table, call, &progress{})).To(And(HaveLen(1), HaveKey(core.VMID("vm-1"))))
}

func TestAChoiceGoesBeyondTheSubsetWhenNothingInItFits(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, knowing(t, 200))
	call := &Call{Pool: "main", Idempotent: true}
	near := choices(g, table, call, &progress{})
	g.Expect(len(near)).To(BeNumerically("<=", routing.DefaultSubset))
	tried := map[core.VMID]bool{}
	for _, l := range table.index.groups[call.target()].near {
		tried[l.id] = true
	}
	for id := range choices(g, table, call, &progress{tried: tried}) {
		g.Expect(tried).NotTo(HaveKey(id))
	}
	g.Expect(choices(g, table, call, &progress{tried: tried})).NotTo(BeEmpty())
	for id := range near {
		table.failed(id)
	}
	g.Expect(choices(g, table, call, &progress{version: "v1"})).NotTo(HaveKey(BeElementOf(keys(near))))
	g.Expect(choices(g, table, call, &progress{version: "v2"})).To(BeEmpty())
}

func keys(counts map[core.VMID]int) []core.VMID {
	var ids []core.VMID
	for id := range counts {
		ids = append(ids, id)
	}
	return ids
}
