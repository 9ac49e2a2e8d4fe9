package gateway

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/reach"
)

const (
	// followRetryDelay is the delay before the stream to an agent is opened again.
	followRetryDelay = 300 * time.Millisecond
	// demandInterval is how often this process's slot demand is sent to the agents of
	// its region. A slot is in use for about a second.
	demandInterval = 200 * time.Millisecond
	// demandRepeat is how often an unchanged demand is sent to an agent, and how often
	// any demand is sent to an agent of another region.
	demandRepeat = time.Second
	// leasedDemandRepeat is the same for agents that have leased call starts. It leaves
	// time for slow links before the lease ends.
	leasedDemandRepeat = 500 * time.Millisecond
	// demandThreshold is the relative change of a demand that is sent before the next
	// repetition.
	demandThreshold = 0.15
	// remoteSuspectAfter is how long an agent of another region may be silent before its
	// connection is probed. Agents report their load every 2 s.
	remoteSuspectAfter = 2500 * time.Millisecond
	// settleTime is how long ages from other processes are ignored after the process was
	// suspended: the messages that waited meanwhile are read within it.
	settleTime = 300 * time.Millisecond
	// memberSenders is how many gateways of a region send an agent the list of machines
	// that serve the same model.
	memberSenders = 2
)

// agents keeps a stream to the agent of each engine of the deployment.
type agents struct {
	// name is the name of this gateway, process identifies the running process.
	name      string
	process   uint64
	pool      *peers.Pool
	port      int
	regions   map[core.ZoneID]core.RegionID
	scheduler *scheduler
	gateway   *Gateway
	pauses    *boottime.PauseDetector

	mu  sync.Mutex
	ctx context.Context
	// view is the view from which the streams were chosen, and updates are the updates sent
	// on them, by service.
	view    *fleet.View
	updates map[core.ServiceID]*serviceUpdate
	// counted is the largest number of gateways of each region that agents have heard from.
	counted map[core.RegionID]int
	current map[string]*agentLink
	// relays are the gateways that store chunks, as known to any agent of this region.
	relays []*peerpb.FleetMember
	// relaysChanged is set when an agent has reported other relays than before.
	relaysChanged bool
}

// agentLink is the stream to the agent of one engine.
type agentLink struct {
	address string
	cancel  context.CancelFunc
	// sameRegion is set if the engine is in this process's region.
	sameRegion bool
	// fleet, engines and demand are the values to be sent to the agent. changed is
	// closed when one of them is replaced.
	fleet    *peerpb.FleetNews
	engines  *peerpb.FleetMembers
	demand   *peerpb.SlotWant
	demandAt time.Time
	changed  chan struct{}
	// relays are the gateways that store chunks, as known to the agent.
	relays []*peerpb.FleetMember
	// sendsMembers is set if this process sends the agent the list of engines.
	sendsMembers bool
	// version is the newest version of which the engine has all layers. reported is set
	// after the agent's first status report.
	version  int64
	reported bool
	// connected is set while the stream is open.
	connected bool
	// lease is the number of the last lease of call starts that was applied on the open
	// stream. leased is set if it permits calls.
	lease  uint64
	leased bool
}

// wakeAll makes the senders of all streams check for changes.
func (a *agents) wakeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, link := range a.current {
		link.wake()
	}
}

// wake notifies the stream's sender of a change. The caller must hold agents.mu.
func (link *agentLink) wake() {
	close(link.changed)
	link.changed = make(chan struct{})
}

// run keeps the streams to agents until ctx ends.
func (a *agents) run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.setView(a.gateway.tracker.View())
	go a.pauses.Run(ctx)
	return a.pool.Run(ctx)
}

// setView starts and ends streams as engines are added and removed, and notifies the
// senders of changed fleet updates.
func (a *agents) setView(view *fleet.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx != nil && view.Deployment != nil && (a.view == nil || !view.SameContent(a.view)) {
		a.applyView(view)
	}
}

// learnGateways adds up the gateways that agents have heard from.
func (a *agents) learnGateways(status *peerpb.EngineNews) {
	if len(status.GetRegionGateways()) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, region := range status.GetRegionGateways() {
		id := core.RegionID(region.GetRegion())
		a.counted[id] = max(a.counted[id], int(region.GetCount()))
	}
	count := reach.CountGateways(a.allRegions(), a.counted)
	a.gateway.budgets.setGateways(count)
	if a.scheduler.updateGateways(count) && a.view != nil {
		a.applyView(a.view)
	}
}

