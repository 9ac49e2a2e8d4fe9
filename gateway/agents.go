package gateway

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
)

const (
	// agentRetry is the wait before an agent is followed again.
	agentRetry = 300 * time.Millisecond
)

// agents follows the agents beside all engines of the deployment.
type agents struct {
	pool      *peers.Pool
	port      int
	regions   map[core.ZoneID]core.RegionID
	scheduler *scheduler
	gateway   *Gateway

	mu      sync.Mutex
	ctx     context.Context
	current map[string]*followed
}

// followed is one engine whose agent is followed.
type followed struct {
	cancel context.CancelFunc
	// news is what the agent is told, changed is closed when it is replaced.
	news    *peerpb.FleetNews
	changed chan struct{}
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
	for address, news := range wanted {
		f := a.current[address]
		if f == nil {
			ctx, cancel := context.WithCancel(a.ctx)
			f = &followed{cancel: cancel, news: news, changed: make(chan struct{})}
			a.current[address] = f
			go a.follow(ctx, address, f)
			continue
		}
		if !proto.Equal(f.news, news) {
			f.news = news
			close(f.changed)
			f.changed = make(chan struct{})
		}
	}
}

// wanted returns the engines by their addresses, with what their agents are told.
func (a *agents) wanted(view *fleet.View) map[string]*peerpb.FleetNews {
	engines := map[core.ServiceID][]*fleet.Endpoint{}
	for _, endpoint := range view.Endpoints {
		if view.Deployment.Services[endpoint.Service].Engine != nil {
			engines[endpoint.Service] = append(engines[endpoint.Service], endpoint)
		}
	}
	wanted := map[string]*peerpb.FleetNews{}
	for service, endpoints := range engines {
		backend := view.Deployment.Services[service]
		news := a.newsOf(view, backend.Engine, endpoints)
		for _, endpoint := range endpoints {
			wanted[endpoint.Address] = news
		}
	}
	return wanted
}

func (a *agents) newsOf(view *fleet.View, profile *catalogue.EngineProfile, engines []*fleet.Endpoint) *peerpb.FleetNews {
	news := &peerpb.FleetNews{Layers: uint32(profile.Layers), Chunks: uint32(profile.Chunks), ChunkBytes: uint64(profile.ChunkBytes)}
	news.Model, news.Version = view.Intended(engines[0].Service, profile)
	for _, backend := range view.Deployment.Services {
		if backend.Origin != "" {
			news.Origin, news.OriginRegion = backend.Origin, string(a.regions[backend.OriginZone])
		}
	}
	slices.SortFunc(engines, func(x, y *fleet.Endpoint) int { return cmp.Compare(x.Address, y.Address) })
	for _, endpoint := range engines {
		news.Members = append(news.Members, &peerpb.FleetMember{Engine: endpoint.Address, Zone: string(endpoint.Zone), Region: string(endpoint.Region)})
	}
	return news
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
	callCtx, end := conn.Begin(ctx)
	defer end()
	stream, err := conn.Agent().Follow(callCtx)
	if err != nil {
		return err
	}
	go func() {
		for {
			a.mu.Lock()
			news, changed := f.news, f.changed
			a.mu.Unlock()
			if stream.Send(news) != nil {
				return // the receiving side reports the error
			}
			select {
			case <-changed:
			case <-stream.Context().Done():
				return
			}
		}
	}()
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
	}
}

func (s *scheduler) engineNews(news *peerpb.EngineNews) {
	s.update(func(p *placement.Placer, now boottime.Instant) {
		lost := p.EngineNews(placement.EngineNews{
			Address: news.GetEngine(), Boot: news.GetBoot(), Running: int(news.GetRunning()), Waiting: int(news.GetWaiting()),
			Loading: news.GetLoading(), Version: news.GetVersion(), Unreachable: news.GetUnreachable(), At: now,
		})
		for _, ticket := range lost {
			if abandon, open := s.open[ticket]; open {
				abandon(errEndpointLost)
			}
		}
	})
}
