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
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/ring"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// Loader sends load orders to the engine.
type Loader = activation.Loader

const (
	// stepInterval is the time between two steps of the state machine without events.
	stepInterval = 100 * time.Millisecond
	// loadTimeout bounds a load order; the engine loads only after its running calls
	// have ended.
	loadTimeout = 15 * time.Second
	// orderGrace is how long the state machine waits for the result of a load order after
	// loadTimeout.
	orderGrace = time.Second
	// stagingTimeout bounds the read of all staged chunks.
	stagingTimeout = 5 * time.Second
	// maxVerifiedAge is how old the read of the staged chunks may be when the load order is
	// sent. Engines excuse chunks that turned bad up to 3 s before they accept an order.
	maxVerifiedAge = 2 * time.Second
	// orderSettle is how long the engine may take to accept an order whose answer was lost:
	// it has received the order before the connection was closed.
	orderSettle = time.Second
	// retryWait is the delay before a failed load order or check is retried.
	retryWait = 100 * time.Millisecond
	// manifestWait is how long the agent waits for a gateway to send the manifest
	// before it fetches the manifest itself: a few round trips to the origin.
	manifestWait = 500 * time.Millisecond
	// noticeDelivery is the time for the delivery of a message to a gateway.
	noticeDelivery = 100 * time.Millisecond
	// switchNotice is the minimum time between the announcement of a weight switch and
	// the switch: one status interval and the delivery of the message.
	switchNotice = minStatusInterval + noticeDelivery
	// eventQueueSize is the capacity of the queue of results.
	eventQueueSize = 64
	// updateQueueSize is the capacity of each queue of updates from followers.
	updateQueueSize = 64
)

// updater updates the engine to the declared version. One goroutine, run, owns
// its state; calls to the engine and the origin run in goroutines of their own and
// report their results as events.
type updater struct {
	config   Config
	spreader *transfer.Spreader
	staging  *stagingGate
	loader   Loader
	origin   transfer.WeightSource
	log      *log.Logger
	events   *ring.Ring[activation.Event]
	// declarations are the declared versions that followers send.
	declarations *ring.Ring[*peerpb.FleetNews]
	// engineUpdates are the engines that followers send; relayUpdates are the followers
	// that store chunks.
	engineUpdates, relayUpdates *ring.Ring[[]*peerpb.FleetMember]
	// layerCount is the number of layers of the model.
	layerCount atomic.Int32

	// The fields below are owned by run.
	machine  *activation.Machine
	declared *peerpb.FleetNews
	// engines are the VMs that are to serve the same weights; relayMembers are the VMs
	// that store chunks for them.
	engines, relayMembers []spread.Member
	versions              rollout.Tracker
	// revision numbers the declarations passed to the state machine.
	revision uint64
	// target is the target that the spreader works towards.
	target activation.Target
	// loaded is the version in the engine's last report, 0 if it has no complete one;
	// boot is the engine's start time in that report.
	loaded int64
	boot   int64
	// orders is the engine's count of orders in that report.
	orders int64
	// idle is set if the last report counted no running and no waiting calls.
	idle bool
	// planned is the planned weight switch; onPlan is called with its time when it
	// changes, 0 for none.
	planned plannedSwitch
	onPlan  func(at boottime.Instant)
	// supersededAt returns when the first version of a model that is newer than the given
	// one was declared; known is false if no gateway has told it.
	supersededAt func(model string, version int64) (at boottime.Instant, known bool)
	// switchedAt is when the engine switched from another version to its present one.
	switchedAt boottime.Instant
}

func newUpdater(config Config, spreader *transfer.Spreader, staging *stagingGate, loader Loader, origin transfer.WeightSource, logger *log.Logger) *updater {
	return &updater{
		config: config, spreader: spreader, staging: staging, loader: loader, origin: origin, log: logger.WithPrefix("loads"),
		events: ring.New[activation.Event](eventQueueSize), declarations: ring.New[*peerpb.FleetNews](updateQueueSize),
		engineUpdates: ring.New[[]*peerpb.FleetMember](updateQueueSize),
		relayUpdates:  ring.New[[]*peerpb.FleetMember](updateQueueSize),
		machine:       activation.New(activation.Config{PlainNames: true, OrderTimeout: loadTimeout + orderGrace, CallTimeout: stagingTimeout, RetryWait: retryWait, MaxVerifiedAge: maxVerifiedAge, OrderSettle: orderSettle}),
	}
}

