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
	"github.com/zinniaseam/zinniaseam/kernel"
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
	// manifestRetry is the wait between two tries to read a manifest.
	manifestRetry = 150 * time.Millisecond
	// retryWait is the wait after a load order or a check that failed.
	retryWait = 100 * time.Millisecond
	// eventRing is how many results wait for the duty.
	eventRing = 64
	// newsRing is how many declarations of followers wait for the duty.
	newsRing = 64
	// regionRate is what weights may use of the link between two regions, in bytes
	// a second: five sixths of 25 Mbit/s; live requests need about a twentieth.
	regionRate = 2_600_000
)

// loads brings the engine to the declared version. One goroutine owns its
// state; calls to the engine and the origin run beside it and report by events.
type loads struct {
	config   Config
	spreader *transfer.Spreader
	staging  Staging
	loader   Loader
	origin   Origin
	log      *log.Logger
	events   *ring.Ring[activation.Event]
	news     *ring.Ring[*peerpb.FleetNews]
	// layerCount is how many layers the model has.
	layerCount atomic.Int32

	// Owned by the duty.
	machine  *activation.Machine
	declared *peerpb.FleetNews
	members  []spread.Member
	// pending are the declared versions that the engine does not serve yet, oldest first.
	pending []*pendingVersion
	// revision numbers what the machine is told to bring about.
	revision uint64
	// chosen is the version that is staged, wanted the target that the spreader
	// was told of.
	chosen *pendingVersion
	wanted activation.Target
	// held is the version that the engine reports, boot its start.
	held int64
	boot int64
	// changedAt is when the engine began to serve its present version after another.
	changedAt time.Time
}

// pendingVersion is a declared version that the engine does not serve yet.
type pendingVersion struct {
	number     int64
	id         core.VersionID
	declaredAt time.Time
	manifest   *core.Manifest
	reading    bool
	// staged is how many chunks there are, firstChunk and lastChunk when it grew.
	staged int
	// stagedSince is when the version was last chosen.
	stagedSince           time.Time
	firstChunk, lastChunk time.Time
}

func newLoads(config Config, spreader *transfer.Spreader, staging Staging, loader Loader, origin Origin, logger *log.Logger) *loads {
	return &loads{
		config: config, spreader: spreader, staging: staging, loader: loader, origin: origin, log: logger.WithPrefix("loads"),
		events: ring.New[activation.Event](eventRing), news: ring.New[*peerpb.FleetNews](newsRing),
		machine: activation.New(activation.Config{PlainNames: true, OrderTimeout: loadTimeout + time.Second, CallTimeout: stagingTimeout, RetryWait: retryWait}),
	}
}

// layers returns how many layers the model has, 1 while that is not known.
func (l *loads) layers() int { return max(int(l.layerCount.Load()), 1) }

// take passes what a follower declares to the duty; when the ring is full, the
// follower's next message tells the same or more.
func (l *loads) take(news *peerpb.FleetNews) { l.news.Offer(news) }

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

// manifestRead is the end of reading a manifest.
type manifestRead struct {
	activation.Tick
	of *pendingVersion
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
	case manifestRead:
		e.of.manifest, e.of.reading = e.manifest, false
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
	newer := l.declared == nil || news.GetVersion() > l.declared.GetVersion()
	l.declared = news
	l.layerCount.Store(int32(news.GetLayers()))
	l.members = l.members[:0]
	for _, m := range news.GetMembers() {
		l.members = append(l.members, spread.Member{ID: core.VMID(m.GetEngine()), Zone: core.ZoneID(m.GetZone()), Region: core.RegionID(m.GetRegion())})
	}
	l.origin.SetAddress(news.GetOrigin())
	l.spreader.SetOriginRegion(core.RegionID(news.GetOriginRegion()))
	l.spreader.SetMembers(l.members)
	if !newer {
		return
	}
	l.log.Info("Weights declared.", "model", news.GetModel(), "version", news.GetVersion(), "members", len(l.members))
	l.pending = append(l.pending, &pendingVersion{
		number: news.GetVersion(), id: l.config.Version(news.GetModel(), news.GetVersion()), declaredAt: declaredAt,
	})
}

