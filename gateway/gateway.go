// Package gateway implements the process on an entry VM of a deployment whose callers
// use HTTP. It checks calls against the declaration, places them, forwards them to
// endpoints and passes answers and events on.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/connlimit"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/explain"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/lastcalls"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/membudget"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/metrics"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// Dialect translates between the gateway and the HTTP messages of callers and
// endpoints.
type Dialect interface {
	forward.Dialect
	// ReadCall returns the call of a request, whose body has been read.
	ReadCall(r *http.Request, body forward.Body) *forward.Call
	// Timeout returns how long the caller of a request waits, 0 if it does not say.
	Timeout(r *http.Request) time.Duration
	// PassHeaders copies the headers of an endpoint's answer that are passed on.
	PassHeaders(to, from http.Header)
	// SetRetryAfter sets the time after which a caller should retry.
	SetRetryAfter(header http.Header, wait time.Duration)
}

// Config configures a Gateway.
type Config struct {
	// Name is the name of the VM.
	Name         core.VMID
	CallerListen string
	ReadyListen  string
	// AgentPort is the port of agents on the IP addresses of their engines.
	AgentPort int
	Regions   map[core.ZoneID]core.RegionID
	// MaxKeyAge is the maximum age of the declaration at which team keys are accepted.
	MaxKeyAge time.Duration
	// MaxDeclarationAge is the maximum age of the declaration at which calls are finally
	// rejected based on it. An older one is confirmed first.
	MaxDeclarationAge time.Duration
	// Contention is set where calls of different ranks compete for the endpoints.
	Contention bool
	// RetryRatio and RetrySlack set the retry budget: the sends beyond the first per call,
	// and how many more all gateways together may send at once.
	RetryRatio, RetrySlack float64
	// Gateways is the number of gateways of the deployment as far as it is known at the
	// start, 0 if only agents tell it.
	Gateways int
	// Restarted is set if the deployment ran before this process started, so that engines may
	// have ended unknown to it.
	Restarted bool
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// MetricsListen is the address that serves counters and histograms.
	MetricsListen string
	// WatchWait bounds one watch request to the store.
	WatchWait time.Duration
	// BodyMemory is the budget for the bodies of calls and answers in bytes, 0 for a default.
	BodyMemory int64
	// CallerConnections bounds the connections of callers, 0 for a default.
	CallerConnections int
	Relay             RelayConfig
}

// Gateway serves callers.
type Gateway struct {
	config    Config
	dialect   Dialect
	tracker   *fleet.Tracker
	follower  *metastore.Follower
	confirmer *confirmer
	pool      *forward.Pool
	// memory is the budget for the bodies of calls and answers.
	memory      *membudget.Budget
	unreadLines *logging.Limited
	// explainLines bounds the lines about explanations, which anybody on the network may request.
	explainLines *logging.Limited
	// connectionLines bounds the lines about connections that are closed because of a limit.
	connectionLines *logging.Limited
	scheduler       *scheduler
	budgets         *budgets
	agents          *agents
	relay           *relay
	// quarantine keeps calls with harmful prompt parts away from engines.
	quarantine *quarantineGuard
	log        *log.Logger
	now        boottime.Clock

	stopping atomic.Bool
	open     atomic.Int64
	// durations tell which calls are still taken while the process stops.
	durations lastcalls.Durations
	// ending ends the calls that still run at endsAt, shortly before a stopping process does.
	ending context.Context
	end    context.CancelCauseFunc
	endsAt atomic.Int64
}

// New returns a gateway. It fails if the relay's listen address is invalid or its
// spreader cannot be created.
func New(config Config, dialect Dialect, store metastore.Store, origin transfer.WeightSource, tracker *fleet.Tracker, placer *placement.Placer, now boottime.Clock, logger *log.Logger) (*Gateway, error) {
	pool := peers.NewPool("", peers.Security{})
	relay, err := newRelay(config.Relay, origin, pool, logger)
	if err != nil {
		return nil, err
	}
	if config.BodyMemory <= 0 {
		config.BodyMemory = defaultBodyMemory
	}
	if config.CallerConnections <= 0 {
		config.CallerConnections = defaultCallerConnections
	}
	memory := membudget.New(config.BodyMemory)
	g := &Gateway{
		config: config, dialect: dialect, tracker: tracker, pool: forward.NewPoolWithin(memory), memory: memory,
		scheduler: newScheduler(placer, now), budgets: newBudgets(config.RetryRatio, config.RetrySlack),
		log: logger.WithPrefix("gateway"), now: now, relay: relay,
	}
	g.unreadLines, g.explainLines, g.connectionLines = logging.NewLimited(g.log), logging.NewLimited(g.log), logging.NewLimited(g.log)
	g.ending, g.end = context.WithCancelCause(context.Background())
	// One watch of the entire store costs half of two.
	g.follower = &metastore.Follower{Store: store, Wait: config.WatchWait, BatchDelay: watchBatchDelay, MaxBatchDelay: maxWatchBatchDelay, Sink: tracker, Now: now}
	g.confirmer = &confirmer{follower: g.follower, now: now, log: g.log}
	g.agents = &agents{
		name: string(config.Name), process: rand.Uint64(),
		pool: pool, port: config.AgentPort, regions: config.Regions,
		scheduler: g.scheduler, gateway: g, current: map[string]*agentLink{}, updates: map[core.ServiceID]*serviceUpdate{}, counted: map[core.RegionID]int{}, pauses: boottime.NewPauseDetector(now),
	}
	g.budgets.setGateways(config.Gateways)
	placer.UpdateGateways(config.Gateways)
	g.quarantine = newQuarantineGuard(now, logger)
	if config.Restarted {
		g.quarantine.tracker.Forget(now())
	}
	g.quarantine.changed, g.quarantine.mayTry = g.agents.wakeAll, g.agents.mayTry
	g.scheduler.lender = newLender(config.Relay, pool, g.scheduler, logger)
	g.scheduler.lender.ranked = config.Contention
	relay.onManifest, relay.enginesServing = g.agents.wakeAll, g.agents.enginesServing
	tracker.OnChange(g.scheduler.setView)
	tracker.OnChange(g.agents.setView)
	return g, nil
}

