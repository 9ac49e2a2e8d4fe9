package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// startOfTests is the time from which sequence numbers of states are counted.
var startOfTests = time.Now()

// network is a set of running nodes. It counts the documents in their messages.
type network struct {
	t     *testing.T
	ctx   context.Context
	vms   []core.VM
	nodes []*node.Node

	mu sync.Mutex
	// full and deltas count the full configurations and the deltas that each VM
	// received.
	full, deltas map[core.VMID]int
	// leaving is the set of endpoints that report that they are leaving.
	leaving sync.Map
}

// startNetwork runs entries and endpoints, spread over zones, with all of them in
// the VM list.
func startNetwork(t *testing.T, zones, entries, endpoints int) *network {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &network{t: t, ctx: ctx, full: map[core.VMID]int{}, deltas: map[core.VMID]int{}}
	var listeners []net.Listener
	for i := range entries + endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		vm := core.VM{ID: core.VMID(fmt.Sprint("entry-", i)), Role: core.RoleEntry, Zone: core.ZoneID(fmt.Sprint("zone-", i%zones)), PeerAddr: listener.Addr().String(), State: core.VMLive}
		if i >= entries {
			vm.ID, vm.Role = core.VMID(fmt.Sprint("endpoint-", i)), core.RoleEndpoint
		}
		w.vms = append(w.vms, vm)
	}
	var running sync.WaitGroup
	for i, vm := range w.vms {
		w.nodes = append(w.nodes, w.start(&running, vm, listeners[i], uint64(i+1)))
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return w
}

func (w *network) start(running *sync.WaitGroup, vm core.VM, listener net.Listener, incarnation uint64) *node.Node {
	n := node.New(node.Identity{VM: vm.ID, Role: vm.Role, Zone: vm.Zone, PeerAddr: vm.PeerAddr, Incarnation: incarnation}, logging.Discard())
	if vm.Role == core.RoleEndpoint {
		n.SetEndpointSource(func() *peerpb.EndpointState {
			_, leaving := w.leaving.Load(vm.ID)
			sequence := uint64(time.Since(startOfTests) / (2 * time.Second))
			if leaving {
				sequence += 1000
			}
			return &peerpb.EndpointState{Vm: string(vm.ID), Zone: string(vm.Zone), Pool: "main", Incarnation: incarnation, Sequence: sequence + 1, Ready: true, Leaving: leaving}
		})
	}
	n.UpdateVMs(platform.VMListReply{Revision: 1, VMs: w.vms})
	server := grpc.NewServer(grpc.UnaryInterceptor(w.countConfigs(vm.ID)))
	peerpb.RegisterPeerServer(server, n)
	for _, duty := range []func(context.Context) error{n.Run, n.WatchDocuments, n.Pool.Run, func(context.Context) error { return server.Serve(listener) }} {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = duty(w.ctx)
		}()
	}
	context.AfterFunc(w.ctx, server.Stop)
	return n
}

// countConfigs counts the configurations in the request and in the reply.
func (w *network) countConfigs(server core.VMID) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		sent, _ := request.(*peerpb.Knowledge)
		w.record(server, sent.GetConfig())
		reply, err := handle(ctx, request)
		replied, _ := reply.(*peerpb.Knowledge)
		w.record(core.VMID(sent.GetFrom()), replied.GetConfig())
		return reply, err
	}
}

func (w *network) record(to core.VMID, config *peerpb.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case config.GetChange() != nil:
		w.deltas[to]++
	case config != nil:
		w.full[to]++
	}
}

// await waits until all nodes have applied a revision.
func (w *network) await(revision uint64) {
	w.t.Helper()
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		missing := 0
		for _, n := range w.nodes {
			if n.View().ConfigRevision != revision {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d nodes have not applied revision %d", missing, revision)
		}
	}
}

// text returns the document that a node sends to a peer that has none.
func (w *network) text(n *node.Node) []byte {
	w.t.Helper()
	reply, err := n.Exchange(w.ctx, &peerpb.Knowledge{From: "reader"})
	if err != nil {
		w.t.Fatal(err)
	}
	return reply.GetConfig().GetJson()
}

// successiveDocuments returns documents, each published on top of the previous one
// and with one team changed.
func successiveDocuments(t *testing.T, count int) []*configsync.Document {
	t.Helper()
	set := catalogue.Set{Zones: []catalogue.Zone{{Name: "a", Region: "r", State: catalogue.ZoneIn}}}
	for i := range 100 {
		set.Teams = append(set.Teams, catalogue.Team{Name: core.TeamID(fmt.Sprint("team-", i)), Weight: 1})
	}
	var docs []*configsync.Document
	var base *configsync.Document
	for i := range count {
		next := set
		next.Teams = append([]catalogue.Team(nil), set.Teams...)
		next.Teams[i].Weight = 2
		p := configsync.NewPublication(uint64(i), configsync.Draft{Set: &next, Author: "tests"}, 1, base, nil)
		p.Read(configsync.Observed{ModRevision: uint64(i), Doc: base})
		if p.Next() != configsync.StepSwap {
			t.Fatal(p.Outcome())
		}
		base = p.Document()
		docs = append(docs, base)
	}
	return docs
}

