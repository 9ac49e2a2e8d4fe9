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

// Config is what an endpoint process needs to know about its VM.
type Config struct {
	// Exactly one of Pool and Service is set.
	Pool    core.PoolID
	Service core.ServiceID
	// PeerListen is the address of the gRPC listener.
	PeerListen string
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
	// Runtime bounds what the Go runtime spends.
	Runtime goruntime.Settings
}

// Process is the endpoint process. Its exported methods serve gRPC calls.
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
	// cache follows the engine's prefix cache.
	cache cacheLog

	// keys counts the open requests of each key.
	keys openKeys
	// running counts the calls that may not be repeated and are with the service.
	running sync.WaitGroup

	// gateMu orders the openings and closings of the gate.
	gateMu sync.Mutex

	mu       sync.Mutex
	stopping bool
	reporter reporter
}

// New joins the parts of an endpoint process.
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

// Run serves until ctx ends and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.config.PeerListen)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	server := peers.NewServer(p.node.Security)
	peerpb.RegisterEndpointServer(server, p)
	peerpb.RegisterPeerServer(server, p.node)
	var process kernel.Process
	process.AddDuty("runtime", p.config.Runtime.Run)
	p.node.AddDuties(&process)
	process.AddDuty("claims", p.ledger.Maintain)
	process.AddDuty("grpc", func(context.Context) error { return server.Serve(listener) })
	if p.weights != nil {
		process.AddDuty("spread", p.spreader.Run)
		process.AddDuty("region links", p.spreader.Govern)
		process.AddDuty("weights", p.weights.run)
		process.AddDuty("engine", p.weights.watchEngine)
		process.AddDuty("cache events", p.followCache)
	}
	process.AddStop("leave", p.leave)
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

// leave announces that this endpoint takes no new work and waits until entries heard it.
func (p *Process) leave(ctx context.Context) error {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.updateGate()
	p.node.Recorder.Add(timeline.KindProcess, "", string(p.node.VM), "Endpoint process leaves.")
	p.node.Trigger()
	_ = kernel.Sleep(ctx, 2*node.ExchangeInterval) // when the time is over the stop goes on as well
	return nil
}

// awaitRunning waits for calls whose caller may be gone already.
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
		return fmt.Errorf("running calls: %w", ctx.Err())
	}
}

// stopServer ends the gRPC server without cutting calls.
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
		return fmt.Errorf("grpc: %w", ctx.Err())
	}
}

// applyView brings the gate in line with the configuration and the VM list.
func (p *Process) applyView(view *node.View) {
	p.gate.SetTeams(view.TeamWeights())
	p.updateGate()
	if p.weights != nil {
		p.weights.offer(view)
	}
}

// updateGate closes the gate while there is a reason to, and opens it otherwise.
func (p *Process) updateGate() {
	p.gateMu.Lock()
	defer p.gateMu.Unlock()
	reason := p.closedFor()
	switch {
	case reason == p.gate.Closed():
	case reason == "":
		p.gate.Reopen()
	default:
		p.gate.Close(reason)
	}
}

// closedFor returns why this endpoint takes no new work; empty when it does.
func (p *Process) closedFor() core.Reason {
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

// state is what this process reports of itself.
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

// servable returns what a call would be answered by.
func (p *Process) servable(want core.VersionID) (activation.Target, *core.Refusal) {
	target, ok := p.weights.serving()
	if !ok {
		return target, core.NotRun(core.ReasonWarming, time.Second, "this endpoint has no weights loaded")
	}
	if want != "" && want != target.Version {
		return target, core.NotRun(core.ReasonVersionMismatch, 0, "this endpoint serves another version")
	}
	return target, nil
}

// engineChanged records that the engine answered with another version than it was ordered to serve.
func (p *Process) engineChanged() {
	p.node.Recorder.Add(timeline.KindColdDetected, "", string(p.node.VM), "The engine changed in the middle of a stream.")
}
