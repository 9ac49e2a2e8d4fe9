// Package agent implements the process on a model engine's VM. It loads the declared
// weights into the engine, serves chunks to other agents, and reports the engine's
// status to gateways.
package agent

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/pacing"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/quarantine"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// EngineReport is a status report of the engine.
type EngineReport struct {
	// Boot is the time when the engine started, in Unix milliseconds.
	Boot             int64
	Running, Waiting int
	// Loading is set while the engine executes a load order.
	Loading bool
	Weights []fleet.LoadedLayers
	// Pace is above 1 for an engine that is slower than declared.
	Pace float64
	// Leaving is set if the engine is about to stop.
	Leaving bool
	// Orders is the number of load orders that the engine has begun since its start.
	Orders int64
}

// Engine is a client of the engine on the agent's VM.
type Engine interface {
	Report(ctx context.Context) (EngineReport, error)
}

// Staging is the staging area for chunks in the engine's host memory.
type Staging interface {
	transfer.Staging
	// SetManifest sets the manifest whose digests identify the staged chunks.
	SetManifest(manifest *core.Manifest)
}

// Config configures an Agent.
type Config struct {
	// EngineAddress is the address of the engine; it also identifies this VM.
	EngineAddress string
	Zone          core.ZoneID
	Region        core.RegionID
	// Listen is the listen address for the other processes of the system.
	Listen string
	// PeerConnections bounds the connections of other processes, 0 for a default.
	PeerConnections int
	// PeerPort is the port of other agents, on the IP addresses of their engines.
	PeerPort int
	// UploadRate limits all weight uploads on the VM's link, and FetchRate the transfer
	// of one chunk to this VM, in bytes per second.
	UploadRate, FetchRate int64
	// SwitchTime is the time after a declaration within which all engines must switch.
	SwitchTime  time.Duration
	StopTimeout time.Duration
	// StartSettle is how long after the start of this process the engine may still carry
	// out writes and orders of a former one on this VM, 0 if there was none.
	StartSettle time.Duration
	// MetricsListen is the listen address for metrics.
	MetricsListen string
	// Version returns the ID of a model's weights with a declared version number.
	Version func(model string, version int64) core.VersionID
}

// Intervals and limits of the agent.
const (
	// reportInterval is the time between two status polls of the engine.
	reportInterval = 100 * time.Millisecond
	// reportTimeout bounds a status poll; a live engine on the same VM answers within it.
	reportTimeout = 300 * time.Millisecond
	// spreadPolicy is the policy for weights that spread within seconds.
	spreadPolicy = "chunk_owner_quick"
	// partBytes is the part of a chunk sent in one message: 3.5 ms on a link of
	// 9.4 Mbit/s.
	partBytes = 4 << 10
	// uploadSlots is the number of concurrent chunk uploads. It is low so that each chunk
	// arrives early and its receiver can upload it in turn.
	uploadSlots = 3
)

// Agent is the process on an engine's VM. It implements the gRPC services of peers.
type Agent struct {
	peerpb.UnimplementedAgentServer
	peerpb.UnimplementedEndpointServer
	peerpb.UnimplementedPeerServer

	config   Config
	engine   Engine
	spreader *transfer.Spreader
	updater  *updater
	log      *log.Logger
	pool     *peers.Pool

	mu sync.Mutex
	// status is the status sent to followers; changed is closed when it is replaced.
	status  *peerpb.EngineNews
	changed chan struct{}
	// followers are the gateways that follow the agent.
	followers map[*follower]struct{}
	// relays are the followers that store chunks, sorted by address. relaysVersion counts
	// their changes.
	relays        []*peerpb.FleetMember
	relaysVersion int
	// regionGateways is how many gateways of each region have sent a message lately, and
	// regionsVersion counts its changes.
	regionGateways map[string]int
	regionsVersion int
	// loadPending is set while followers have not been woken for a change of the load alone,
	// loadWokenAt is when that was last done.
	loadPending bool
	loadWokenAt time.Time
	// divider divides the engine's slots among followers, quota the calls that it may
	// receive within a second.
	divider *slotshare.Divider
	quota   *startquota.Quota
	// pace limits the slots that divider divides.
	pace pace
	// revision and version are those of the declaration from which the slots and the limit
	// of call starts were taken.
	revision, version int64
	// switchAt is the time of the planned weight switch, 0 if none is planned.
	switchAt boottime.Instant
	// declared are the declared versions of each model. declaredChanges counts the changes
	// of their times.
	declared        map[string]*rollout.Declarations
	declaredChanges int
	// promptParts are the parts of prompts under which engines ended.
	promptParts *quarantine.Tracker
	// partsMemory is the memory of the gateways that send records of prompt parts.
	partsMemory quarantine.ToldMemory
	pauses      *boottime.PauseDetector
	// boot is the start time of the engine as of the last successful poll, 0 before it.
	boot int64
	// failedPolls is the number of consecutive status polls that failed.
	failedPolls int
}