// layers returns the number of layers of the model, 1 while it is unknown.
func (u *updater) layers() int { return max(int(u.layerCount.Load()), 1) }

// offerDeclaration queues a declaration of a follower. If the queue is full, it is
// dropped; the follower's next message has the same content or a later one.
func (u *updater) offerDeclaration(declared *peerpb.FleetNews) { u.declarations.Offer(declared) }

// queueManifest decodes a manifest that a gateway sent and queues it.
func (u *updater) queueManifest(ctx context.Context, message *peerpb.DeclaredManifest) {
	if len(message.GetWhole()) != len(core.Digest{}) {
		u.log.Warn("Ignoring a manifest whose digest has a wrong length.", "version", message.GetVersion(), "bytes", len(message.GetWhole()))
		return
	}
	manifest, err := transfer.DecodeManifest(core.VersionID(message.GetVersion()), core.Digest(message.GetWhole()), message.GetManifest())
	if err != nil {
		u.log.Warn("Ignoring an invalid manifest.", "version", message.GetVersion(), "err", err)
		return
	}
	u.queue(ctx, manifestReceived{manifest: manifest})
}

// offerEngines queues the engines that serve the same model.
func (u *updater) offerEngines(engines []*peerpb.FleetMember) { u.engineUpdates.Offer(engines) }

// offerRelays queues the relays that follow the agent. If the queue is full, the list
// is dropped; the next change queues the complete list again.
func (u *updater) offerRelays(relays []*peerpb.FleetMember) { u.relayUpdates.Offer(relays) }

// queueReport queues the result of a status poll of the engine.
func (u *updater) queueReport(ctx context.Context, report EngineReport, requestedAt boottime.Instant, err error) {
	if err != nil {
		u.queue(ctx, activation.StatusFailed{})
		return
	}
	u.queue(ctx, engineReported{report: report, requestedAt: requestedAt})
}

// engineReported is a status report of the engine that has not been converted to an
// event of the state machine yet.
type engineReported struct {
	activation.Tick
	report      EngineReport
	requestedAt boottime.Instant
}

// manifestReceived is a manifest that a gateway sent.
type manifestReceived struct {
	activation.Tick
	manifest *core.Manifest
}

// manifestFetched is the result of fetching a manifest from the origin.
type manifestFetched struct {
	activation.Tick
	version *rollout.TrackedVersion
	// manifest is nil if the fetch failed.
	manifest *core.Manifest
}

func (u *updater) queue(ctx context.Context, event activation.Event) { _ = u.events.Put(ctx, event) }

// run processes updates and events until ctx ends.
func (u *updater) run(ctx context.Context) error {
	// Only this agent orders the engine, so the fencing tokens need no allocation by the
	// platform.
	u.step(ctx, activation.NumbersGranted{First: 1, Last: math.MaxInt64})
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case declared := <-u.declarations.Items():
			u.applyDeclaration(declared)
		case engines := <-u.engineUpdates.Items():
			u.engines = transfer.Members(engines, false)
			u.spreader.SetMembers(u.members())
		case relays := <-u.relayUpdates.Items():
			u.relayMembers = transfer.Members(relays, true)
			u.spreader.SetMembers(u.members())
		case <-u.spreader.Staged():
		case event := <-u.events.Items():
			u.handle(ctx, event)
		case <-ticker.C:
			u.step(ctx, activation.Tick{})
		}
		u.correctTimes()
		u.selectVersion(ctx)
		u.advance(ctx)
	}
}

// handle processes the updater's own events and passes all others to the state machine.
func (u *updater) handle(ctx context.Context, event activation.Event) {
	switch e := event.(type) {
	case engineReported:
		u.applyReport(ctx, e.report, e.requestedAt)
	case manifestReceived:
		if err := transfer.CheckChunks(e.manifest, u.declared); err != nil {
			u.log.Warn("Ignoring a manifest that a gateway sent.", "err", err)
			return
		}
		for _, v := range u.versions.Versions() {
			if v.ID == e.manifest.Version && v.Manifest == nil {
				v.Manifest = e.manifest
			}
		}
	case manifestFetched:
		e.version.Reading = false
		if e.version.Manifest == nil {
			e.version.Manifest = e.manifest
		}
	default:
		u.step(ctx, event)
	}
}

