package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/ring"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Intervals and limits of the weights duty.
const (
	// stepInterval is the interval between steps of the activation machine.
	stepInterval = 100 * time.Millisecond
	// statusInterval is the interval between polls of the engine's status.
	statusInterval = 200 * time.Millisecond
	// loadTimeout bounds one load order.
	loadTimeout = 2 * time.Minute
	// manifestTimeout bounds one attempt to read a manifest.
	manifestTimeout = 5 * time.Second
	// drainTimeout bounds the wait for calls on the old version before a change.
	drainTimeout = 30 * time.Second
	// eventCapacity is the number of events that can be queued for the duty. Senders
	// block while the queue is full.
	eventCapacity = 64
)

// ManifestSource reads manifests from the weight store.
type ManifestSource interface {
	Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error)
}

// FenceStore is the part of the platform's key-value service that allocates fencing
// tokens for load orders.
type FenceStore = activation.Store

// weights makes the engine serve the declared version. One goroutine owns the
// activation machine. Calls to the engine, the platform and the staging area run in
// other goroutines and post their results as events.
type weights struct {
	process   *Process
	log       *log.Logger
	manifests *manifestReader
	holder    *activation.Holder
	events    *ring.Ring[activation.Event]
	views     chan *node.View

	mu      sync.Mutex
	machine *activation.Machine
	detail  string
	phase   rollout.Phase
	// target is the version of stagingTarget, for status reports.
	target core.VersionID

	// The fields below are owned by the duty.
	view     *node.View
	reading  readState
	declared *core.Manifest
	// fromPeer is set if the declared manifest was read from a peer. rejected is the
	// declaration whose manifest from a peer was invalid; it is then read from the store.
	fromPeer bool
	rejected declaredManifest
	// stagingTarget is the target last passed to the spreader.
	stagingTarget activation.Target
	change        versionChange
	// verifications numbers the calls of verify. stopVerify cancels the latest one.
	verifications uint64
	stopVerify    context.CancelFunc
	// stagedVersions lists the versions that may have staged chunks.
	stagedVersions map[core.VersionID]bool
}

func newWeights(p *Process, source ManifestSource, fences FenceStore) *weights {
	return &weights{
		process: p, log: p.node.Log.WithPrefix("weights"), manifests: &manifestReader{node: p.node, store: source},
		holder:         &activation.Holder{VM: p.node.VM, Incarnation: p.node.Incarnation, Process: p.node.Incarnation, Store: fences},
		events:         ring.New[activation.Event](eventCapacity),
		views:          make(chan *node.View, 1),
		machine:        activation.New(activation.Config{PlainNames: true}),
		view:           p.node.View(),
		stagedVersions: map[core.VersionID]bool{},

		stopVerify: func() {},
	}
}

// offerView passes the latest view to the duty, replacing a pending older one.
func (w *weights) offerView(view *node.View) {
	for {
		select {
		case w.views <- view:
			return
		default:
		}
		select {
		case <-w.views:
		default:
		}
	}
}

// serving returns the target that serves calls. It returns false unless the engine is
// known to serve what was ordered.
func (w *weights) serving() (activation.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, _, ok := w.machine.Serving(time.Now())
	return target, ok
}

// confirm reports whether an answer whose first token has arrived comes from target. It
// compares the boot number sent by the engine, or queries the engine's status if none
// was sent.
func (w *weights) confirm(ctx context.Context, target activation.Target, boot uint64) bool {
	if boot != 0 {
		return boot == target.Boot
	}
	status, err := w.process.engine.Status(ctx)
	return err == nil && status.Boot == target.Boot && status.Version == target.Version && status.State == engine.StateReady
}

