// Package node implements what all processes of the system have in common: the
// process's identity, its connections to peers, the state merged from the messages
// of peers, and the exchange of that state by gossip.
package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/certs"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Timeouts and limits of the exchange between processes.
const (
	// ExchangeTimeout bounds the first call of an exchange with a peer.
	ExchangeTimeout = 400 * time.Millisecond
	// TimelineCapacity is the number of timeline events that a process retains.
	TimelineCapacity = 8192
	// MaxTimelineReply is the maximum number of events in one reply.
	MaxTimelineReply = 8192
	// settleTime is how long a process exchanges state before it counts as settled.
	// It spans two rounds and the reply to the second.
	settleTime = 2*ExchangeInterval + ExchangeTimeout
)

// Identity identifies a process and its location, and configures its connections
// to peers.
type Identity struct {
	VM       core.VMID
	Role     core.Role
	Zone     core.ZoneID
	Region   core.RegionID
	PeerAddr string
	// LocalAddr is the address of the process's listener. Connections to peers use
	// its IP address as their source address.
	LocalAddr string
	// Security configures how the processes of the deployment authenticate each
	// other.
	Security peers.Security
	// Certs provides the certificates of this process, nil if it has none.
	Certs *certs.Store
	// Incarnation is the start time of the process in Unix nanoseconds. It orders
	// the states that successive processes on a VM report.
	Incarnation uint64
	// Seeds are the peer addresses of entries to contact until a VM list is known.
	Seeds []string
}

// Node is the part that all processes have in common. It is safe for concurrent
// use.
type Node struct {
	peerpb.UnimplementedPeerServer

	Identity
	Pool     *peers.Pool
	Recorder *timeline.Recorder
	Log      *log.Logger
	// Holder stores the newest configuration document.
	Holder *configsync.Holder

	mu    sync.Mutex
	state *membership.State
	// configFetch and vmsFetch limit the requests for newer documents to one peer
	// at a time.
	configFetch, vmsFetch membership.Fetch

	random  *rand.Rand
	view    atomic.Pointer[View]
	trigger chan struct{}
	// pendingScopes has a bit for each scope that has been triggered and not yet
	// handled by a round.
	pendingScopes atomic.Uint32
	// reports is the schedule of an endpoint process's reports to its entries, and
	// failedReports are the entries that the last report did not reach.
	reports reportSchedule
	// lastNewState is when the endpoint's state was last treated as new. An
	// unchanged state is treated as new again after RoundInterval.
	lastNewState  time.Time
	failedReports map[core.VMID]bool
	// started is when the exchange began, in Unix nanoseconds; 0 before that.
	started atomic.Int64

	watchersMu sync.Mutex
	watchers   []func(*View)

	// endpointState returns the state of the endpoint on this VM; nil on entries.
	endpointState func() *peerpb.EndpointState
	// requestsPool is set while this process requests the states of its pool in
	// its zone from entries.
	requestsPool atomic.Bool
}

// New returns a node without a configuration or a VM list.
func New(identity Identity, logger *log.Logger) *Node {
	clock := hlc.New(time.Now)
	n := &Node{
		Identity:      identity,
		Pool:          peers.NewPool(identity.LocalAddr, identity.Security),
		Recorder:      timeline.NewRecorder(clock, identity.VM, identity.Zone, TimelineCapacity),
		Log:           logger,
		state:         membership.NewInZone(identity.VM, identity.Zone),
		random:        rand.New(rand.NewPCG(identity.Incarnation, 1)),
		trigger:       make(chan struct{}, 1),
		failedReports: map[core.VMID]bool{},
		Holder:        configsync.NewHolder(),
	}
	empty, _ := buildView(nil, membership.Document{}, nil)
	n.view.Store(empty)
	return n
}

// View returns the current snapshot. Callers must not modify it.
func (n *Node) View() *View { return n.view.Load() }

// Settled reports whether the process has exchanged state long enough to have
// received that of its peers and of the endpoints.
func (n *Node) Settled() bool {
	since := n.started.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= settleTime
}

// OnChange registers a function that is called with every new view, on the
// goroutine that published it.
func (n *Node) OnChange(watcher func(*View)) {
	n.watchersMu.Lock()
	defer n.watchersMu.Unlock()
	n.watchers = append(n.watchers, watcher)
}

// SetEndpointSource sets the function that returns the state of this VM's endpoint.
// It must be called before Run.
func (n *Node) SetEndpointSource(source func() *peerpb.EndpointState) { n.endpointState = source }