func TestEveryProcessReceivesEachChangeOnceAndHoldsThePublishedBytes(t *testing.T) {
	g := NewWithT(t)
	w := startNetwork(t, 1, 3, 4)
	docs := successiveDocuments(t, 6)
	for _, doc := range docs {
		w.nodes[0].Holder.Offer(doc)
		w.await(doc.Revision)
		published, err := doc.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		for _, n := range w.nodes {
			g.Expect(bytes.Equal(w.text(n), published)).To(BeTrue(), "%s has other bytes", n.VM)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range w.vms[1:] {
		g.Expect(w.full[vm.ID]).To(Equal(1), "full documents to %s", vm.ID)
		g.Expect(w.deltas[vm.ID]).To(Equal(len(docs)-1), "deltas to %s", vm.ID)
	}
}

func TestAChangeThatDoesNotFitIsAskedForWhole(t *testing.T) {
	g := NewWithT(t)
	docs := successiveDocuments(t, 2)
	text, err := docs[0].Encode()
	g.Expect(err).NotTo(HaveOccurred())
	n := node.New(node.Identity{VM: "entry-1", Role: core.RoleEntry, Zone: "a", Incarnation: 1}, logging.Discard())
	exchange := func(message *peerpb.Knowledge) *peerpb.Knowledge {
		message.From, message.Protocol, message.ConfigRevision = "entry-2", 1, docs[1].Revision
		reply, err := n.Exchange(context.Background(), message)
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	exchange(&peerpb.Knowledge{Config: &peerpb.Config{Revision: docs[0].Revision, Json: text}})
	for _, change := range []*peerpb.DocumentChange{{Base: 7}, {}, {Pieces: []*peerpb.DocumentPiece{{Offset: 1 << 31, Length: 1 << 31}}}} {
		reply := exchange(&peerpb.Knowledge{Config: &peerpb.Config{Revision: docs[1].Revision, Change: change}})
		g.Expect(n.View().ConfigRevision).To(Equal(docs[0].Revision))
		g.Expect(reply.GetWantsConfig()).To(BeTrue())
		g.Expect(reply.GetConfigBase()).To(BeZero())
	}
}

// entries returns the nodes of entries.
func (w *network) entries() []*node.Node {
	var entries []*node.Node
	for _, n := range w.nodes {
		if n.Role == core.RoleEntry {
			entries = append(entries, n)
		}
	}
	return entries
}

func TestNoEndpointThatLivesIsTakenForDeadAndALeavingOneIsKnownAtOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := startNetwork(t, 2, 6, 8)
	everywhere := func(known func(e *peerpb.EndpointState) bool) bool {
		for _, n := range w.entries() {
			count := 0
			for _, e := range n.Alive() {
				if known(e.State) {
					count++
				}
			}
			if count < 8 {
				return false
			}
		}
		return true
	}
	g.Eventually(everywhere, 6*time.Second).WithArguments(func(*peerpb.EndpointState) bool { return true }).Should(BeTrue())
	g.Consistently(everywhere, 12*time.Second, 50*time.Millisecond).WithArguments(func(*peerpb.EndpointState) bool { return true }).Should(BeTrue())
	for _, vm := range w.vms[6:] {
		w.leaving.Store(vm.ID, true)
	}
	g.Eventually(everywhere, 2*time.Second).WithArguments((*peerpb.EndpointState).GetLeaving).Should(BeTrue())
}

func TestAProcessOfTheFirstVersionIsToldWholeDocumentsAndStates(t *testing.T) {
	g := NewWithT(t)
	text, err := successiveDocuments(t, 1)[0].Encode()
	g.Expect(err).NotTo(HaveOccurred())
	n := node.New(node.Identity{VM: "entry-1", Role: core.RoleEntry, Zone: "a", Incarnation: 1}, logging.Discard())
	exchange := func(message *peerpb.Knowledge) *peerpb.Knowledge {
		reply, err := n.Exchange(context.Background(), message)
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	for sequence := range uint64(3) {
		state := &peerpb.EndpointState{Vm: "vm", Zone: "a", Pool: "main", Incarnation: 1, Sequence: sequence + 1}
		exchange(&peerpb.Knowledge{From: "vm", Zone: "a", Incarnation: 1, Endpoints: []*peerpb.EndpointState{state}, Config: &peerpb.Config{Revision: 1, Json: text}})
		reply := exchange(&peerpb.Knowledge{From: "old", Zone: "a", FromEntry: true, Incarnation: 1, Joining: true})
		g.Expect(reply.GetKeepalives()).To(BeNil())
		g.Expect(reply.GetEndpoints()).To(HaveLen(1))
		g.Expect(reply.GetEndpoints()[0].GetSequence()).To(Equal(sequence + 1))
		g.Expect(reply.GetConfig().GetJson()).To(Equal(text))
	}
}
