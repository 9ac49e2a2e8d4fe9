// Package agent is the process beside a model engine: it brings the declared
// weights to the engine, passes chunks on to other agents, and tells entry
// processes what the engine does.
package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// EngineReport is what the engine says of itself.
type EngineReport struct {
	// Boot is when it started, in Unix milliseconds.
	Boot             int64
	Running, Waiting int
	// Loading says that a load order is being carried out.
	Loading bool
	Weights []fleet.LoadedLayers
	// Pace is over 1 on an engine that is slower than declared.
	Pace float64
}

// Engine is the engine beside the agent.
type Engine interface {
	Report(ctx context.Context) (EngineReport, error)
}

// Staging is the engine's host memory for chunks.
type Staging interface {
	transfer.Staging
	// SetManifest names the manifest by whose digests staged chunks are told.
	SetManifest(manifest *core.Manifest)
}

// Config configures an Agent.
type Config struct {
	// EngineAddress names the engine, and this machine.
	EngineAddress string
	Zone          core.ZoneID
	Region        core.RegionID
	// Listen takes the other processes of the system.
	Listen string
	// PeerPort is the port of other agents, on the IP numbers of their engines.
	PeerPort int
	// UploadRate is what weights may use of the VM's link, in bytes a second, and
	// FetchRate what one chunk under way to it may use.
	UploadRate, FetchRate int64
	// SwitchTime is how long after a declaration the last engine must have changed.
	SwitchTime  time.Duration
	StopTimeout time.Duration
	// MetricsListen serves counters and histograms.
	MetricsListen string
	// Version names the weights of a model with a declared number.
	Version func(model string, version int64) core.VersionID
}

// Times of the agent.
const (
	// reportInterval is how often the engine is looked at.
	reportInterval = 100 * time.Millisecond
	// reportTimeout is how long a live engine on the same VM may take to answer.
	reportTimeout = 300 * time.Millisecond
	// spreadPolicy is for weights that spread within seconds.
	spreadPolicy = "chunk_owner_quick"
	// partBytes is how much of a chunk is sent at once: 3.5 ms of a link of 9.4 Mbit/s.
	partBytes = 4 << 10
	// uploadSlots is how many chunks are sent at once: few, so that each arrives
	// early and can be passed on.
	uploadSlots = 3
)

// Agent is the process beside an engine. Its exported methods serve gRPC calls.
type Agent struct {
	peerpb.UnimplementedAgentServer
	peerpb.UnimplementedEndpointServer
	peerpb.UnimplementedPeerServer

	config   Config
	engine   Engine
	spreader *transfer.Spreader
	loads    *loads
	log      *log.Logger
	pool     *peers.Pool

	mu sync.Mutex
	// news is what followers are told, changed is closed when it is replaced.
	news    *peerpb.EngineNews
	changed chan struct{}
	// followers are the gateways that follow the agent.
	followers map[*follower]struct{}
	// divider divides the engine's slots among followers.
	divider *slotshare.Divider
	// closesAt is when the engine will have other weights loaded, zero when none
	// are planned.
	closesAt time.Time
	// unanswered counts the looks at the engine in a row that had no answer.
	unanswered int
}