// applyDeclaration applies a declaration of a follower. A declaration with an older
// version than the last one is ignored.
func (u *updater) applyDeclaration(declared *peerpb.FleetNews) {
	if u.declared != nil && declared.GetVersion() < u.declared.GetVersion() || declared.GetVersion() == 0 {
		return
	}
	now := boottime.Now()
	declaredAt, known := u.supersededAt(declared.GetModel(), declared.GetVersion()-1)
	switch {
	case known:
	case u.declared == nil:
		// The time of the first declaration is unknown, so the switch must not wait.
		declaredAt = now.Add(-u.config.SwitchTime)
	default:
		declaredAt = now
	}
	u.declared = declared
	u.layerCount.Store(int32(declared.GetLayers()))
	u.origin.SetAddress(declared.GetOrigin())
	u.spreader.SetOriginRegion(core.RegionID(declared.GetOriginRegion()))
	if u.versions.Declare(now, declared.GetVersion(), u.config.Version(declared.GetModel(), declared.GetVersion()), declaredAt) {
		u.log.Info("A new version of the weights was declared.", "model", declared.GetModel(), "version", declared.GetVersion(), "ageMs", now.Sub(declaredAt).Milliseconds(), "ageKnown", known,
			"engines", len(u.engines), "relays", len(u.relayMembers))
	}
}

// members returns all VMs that take part in the spread.
func (u *updater) members() []spread.Member {
	return append(slices.Clone(u.engines), u.relayMembers...)
}

// fetchManifest fetches the manifest of a declared version from the origin in the
// background. If relays follow the agent, it first waits for one of them to send the
// manifest, since the origin accepts few connections.
func (u *updater) fetchManifest(ctx context.Context, v *rollout.TrackedVersion) {
	if v.Reading || v.Manifest != nil || len(u.relayMembers) > 0 && boottime.Now().Sub(v.KnownAt) < manifestWait {
		return
	}
	v.Reading = true
	declared := u.declared
	go func() {
		u.queue(ctx, manifestFetched{version: v, manifest: transfer.ReadManifest(ctx, u.origin, v.ID, declared, u.log)})
	}()
}

// applyReport applies a status report of the engine.
func (u *updater) applyReport(ctx context.Context, report EngineReport, requestedAt boottime.Instant) {
	loaded := completeVersion(report, u.layers())
	if report.Boot != u.boot || loaded != u.loaded {
		u.log.Info("The engine reported another boot or version.", "boot", report.Boot, "version", loaded, "formerBoot", u.boot, "formerVersion", u.loaded)
		if loaded > 0 && report.Boot == u.boot {
			u.switchedAt = boottime.Now()
		}
		u.boot, u.loaded = report.Boot, loaded
	}
	u.idle, u.orders = report.Running+report.Waiting == 0, report.Orders
	status := engine.Status{Boot: uint64(report.Boot), State: engine.StateEmpty}
	if loaded > 0 && u.declared != nil {
		status.State, status.Version = engine.StateReady, u.config.Version(u.declared.GetModel(), loaded)
	}
	if report.Loading {
		status.State = engine.StateLoading
	}
	u.versions.RemoveUpTo(u.loaded)
	u.step(ctx, activation.StatusSeen{Status: status, RequestedAt: requestedAt.Time()})
}

// selectVersion selects the version to stage and passes it to the state machine and
// the spreader.
func (u *updater) selectVersion(ctx context.Context) {
	if u.versions.Newest() == nil {
		return
	}
	u.countChunks()
	for _, v := range u.versions.Versions() {
		u.fetchManifest(ctx, v)
	}
	if u.machine.StagingInUse() {
		return // the chunks of another version would replace the staged ones
	}
	former := u.versions.Chosen()
	chosen, changed := u.versions.Choose(rollout.Choice{Now: boottime.Now(), Limit: u.config.SwitchTime, Serving: u.loaded > 0, SwitchAt: u.earliestSwitch()})
	if changed {
		if former != nil {
			u.log.Info("Staging another version.", "version", chosen.ID, "staged", chosen.ChunksPresent(), "former", former.ID, "formerStaged", former.ChunksPresent(), "engineOrders", u.orders)
		}
		u.revision++
		u.staging.SetManifest(chosen.Manifest)
		u.step(ctx, activation.Declared{Revision: u.revision, Manifest: chosen.Manifest})
	}
	manifest, _, boot, ok := u.machine.StagingTarget()
	if !ok || chosen == nil {
		return
	}
	target := activation.Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}
	if target == u.target {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	if err := u.spreader.SetTarget(callCtx, manifest, u.members()); err != nil {
		u.log.Warn("Could not set the target of the spread; retrying in the next step.", "version", manifest.Version, "err", err)
		return
	}
	u.target = target
}