// describe adds the state of the weights to a report.
func (w *weights) describe(state *peerpb.EndpointState) {
	target, ok := w.serving()
	w.mu.Lock()
	defer w.mu.Unlock()
	state.Ready = ok
	if ok {
		state.LoadedVersion = string(target.Version)
	}
	state.TargetVersion = string(w.target)
	state.Switching = string(w.phase)
	state.Detail = w.detail
	if w.target != "" {
		progress, _ := w.process.spreader.Progress(w.target)
		state.ChunksHeld = uint32(progress.Stored)
		state.ChunksTotal = uint32(progress.Total)
		state.SecondsLeft = float32(progress.TimeLeft.Seconds())
		state.SecondsLeftKnown = progress.TimeLeft > 0 || progress.Done
	}
}

// run drives the activation machine until ctx is done.
func (w *weights) run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w.view = <-w.views:
			w.applyView(ctx)
		case event := <-w.events.Items():
			w.handleResult(ctx, event)
			w.perform(ctx, w.step(event))
		case <-ticker.C:
			w.perform(ctx, w.step(activation.Tick{}))
		}
		w.readManifest(ctx)
		w.updateStagingTarget(ctx)
		w.advance(ctx)
	}
}

// step passes an event to the machine.
func (w *weights) step(event activation.Event) []activation.Action {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Step(time.Now(), event)
}

// handleResult processes the results that do not concern the machine.
func (w *weights) handleResult(ctx context.Context, event activation.Event) {
	switch result := event.(type) {
	case verificationResult:
		w.handleVerification(result)
	case readResult:
		w.handleRead(ctx, result)
	}
}

// post sends the result of a background call to the duty.
func (w *weights) post(ctx context.Context, event activation.Event) { _ = w.events.Put(ctx, event) }

// pollEngine polls the engine's status until ctx is done.
func (w *weights) pollEngine(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		status, err := w.process.engine.Status(ctx)
		if err != nil {
			w.post(ctx, activation.StatusFailed{})
			continue
		}
		w.post(ctx, activation.StatusSeen{Status: *status})
	}
}

// applyView applies the current view to the spreader, the manifest reads and the
// machine.
func (w *weights) applyView(ctx context.Context) {
	pool := w.view.Index.Pool(w.process.config.Pool)
	if pool == nil {
		return
	}
	poolMembers := members(w.view, pool)
	w.process.spreader.SetMembers(poolMembers)
	if w.reading.plan != nil {
		w.reading.plan.SetMembers(poolMembers)
	}
	if w.declared != nil && w.declared.Version == pool.Version {
		w.declare(ctx, w.declared)
	}
}

// declare notifies the machine of the version declared by the current configuration.
func (w *weights) declare(ctx context.Context, manifest *core.Manifest) {
	pool := w.view.Index.Pool(w.process.config.Pool)
	w.declared = manifest
	event := activation.Declared{Revision: w.view.ConfigRevision, Manifest: manifest, ChecksFence: pool.ChecksFence}
	w.perform(ctx, w.step(event))
}

func (w *weights) setDetail(detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detail = detail
}

// updateStagingTarget passes the version to stage for the engine's current boot to the
// spreader.
func (w *weights) updateStagingTarget(ctx context.Context) {
	w.mu.Lock()
	manifest, _, boot, ok := w.machine.StagingTarget()
	w.mu.Unlock()
	pool := w.view.Index.Pool(w.process.config.Pool)
	if !ok || pool == nil {
		return
	}
	target := activation.Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}
	if target == w.stagingTarget {
		return
	}
	if err := w.process.spreader.SetTarget(ctx, manifest, members(w.view, pool)); err != nil {
		w.log.Warn("Could not start the spread; retrying.", "version", manifest.Version, "err", err)
		return
	}
	w.process.node.Recorder.Add(timeline.KindSpreadStart, "", string(manifest.Version), "Spread started.")
	w.stagingTarget = target
	w.stagedVersions[target.Version] = true
	w.change = versionChange{}
	w.verify(ctx, manifest)
	w.mu.Lock()
	w.target = manifest.Version
	w.mu.Unlock()
}
