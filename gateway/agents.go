package gateway

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

const (
	// agentRetry is the wait before an agent is followed again.
	agentRetry = 300 * time.Millisecond
	// wantInterval is how often agents of this region are told what this process
	// wants of their engines; a slot is in use for about a second.
	wantInterval = 200 * time.Millisecond
	// wantRepeat is how often an agent is told what has not changed, and one of
	// another region what has.
	wantRepeat = time.Second
	// wantChange is the relative change of a want that is told before it is repeated.
	wantChange = 0.15
	// farSuspectAfter is how long an agent of another region may tell nothing before
	// its connection is probed; it tells its load each 2 s.
	farSuspectAfter = 2500 * time.Millisecond
	// tellers is how many gateways of a region tell an agent which machines serve
	// the same model.
	tellers = 2
)

// agents follows the agents beside all engines of the deployment.
type agents struct {
	// name is that of this process.
	name      string
	pool      *peers.Pool
	port      int
	regions   map[core.ZoneID]core.RegionID
	scheduler *scheduler
	gateway   *Gateway

	mu      sync.Mutex
	ctx     context.Context
	current map[string]*followed
	// relays are all gateways that any agent of this region knows to hold chunks.
	relays []*peerpb.FleetMember
}

// followed is one engine whose agent is followed.
type followed struct {
	address string
	cancel  context.CancelFunc
	// sameRegion says that the engine stands in this process's region.
	sameRegion bool
	// news, engines and want are what the agent is told, changed is closed when one
	// of them is replaced.
	news    *peerpb.FleetNews
	engines *peerpb.FleetMembers
	want    *peerpb.SlotWant
	wantAt  time.Time
	changed chan struct{}
	// relays are the gateways that hold chunks, as the agent knows them.
	relays []*peerpb.FleetMember
	// version is the newest that the engine holds whole; heard says that its agent
	// has told.
	version int64
	heard   bool
}

// wakeAll has all agents told of what this process has learned.
func (a *agents) wakeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.current {
		f.wake()
	}
}

// wake tells the sender of a change; the lock must be held.
func (f *followed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// run follows agents until ctx ends.
func (a *agents) run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.setView(a.gateway.holder.View())
	return a.pool.Run(ctx)
}

// setView starts and ends followers as engines come and go, and tells the news.
func (a *agents) setView(view *fleet.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || view.Deployment == nil {
		return
	}
	wanted := a.wanted(view)
	for address, f := range a.current {
		if wanted[address] == nil {
			f.cancel()
			delete(a.current, address)
		}
	}
	for address, told := range wanted {
		f := a.current[address]
		if f == nil {
			ctx, cancel := context.WithCancel(a.ctx)
			f = &followed{address: address, cancel: cancel, news: told.news, engines: told.engines, changed: make(chan struct{}), sameRegion: a.inOwnRegion(told.engines, address)}
			a.current[address] = f
			go a.follow(ctx, address, f)
			continue
		}
		if !proto.Equal(f.news, told.news) || !proto.Equal(f.engines, told.engines) {
			f.news, f.engines = told.news, told.engines
			f.wake()
		}
	}
}

func (a *agents) inOwnRegion(engines *peerpb.FleetMembers, address string) bool {
	return slices.ContainsFunc(engines.GetMembers(), func(m *peerpb.FleetMember) bool {
		return m.GetAddress() == address && m.GetRegion() == string(a.gateway.config.Relay.Region)
	})
}

// holders returns the engines of this region that serve a version, by their
// addresses, and whether all agents of the region have told.
func (a *agents) holders(version int64) (holders map[string]bool, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	holders, complete = map[string]bool{}, true
	for address, f := range a.current {
		if !f.sameRegion {
			continue
		}
		complete = complete && f.heard
		if f.version == version {
			holders[address] = true
		}
	}
	return holders, complete
}

// serviceNews is what the agents of a service are told.
type serviceNews struct {
	news    *peerpb.FleetNews
	engines *peerpb.FleetMembers
}

