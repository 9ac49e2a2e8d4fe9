package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
)

const (
	// minStatusInterval is the minimum time between two messages to a follower.
	minStatusInterval = 200 * time.Millisecond
	// localLoadInterval and remoteLoadInterval are the minimum times between messages
	// that report a change of the load alone, to followers in this region and in others.
	// They can be long, since a follower only fills slots that were granted to it, and
	// answers carry the load as well.
	localLoadInterval  = 400 * time.Millisecond
	remoteLoadInterval = 2 * time.Second
	// unchangedLoadWait is how long a follower waits for a change of the status when the
	// load has been reported already.
	unchangedLoadWait = time.Hour
	// leaseRenewal is how often a gateway that holds a lease of call starts is sent a
	// status, which renews it.
	leaseRenewal = 500 * time.Millisecond
	// relaysInterval batches changes of the relays, since many gateways may start at
	// once.
	relaysInterval = 400 * time.Millisecond
)

// follower is one gateway that follows the agent.
type follower struct {
	agent *Agent
	// gateway and region are its name and region, and process identifies the process, set
	// by its first message.
	gateway, region string
	process         uint64
	// relay is the gateway as a member of the spread, nil if it stores no chunks.
	relay *peerpb.FleetMember
	// sent is the last status sent to it, at sentAt. sentRelays is the version of the relays
	// that were last sent to it, at relaysSentAt.
	sent         *peerpb.EngineNews
	sentAt       time.Time
	sentRelays   int
	relaysSentAt time.Time
	// echo is the clock in the gateway's last message, which arrived at echoAt.
	echo   uint64
	echoAt boottime.Instant
	// sentRecords is the version of the records of prompt parts that were sent to it at
	// recordsAt.
	sentRecords uint64
	recordsAt   time.Time
	// sentRegions is the version of the numbers of gateways that were sent to it.
	sentRegions int
	// sentDeclared is the number of changes of declarations that were sent to it.
	sentDeclared int
}

// Follow implements peerpb.AgentServer.
func (a *Agent) Follow(stream grpc.BidiStreamingServer[peerpb.GatewayNews, peerpb.EngineNews]) error {
	f := &follower{agent: a}
	f.join()
	defer f.leave()
	failed := make(chan error, 1)
	go func() { failed <- f.receive(stream) }()
	for {
		status, changed := f.nextStatus()
		if status != nil {
			if err := stream.Send(status); err != nil {
				return err
			}
		}
		if err := kernel.Sleep(stream.Context(), minStatusInterval); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(f.untilLoadReport()):
		case err := <-failed:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func (f *follower) join() {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	f.agent.followers[f] = struct{}{}
}

// follows reports whether a gateway has an open stream. The caller must hold a.mu.
func (a *Agent) follows(gateway string) bool {
	for f := range a.followers {
		if f.gateway == gateway {
			return true
		}
	}
	return false
}

// leave removes the gateway, unless it already follows on a newer stream.
func (f *follower) leave() {
	a := f.agent
	a.mu.Lock()
	delete(a.followers, f)
	if f.gateway != "" && !a.follows(f.gateway) {
		a.divider.Remove(f.gateway)
	}
	if f.relay != nil {
		a.refreshRelays()
	}
	relays := a.relays
	a.mu.Unlock()
	a.updater.offerRelays(relays)
}

// refreshRelays collects the followers that store chunks. The caller must hold a.mu.
func (a *Agent) refreshRelays() {
	byAddress := map[string]*peerpb.FleetMember{}
	for f := range a.followers {
		if f.relay != nil {
			byAddress[f.relay.GetAddress()] = f.relay
		}
	}
	relays := make([]*peerpb.FleetMember, 0, len(byAddress))
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		relays = append(relays, byAddress[address])
	}
	if slices.EqualFunc(relays, a.relays, func(x, y *peerpb.FleetMember) bool { return proto.Equal(x, y) }) {
		return
	}
	a.relays = relays
	a.relaysVersion++
	a.publish(a.status)
}

// receive processes the gateway's messages until the stream ends.
func (f *follower) receive(stream grpc.BidiStreamingServer[peerpb.GatewayNews, peerpb.EngineNews]) (err error) {
	defer peers.Recovered("Follow", &err)
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		f.agent.learnDeclarations(message.GetDeclarations())
		f.agent.learnParts(message.GetPromptParts(), message.GetEndedParts(), time.Duration(message.GetMemoryMs())*time.Millisecond)
		if fleet := message.GetFleet(); fleet != nil {
			f.agent.updater.offerDeclaration(fleet)
		}
		if members := message.GetMembers(); members != nil {
			f.agent.updater.offerEngines(members.GetMembers())
		}
		if manifest := message.GetManifest(); manifest != nil {
			f.agent.updater.queueManifest(stream.Context(), manifest)
		}
		f.apply(message)
	}
}

