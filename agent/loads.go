package agent

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/ring"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// Loader gives load orders to the engine.
type Loader = activation.Loader

const (
	// stepInterval is the time between two steps without news.
	stepInterval = 100 * time.Millisecond
	// loadTimeout bounds an order, whose load waits for the calls that run.
	loadTimeout = 15 * time.Second
	// stagingTimeout bounds the reading of all staged chunks.
	stagingTimeout = 5 * time.Second
	// retryWait is the wait after a load order or a check that failed.
	retryWait = 100 * time.Millisecond
	// toldWait is how long a manifest is waited for that gateways are reading: a
	// few round trips to the origin.
	toldWait = 500 * time.Millisecond
	// closingNotice is how long before a change gateways are told at the least: one
	// interval of news and the way.
	closingNotice = newsInterval + 100*time.Millisecond
	// eventRing is how many results wait for the duty.
	eventRing = 64
	// newsRing is how many declarations of followers wait for the duty.
	newsRing = 64
)

// loads brings the engine to the declared version. One goroutine owns its
// state; calls to the engine and the origin run beside it and report by events.
type loads struct {
	config   Config
	spreader *transfer.Spreader
	staging  Staging
	loader   Loader
	origin   transfer.WeightSource
	log      *log.Logger
	events   *ring.Ring[activation.Event]
	news     *ring.Ring[*peerpb.FleetNews]
	// engineNews and relays are the machines that followers tell, and the followers
	// that hold chunks.
	engineNews, relays *ring.Ring[[]*peerpb.FleetMember]
	// layerCount is how many layers the model has.
	layerCount atomic.Int32

	// Owned by the duty.
	machine  *activation.Machine
	declared *peerpb.FleetNews
	// engines are the machines that are to serve the same weights, relays those
	// that hold chunks for them.
	engines, relayMembers []spread.Member
	versions              rollout.Tracker
	// revision numbers what the machine is told to bring about.
	revision uint64
	// wanted is the target that the spreader was told of.
	wanted activation.Target
	// held is the version that the engine reports, boot its start.
	held int64
	boot int64
	// idle says that the engine ran no call when it was last looked at.
	idle bool
	// closing is the planned change, onPlan is told when it is.
	closing closing
	onPlan  func(at time.Time)
	// changedAt is when the engine began to serve its present version after another.
	changedAt time.Time
}

func newLoads(config Config, spreader *transfer.Spreader, staging Staging, loader Loader, origin transfer.WeightSource, logger *log.Logger) *loads {
	return &loads{
		config: config, spreader: spreader, staging: staging, loader: loader, origin: origin, log: logger.WithPrefix("loads"),
		events: ring.New[activation.Event](eventRing), news: ring.New[*peerpb.FleetNews](newsRing),
		engineNews: ring.New[[]*peerpb.FleetMember](newsRing),
		relays:     ring.New[[]*peerpb.FleetMember](newsRing),
		machine:    activation.New(activation.Config{PlainNames: true, OrderTimeout: loadTimeout + time.Second, CallTimeout: stagingTimeout, RetryWait: retryWait}),
	}
}

// layers returns how many layers the model has, 1 while that is not known.
func (l *loads) layers() int { return max(int(l.layerCount.Load()), 1) }

// take passes what a follower declares to the duty; when the ring is full, the
// follower's next message tells the same or more.
func (l *loads) take(news *peerpb.FleetNews) { l.news.Offer(news) }

// takeManifest passes a manifest that a gateway has read to the duty.
func (l *loads) takeManifest(ctx context.Context, told *peerpb.DeclaredManifest) {
	if len(told.GetWhole()) != len(core.Digest{}) {
		l.log.Warn("A manifest with a bad digest is left out.", "version", told.GetVersion(), "bytes", len(told.GetWhole()))
		return
	}
	manifest, err := transfer.DecodeManifest(core.VersionID(told.GetVersion()), core.Digest(told.GetWhole()), told.GetManifest())
	if err != nil {
		l.log.Warn("A manifest can't be used and is left out.", "version", told.GetVersion(), "err", err)
		return
	}
	l.report(ctx, manifestTold{manifest: manifest})
}

