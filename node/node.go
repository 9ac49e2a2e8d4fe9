// Package node is what every process of the product shares: its identity, its
// connections to peers, the merged knowledge and the exchange of it.
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

// Times and bounds of the exchange between processes.
const (
	// ExchangeTimeout bounds one exchange with one peer.
	ExchangeTimeout = 400 * time.Millisecond
	// TimelineCapacity is how many events a process keeps.
	TimelineCapacity = 8192
	// MaxTimelineReply is how many events one answer holds at most.
	MaxTimelineReply = 8192
	// settleTime is how long a process listens to its peers before it counts as settled.
	settleTime = 2*ExchangeInterval + ExchangeTimeout
)

// Identity says who and where a process is.
type Identity struct {
	VM       core.VMID
	Role     core.Role
	Zone     core.ZoneID
	Region   core.RegionID
	PeerAddr string
	// LocalAddr is the address of the process's own listener; connections to
	// peers start from its IP number.
	LocalAddr string
	// Security is how the processes of the deployment know each other.
	Security peers.Security
	// Certs holds the certificates of this process; nil when it has none.
	Certs *certs.Store
	// Incarnation is the start number of the process: Unix time in nanoseconds.
	Incarnation uint64
	// Seeds are peer addresses of entries to ask before a VM list is known.
	Seeds []string
}

// Node is the shared part of a process. It is safe for concurrent use.
type Node struct {
	peerpb.UnimplementedPeerServer

	Identity
	Pool     *peers.Pool
	Recorder *timeline.Recorder
	Log      *log.Logger
	// Holder keeps the newest configuration document.
	Holder *configsync.Holder

	mu    sync.Mutex
	state *membership.State
	// configFetch and vmsFetch choose the peer that sends a newer document.
	configFetch, vmsFetch membership.Fetch

	random  *rand.Rand
	view    atomic.Pointer[View]
	trigger chan struct{}
	// news holds a bit for each scope to be told of news.
	news atomic.Uint32
	// reports and failed are of endpoint processes: when entries are told next,
	// and those that the last report did not reach.
	reports reports
	// lastFresh is when the endpoint's state last counted as new; a state that
	// says the same counts as new after RoundInterval.
	lastFresh time.Time
	failed    map[core.VMID]bool
	// started is when the exchange began, as Unix nanoseconds.
	started atomic.Int64

	watchersMu sync.Mutex
	watchers   []func(*View)

	// own returns the state of the endpoint on this VM; nil on entries.
	own func() *peerpb.EndpointState
	// wantsPool says that the states of the own pool in the own zone are needed.
	wantsPool atomic.Bool
}

// New returns a node without knowledge.
func New(identity Identity, logger *log.Logger) *Node {
	clock := hlc.New(time.Now)
	n := &Node{
		Identity: identity,
		Pool:     peers.NewPool(identity.LocalAddr, identity.Security),
		Recorder: timeline.NewRecorder(clock, identity.VM, identity.Zone, TimelineCapacity),
		Log:      logger,
		state:    membership.NewInZone(identity.VM, identity.Zone),
		random:   rand.New(rand.NewPCG(identity.Incarnation, 1)),
		trigger:  make(chan struct{}, 1),
		failed:   map[core.VMID]bool{},
		Holder:   configsync.NewHolder(),
	}
	empty, _ := buildView(nil, membership.Document{}, nil)
	n.view.Store(empty)
	return n
}

// View returns the snapshot in force.
func (n *Node) View() *View { return n.view.Load() }

// Settled reports whether the process has exchanged knowledge long enough to
// have heard of its peers and of the endpoints.
func (n *Node) Settled() bool {
	since := n.started.Load()
	return since != 0 && time.Since(time.Unix(0, since)) >= settleTime
}

// OnChange registers a function called with every new view, from the goroutine that merged it.
func (n *Node) OnChange(changed func(*View)) {
	n.watchersMu.Lock()
	defer n.watchersMu.Unlock()
	n.watchers = append(n.watchers, changed)
}

// SetEndpointSource sets the source of this VM's endpoint state.
func (n *Node) SetEndpointSource(own func() *peerpb.EndpointState) { n.own = own }

// EntryStates returns what each entry last said of itself.
func (n *Node) EntryStates() map[core.VMID]membership.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Entries()
}

// RequestPoolStates asks entries for the states of the own pool in the own zone, or stops asking.
func (n *Node) RequestPoolStates(follow bool) { n.wantsPool.Store(follow) }

// Alive lists the endpoints that reported recently.
func (n *Node) Alive() []membership.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Alive(time.Now())
}

// WatchEndpoints sets the watcher of the endpoint states. It is called under the
// node's lock and must not call the node's methods that take it.
func (n *Node) WatchEndpoints(watcher membership.Observer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Observe(watcher)
}

// update applies change and, when it brought news, publishes a new view and
// starts a round of exchange at once.
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

// publish derives and announces the view of the present state.
func (n *Node) publish() {
	n.watchersMu.Lock()
	defer n.watchersMu.Unlock()
	n.mu.Lock()
	vms, orders := n.state.VMs(), n.state.ZoneOrders()
	n.mu.Unlock()
	view, err := buildView(n.Holder.Current(), vms, orders)
	if err != nil {
		n.Log.Error("A document can't be read.", "err", err)
		return
	}
	before := n.view.Swap(view)
	n.recordChanges(before, view)
	for _, watcher := range n.watchers {
		watcher(view)
	}
}

func (n *Node) recordChanges(before, after *View) {
	if after.ConfigRevision != before.ConfigRevision {
		n.Recorder.Add(timeline.KindConfigActive, "", "", "Configuration in force.")
		n.Log.Info("Configuration in force.", "revision", after.ConfigRevision)
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

// merge takes a message from a peer and publishes what is new.
func (n *Node) merge(told *peerpb.Knowledge) {
	n.Recorder.Clock().Witness(hlc.Stamp(told.GetClock()))
	newConfig := n.takeConfig(told.GetConfig())
	vms, rows := n.readableVMs(told.GetVms())
	told.Vms = vms
	n.mu.Lock()
	changes := n.state.Merge(time.Now(), told)
	if told.GetVms() != nil {
		n.vmsFetch.Done(true)
	}
	n.mu.Unlock()
	if changes.VMs {
		n.Holder.OfferVMs(platform.VMListReply{Revision: vms.GetRevision(), VMs: rows})
	}
	n.dropDecided()
	documents := newConfig || changes.VMs || changes.ZoneOrders
	if documents {
		n.publish()
	}
	if documents || changes.Urgent {
		n.triggerScope(n.scopeAfter(told))
	}
}

// scopeAfter returns whom news in a message concern. An entry of the own zone
// tells the others of the zone as well.
func (n *Node) scopeAfter(told *peerpb.Knowledge) scope {
	switch {
	case n.Role == core.RoleEndpoint:
		return scopeUsual // only its own state may have changed
	case told.GetFromEntry() && core.ZoneID(told.GetZone()) == n.Zone:
		return scopeZones
	default:
		return scopeAll
	}
}

// AddDuties adds the duties that every process has.
func (n *Node) AddDuties(process *kernel.Process) {
	process.AddDuty("peers", n.Pool.Run)
	process.AddDuty("exchange", n.Run)
	process.AddDuty("documents", n.WatchDocuments)
	process.AddDuty("certificates", n.WatchCertificates)
}