// read reads the manifest of a pending version.
func (l *loads) read(ctx context.Context, p *pendingVersion) {
	if p.reading || p.manifest != nil {
		return
	}
	p.reading = true
	go func() {
		manifest, err := l.origin.Manifest(ctx, p.id)
		if err != nil {
			l.log.Warn("The manifest can't be read.", "version", p.id, "err", err)
			if kernel.Sleep(ctx, manifestRetry) != nil {
				return
			}
		}
		l.report(ctx, manifestRead{of: p, manifest: manifest})
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
	status := engine.Status{Boot: uint64(report.Boot), State: engine.StateEmpty}
	if held > 0 && l.declared != nil {
		status.State, status.Version = engine.StateReady, l.config.Version(l.declared.GetModel(), held)
	}
	if report.Loading {
		status.State = engine.StateLoading
	}
	l.forgetServed()
	l.step(ctx, activation.StatusSeen{Status: status})
}

// forgetServed drops the pending versions that the engine serves. The newest is
// kept, since the engine may lose it.
func (l *loads) forgetServed() {
	for len(l.pending) > 1 && l.pending[0].number <= l.held {
		l.pending = l.pending[1:]
	}
}

// want chooses the version to stage and tells the spreader and the machine.
func (l *loads) want(ctx context.Context) {
	if len(l.pending) == 0 {
		return
	}
	l.count()
	for _, p := range l.pending {
		l.read(ctx, p)
	}
	if chosen := l.choose(); chosen != l.chosen && chosen.manifest != nil {
		if l.chosen != nil {
			l.log.Info("Another version is staged.", "version", chosen.id, "staged", chosen.staged, "former", l.chosen.id, "formerStaged", l.chosen.staged)
		}
		l.chosen, chosen.stagedSince = chosen, time.Now()
		l.revision++
		l.staging.Expect(chosen.manifest)
		l.step(ctx, activation.Declared{Revision: l.revision, Manifest: chosen.manifest})
	}
	manifest, _, boot, ok := l.machine.Wanted()
	if !ok || l.chosen == nil {
		return
	}
	target := activation.Target{Version: manifest.Version, Whole: manifest.Whole, Boot: boot}
	if target == l.wanted {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	if err := l.spreader.Want(callCtx, manifest, l.members); err != nil {
		l.log.Warn("The spread can't start.", "version", manifest.Version, "err", err)
		return
	}
	l.wanted = target
}

// count notes how many chunks of the chosen version there are.
func (l *loads) count() {
	if l.chosen == nil {
		return
	}
	progress, known := l.spreader.Progress(l.chosen.id)
	if !known || progress.Held == l.chosen.staged {
		return
	}
	l.chosen.staged, l.chosen.lastChunk = progress.Held, time.Now()
	if l.chosen.firstChunk.IsZero() {
		l.chosen.firstChunk = l.chosen.lastChunk
	}
}

// choose returns the version to stage.
func (l *loads) choose() *pendingVersion {
	choice := rollout.Choice{Now: time.Now(), Limit: l.config.SwitchTime, Serving: l.held > 0, TurnAt: l.turnAt()}
	for _, p := range l.pending {
		pending := rollout.Pending{Version: p.number, DeclaredAt: p.declaredAt, StagedSince: p.stagedSince, FirstChunkAt: p.firstChunk, LastChunkAt: p.lastChunk}
		if p.manifest != nil {
			pending.Share = float64(p.staged) / float64(len(p.manifest.Chunks))
		}
		choice.Pending = append(choice.Pending, pending)
	}
	stage := choice.Stage()
	return l.pending[slices.IndexFunc(l.pending, func(p *pendingVersion) bool { return p.number == stage })]
}

// advance reports the staged weights to the machine once the engine may change.
func (l *loads) advance(ctx context.Context) {
	progress, known := l.spreader.Progress(l.wanted.Version)
	if l.wanted == (activation.Target{}) || !known || !progress.Done || time.Now().Before(l.turnAt()) {
		return
	}
	l.step(ctx, activation.Staged{Target: l.wanted})
}

// turnAt returns from when the engine may change. An engine that serves nothing
// need not wait.
func (l *loads) turnAt() time.Time {
	oldest := l.pending[0]
	if l.held == 0 || oldest.number <= l.held {
		return oldest.declaredAt
	}
	candidate := rollout.Candidate{
		Self: core.VMID(l.config.EngineAddress), Version: oldest.id, Limit: l.config.SwitchTime,
		Recent: !l.changedAt.IsZero() && time.Since(l.changedAt) < l.config.SwitchTime,
	}
	for _, m := range l.members {
		candidate.Members = append(candidate.Members, m.ID)
	}
	return oldest.declaredAt.Add(rollout.TurnAfter(candidate))
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
	held, err := l.staging.Held(callCtx, action.Manifest.Version)
	whole := err == nil && len(held) == len(action.Manifest.Chunks)
	if !whole {
		l.log.Warn("The staged weights are not whole.", "version", action.Manifest.Version, "held", len(held), "chunks", len(action.Manifest.Chunks), "err", err)
	}
	target := activation.Target{Version: action.Manifest.Version, Whole: action.Manifest.Whole, Boot: action.Boot}
	l.report(ctx, activation.Verified{Target: target, OK: whole})
}

func (l *loads) order(ctx context.Context, action activation.Order) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ended := activation.Give(callCtx, l.loader, action)
	if ended.Result != activation.OrderDone {
		l.log.Warn("The load order failed.", "version", action.Order.Version, "result", ended.Result)
	}
	l.report(ctx, ended)
}

func spreadSelf(config Config) spread.Member {
	return spread.Member{ID: core.VMID(config.EngineAddress), Zone: config.Zone, Region: config.Region}
}