// countChunks updates the number of staged chunks of the chosen version.
func (u *updater) countChunks() {
	chosen := u.versions.Chosen()
	if chosen == nil {
		return
	}
	if progress, known := u.spreader.Progress(chosen.ID); known {
		chosen.SetChunksPresent(boottime.Now(), progress.Stored)
	}
}

// step passes one event to the state machine and executes the resulting actions.
func (u *updater) step(ctx context.Context, event activation.Event) {
	now := boottime.Now()
	for _, action := range u.machine.Step(now.Time(), event) {
		switch a := action.(type) {
		case activation.VerifyStaging:
			u.staging.close()
			go u.verify(ctx, a)
		case activation.ConfirmHolder:
			// The engine accepts orders from its own VM only, so no other agent can
			// have superseded this one.
			u.step(ctx, activation.HolderConfirmed{})
		case activation.Order:
			a.Order.NotAfter, a.Order.EngineOrders = now.Add(a.ValidFor), u.orders
			u.log.Info("Sending a load order to the engine.", "version", a.Order.Version, "number", a.Order.Fence, "boot", u.boot, "formerVersion", u.loaded,
				"verifiedMs", (maxVerifiedAge - a.ValidFor).Milliseconds(), "engineOrders", u.orders)
			go u.sendOrder(ctx, a)
		case activation.Activated:
			u.log.Info("The engine serves the version.", "version", a.Target.Version, "boot", a.Target.Boot)
		case activation.Cold:
			u.log.Warn("The engine restarted; staging its weights again.", "boot", a.Boot)
			u.target = activation.Target{}
		case activation.StagingLost:
			u.target = activation.Target{}
		}
	}
	if !u.machine.StagingInUse() {
		u.staging.open()
	}
}

// verify checks just before a load that all chunks are staged.
func (u *updater) verify(ctx context.Context, action activation.VerifyStaging) {
	callCtx, cancel := context.WithTimeout(ctx, stagingTimeout)
	defer cancel()
	var staged []int
	err := u.staging.awaitWrites(callCtx)
	began := boottime.Now()
	if err == nil {
		staged, err = u.staging.List(callCtx, action.Manifest.Version)
	}
	complete := err == nil && len(staged) == len(action.Manifest.Chunks)
	if complete {
		u.log.Info("The staged weights are complete.", "version", action.Manifest.Version, "boot", action.Boot, "chunks", len(staged), "tookMs", boottime.Now().Sub(began).Milliseconds())
	} else {
		u.log.Warn("The staged weights are incomplete; staging them again.", "version", action.Manifest.Version, "held", len(staged), "chunks", len(action.Manifest.Chunks), "err", err)
	}
	target := activation.Target{Version: action.Manifest.Version, Digest: action.Manifest.Whole, Boot: action.Boot}
	u.queue(ctx, activation.Verified{Target: target, OK: complete, ReadAt: began.Time()})
}

// sendOrder sends a load order and reports its result.
func (u *updater) sendOrder(ctx context.Context, action activation.Order) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sent := boottime.Now()
	ended := activation.SendOrder(callCtx, u.loader, action)
	if ended.Result != activation.OrderDone {
		u.log.Warn("The load order failed.", "version", action.Order.Version, "number", action.Order.Fence, "result", ended.Result,
			"ms", boottime.Now().Sub(sent).Milliseconds(), "err", ended.Err)
	}
	u.queue(ctx, ended)
}

func selfMember(config Config) spread.Member {
	return spread.Member{ID: core.VMID(config.EngineAddress), Zone: config.Zone, Region: config.Region}
}
