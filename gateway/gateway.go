// Package gateway is the process on an entry VM of a deployment whose callers
// speak HTTP. It checks calls against the declaration, has them placed, carries
// them to endpoints and passes answers and events on.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// Dialect translates between the product and callers and endpoints.
type Dialect interface {
	forward.Dialect
	// ReadCall reads a request with its body, of at most maxBody bytes.
	ReadCall(r *http.Request, maxBody int64) (*forward.Call, error)
	// TooLarge reports whether ReadCall refused a body for its size.
	TooLarge(err error) bool
	// PassHeaders copies the headers of an endpoint's answer.
	PassHeaders(to, from http.Header)
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(header http.Header, wait time.Duration)
}

// Config configures a Gateway.
type Config struct {
	// Name is that of the VM.
	Name         core.VMID
	CallerListen string
	ReadyListen  string
	// AgentPort is the port of agents, on the IP numbers of their engines.
	AgentPort int
	Regions   map[core.ZoneID]core.RegionID
	// MaxKeyAge is how old the declaration may be while keys are taken.
	MaxKeyAge time.Duration
	// MaxDeclarationAge is how old it may be while calls are refused for what it says.
	MaxDeclarationAge time.Duration
	// RetryRatio and RetryBurst bound the sends beyond the first of each call.
	RetryRatio, RetryBurst float64
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// MetricsListen serves counters and histograms.
	MetricsListen string
	// WatchWait bounds one watch of the store.
	WatchWait time.Duration
	Relay     RelayConfig
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	dialect   Dialect
	holder    *fleet.Tracker
	store     metastore.Store
	pool      *forward.Pool
	scheduler *scheduler
	budgets   *budgets
	agents    *agents
	relay     *relay
	patience  patienceSeen
	log       *log.Logger
	now       boottime.Clock

	stopping atomic.Bool
	open     atomic.Int64
}

// New joins the parts of a gateway.
func New(config Config, dialect Dialect, store metastore.Store, origin transfer.WeightSource, holder *fleet.Tracker, placer *placement.Placer, now boottime.Clock, logger *log.Logger) (*Gateway, error) {
	pool := peers.NewPool("", peers.Security{})
	relay, err := newRelay(config.Relay, origin, pool, logger)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		config: config, dialect: dialect, holder: holder, store: store, pool: forward.NewPool(),
		scheduler: newScheduler(placer, now), budgets: newBudgets(config.RetryRatio, config.RetryBurst),
		log: logger.WithPrefix("gateway"), now: now, relay: relay,
	}
	g.agents = &agents{
		name: string(config.Name),
		pool: pool, port: config.AgentPort, regions: config.Regions,
		scheduler: g.scheduler, gateway: g, current: map[string]*followed{},
	}
	g.scheduler.lender = newLender(config.Relay, pool, g.scheduler, logger)
	relay.onManifest, relay.holders = g.agents.wakeAll, g.agents.holders
	holder.OnChange(g.scheduler.setView)
	holder.OnChange(g.agents.setView)
	return g, nil
}

// Times of the listeners.
const (
	// callerIdle is longer than callers reuse a connection, so that they end it.
	callerIdle = 2 * time.Minute
	// headerTime bounds the reading of a request's head.
	headerTime = 10 * time.Second
	// gatherTime and maxGatherTime let changes of the store that follow each other
	// come in one call; every rule on them leaves at least two seconds.
	gatherTime    = 150 * time.Millisecond
	maxGatherTime = 600 * time.Millisecond
	// sweepInterval is how often idle connections and lapsed endpoints are looked at.
	sweepInterval = 500 * time.Millisecond
)

// Run serves until ctx ends and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", g.config.CallerListen)
	if err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	checks, err := net.Listen("tcp", g.config.ReadyListen)
	if err != nil {
		return fmt.Errorf("readiness listener: %w", err)
	}
	callerServer := &http.Server{Handler: http.HandlerFunc(g.serveCall), ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeadBytes}
	readyServer := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTime}
	var process kernel.Process
	process.AddDuty("store", g.followStore)
	process.AddDuty("metrics", func(ctx context.Context) error { return metrics.Serve(ctx, g.config.MetricsListen, g.log) })
	process.AddDuty("placement", g.scheduler.run)
	process.AddDuty("agents", g.agents.run)
	process.AddDuty("wants", g.agents.tellWants)
	process.AddDuty("peers", func(ctx context.Context) error { return g.relay.serve(ctx, g.scheduler.lender) })
	process.AddDuty("weights", g.relay.run)
	process.AddDuty("spread", g.relay.spreader.Run)
	process.AddDuty("sweep", g.sweep)
	process.AddDuty("callers", func(context.Context) error { return ignoreClosed(callerServer.Serve(callers)) })
	process.AddDuty("readiness", func(context.Context) error { return ignoreClosed(readyServer.Serve(checks)) })
	process.AddStop("leave", g.leave)
	process.AddStop("callers", callerServer.Shutdown)
	process.AddStop("readiness", func(context.Context) error { return readyServer.Close() })
	g.log.Info("Serving.", "callers", g.config.CallerListen, "readiness", g.config.ReadyListen)
	err = process.Run(ctx, g.config.StopTimeout)
	g.log.Info("Stopped.", "err", err)
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// followStore keeps the whole store known: one watch costs half of two.
func (g *Gateway) followStore(ctx context.Context) error {
	follower := &metastore.Follower{Store: g.store, Wait: g.config.WatchWait, Gather: gatherTime, MaxGather: maxGatherTime, Sink: g.holder, Now: g.now}
	return follower.Run(ctx)
}

func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.pool.Sweep()
			g.holder.Expire()
			g.scheduler.lender.expire()
		}
	}
}

// serveReady answers the platform's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.able() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// able reports whether this process knows enough to serve: the declaration, and
// when calls need keys, a recent one.
func (g *Gateway) able() bool {
	view := g.holder.View()
	if view.Deployment == nil {
		return false
	}
	return !view.Deployment.KeysRequired || g.now().Sub(view.ConfirmedAt) <= g.config.MaxKeyAge
}

// leaveTime is how long connections may still arrive after the readiness check
// fails: two checks a second apart, with the way there and back.
const leaveTime = 2200 * time.Millisecond

// leave fails the readiness check and goes on serving until callers go
// elsewhere. Each answer then ends its connection.
func (g *Gateway) leave(ctx context.Context) error {
	g.stopping.Store(true)
	g.log.Info("Stopping: the readiness check fails from now on.", "open", g.open.Load())
	return kernel.Sleep(ctx, leaveTime)
}