// apply updates the follower and the division of slots from a message.
func (f *follower) apply(message *peerpb.GatewayNews) {
	if relays, changed := f.update(message); changed {
		f.agent.updater.offerRelays(relays)
	}
}

// update is apply without the relays, which it returns if they have changed.
func (f *follower) update(message *peerpb.GatewayNews) (relays []*peerpb.FleetMember, changed bool) {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if message.GetSentMs() != 0 {
		f.echo, f.echoAt = message.GetSentMs(), boottime.Now()
	}
	if message.GetGateway() != "" {
		f.gateway, f.region, f.process = message.GetGateway(), message.GetRegion(), message.GetProcess()
	}
	a.applyLimits(message.GetFleet())
	if f.gateway != "" && message.GetSentMs() != 0 {
		a.quota.Seen(boottime.Now(), f.gateway, startquota.Report{Process: f.process, Number: message.GetLeaseNumber(), Sent: int(message.GetStartsSent())})
	}
	if demand := message.GetWant(); demand != nil && f.gateway != "" {
		a.divider.SetDemand(boottime.Now(), f.gateway, decodeDemand(demand))
	}
	if message.GetRelay() == nil || proto.Equal(f.relay, message.GetRelay().GetMember()) {
		return nil, false
	}
	f.relay = message.GetRelay().GetMember()
	a.refreshRelays()
	return a.relays, true
}

// maxDemand bounds the calls that a gateway may ask for.
const maxDemand = 1e6

// decodeDemand converts a gateway's demand. Values that are no sensible number of calls count as
// none.
func decodeDemand(want *peerpb.SlotWant) slotshare.Demand {
	demand := slotshare.Demand{Calls: demandedCalls(want.GetCalls()), Open: int(want.GetOpen())}
	for rank, calls := range want.GetRanked()[:min(len(want.GetRanked()), slotshare.Ranks)] {
		demand.Ranked[rank] = demandedCalls(calls)
	}
	return demand
}

func demandedCalls(calls float32) float64 {
	if !(calls > 0) { // also false for NaN
		return 0
	}
	return min(float64(calls), maxDemand)
}

// applyLimits takes the engine's slots and its limit of call starts from a declaration that
// is not older than the last one. Gateways that can't reach the store have older ones. The
// caller must hold a.mu.
func (a *Agent) applyLimits(declared *peerpb.FleetNews) {
	order := cmp.Or(cmp.Compare(declared.GetRevision(), a.revision), cmp.Compare(declared.GetVersion(), a.version))
	if declared.GetSlots() == 0 || order < 0 {
		return
	}
	a.revision, a.version = declared.GetRevision(), declared.GetVersion()
	a.applyPace(declared, order > 0)
	if a.quota.SetLimit(int(declared.GetMaxStarts()), int(declared.GetSlots())) {
		a.log.Info("Slots and limit of calls per second declared.", "slots", declared.GetSlots(), "limit", declared.GetMaxStarts(),
			"revision", a.revision, "version", a.version)
	}
}

// terms are the parts of a status that differ between followers.
type terms struct {
	divided bool
	granted int
	lease   startquota.Lease
	closing bool
}

// termsOf returns the present terms of a follower. The caller must hold a.mu.
func (a *Agent) termsOf(f *follower) terms {
	granted, divided := a.divider.Granted(f.gateway)
	return terms{divided: divided, granted: granted, lease: a.quota.Lease(f.gateway), closing: a.switchAt != 0}
}