// wanted returns the engines by their addresses, with what their agents are told.
func (a *agents) wanted(view *fleet.View) map[string]*serviceNews {
	byService := map[core.ServiceID][]*fleet.Endpoint{}
	for _, endpoint := range view.Endpoints {
		if view.Deployment.Services[endpoint.Service].Engine != nil {
			byService[endpoint.Service] = append(byService[endpoint.Service], endpoint)
		}
	}
	wanted := map[string]*serviceNews{}
	for service, endpoints := range byService {
		told := &serviceNews{news: a.newsOf(view, service), engines: membersOf(endpoints)}
		a.gateway.relay.take(told.news, told.engines.GetMembers())
		for _, endpoint := range endpoints {
			wanted[endpoint.Address] = told
		}
	}
	return wanted
}

func (a *agents) newsOf(view *fleet.View, service core.ServiceID) *peerpb.FleetNews {
	profile := view.Deployment.Services[service].Engine
	news := &peerpb.FleetNews{Layers: uint32(profile.Layers), Chunks: uint32(profile.Chunks), ChunkBytes: uint64(profile.ChunkBytes), Slots: uint32(profile.BatchSlots)}
	news.Model, news.Version = view.TargetVersion(service, profile)
	for _, backend := range view.Deployment.Services {
		if backend.Origin != "" {
			news.Origin, news.OriginRegion = backend.Origin, string(a.regions[backend.OriginZone])
		}
	}
	return news
}

func membersOf(endpoints []*fleet.Endpoint) *peerpb.FleetMembers {
	slices.SortFunc(endpoints, func(x, y *fleet.Endpoint) int { return cmp.Compare(x.Address, y.Address) })
	members := &peerpb.FleetMembers{}
	for _, endpoint := range endpoints {
		members.Members = append(members.Members, &peerpb.FleetMember{Address: endpoint.Address, Zone: string(endpoint.Zone), Region: string(endpoint.Region)})
	}
	return members
}

// follow keeps a stream to one agent until ctx ends.
func (a *agents) follow(ctx context.Context, engine string, f *followed) {
	away := false
	for ctx.Err() == nil {
		err := a.stream(ctx, engine, f, &away)
		if ctx.Err() != nil {
			return
		}
		if !away {
			away = true
			a.gateway.log.Warn("The agent is lost.", "engine", engine, "err", err)
		}
		if kernel.Sleep(ctx, agentRetry) != nil {
			return
		}
	}
}

func (a *agents) stream(ctx context.Context, engine string, f *followed, away *bool) error {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return err
	}
	conn, err := a.pool.Get(net.JoinHostPort(host, strconv.Itoa(a.port)))
	if err != nil {
		return err
	}
	if !f.sameRegion {
		conn.SetSuspectAfter(farSuspectAfter)
	}
	callCtx, end := conn.Begin(ctx)
	defer end()
	stream, err := conn.Agent().Follow(callCtx)
	if err != nil {
		return err
	}
	go a.tell(stream, f)
	for {
		news, err := stream.Recv()
		if err != nil {
			return err
		}
		conn.Progress()
		if *away {
			*away = false
			a.gateway.log.Info("The agent is followed again.", "engine", engine)
		}
		a.scheduler.engineNews(news)
		a.note(f, news)
	}
}

// note keeps what an agent tells beside the load, and tells the own relay of all
// gateways that any agent knows to hold chunks.
func (a *agents) note(f *followed, news *peerpb.EngineNews) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f.version, f.heard = news.GetVersion(), true
	if news.GetRelays() == nil {
		return
	}
	f.relays = news.GetRelays().GetMembers()
	byAddress := map[string]*peerpb.FleetMember{}
	for _, other := range a.current {
		for _, m := range other.relays {
			byAddress[m.GetAddress()] = m
		}
	}
	all := make([]*peerpb.FleetMember, 0, len(byAddress))
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		all = append(all, byAddress[address])
	}
	a.gateway.relay.takeRelays(all)
	a.scheduler.lender.setPeers(all)
	a.relays = all
	for _, other := range a.current {
		other.wake()
	}
}

// tell sends what changes until the stream ends; the receiving side reports why.
func (a *agents) tell(stream grpc.BidiStreamingClient[peerpb.GatewayNews, peerpb.EngineNews], f *followed) {
	told := &peerpb.GatewayNews{}
	for {
		message, changed := a.nextMessage(f, told)
		if message != nil && stream.Send(message) != nil {
			return
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return
		}
	}
}

