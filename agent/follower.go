package agent

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

// follower is one gateway that follows the agent.
type follower struct {
	agent *Agent
	// gateway is its name, known from its first message.
	gateway string
	// relay is the gateway as a machine that holds chunks, nil when it does not.
	relay *peerpb.FleetMember
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
		if manifest := message.GetManifest(); manifest != nil {
			f.agent.loads.takeManifest(stream.Context(), manifest)
		}
		f.take(message)
	}
}

func (f *follower) take(message *peerpb.GatewayNews) {
	a := f.agent
	a.mu.Lock()
	f.gateway = message.GetGateway()
	if slots := message.GetFleet().GetSlots(); slots > 0 {
		a.divider.SetSlots(int(slots))
	}
	if want := message.GetWant(); want != nil {
		a.divider.Take(boottime.Now(), f.gateway, slotshare.Want{Calls: float64(want.GetCalls()), Open: int(want.GetOpen())})
	}
	changed := !proto.Equal(f.relay, message.GetRelay())
	f.relay = message.GetRelay()
	if changed {
		a.tell(a.news)
	}
	relays := a.relays()
	a.mu.Unlock()
	if changed {
		a.loads.takeRelays(relays)
	}
}

// news returns what the gateway is to be told, and a channel that is closed when
// it has changed.
func (f *follower) news() (*peerpb.EngineNews, <-chan struct{}) {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	news := proto.CloneOf(a.news)
	if granted, counted := a.divider.Granted(f.gateway); counted {
		news.Divided, news.Granted = true, uint32(granted)
	}
	news.Relays = a.relays()
	if !a.closesAt.IsZero() {
		news.ClosesInMs = uint32(max(time.Until(a.closesAt).Milliseconds(), 1))
	}
	return news, a.changed
}

// divide divides the engine's slots anew among the followers.
func (a *Agent) divide() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.divider.Divide(boottime.Now()) {
		a.tell(a.news)
	}
}