// New returns an agent. It fails if the spreader rejects the configuration.
func New(config Config, engine Engine, staging Staging, loader Loader, origin transfer.WeightSource, pool *peers.Pool, logger *log.Logger) (*Agent, error) {
	a := &Agent{
		config: config, engine: engine, log: logger.WithPrefix("agent"), pool: pool,
		status: &peerpb.EngineNews{Engine: config.EngineAddress, Unreachable: true}, changed: make(chan struct{}),
		divider: slotshare.NewDivider(config.EngineAddress), quota: startquota.New(boottime.Now()), followers: map[*follower]struct{}{},
		pace:     pace{controller: pacing.New(boottime.Now())},
		declared: map[string]*rollout.Declarations{}, promptParts: quarantine.New(quarantine.Config{}), pauses: boottime.NewPauseDetector(boottime.Now),
	}
	gate := newStagingGate(staging, config.StartSettle)
	spreader, err := transfer.New(transfer.Config{
		Policy: spreadPolicy,
		Self:   selfMember(config),
		Origin: origin, Staging: gate, Dial: a.dial, Logger: logger, RegionRate: transfer.RecommendedRegionRate,
		UploadRate: config.UploadRate, FetchRate: config.FetchRate, PartBytes: partBytes, UploadSlots: uploadSlots,
	})
	if err != nil {
		return nil, err
	}
	a.spreader = spreader
	a.updater = newUpdater(config, spreader, gate, loader, origin, logger)
	a.updater.onPlan, a.updater.supersededAt = a.setSwitchTime, a.supersededAt
	return a, nil
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.config.Listen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(peers.Security{}, a.log)
	peerpb.RegisterAgentServer(server, a)
	peerpb.RegisterEndpointServer(server, a)
	peerpb.RegisterPeerServer(server, a)
	var process kernel.Process
	process.AddDuty("grpc", func(context.Context) error {
		return server.Serve(peers.Limit(listener, a.config.PeerConnections, a.log))
	})
	process.AddDuty("metrics", func(ctx context.Context) error { return metrics.Serve(ctx, a.config.MetricsListen, a.log) })
	process.AddDuty("peers", a.pool.Run)
	process.AddDuty("pauses", func(ctx context.Context) error { a.pauses.Run(ctx); return ctx.Err() })
	process.AddDuty("spread", a.spreader.Run)
	process.AddDuty("loads", a.updater.run)
	process.AddDuty("engine", a.pollEngine)
	process.AddStop("grpc", func(context.Context) error { server.Stop(); return nil })
	a.log.Info("Serving.", "engine", a.config.EngineAddress, "peer", a.config.Listen)
	err = process.Run(ctx, a.config.StopTimeout)
	a.log.Info("Stopped.", "err", err)
	return err
}