// takeMembers passes the machines that serve the same model to the duty.
func (l *loads) takeMembers(engines []*peerpb.FleetMember) { l.engineNews.Offer(engines) }

// takeRelays passes the relays that follow the agent to the duty; when the ring is
// full, the next change tells all of them.
func (l *loads) takeRelays(relays []*peerpb.FleetMember) { l.relays.Offer(relays) }

// see passes a look at the engine to the duty.
func (l *loads) see(ctx context.Context, report EngineReport, err error) {
	if err != nil {
		l.report(ctx, activation.StatusFailed{})
		return
	}
	l.report(ctx, engineSeen{report: report})
}

// engineSeen is a look at the engine before it is put in the machine's words.
type engineSeen struct {
	activation.Tick
	report EngineReport
}

// manifestTold is a manifest that a gateway has read.
type manifestTold struct {
	activation.Tick
	manifest *core.Manifest
}

// manifestRead is the end of reading a manifest.
type manifestRead struct {
	activation.Tick
	of *rollout.TrackedVersion
	// manifest is nil when it could not be read.
	manifest *core.Manifest
}

func (l *loads) report(ctx context.Context, event activation.Event) { _ = l.events.Put(ctx, event) }

// run owns the state until ctx ends.
func (l *loads) run(ctx context.Context) error {
	l.step(ctx, activation.NumbersGranted{First: 1, Last: math.MaxInt64})
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case news := <-l.news.Items():
			l.declare(news)
		case engines := <-l.engineNews.Items():
			l.engines = transfer.Members(engines, false)
			l.spreader.SetMembers(l.members())
		case relays := <-l.relays.Items():
			l.relayMembers = transfer.Members(relays, true)
			l.spreader.SetMembers(l.members())
		case <-l.spreader.Staged():
		case event := <-l.events.Items():
			l.settle(ctx, event)
		case <-ticker.C:
			l.step(ctx, activation.Tick{})
		}
		l.want(ctx)
		l.advance(ctx)
	}
}

// settle takes one event, those of the duty first.
func (l *loads) settle(ctx context.Context, event activation.Event) {
	switch e := event.(type) {
	case engineSeen:
		l.seen(ctx, e.report)
	case manifestTold:
		for _, v := range l.versions.Versions() {
			if v.ID == e.manifest.Version && v.Manifest == nil {
				v.Manifest = e.manifest
			}
		}
	case manifestRead:
		e.of.Reading = false
		if e.of.Manifest == nil {
			e.of.Manifest = e.manifest
		}
	default:
		l.step(ctx, event)
	}
}

// declare takes what a follower declares. An older version than the known one
// changes nothing.
func (l *loads) declare(news *peerpb.FleetNews) {
	if l.declared != nil && news.GetVersion() < l.declared.GetVersion() || news.GetVersion() == 0 {
		return
	}
	declaredAt := time.Now()
	if l.declared == nil {
		// Nobody knows how long ago it was declared: it is not to wait for a turn.
		declaredAt = declaredAt.Add(-l.config.SwitchTime)
	}
	l.declared = news
	l.layerCount.Store(int32(news.GetLayers()))
	l.origin.SetAddress(news.GetOrigin())
	l.spreader.SetOriginRegion(core.RegionID(news.GetOriginRegion()))
	if l.versions.Declare(time.Now(), news.GetVersion(), l.config.Version(news.GetModel(), news.GetVersion()), declaredAt) {
		l.log.Info("Weights declared.", "model", news.GetModel(), "version", news.GetVersion(), "engines", len(l.engines), "relays", len(l.relayMembers))
	}
}

// members are all machines that take part in the spread.
func (l *loads) members() []spread.Member {
	return append(slices.Clone(l.engines), l.relayMembers...)
}