// nextMessage returns what an agent does not know yet, nil when it knows all, and
// a channel that is closed when something changes. What it returns is noted in told.
func (a *agents) nextMessage(f *followed, told *peerpb.GatewayNews) (*peerpb.GatewayNews, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	message := &peerpb.GatewayNews{}
	if told.Gateway == "" {
		message.Gateway, message.Region = a.name, string(a.gateway.config.Relay.Region)
		told.Gateway = a.name
	}
	if f.news != told.Fleet {
		message.Fleet, told.Fleet = f.news, f.news
	}
	if f.engines != told.Members && a.tells(f) {
		message.Members, told.Members = f.engines, f.engines
	}
	if f.want != told.Want {
		message.Want, told.Want = f.want, f.want
	}
	if state := (&peerpb.RelayState{Member: a.gateway.relay.member(f.news)}); !proto.Equal(state, told.Relay) {
		message.Relay, told.Relay = state, state
	}
	if known := a.gateway.relay.manifestOf(f.news); f.sameRegion && known.GetVersion() != told.Manifest.GetVersion() {
		message.Manifest, told.Manifest = known, known
	}
	if proto.Equal(message, &peerpb.GatewayNews{}) {
		return nil, f.changed
	}
	return message, f.changed
}

// tells reports whether this process is one of those that tell an agent which
// machines serve the same model: the first of its region by hash, so that the list
// is not sent by all.
func (a *agents) tells(f *followed) bool {
	if !f.sameRegion {
		return false
	}
	before := 0
	own := xxh3.HashString(a.gateway.config.Relay.Listen + f.address)
	for _, m := range a.relays {
		if m.GetRegion() == string(a.gateway.config.Relay.Region) && xxh3.HashString(m.GetAddress()+f.address) < own {
			before++
		}
	}
	return before < tellers
}

// tellWants tells agents what this process wants of their engines until ctx ends.
func (a *agents) tellWants(ctx context.Context) error {
	ticker := time.NewTicker(wantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.setWants(a.scheduler.wants())
		}
	}
}

func (a *agents) setWants(wants map[string]slotshare.Demand) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for address, f := range a.current {
		want, known := wants[address]
		if !known || f.want != nil && now.Sub(f.wantAt) < wantRepeat && (!f.sameRegion || !wantChanged(f.want, want)) {
			continue
		}
		f.want, f.wantAt = &peerpb.SlotWant{Calls: float32(want.Calls), Open: uint32(want.Open)}, now
		f.wake()
	}
}

func wantChanged(told *peerpb.SlotWant, want slotshare.Demand) bool {
	return int(told.GetOpen()) != want.Open || math.Abs(float64(told.GetCalls())-want.Calls) > wantChange*want.Calls
}

func (s *scheduler) engineNews(news *peerpb.EngineNews) {
	s.update(func(p *placement.Placer, now boottime.Instant) {
		lost := p.UpdateEngine(placement.EngineStatus{
			Address: news.GetEngine(), Boot: news.GetBoot(), Running: int(news.GetRunning()), Waiting: int(news.GetWaiting()),
			Loading: news.GetLoading(), Version: news.GetVersion(), Unreachable: news.GetUnreachable(), At: now,
			Granted: grantedSlots(news), ClosesAt: closesAt(now, news),
		})
		for _, ticket := range lost {
			if abandon, open := s.open[ticket]; open {
				abandon(errEndpointLost)
			}
		}
	})
}

// grantedSlots returns the slots that an agent lets this process fill, negative
// when it has not divided them.
func grantedSlots(news *peerpb.EngineNews) int {
	if !news.GetDivided() {
		return -1
	}
	return int(news.GetGranted())
}

// closesAt returns when an engine will have other weights loaded, 0 when that is
// not planned.
func closesAt(now boottime.Instant, news *peerpb.EngineNews) boottime.Instant {
	if news.GetClosesInMs() == 0 {
		return 0
	}
	return now.Add(time.Duration(news.GetClosesInMs()) * time.Millisecond)
}