// pollEngine polls the status of the engine until ctx ends.
func (a *Agent) pollEngine(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		requestedAt := boottime.Now()
		report, err := a.engine.Report(callCtx)
		cancel()
		if err != nil {
			a.pollFailed(err, requestedAt)
		} else {
			a.pollSucceeded(report, requestedAt)
		}
		a.updater.queueReport(ctx, report, requestedAt, err)
		a.divideSlots()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// unreachableAfter is the number of consecutive failed polls after which the engine is
// reported as unreachable.
const unreachableAfter = 2

func (a *Agent) pollFailed(err error, requestedAt boottime.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paceFailed(requestedAt)
	a.failedPolls++
	if a.failedPolls >= unreachableAfter && !a.status.GetUnreachable() {
		a.log.Warn("The engine does not respond; gateways are notified that it is unreachable.", "err", err)
		a.publish(&peerpb.EngineNews{Engine: a.config.EngineAddress, Boot: a.boot, Unreachable: true})
	}
}

func (a *Agent) pollSucceeded(report EngineReport, requestedAt boottime.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paceReport(report, requestedAt)
	a.failedPolls = 0
	if a.status.GetUnreachable() {
		a.log.Info("The engine responds.", "boot", report.Boot, "weights", report.Weights)
	}
	version := completeVersion(report, a.updater.layers())
	if a.boot != report.Boot && (a.boot != 0 || version == 0) {
		a.quota.SetUnprecedented()
	}
	a.boot = report.Boot
	next := &peerpb.EngineNews{
		Engine: a.config.EngineAddress, Boot: report.Boot, Running: uint32(report.Running), Waiting: uint32(report.Waiting),
		Loading: report.Loading, Version: version, Leaving: report.Leaving, Pace: reportedPace(report.Pace),
	}
	if next.GetLeaving() && !(a.status.GetLeaving() && a.status.GetBoot() == next.GetBoot()) {
		a.log.Info("The engine is about to stop; gateways are notified.", "boot", report.Boot, "running", report.Running, "waiting", report.Waiting)
	}
	if !sameButLoad(a.status, next) {
		a.publish(next)
		return
	}
	a.loadPending = a.loadPending || !sameLoad(a.status, next)
	a.status = next
	if a.loadPending && time.Since(a.loadWokenAt) >= localLoadInterval {
		a.loadPending, a.loadWokenAt = false, time.Now()
		a.publish(next)
	}
}

// setSwitchTime publishes the time of the planned weight switch, 0 for none.
func (a *Agent) setSwitchTime(at boottime.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.switchAt = at
	a.publish(a.status)
}

// completeVersion returns the version whose layers are all loaded by the engine, or 0.
func completeVersion(report EngineReport, layers int) int64 {
	endpoint := fleet.Endpoint{Weights: report.Weights}
	return endpoint.CompleteVersion(layers)
}

// sameButLoad reports whether two statuses differ in the load at most. No follower is sent
// that more often than every localLoadInterval.
func sameButLoad(a, b *peerpb.EngineNews) bool {
	return a.GetUnreachable() == b.GetUnreachable() && a.GetBoot() == b.GetBoot() && a.GetLoading() == b.GetLoading() &&
		a.GetVersion() == b.GetVersion() && a.GetLeaving() == b.GetLeaving() && a.GetPace() == b.GetPace()
}

const (
	// paceStep is the resolution of the pace that followers are told. They are sent each change at
	// once, so that smaller ones are left out.
	paceStep = 0.25
	// maxPace is the largest pace that an engine can plausibly report.
	maxPace = 100
)

// reportedPace returns the pace that followers are told, 0 if the engine's report is not plausible.
func reportedPace(pace float64) float32 {
	if !(pace > 0 && pace <= maxPace) { // also false for NaN
		return 0
	}
	return float32(max(math.Round(pace/paceStep), 1) * paceStep)
}

func sameLoad(a, b *peerpb.EngineNews) bool {
	return a.GetRunning() == b.GetRunning() && a.GetWaiting() == b.GetWaiting()
}

// publish replaces the status and wakes the followers. The caller must hold a.mu.
func (a *Agent) publish(status *peerpb.EngineNews) {
	a.status = status
	close(a.changed)
	a.changed = make(chan struct{})
}

// Timeline implements peerpb.PeerServer. The connection probe calls it; agents record
// no timeline, so the reply is empty.
func (a *Agent) Timeline(context.Context, *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return &peerpb.TimelineReply{}, nil
}

// FetchChunk implements peerpb.EndpointServer.
func (a *Agent) FetchChunk(request *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	return a.spreader.ServeChunk(request, stream)
}

// dial returns a client of the agent on another VM.
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

// peerAddress returns the address of the agent on an engine's VM.
func peerAddress(engine string, port int) (string, error) {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return "", fmt.Errorf("engine %q: %w", engine, err)
	}
	return net.JoinHostPort(host, fmt.Sprint(port)), nil
}