// EntryStates returns the last known state of each entry.
func (n *Node) EntryStates() map[core.VMID]membership.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Entries()
}

// RequestPoolStates sets whether this endpoint process requests the states of its
// pool in its zone from entries.
func (n *Node) RequestPoolStates(enabled bool) { n.requestsPool.Store(enabled) }

// Alive returns the endpoints whose state is not older than
// membership.EndpointTimeout.
func (n *Node) Alive() []membership.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Alive(time.Now())
}

// WatchEndpoints sets the observer of the endpoint states. It is called while the
// node's mutex is locked, so it must not call methods of the node that lock it.
func (n *Node) WatchEndpoints(watcher membership.Observer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Observe(watcher)
}

// update calls change on the merged state. If change returns true, update
// publishes a new view and triggers a round.
func (n *Node) update(change func(*membership.State) bool) bool {
	n.mu.Lock()
	changed := change(n.state)
	n.mu.Unlock()
	if changed {
		n.publish()
		n.Trigger()
	}
	return changed
}

// publish builds a view of the current state, makes it the current view and passes
// it to the watchers.
func (n *Node) publish() {
	n.watchersMu.Lock()
	defer n.watchersMu.Unlock()
	n.mu.Lock()
	vms, orders := n.state.VMs(), n.state.ZoneOrders()
	n.mu.Unlock()
	view, err := buildView(n.Holder.Current(), vms, orders)
	if err != nil {
		n.Log.Error("A document cannot be decoded; the previous view stays active.", "err", err)
		return
	}
	before := n.view.Swap(view)
	n.recordChanges(before, view)
	for _, watcher := range n.watchers {
		watcher(view)
	}
}

// recordChanges records a new configuration revision and changed zone states on the
// timeline.
func (n *Node) recordChanges(before, after *View) {
	if after.ConfigRevision != before.ConfigRevision {
		n.Recorder.Add(timeline.KindConfigActive, "", "", "Configuration applied.")
		n.Log.Info("Configuration applied.", "revision", after.ConfigRevision)
	}
	for zone, out := range after.ZonesOut {
		if out != before.ZonesOut[zone] {
			n.Recorder.Add(timeline.KindZone, "", string(zone), zoneText(out))
		}
	}
	for zone, out := range before.ZonesOut {
		if _, still := after.ZonesOut[zone]; out && !still {
			n.Recorder.Add(timeline.KindZone, "", string(zone), zoneText(false))
		}
	}
}

func zoneText(out bool) string {
	if out {
		return "Zone takes no new work."
	}
	return "Zone takes work."
}

// merge merges a message from a peer, publishes a new view if a document or zone
// order changed, and triggers a round for urgent changes.
func (n *Node) merge(received *peerpb.Knowledge) {
	n.Recorder.Clock().Witness(hlc.Stamp(received.GetClock()))
	newConfig := n.applyConfig(received.GetConfig())
	vms, rows := n.resolveVMs(received.GetVms())
	received.Vms = vms
	n.mu.Lock()
	changes := n.state.Merge(time.Now(), received)
	if received.GetVms() != nil {
		n.vmsFetch.Done(true)
	}
	n.mu.Unlock()
	if changes.VMs {
		n.Holder.OfferVMs(platform.VMListReply{Revision: vms.GetRevision(), VMs: rows})
	}
	n.dropSuperseded()
	documents := newConfig || changes.VMs || changes.ZoneOrders
	if documents {
		n.publish()
	}
	if documents || changes.Urgent {
		n.triggerScope(n.scopeAfter(received))
	}
}

// scopeAfter returns the scope of the round that propagates the changes in a
// message. A change received from an entry of the same zone is not sent to the
// other entries of the zone: that entry sends it to them itself.
func (n *Node) scopeAfter(received *peerpb.Knowledge) scope {
	switch {
	case n.Role == core.RoleEndpoint:
		return scopeRegular // the only urgent change is in its own state
	case received.GetFromEntry() && core.ZoneID(received.GetZone()) == n.Zone:
		return scopeZones
	default:
		return scopeAll
	}
}

// AddDuties adds the duties that all processes have in common.
func (n *Node) AddDuties(process *kernel.Process) {
	process.AddDuty("peers", n.Pool.Run)
	process.AddDuty("exchange", n.Run)
	process.AddDuty("documents", n.WatchDocuments)
	process.AddDuty("certificates", n.WatchCertificates)
}
