package agent

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

const (
	// newsInterval is the least time between two messages to a follower.
	newsInterval = 200 * time.Millisecond
	// nearLoadInterval and farLoadInterval are how often changes of the load alone
	// are told, to followers of this region and of others: they own the slots that
	// they fill, and answers tell the load as well.
	nearLoadInterval = 400 * time.Millisecond
	farLoadInterval  = 2 * time.Second
	// relaysInterval gathers changes of the relays, of which many come at once when
	// gateways start.
	relaysInterval = 400 * time.Millisecond
)

// follower is one gateway that follows the agent.
type follower struct {
	agent *Agent
	// gateway is its name and region where it stands, known from its first message.
	gateway, region string
	// relay is the gateway as a machine that holds chunks, nil when it does not.
	relay *peerpb.FleetMember
	// told is what it was told last, and when; toldRelays the same for the relays.
	told       *peerpb.EngineNews
	toldAt     time.Time
	toldRelays []*peerpb.FleetMember
	relaysAt   time.Time
}

// Follow implements peerpb.AgentServer.
func (a *Agent) Follow(stream grpc.BidiStreamingServer[peerpb.GatewayNews, peerpb.EngineNews]) error {
	f := &follower{agent: a}
	f.join()
	defer f.leave()
	failed := make(chan error, 1)
	go func() { failed <- f.receive(stream) }()
	for {
		news, changed := f.news()
		if news != nil {
			if err := stream.Send(news); err != nil {
				return err
			}
		}
		if err := kernel.Sleep(stream.Context(), newsInterval); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(f.pending()):
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

// leave forgets the gateway. When it follows by a newer stream already, its next
// message counts it again.
func (f *follower) leave() {
	a := f.agent
	a.mu.Lock()
	delete(a.followers, f)
	if f.gateway != "" {
		a.divider.Remove(f.gateway)
	}
	if f.relay != nil {
		a.tell(a.news)
	}
	relays := a.relays()
	a.mu.Unlock()
	a.loads.takeRelays(relays)
}

// relays lists the followers that hold chunks; the lock must be held.
func (a *Agent) relays() []*peerpb.FleetMember {
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
	return relays
}

// receive takes what the gateway tells until the stream ends.
func (f *follower) receive(stream grpc.BidiStreamingServer[peerpb.GatewayNews, peerpb.EngineNews]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if fleet := message.GetFleet(); fleet != nil {
			f.agent.loads.take(fleet)
		}
		if members := message.GetMembers(); members != nil {
			f.agent.loads.takeMembers(members.GetMembers())
		}
		if manifest := message.GetManifest(); manifest != nil {
			f.agent.loads.takeManifest(stream.Context(), manifest)
		}
		f.take(message)
	}
}

func (f *follower) take(message *peerpb.GatewayNews) {
	a := f.agent
	a.mu.Lock()
	if message.GetGateway() != "" {
		f.gateway, f.region = message.GetGateway(), message.GetRegion()
	}
	if slots := message.GetFleet().GetSlots(); slots > 0 {
		a.divider.SetSlots(int(slots))
	}
	if want := message.GetWant(); want != nil && f.gateway != "" {
		a.divider.SetDemand(boottime.Now(), f.gateway, slotshare.Demand{Calls: float64(want.GetCalls()), Open: int(want.GetOpen())})
	}
	changed := message.GetRelay() != nil && !proto.Equal(f.relay, message.GetRelay().GetMember())
	if changed {
		f.relay = message.GetRelay().GetMember()
		a.tell(a.news)
	}
	relays := a.relays()
	a.mu.Unlock()
	if changed {
		a.loads.takeRelays(relays)
	}
}

// news returns what the gateway is to be told, nil when nothing is due, and a
// channel that is closed when something has changed.
func (f *follower) news() (*peerpb.EngineNews, <-chan struct{}) {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	news := proto.CloneOf(a.news)
	if granted, counted := a.divider.Granted(f.gateway); counted {
		news.Divided, news.Granted = true, uint32(granted)
	}
	if !a.closesAt.IsZero() {
		news.ClosesInMs = uint32(max(time.Until(a.closesAt).Milliseconds(), 1))
	}
	now := time.Now()
	f.addRelays(now, news)
	if !f.due(now, news) {
		return nil, a.changed
	}
	f.told, f.toldAt = news, now
	return news, a.changed
}

// addRelays adds the relays when a gateway of this region does not know them.
func (f *follower) addRelays(now time.Time, news *peerpb.EngineNews) {
	relays := f.agent.relays()
	same := slices.EqualFunc(relays, f.toldRelays, func(x, y *peerpb.FleetMember) bool { return proto.Equal(x, y) })
	if same || f.region != string(f.agent.config.Region) || now.Sub(f.relaysAt) < relaysInterval {
		return
	}
	news.Relays = &peerpb.FleetMembers{Members: relays}
	f.toldRelays, f.relaysAt = relays, now
}

// due reports whether the gateway is told now: of the load alone from time to
// time, of all else at once.
func (f *follower) due(now time.Time, news *peerpb.EngineNews) bool {
	told := f.told
	switch {
	case told == nil || news.GetRelays() != nil || now.Sub(f.toldAt) >= f.loadInterval():
		return true
	case (told.GetClosesInMs() == 0) != (news.GetClosesInMs() == 0):
		return true
	}
	return told.GetUnreachable() != news.GetUnreachable() || told.GetBoot() != news.GetBoot() || told.GetLoading() != news.GetLoading() ||
		told.GetVersion() != news.GetVersion() || told.GetDivided() != news.GetDivided() || told.GetGranted() != news.GetGranted()
}

func (f *follower) loadInterval() time.Duration {
	if f.region == string(f.agent.config.Region) {
		return nearLoadInterval
	}
	return farLoadInterval
}

// pending returns when the load is to be told without another change.
func (f *follower) pending() time.Duration {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	if f.told != nil && f.told.GetRunning() == f.agent.news.GetRunning() && f.told.GetWaiting() == f.agent.news.GetWaiting() {
		return time.Hour
	}
	return max(f.loadInterval()-time.Since(f.toldAt), newsInterval)
}

// divide divides the engine's slots anew among the followers.
func (a *Agent) divide() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.divider.Divide(boottime.Now()) {
		a.tell(a.news)
	}
}