// Timeouts of the listeners, batching of the store's watch, and the sweep.
const (
	// callerIdleTimeout is longer than callers keep idle connections, so that the
	// callers close them.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the reading of a request's head, and that of a body that net/http
	// discards. The body of a call has deadlines of its own.
	headerTimeout = 10 * time.Second
	// maxReadyConnections and maxReadyHeadBytes bound what readiness checks hold. net/http adds
	// 4 KiB to a head.
	maxReadyConnections = 64
	maxReadyHeadBytes   = 4 << 10
	// defaultCallerConnections bounds the connections of callers if the configuration does not.
	defaultCallerConnections = 4096
	// watchBatchDelay and maxWatchBatchDelay let successive changes of the store arrive
	// in one response. Every time limit on applying changes leaves at least two seconds.
	watchBatchDelay    = 150 * time.Millisecond
	maxWatchBatchDelay = 600 * time.Millisecond
	// sweepInterval is how often idle connections, endpoints without an entry and slot
	// leases are checked for expiry. The first endpoint to expire is removed expiryMargin
	// after its time.
	sweepInterval = 500 * time.Millisecond
	expiryMargin  = 10 * time.Millisecond
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
	callerLimit, readyLimit := connlimit.New(g.config.CallerConnections), connlimit.New(maxReadyConnections)
	callerLimit.LogTo(g.connectionLines, "callers")
	readyLimit.LogTo(g.connectionLines, "readiness")
	callerServer := &http.Server{
		Handler: http.HandlerFunc(g.serveCall), ConnState: callerLimit.ConnState,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	readyServer := &http.Server{
		Handler: http.HandlerFunc(g.serveReady), ConnState: readyLimit.ConnState,
		ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxReadyHeadBytes,
	}
	var process kernel.Process
	process.AddDuty("store", g.follower.Run)
	process.AddDuty("metrics", func(ctx context.Context) error {
		return metrics.Serve(ctx, g.config.MetricsListen, g.log, metrics.Page{Path: explain.Path, Handler: http.HandlerFunc(g.serveExplain)})
	})
	process.AddDuty("placement", g.scheduler.run)
	process.AddDuty("agents", g.agents.run)
	process.AddDuty("wants", g.agents.reportDemand)
	process.AddDuty("peers", func(ctx context.Context) error { return g.relay.serve(ctx, g.scheduler.lender) })
	process.AddDuty("weights", g.relay.run)
	process.AddDuty("spread", g.relay.spreader.Run)
	process.AddDuty("sweep", g.sweep)
	process.AddDuty("callers", func(context.Context) error {
		return ignoreClosed(callerServer.Serve(callerLimit.Listen(callerListener{callers})))
	})
	process.AddDuty("readiness", func(context.Context) error { return ignoreClosed(readyServer.Serve(readyLimit.Listen(checks))) })
	process.AddStop("leave", g.drain)
	process.AddStop("callers", func(ctx context.Context) error { return g.closeCallers(ctx, callerServer) })
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

func (g *Gateway) sweep(ctx context.Context) error {
	for {
		wait := sweepInterval
		if left, waiting := g.tracker.NextExpiry(); waiting {
			wait = min(wait, left+expiryMargin)
		}
		if err := kernel.Sleep(ctx, wait); err != nil {
			return err
		}
		g.pool.Sweep()
		g.tracker.Expire()
		g.scheduler.lender.expire()
	}
}

// serveReady answers the platform's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the view suffices to serve calls: the declaration is known and,
// if calls need keys, recent enough.
func (g *Gateway) ready() bool {
	view := g.tracker.View()
	if view.Deployment == nil {
		return false
	}
	return !view.Deployment.KeysRequired || g.now().Sub(view.ConfirmedAt) <= g.config.MaxKeyAge
}

// closeCallers waits for the calls that still run. Connections without one may be cut.
func (g *Gateway) closeCallers(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if open := g.open.Load(); err != nil && open > 0 {
		return fmt.Errorf("%d calls cut: %w", open, err)
	}
	return server.Close()
}

// drainTime is how long connections may still arrive after the readiness check starts
// to fail: two checks a second apart, plus their round trips.
const drainTime = 2200 * time.Millisecond

// lastAnswer is how long before the end of a planned stop the calls that still run are ended,
// so that their callers get an answer. net/http looks for ended calls every 500 ms and a little
// more.
const lastAnswer = 600 * time.Millisecond

// takes reports whether a call is taken although the process may be about to stop.
func (g *Gateway) takes(a *admitted) bool {
	if !g.stopping.Load() {
		return true
	}
	now, endsAt := g.now(), boottime.Instant(g.endsAt.Load())
	return endsAt == 0 || g.durations.Fits(a.route.Name, a.deadline.Sub(now), endsAt.Sub(now))
}

// drain makes the readiness check fail and keeps serving until callers use other
// entries. From then on each answer closes its connection.
func (g *Gateway) drain(ctx context.Context) error {
	if deadline, limited := ctx.Deadline(); limited {
		left := time.Until(deadline) - lastAnswer
		g.endsAt.Store(int64(g.now().Add(left)))
		time.AfterFunc(left, func() { g.end(errStopped) })
	}
	g.stopping.Store(true)
	g.log.Info("Draining: the readiness check fails from now on.", "open", g.open.Load())
	return kernel.Sleep(ctx, drainTime)
}