// nextStatus returns the status to send to the gateway, nil if none is due, and a
// channel that is closed at the next change.
func (f *follower) nextStatus() (*peerpb.EngineNews, <-chan struct{}) {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now, terms := time.Now(), a.termsOf(f)
	relaysDue, records := f.relaysDue(now), f.recordsDue(now)
	if !relaysDue && records == nil && !f.due(now, terms) {
		return nil, a.changed
	}
	status := proto.CloneOf(a.status)
	if terms.divided {
		status.Divided, status.Granted = true, uint32(terms.granted)
	}
	status.Starts, status.LeaseNumber, status.Gateways = uint32(terms.lease.Starts), terms.lease.Number, uint32(a.quota.Gateways())
	if terms.closing {
		status.ClosesInMs = uint32(max(a.switchAt.Sub(boottime.Now()).Milliseconds(), 1))
	}
	if relaysDue {
		status.Relays = &peerpb.FleetMembers{Members: a.relays}
		f.sentRelays, f.relaysSentAt = a.relaysVersion, now
	}
	if records != nil {
		status.PromptParts = peers.EncodeRecords(records)
		f.sentRecords, f.recordsAt = a.promptParts.Version(), now
	}
	if f.sentRegions != a.regionsVersion {
		status.RegionGateways, f.sentRegions = a.encodeRegionGateways(), a.regionsVersion
	}
	status.Declarations = a.declarationAges()
	status.MemoryMs = uint32(a.partsMemory.At(boottime.Now()).Milliseconds())
	if f.echo != 0 {
		status.EchoMs, status.EchoHeldMs = f.echo, uint32(max(boottime.Now().Sub(f.echoAt).Milliseconds(), 0))
	}
	f.sent, f.sentAt, f.sentDeclared = status, now, a.declaredChanges
	return status, a.changed
}

// relaysDue reports whether the relays must be sent to a gateway in this region: if they have
// changed since they were last sent. The caller must hold a.mu.
func (f *follower) relaysDue(now time.Time) bool {
	return f.agent.relaysVersion != f.sentRelays && f.region == string(f.agent.config.Region) && now.Sub(f.relaysSentAt) >= relaysInterval
}

// due reports whether the status must be sent now. A change of the load alone waits for
// the load interval; any other change is sent at once. The caller must hold a.mu.
func (f *follower) due(now time.Time, next terms) bool {
	sent, status := f.sent, f.agent.status
	switch {
	case sent == nil || f.sentDeclared != f.agent.declaredChanges || now.Sub(f.sentAt) >= f.loadInterval():
		return true
	case (sent.GetClosesInMs() == 0) == next.closing:
		return true
	case sent.GetLeaseNumber() != next.lease.Number || next.lease.Starts > 0 && now.Sub(f.sentAt) >= leaseRenewal:
		return true
	case sent.GetDivided() != next.divided || next.divided && int(sent.GetGranted()) != next.granted:
		return true
	}
	return !sameButLoad(sent, status)
}

func (f *follower) loadInterval() time.Duration {
	if f.region == string(f.agent.config.Region) || f.agent.switchPending() {
		return localLoadInterval
	}
	return remoteLoadInterval
}

// untilLoadReport returns the time until the load must be sent if nothing else changes.
func (f *follower) untilLoadReport() time.Duration {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	if f.sent.GetStarts() > 0 {
		return max(min(f.loadInterval(), leaseRenewal)-time.Since(f.sentAt), minStatusInterval)
	}
	if f.sent != nil && !f.agent.switchPending() && f.sent.GetRunning() == f.agent.status.GetRunning() && f.sent.GetWaiting() == f.agent.status.GetWaiting() {
		return unchangedLoadWait
	}
	return max(f.loadInterval()-time.Since(f.sentAt), minStatusInterval)
}

// divideSlots recomputes the division of the engine's slots among the followers.
func (a *Agent) divideSlots() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := boottime.Now()
	divided := a.divider.Divide(now)
	renewed := a.quota.Divide(now, func(gateway string) int {
		slots, _ := a.divider.Granted(gateway)
		return slots
	})
	if a.countGateways() || divided || renewed {
		a.publish(a.status)
	}
}

// countGateways counts the gateways of each region and reports whether that changed. A gateway
// follows few agents of other regions, so each adds up what the agents know of their own. The
// caller must hold a.mu.
func (a *Agent) countGateways() bool {
	counts := map[string]int{}
	counted := map[string]bool{}
	for f := range a.followers {
		if f.gateway != "" && !counted[f.gateway] && a.quota.Heard(f.gateway) {
			counted[f.gateway] = true
			counts[f.region]++
		}
	}
	if maps.Equal(counts, a.regionGateways) {
		return false
	}
	a.regionGateways = counts
	a.regionsVersion++
	return true
}

// encodeRegionGateways returns the numbers of gateways in the order of the regions. The caller
// must hold a.mu.
func (a *Agent) encodeRegionGateways() []*peerpb.RegionGateways {
	var encoded []*peerpb.RegionGateways
	for _, region := range slices.Sorted(maps.Keys(a.regionGateways)) {
		encoded = append(encoded, &peerpb.RegionGateways{Region: region, Count: uint32(a.regionGateways[region])})
	}
	return encoded
}