// read reads the manifest of a declared version, if no gateway tells it: the
// origin takes few connections.
func (l *loads) read(ctx context.Context, v *rollout.TrackedVersion) {
	if v.Reading || v.Manifest != nil || len(l.relayMembers) > 0 && time.Since(v.KnownAt) < toldWait {
		return
	}
	v.Reading = true
	go func() {
		l.report(ctx, manifestRead{of: v, manifest: transfer.ReadManifest(ctx, l.origin, v.ID, l.log)})
	}()
}

// seen takes a look at the engine.
func (l *loads) seen(ctx context.Context, report EngineReport) {
	held := wholeVersion(report, l.layers())
	if report.Boot != l.boot || held != l.held {
		l.log.Info("The engine changed.", "boot", report.Boot, "version", held, "formerBoot", l.boot, "formerVersion", l.held)
		if held > 0 && report.Boot == l.boot {
			l.changedAt = time.Now()
		}
		l.boot, l.held = report.Boot, held
	}
	l.idle = report.Running+report.Waiting == 0
	status := engine.Status{Boot: uint64(report.Boot), State: engine.StateEmpty}
	if held > 0 && l.declared != nil {
		status.State, status.Version = engine.StateReady, l.config.Version(l.declared.GetModel(), held)
	}
	if report.Loading {
		status.State = engine.StateLoading
	}
	l.versions.RemoveUpTo(l.held)
	l.step(ctx, activation.StatusSeen{Status: status})
}

// want chooses the version to stage and tells the spreader and the machine.
func (l *loads) want(ctx context.Context) {
	if l.versions.Newest() == nil {
		return
	}
	l.count()
	for _, v := range l.versions.Versions() {
		l.read(ctx, v)
	}
	former := l.versions.Chosen()
	chosen, changed := l.versions.Choose(rollout.Choice{Now: time.Now(), Limit: l.config.SwitchTime, Serving: l.held > 0, SwitchAt: l.turnAt()})
	if changed {
		if former != nil {
			l.log.Info("Another version is staged.", "version", chosen.ID, "staged", chosen.ChunksPresent(), "former", former.ID, "formerStaged", former.ChunksPresent())
		}
		l.revision++
		l.staging.SetManifest(chosen.Manifest)
		l.step(ctx, activation.Declared{Revision: l.revision, Manifest: chosen.Manifest})
	}
	manifest, _, boot, ok := l.machine.StagingTarget()
	if !ok || chosen == nil {
		return
	}
	target := activation.Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}
	if target == l.wanted {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	if err := l.spreader.SetTarget(callCtx, manifest, l.members()); err != nil {
		l.log.Warn("The spread can't start.", "version", manifest.Version, "err", err)
		return
	}
	l.wanted = target
}

// count notes how many chunks of the chosen version there are.
func (l *loads) count() {
	chosen := l.versions.Chosen()
	if chosen == nil {
		return
	}
	if progress, known := l.spreader.Progress(chosen.ID); known {
		chosen.SetChunksPresent(time.Now(), progress.Stored)
	}
}

// closing is the planned load of a version in the place of the one that is served.
type closing struct {
	version core.VersionID
	at      time.Time
}

// advance reports the staged weights to the machine once the engine may change.
// Gateways are told some time before, so that they send it no long calls.
func (l *loads) advance(ctx context.Context) {
	progress, known := l.spreader.Progress(l.wanted.Version)
	if l.wanted == (activation.Target{}) || !known || !progress.Done || l.served(l.wanted.Version) {
		l.plan(closing{})
		return
	}
	now, at := time.Now(), l.turnAt()
	if l.held > 0 {
		if l.closing.version != l.wanted.Version {
			l.plan(closing{version: l.wanted.Version, at: l.closingTime(now, at)})
		}
		at = l.closing.at
	}
	if !now.Before(at) {
		l.step(ctx, activation.Staged{Target: l.wanted})
	}
}