// New joins the parts of an agent.
func New(config Config, engine Engine, staging Staging, loader Loader, origin transfer.WeightSource, pool *peers.Pool, logger *log.Logger) (*Agent, error) {
	a := &Agent{
		config: config, engine: engine, log: logger.WithPrefix("agent"), pool: pool,
		news: &peerpb.EngineNews{Engine: config.EngineAddress, Unreachable: true}, changed: make(chan struct{}),
		divider: slotshare.NewDivider(config.EngineAddress), followers: map[*follower]struct{}{},
	}
	spreader, err := transfer.New(transfer.Config{
		Policy: spreadPolicy,
		Self:   spreadSelf(config),
		Origin: origin, Staging: staging, Dial: a.dial, Logger: logger, RegionRate: transfer.RecommendedRegionRate,
		UploadRate: config.UploadRate, FetchRate: config.FetchRate, PartBytes: partBytes, UploadSlots: uploadSlots,
	})
	if err != nil {
		return nil, err
	}
	a.spreader = spreader
	a.loads = newLoads(config, spreader, staging, loader, origin, logger)
	a.loads.onPlan = a.setClosing
	return a, nil
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(peers.Security{})
	peerpb.RegisterAgentServer(server, a)
	peerpb.RegisterEndpointServer(server, a)
	peerpb.RegisterPeerServer(server, a)
	var process kernel.Process
	process.AddDuty("grpc", func(context.Context) error { return server.Serve(listener) })
	process.AddDuty("metrics", func(ctx context.Context) error { return metrics.Serve(ctx, a.config.MetricsListen, a.log) })
	process.AddDuty("peers", a.pool.Run)
	process.AddDuty("spread", a.spreader.Run)
	process.AddDuty("loads", a.loads.run)
	process.AddDuty("engine", a.watchEngine)
	process.AddStop("grpc", func(context.Context) error { server.Stop(); return nil })
	a.log.Info("Serving.", "engine", a.config.EngineAddress, "peer", a.config.Listen)
	err = process.Run(ctx, a.config.StopTimeout)
	a.log.Info("Stopped.", "err", err)
	return err
}

// watchEngine looks at the engine until ctx ends.
func (a *Agent) watchEngine(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		report, err := a.engine.Report(callCtx)
		cancel()
		if err != nil {
			a.engineLost(err)
		} else {
			a.engineSeen(report)
		}
		a.loads.see(ctx, report, err)
		a.divide()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// unreachableAfter is how many looks in a row an engine may leave unanswered.
const unreachableAfter = 2

func (a *Agent) engineLost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered++
	if a.unanswered >= unreachableAfter && !a.news.GetUnreachable() {
		a.log.Warn("The engine does not answer.", "err", err)
		a.tell(&peerpb.EngineNews{Engine: a.config.EngineAddress, Unreachable: true})
	}
}

func (a *Agent) engineSeen(report EngineReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = 0
	if a.news.GetUnreachable() {
		a.log.Info("The engine answers.", "boot", report.Boot, "weights", report.Weights)
	}
	next := &peerpb.EngineNews{
		Engine: a.config.EngineAddress, Boot: report.Boot, Running: uint32(report.Running), Waiting: uint32(report.Waiting),
		Loading: report.Loading, Version: wholeVersion(report, a.loads.layers()),
	}
	if !sameNews(a.news, next) {
		a.tell(next)
	}
}

// setClosing has gateways told when the engine will have other weights loaded.
func (a *Agent) setClosing(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closesAt = at
	a.tell(a.news)
}

func wholeVersion(report EngineReport, layers int) int64 {
	endpoint := fleet.Endpoint{Weights: report.Weights}
	return endpoint.CompleteVersion(layers)
}

func sameNews(a, b *peerpb.EngineNews) bool {
	return a.GetUnreachable() == b.GetUnreachable() && a.GetBoot() == b.GetBoot() && a.GetRunning() == b.GetRunning() &&
		a.GetWaiting() == b.GetWaiting() && a.GetLoading() == b.GetLoading() && a.GetVersion() == b.GetVersion()
}

// tell replaces the news; the lock must be held.
func (a *Agent) tell(news *peerpb.EngineNews) {
	a.news = news
	close(a.changed)
	a.changed = make(chan struct{})
}

// Timeline answers the probe of connections; agents keep no time line.
func (a *Agent) Timeline(context.Context, *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return &peerpb.TimelineReply{}, nil
}

// FetchChunk implements peerpb.EndpointServer.
func (a *Agent) FetchChunk(request *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	return a.spreader.ServeChunk(request, stream)
}

// dial returns a client of another agent.
func (a *Agent) dial(vm core.VMID) (peerpb.EndpointClient, error) {
	address, err := peerAddress(string(vm), a.config.PeerPort)
	if err != nil {
		return nil, err
	}
	conn, err := a.pool.Get(address)
	if err != nil {
		return nil, err
	}
	return conn.Endpoint(), nil
}

// peerAddress is the address of the agent beside an engine.
func peerAddress(engine string, port int) (string, error) {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return "", fmt.Errorf("engine %q: %w", engine, err)
	}
	return net.JoinHostPort(host, fmt.Sprint(port)), nil
}
