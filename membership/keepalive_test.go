package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// link simulates two entries of one zone that exchange messages.
type link struct {
	t *rapid.T
	// reported holds every state that an endpoint reported, by VM, incarnation
	// and sequence.
	reported map[string]*peerpb.EndpointState
	ends     [2]*membership.State
	// incarnations holds the current incarnations of the ends.
	incarnations [2]uint64
	now          time.Time
}

func newLink(t *rapid.T) *link {
	l := &link{t: t, reported: map[string]*peerpb.EndpointState{}, now: start}
	for end := range l.ends {
		l.restart(end)
	}
	return l
}

func (l *link) restart(end int) {
	l.ends[end] = membership.NewInZone(name(end), "z")
	l.incarnations[end]++
}

func name(end int) core.VMID { return core.VMID(fmt.Sprint("entry-", end)) }

func label(s *peerpb.EndpointState) string {
	return fmt.Sprint(s.GetVm(), "/", s.GetIncarnation(), "/", s.GetSequence())
}

// report delivers a state report of an endpoint to an end.
func (l *link) report(end, vm int, state *peerpb.EndpointState) {
	state.Vm = fmt.Sprint("vm-", end, "-", vm)
	state.Incarnation, state.Sequence = 1, uint64(len(l.reported)+1)
	l.reported[label(state)] = state
	l.ends[end].OfferEndpoint(l.now, core.VMID(state.Vm), state)
}

// build returns a message from one end to the other. It includes the full states
// that request, if not nil, asks for.
func (l *link) build(from int, request *peerpb.Knowledge) membership.Delivery {
	d := l.ends[from].Build(membership.Receiver{
		ID: name(1 - from), Zone: "z", WantsEndpoints: request == nil, Protocol: l.ends[from].ProtocolOf(name(1-from), "z"),
		Unknown: request.GetUnknown(), Now: l.now,
	})
	d.Message.Zone, d.Message.Incarnation, d.Message.FromEntry = "z", l.incarnations[from], true
	return d
}

func (l *link) merge(to int, message *peerpb.Knowledge) {
	l.ends[to].Merge(l.now, proto.CloneOf(message))
	for _, e := range l.ends[to].Alive(l.now) {
		l.requireReported(e.State)
	}
}

// requireReported fails the test if no endpoint reported the state.
func (l *link) requireReported(s *peerpb.EndpointState) {
	reported := l.reported[label(s)]
	if reported == nil {
		l.t.Fatalf("%s was never reported", label(s))
	}
	if got, want := plain(s), plain(reported); !proto.Equal(got, want) {
		l.t.Fatalf("stored %v, reported %v", got, want)
	}
}

// plain returns a copy in which an absent load is replaced by an empty one, so
// that the two compare as equal.
func plain(s *peerpb.EndpointState) *peerpb.EndpointState {
	s = proto.CloneOf(s)
	if s.Load == nil {
		s.Load = &peerpb.EndpointLoad{}
	}
	return s
}

// settle exchanges messages without loss until both ends have all states.
func (l *link) settle() {
	for range 3 {
		for from := range l.ends {
			d := l.build(from, nil)
			l.merge(1-from, d.Message)
			l.ends[from].Delivered(d)
			reply := l.build(1-from, &peerpb.Knowledge{})
			l.merge(from, reply.Message)
			l.merge(1-from, l.build(from, reply.Message).Message)
		}
	}
}

