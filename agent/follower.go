package agent

import (
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
}

func (f *follower) join() {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	f.agent.followers++
}

// leave forgets the gateway. When it follows by a newer stream already, its next
// message counts it again.
func (f *follower) leave() {
	f.agent.mu.Lock()
	defer f.agent.mu.Unlock()
	f.agent.followers--
	if f.gateway != "" {
		f.agent.divider.Remove(f.gateway)
	}
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
		f.take(message)
	}
}

func (f *follower) take(message *peerpb.GatewayNews) {
	a := f.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	f.gateway = message.GetGateway()
	if slots := message.GetFleet().GetSlots(); slots > 0 {
		a.divider.SetSlots(int(slots))
	}
	if want := message.GetWant(); want != nil {
		a.divider.Take(boottime.Now(), f.gateway, slotshare.Want{Calls: float64(want.GetCalls()), Open: int(want.GetOpen())})
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
