package endpoint

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/adapters/service"
	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/goruntime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// leaveNotice is the time for the entries to be notified that the endpoint leaves: two
// rounds of the exchange.
const leaveNotice = 2 * node.ExchangeInterval

// Config is the configuration of an endpoint process.
type Config struct {
	// Exactly one of Pool and Service is set.
	Pool    core.PoolID
	Service core.ServiceID
	// PeerListen is the address of the gRPC listener.
	PeerListen string
	// StopTimeout is the maximum duration of a graceful shutdown.
	StopTimeout time.Duration
	// Runtime limits the resources used by the Go runtime.
	Runtime goruntime.Settings
}

// Process is the endpoint process. Apart from Run, its exported methods implement the
// gRPC service.
type Process struct {
	peerpb.UnimplementedEndpointServer

	config   Config
	node     *node.Node
	log      *log.Logger
	gate     *gate.SharedGate
	engine   *engine.Client
	service  *service.Client
	ledger   claims.Ledger
	spreader *transfer.Spreader
	weights  *weights
	// cache holds the events of the engine's prefix cache.
	cache cacheLog

	// keys counts the open requests per idempotency key.
	keys openKeys
	// running tracks the non-idempotent calls that the service is executing.
	running sync.WaitGroup

	// gateMu serializes opening and closing the gate.
	gateMu sync.Mutex

	mu       sync.Mutex
	stopping bool
	reporter reporter
}

// New returns an endpoint process built from its parts.
func New(config Config, n *node.Node, shared *gate.SharedGate, engineClient *engine.Client, serviceClient *service.Client, ledger claims.Ledger, spreader *transfer.Spreader, source ManifestSource, fences FenceStore) *Process {
	p := &Process{
		config: config, node: n, log: n.Log.WithPrefix("endpoint"), gate: shared,
		engine: engineClient, service: serviceClient, ledger: ledger, spreader: spreader,
	}
	if config.Pool != "" {
		p.weights = newWeights(p, source, fences)
	}
	n.SetEndpointSource(p.state)
	n.OnChange(p.applyView)
	return p
}

// Run serves until ctx is done and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.config.PeerListen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(p.node.Security, p.log)
	peerpb.RegisterEndpointServer(server, p)
	peerpb.RegisterPeerServer(server, p.node)
	var process kernel.Process
	process.AddDuty("runtime", p.config.Runtime.Run)
	p.node.AddDuties(&process)
	process.AddDuty("claims", p.ledger.Maintain)
	process.AddDuty("grpc", func(context.Context) error { return server.Serve(peers.Limit(listener, 0, p.log)) })
	if p.weights != nil {
		process.AddDuty("spread", p.spreader.Run)
		process.AddDuty("region links", p.spreader.Govern)
		process.AddDuty("weights", p.weights.run)
		process.AddDuty("engine", p.weights.pollEngine)
		process.AddDuty("cache events", p.followCache)
	}
	process.AddStop("leave", p.announceLeaving)
	process.AddStop("drain", p.gate.Drain)
	process.AddStop("running calls", p.awaitRunning)
	process.AddStop("claims", p.ledger.Close)
	process.AddStop("grpc", func(stopCtx context.Context) error { return stopServer(stopCtx, server) })
	p.node.Recorder.Add(timeline.KindProcess, "", string(p.node.VM), "Endpoint process started.")
	p.log.Info("Serving.", "vm", p.node.VM, "zone", p.node.Zone, "peer", p.config.PeerListen)
	err = process.Run(ctx, p.config.StopTimeout)
	p.log.Info("Stopped.", "err", err)
	return err
}

// announceLeaving announces that this endpoint accepts no new work and waits until the
// entries have been notified.
func (p *Process) announceLeaving(ctx context.Context) error {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.updateGate()
	p.node.Recorder.Add(timeline.KindProcess, "", string(p.node.VM), "Endpoint process leaves.")
	p.node.Trigger()
	_ = kernel.Sleep(ctx, leaveNotice) // the shutdown continues even if ctx expires
	return nil
}

// awaitRunning waits for running calls, including those whose caller has disconnected.
func (p *Process) awaitRunning(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for running calls: %w", ctx.Err())
	}
}

// stopServer stops the gRPC server gracefully. If ctx expires, it closes the remaining
// connections.
func stopServer(ctx context.Context, server *grpc.Server) error {
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		server.Stop()
		return fmt.Errorf("stop gRPC server: %w", ctx.Err())
	}
}

// applyView applies a new configuration and VM list to the gate and the weights.
func (p *Process) applyView(view *node.View) {
	p.gate.SetTeams(view.TeamWeights())
	p.updateGate()
	if p.weights != nil {
		p.weights.offerView(view)
	}
}

// updateGate closes the gate while closeReason returns a reason, and opens it
// otherwise.
func (p *Process) updateGate() {
	p.gateMu.Lock()
	defer p.gateMu.Unlock()
	reason := p.closeReason()
	switch {
	case reason == p.gate.Closed():
	case reason == "":
		p.gate.Reopen()
	default:
		p.gate.Close(reason)
	}
}

// closeReason returns why this endpoint accepts no new work, or an empty reason if it
// does.
func (p *Process) closeReason() core.Reason {
	view := p.node.View()
	p.mu.Lock()
	stopping := p.stopping
	p.mu.Unlock()
	switch {
	case stopping || view.Leaving(p.node.VM):
		return core.ReasonLeaving
	case view.ZonesOut[p.node.Zone]:
		return core.ReasonZoneOut
	case p.weights != nil && p.weights.switching():
		return core.ReasonWarming
	default:
		return ""
	}
}

func (p *Process) load() *peerpb.EndpointLoad {
	load := p.gate.Load()
	return &peerpb.EndpointLoad{InFlight: uint32(load.InFlight), Limit: uint32(load.Limit), Queued: uint32(load.Queued)}
}

// state returns the status report of this process.
func (p *Process) state() *peerpb.EndpointState {
	p.mu.Lock()
	stopping := p.stopping
	p.mu.Unlock()
	view := p.node.View()
	state := &peerpb.EndpointState{
		Vm: string(p.node.VM), Zone: string(p.node.Zone), Region: string(p.node.Region),
		Pool: string(p.config.Pool), Service: string(p.config.Service), PeerAddr: p.node.PeerAddr,
		Incarnation: p.node.Incarnation,
		Load:        p.load(), Leaving: stopping || view.Leaving(p.node.VM), Ready: true, ConfigRevision: view.ConfigRevision,
	}
	if p.weights != nil {
		p.weights.describe(state)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporter.next(time.Now(), state)
}

// servingTarget returns the target that a call would be served by, or a refusal if it
// is not the requested version.
func (p *Process) servingTarget(want core.VersionID) (activation.Target, *core.Refusal) {
	target, ok := p.weights.serving()
	if !ok {
		return target, core.NotRun(core.ReasonWarming, defaultRetryAfter, "this endpoint has no weights loaded")
	}
	if want != "" && want != target.Version {
		return target, core.NotRun(core.ReasonVersionMismatch, 0, "this endpoint serves another version")
	}
	return target, nil
}

// recordEngineChange records that the engine restarted, changed its version or skipped a
// token during a stream.
func (p *Process) recordEngineChange() {
	p.node.Recorder.Add(timeline.KindColdDetected, "", string(p.node.VM), "The engine changed in the middle of a stream.")
}