func (a *agents) allRegions() []core.RegionID {
	all := map[core.RegionID]bool{}
	for _, region := range a.regions {
		all[region] = true
	}
	return slices.Collect(maps.Keys(all))
}

// applyView is setView for a view that differs from the last one. The caller must hold a.mu.
func (a *agents) applyView(view *fleet.View) {
	a.view = view
	updates := a.updatesOf(view)
	for address, link := range a.current {
		if updates[address] == nil {
			link.cancel()
			delete(a.current, address)
		}
	}
	for address, update := range updates {
		link := a.current[address]
		if link == nil {
			ctx, cancel := context.WithCancel(a.ctx)
			link = &agentLink{address: address, cancel: cancel, fleet: update.fleet, engines: update.engines, changed: make(chan struct{}), sameRegion: a.inOwnRegion(update.engines, address)}
			link.sendsMembers = a.sendsMembersTo(link)
			a.current[address] = link
			go a.follow(ctx, address, link)
			continue
		}
		if link.fleet != update.fleet || link.engines != update.engines {
			link.fleet, link.engines = update.fleet, update.engines
			link.wake()
		}
	}
}

// sameFleet reports whether two updates differ in their revision at most.
func sameFleet(x, y *peerpb.FleetNews) bool {
	z := proto.CloneOf(y)
	z.Revision = x.GetRevision()
	return proto.Equal(x, z)
}

func (a *agents) inOwnRegion(engines *peerpb.FleetMembers, address string) bool {
	return slices.ContainsFunc(engines.GetMembers(), func(m *peerpb.FleetMember) bool {
		return m.GetAddress() == address && m.GetRegion() == string(a.gateway.config.Relay.Region)
	})
}

// enginesServing returns the addresses of the engines of this region that serve a
// version, and whether all agents of the region have reported.
func (a *agents) enginesServing(version int64) (serving map[string]bool, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	serving, complete = map[string]bool{}, true
	for address, link := range a.current {
		if !link.sameRegion {
			continue
		}
		complete = complete && link.reported
		if link.version == version {
			serving[address] = true
		}
	}
	return serving, complete
}

// serviceUpdate is the fleet update for the agents of one service.
type serviceUpdate struct {
	fleet   *peerpb.FleetNews
	engines *peerpb.FleetMembers
}

// updatesOf returns the fleet update for the agent of each engine, by engine address. It
// also sets the relay's target. Values that are equal to those before are the same ones.
func (a *agents) updatesOf(view *fleet.View) map[string]*serviceUpdate {
	byService := map[core.ServiceID][]*fleet.Endpoint{}
	for _, endpoint := range view.Endpoints {
		if view.Deployment.Services[endpoint.Service].Engine != nil {
			byService[endpoint.Service] = append(byService[endpoint.Service], endpoint)
		}
	}
	updates := map[string]*serviceUpdate{}
	for service, endpoints := range byService {
		update := a.updates[service].or(&serviceUpdate{fleet: a.fleetUpdate(view, service), engines: membersOf(endpoints)})
		a.updates[service] = update
		a.gateway.relay.setTarget(update.fleet, update.engines.GetMembers())
		for _, endpoint := range endpoints {
			if a.scheduler.inTouch(endpoint.Address) {
				updates[endpoint.Address] = update
			}
		}
	}
	return updates
}

// or returns an update with the values of next, or of the update itself where they are equal.
func (u *serviceUpdate) or(next *serviceUpdate) *serviceUpdate {
	if u == nil {
		return next
	}
	if sameFleet(u.fleet, next.fleet) {
		next.fleet = u.fleet
	}
	if proto.Equal(u.engines, next.engines) {
		next.engines = u.engines
	}
	return next
}

func (a *agents) fleetUpdate(view *fleet.View, service core.ServiceID) *peerpb.FleetNews {
	profile := view.Deployment.Services[service].Engine
	update := &peerpb.FleetNews{Revision: view.Deployment.Revision, Layers: uint32(profile.Layers), Chunks: uint32(profile.Chunks), ChunkBytes: uint64(profile.ChunkBytes), Slots: uint32(profile.BatchSlots)}
	update.Model, update.Version = view.TargetVersion(service, profile)
	update.MaxStarts, update.Paced = uint32(a.scheduler.maxStarts(service)), a.scheduler.paced()
	for _, backend := range view.Deployment.Services {
		if backend.Origin != "" {
			update.Origin, update.OriginRegion = backend.Origin, string(a.regions[backend.OriginZone])
		}
	}
	return update
}