func TestShortStatesAreNeverWrongWhateverHappensToMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLink(t)
		var inFlight []membership.Delivery
		var to []int
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				l.report(rapid.IntRange(0, 1).Draw(t, "end"), rapid.IntRange(0, 2).Draw(t, "vm"), &peerpb.EndpointState{
					Zone: "z", Ready: rapid.Bool().Draw(t, "ready"), ConfigRevision: rapid.Uint64Range(0, 3).Draw(t, "revision"),
					Load: &peerpb.EndpointLoad{InFlight: rapid.Uint32Range(0, 2).Draw(t, "load")},
				})
			},
			"send": func(t *rapid.T) {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				inFlight, to = append(inFlight, l.build(from, nil)), append(to, 1-from)
			},
			"arrive, early, late or again": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return // no message in flight
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				l.merge(to[i], inFlight[i].Message)
				if rapid.Bool().Draw(t, "answered") && inFlight[i].Message.GetIncarnation() == l.incarnations[1-to[i]] {
					l.ends[1-to[i]].Delivered(inFlight[i])
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					l.restart(rapid.IntRange(0, 1).Draw(t, "end"))
				}
			},
			"a new revision": func(t *rapid.T) {
				end := rapid.IntRange(0, 1).Draw(t, "end")
				l.ends[end].SetConfig(membership.Document{Revision: rapid.Uint64Range(1, 5).Draw(t, "config"), JSON: []byte("c")})
			},
		})
		for end := range l.ends {
			for vm := range 3 {
				l.report(end, vm, &peerpb.EndpointState{Zone: "z", Ready: true})
			}
		}
		l.settle()
		if a, b := summary(l.ends[0]), summary(l.ends[1]); a != b {
			t.Fatalf("the ends did not converge: one has %s, the other %s", a, b)
		}
	})
}

func TestAnUnchangedStateGoesInShortForm(t *testing.T) {
	g := NewWithT(t)
	rapid.Check(t, func(t *rapid.T) {
		l := newLink(t)
		state := func() *peerpb.EndpointState {
			return &peerpb.EndpointState{Zone: "z", Pool: "main", LoadedVersion: "v1", PeerAddr: "127.0.0.1:1", Load: &peerpb.EndpointLoad{Limit: 64}}
		}
		l.report(0, 0, state())
		l.settle()
		l.report(0, 0, state())
		d := l.build(0, nil)
		g.Expect(d.Message.GetEndpoints()).To(BeEmpty())
		g.Expect(d.Message.GetKeepalives().GetKeys()).To(HaveLen(1))
		g.Expect(proto.Size(d.Message.GetKeepalives())).To(BeNumerically("<=", 26), "one keepalive with the headers of six lists")
		l.merge(1, d.Message)
		g.Expect(l.ends[1].Alive(start)[0].State.GetSequence()).To(BeEquivalentTo(2))
	})
}

func TestTheFirstEntryAlonePassesOnUntilItFallsSilent(t *testing.T) {
	g := NewWithT(t)
	secondary := membership.NewInZone("entry-2", "z")
	report := func(at time.Time, sequence uint64, isSecondary bool) {
		secondary.Merge(at, &peerpb.Knowledge{From: "vm", Zone: "z", Second: isSecondary, Protocol: membership.Protocol, Incarnation: 1,
			Endpoints: []*peerpb.EndpointState{{Vm: "vm", Zone: "z", Incarnation: 1, Sequence: sequence}}})
	}
	relays := func(at time.Time) bool {
		d := secondary.Build(membership.Receiver{ID: "entry-3", Zone: "z", WantsEndpoints: true, Now: at, Protocol: membership.Protocol})
		return len(d.Message.GetEndpoints())+len(d.Message.GetKeepalives().GetKeys()) > 0
	}
	report(start, 1, true)
	g.Expect(relays(start.Add(time.Second))).To(BeFalse())
	relayedAt := start.Add(4 * time.Second)
	secondary.Merge(relayedAt, &peerpb.Knowledge{From: "entry-1", Zone: "z", Incarnation: 1, Endpoints: []*peerpb.EndpointState{{Vm: "vm", Zone: "z", Incarnation: 1, Sequence: 1}}})
	report(relayedAt, 2, true)
	g.Expect(relays(relayedAt.Add(membership.TakeoverAfter))).To(BeFalse(), "the primary relayed the state")
	g.Expect(relays(relayedAt.Add(membership.TakeoverAfter+time.Millisecond))).To(BeTrue(), "the primary is silent")
	secondary.Merge(relayedAt, &peerpb.Knowledge{From: "vm", Zone: "z", Protocol: membership.Protocol, Incarnation: 1})
	g.Expect(relays(relayedAt)).To(BeTrue(), "the endpoint cannot reach the primary")
}
