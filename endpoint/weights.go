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

// Times of the weights duty.
const (
	// stepInterval is the time between two steps of the duty.
	stepInterval = 100 * time.Millisecond
	// statusInterval is the time between two looks at the engine.
	statusInterval = 200 * time.Millisecond
	// loadTimeout bounds one load order.
	loadTimeout = 2 * time.Minute
	// manifestTimeout bounds one try to read a manifest.
	manifestTimeout = 5 * time.Second
	// drainTimeout bounds the wait for calls on the old version before a change.
	drainTimeout = 30 * time.Second
	// eventRing is how many results wait for the duty; senders wait for room.
	eventRing = 64
)

// ManifestSource reads manifests from the weight store.
type ManifestSource interface {
	Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error)
}

// FenceStore is the part of the platform's key-value service that order numbers need.
type FenceStore = activation.Store

// weights brings the engine to the declared version. One goroutine owns the
// activation machine; calls to the engine, the platform and the staging run
// beside it and report by events.
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
	target  core.VersionID

	// Owned by the duty.
	view     *node.View
	reading  reading
	declared *core.Manifest
	// fromPeer says that a peer gave the declared manifest, distrusted which one
	// of a peer did not hold.
	fromPeer   bool
	distrusted wantedManifest
	// wanted is what the spreader was last told.
	wanted activation.Target
	change change
	// checks numbers the checks of the whole, stopVerify ends the latest.
	checks     uint64
	stopVerify context.CancelFunc
	// kept lists the versions that may have chunks in the staging.
	kept map[core.VersionID]bool
}

func newWeights(p *Process, source ManifestSource, fences FenceStore) *weights {
	return &weights{
		process: p, log: p.node.Log.WithPrefix("weights"), manifests: &manifestReader{node: p.node, store: source},
		holder:  &activation.Holder{VM: p.node.VM, Incarnation: p.node.Incarnation, Process: p.node.Incarnation, Store: fences},
		events:  ring.New[activation.Event](eventRing),
		views:   make(chan *node.View, 1),
		machine: activation.New(activation.Config{PlainNames: true}),
		view:    p.node.View(),
		kept:    map[core.VersionID]bool{},

		stopVerify: func() {},
	}
}

// offer hands the newest view to the duty; an older one that still waits is replaced.
func (w *weights) offer(view *node.View) {
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

// serving returns what calls are answered by, while the engine is what was ordered.
func (w *weights) serving() (activation.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, _, ok := w.machine.Serving(time.Now())
	return target, ok
}

// confirm reports whether an answer whose first token has arrived comes from
// target: by the start number that the engine sent with it, else by a look at
// the engine made now.
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

// run owns the machine until ctx ends.
func (w *weights) run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w.view = <-w.views:
			w.followView(ctx)
		case event := <-w.events.Items():
			w.settle(ctx, event)
			w.perform(ctx, w.step(event))
		case <-ticker.C:
			w.perform(ctx, w.step(activation.Tick{}))
		}
		w.readManifest(ctx)
		w.want(ctx)
		w.advance(ctx)
	}
}

// step passes one event to the machine.
func (w *weights) step(event activation.Event) []activation.Action {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Step(time.Now(), event)
}

// settle takes the results that are the duty's own.
func (w *weights) settle(ctx context.Context, event activation.Event) {
	switch done := event.(type) {
	case wholeChecked:
		w.settleCheck(done)
	case manifestRead:
		w.settleRead(ctx, done)
	}
}

// report passes the result of a call to the duty.
func (w *weights) report(ctx context.Context, event activation.Event) { _ = w.events.Put(ctx, event) }

// watchEngine looks at the engine until ctx ends.
func (w *weights) watchEngine(ctx context.Context) error {
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
			w.report(ctx, activation.StatusFailed{})
			continue
		}
		w.report(ctx, activation.StatusSeen{Status: *status})
	}
}

// followView takes a new configuration.
func (w *weights) followView(ctx context.Context) {
	pool := w.view.Index.Pool(w.process.config.Pool)
	if pool == nil {
		return
	}
	machines := members(w.view, pool)
	w.process.spreader.SetMembers(machines)
	if w.reading.plan != nil {
		w.reading.plan.SetMembers(machines)
	}
	if w.declared != nil && w.declared.Version == pool.Version {
		w.declare(ctx, w.declared)
	}
}

// declare tells the machine which version the configuration in force wants.
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

// want tells the spreader which version to stage on the engine's present boot.
func (w *weights) want(ctx context.Context) {
	w.mu.Lock()
	manifest, _, boot, ok := w.machine.StagingTarget()
	w.mu.Unlock()
	pool := w.view.Index.Pool(w.process.config.Pool)
	if !ok || pool == nil {
		return
	}
	target := activation.Target{Version: manifest.Version, Digest: manifest.Whole, Boot: boot}
	if target == w.wanted {
		return
	}
	if err := w.process.spreader.SetTarget(ctx, manifest, members(w.view, pool)); err != nil {
		w.log.Warn("The spread can't start.", "version", manifest.Version, "err", err)
		return
	}
	w.process.node.Recorder.Add(timeline.KindSpreadStart, "", string(manifest.Version), "Spread started.")
	w.wanted = target
	w.kept[target.Version] = true
	w.change = change{}
	w.verify(ctx, manifest)
	w.mu.Lock()
	w.target = manifest.Version
	w.mu.Unlock()
}