func membersOf(endpoints []*fleet.Endpoint) *peerpb.FleetMembers {
	slices.SortFunc(endpoints, func(x, y *fleet.Endpoint) int { return cmp.Compare(x.Address, y.Address) })
	members := &peerpb.FleetMembers{}
	for _, endpoint := range endpoints {
		members.Members = append(members.Members, &peerpb.FleetMember{Address: endpoint.Address, Zone: string(endpoint.Zone), Region: string(endpoint.Region)})
	}
	return members
}

// follow keeps the stream to one agent open until ctx ends.
func (a *agents) follow(ctx context.Context, engine string, link *agentLink) {
	disconnected := false
	for ctx.Err() == nil {
		err := a.stream(ctx, engine, link, &disconnected)
		if ctx.Err() != nil {
			return
		}
		a.scheduler.endPermit(engine)
		a.setDisconnected(link)
		if !disconnected {
			disconnected = true
			a.gateway.log.Warn("Lost the connection to an agent; retrying.", "engine", engine, "err", err)
		}
		if kernel.Sleep(ctx, followRetryDelay) != nil {
			return
		}
	}
}

func (a *agents) setDisconnected(link *agentLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	link.connected, link.lease, link.leased = false, 0, false
}

func (a *agents) stream(ctx context.Context, engine string, link *agentLink, disconnected *bool) error {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return err
	}
	conn, err := a.pool.Get(net.JoinHostPort(host, strconv.Itoa(a.port)))
	if err != nil {
		return err
	}
	if !link.sameRegion {
		conn.SetSuspectAfter(remoteSuspectAfter)
	}
	callCtx, end := conn.Begin(ctx)
	defer end()
	stream, err := conn.Agent().Follow(callCtx)
	if err != nil {
		return err
	}
	go a.sendUpdates(stream, link)
	for {
		status, err := stream.Recv()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		conn.RecordProgress()
		if *disconnected {
			*disconnected = false
			a.gateway.log.Info("Connected to the agent again.", "engine", engine)
		}
		if a.pauses.RanFor(settleTime) {
			a.scheduler.learnDeclarations(status.GetDeclarations())
			a.gateway.quarantine.learn(peers.DecodeRecords(status.GetPromptParts()), time.Duration(status.GetMemoryMs())*time.Millisecond)
		}
		a.scheduler.updateEngine(status)
		a.applyStatus(link, status)
		a.learnGateways(status)
	}
}

// applyStatus stores the parts of a status report that do not concern the load.
func (a *agents) applyStatus(link *agentLink, status *peerpb.EngineNews) {
	a.mu.Lock()
	defer a.mu.Unlock()
	link.version, link.reported, link.connected = status.GetVersion(), true, true
	link.leased = status.GetStarts() > 0
	if link.lease != status.GetLeaseNumber() {
		link.lease = status.GetLeaseNumber()
		link.wake()
	}
	if status.GetRelays() != nil {
		link.relays, a.relaysChanged = status.GetRelays().GetMembers(), true
	}
}

// refreshRelays passes the gateways that any agent knows to store chunks to this process's
// relay and lender, if agents have reported others.
//
// Load pattern: many gateways start at once, and each agent reports all of them several
// times. Their reports are joined once per demandInterval and not for each report.
func (a *agents) refreshRelays() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.relaysChanged {
		return
	}
	a.relaysChanged = false
	byAddress := map[string]*peerpb.FleetMember{}
	for _, link := range a.current {
		for _, m := range link.relays {
			byAddress[m.GetAddress()] = m
		}
	}
	relays := make([]*peerpb.FleetMember, 0, len(byAddress))
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		relays = append(relays, byAddress[address])
	}
	if slices.EqualFunc(relays, a.relays, func(x, y *peerpb.FleetMember) bool { return proto.Equal(x, y) }) {
		return
	}
	a.gateway.relay.setRelays(relays)
	a.scheduler.lender.setPeers(relays)
	a.relays = relays
	for _, link := range a.current {
		if sends := a.sendsMembersTo(link); sends != link.sendsMembers {
			link.sendsMembers = sends
			link.wake()
		}
	}
}