// served reports whether the engine holds a version whole.
func (l *loads) served(version core.VersionID) bool {
	return l.held > 0 && l.declared != nil && l.config.Version(l.declared.GetModel(), l.held) == version
}

// plan notes when the engine is to change, and has gateways told.
func (l *loads) plan(next closing) {
	if next == l.closing {
		return
	}
	l.closing = next
	if !next.at.IsZero() {
		l.log.Info("The engine is to change.", "version", next.version, "formerVersion", l.held, "inMs", time.Until(next.at).Milliseconds())
	}
	l.onPlan(next.at)
}

// closingTime leaves gateways time to hear of a change; an engine without calls is
// not waited for.
func (l *loads) closingTime(now, turn time.Time) time.Time {
	if l.idle {
		return later(turn, now)
	}
	return later(turn, now.Add(closingNotice))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// turnAt returns from when the engine may change. An engine that serves nothing
// need not wait.
func (l *loads) turnAt() time.Time {
	l.versions.RemoveUpTo(l.held)
	oldest := l.versions.Oldest()
	if l.held == 0 || oldest.Number <= l.held {
		return oldest.DeclaredAt
	}
	candidate := rollout.Candidate{
		Self:    rollout.Location{ID: core.VMID(l.config.EngineAddress), Zone: l.config.Zone},
		Version: oldest.ID, Limit: l.config.SwitchTime,
		RecentlySwitched: !l.changedAt.IsZero() && time.Since(l.changedAt) < l.config.SwitchTime,
	}
	for _, m := range l.engines {
		candidate.Members = append(candidate.Members, rollout.Location{ID: m.ID, Zone: m.Zone})
	}
	return oldest.DeclaredAt.Add(rollout.SwitchDelay(candidate))
}

// step passes one event to the machine and carries out its actions.
func (l *loads) step(ctx context.Context, event activation.Event) {
	for _, action := range l.machine.Step(time.Now(), event) {
		switch a := action.(type) {
		case activation.VerifyStaging:
			go l.verify(ctx, a)
		case activation.ConfirmHolder:
			// The engine has no other agent: it takes orders of its own VM alone.
			l.step(ctx, activation.HolderConfirmed{})
		case activation.Order:
			l.log.Info("Load order.", "version", a.Order.Version, "boot", l.boot, "formerVersion", l.held)
			go l.order(ctx, a)
		case activation.Activated:
			l.log.Info("The engine serves the version.", "version", a.Target.Version, "boot", a.Target.Boot)
		case activation.Cold:
			l.log.Warn("The engine restarted.", "boot", a.Boot)
			l.wanted = activation.Target{}
		case activation.StagingLost:
			l.wanted = activation.Target{}
		}
	}
}

// verify reads all staged chunks just before a load.
func (l *loads) verify(ctx context.Context, action activation.VerifyStaging) {
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	held, err := l.staging.List(callCtx, action.Manifest.Version)
	whole := err == nil && len(held) == len(action.Manifest.Chunks)
	if !whole {
		l.log.Warn("The staged weights are not whole.", "version", action.Manifest.Version, "held", len(held), "chunks", len(action.Manifest.Chunks), "err", err)
	}
	target := activation.Target{Version: action.Manifest.Version, Digest: action.Manifest.Whole, Boot: action.Boot}
	l.report(ctx, activation.Verified{Target: target, OK: whole})
}

func (l *loads) order(ctx context.Context, action activation.Order) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ended := activation.SendOrder(callCtx, l.loader, action)
	if ended.Result != activation.OrderDone {
		l.log.Warn("The load order failed.", "version", action.Order.Version, "result", ended.Result)
	}
	l.report(ctx, ended)
}

func spreadSelf(config Config) spread.Member {
	return spread.Member{ID: core.VMID(config.EngineAddress), Zone: config.Zone, Region: config.Region}
}
