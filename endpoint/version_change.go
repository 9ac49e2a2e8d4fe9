package endpoint

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaseam/zinniaseam/activation"
	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/rollout"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/timeline"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// versionChange is the progress of the change to the staging target.
type versionChange struct {
	// verified is set once the staged weights match the manifest's digest of the complete
	// weights.
	verified bool
	// waitingSince is when the endpoint announced that it waits to switch.
	waitingSince time.Time
	// stagedReported is set once the activation machine was notified that the weights
	// are staged.
	stagedReported bool
	// drainStarted is when the gate was closed for the change.
	drainStarted time.Time
}

// members returns the live VMs of the pool, which all need the pool's version.
func members(view *node.View, pool *catalogue.Pool) []spread.Member {
	var list []spread.Member
	for _, vm := range view.VMs {
		if vm.Pool == pool.Name && vm.State == core.VMLive {
			list = append(list, spread.Member{ID: vm.ID, Zone: vm.Zone, Region: vm.Region})
		}
	}
	return list
}

// advance takes the next step of the change once the weights are staged and verified:
// announce the change, drain the endpoint, and notify the activation machine.
func (w *weights) advance(ctx context.Context) {
	c := &w.change
	progress, known := w.process.spreader.Progress(w.stagingTarget.Version)
	if w.stagingTarget == (activation.Target{}) || !c.verified || !known || !progress.Done {
		return
	}
	present, serves := w.serving()
	if serves && present == w.stagingTarget {
		return
	}
	if !c.stagedReported && serves && present.Version != w.stagingTarget.Version && !w.readyToSwitch(c) {
		return
	}
	c.stagedReported = true
	w.perform(ctx, w.step(activation.Staged{Target: w.stagingTarget}))
}

// verify checks the digest of the complete weights in the background while the chunks
// arrive. It replaces any earlier check.
func (w *weights) verify(ctx context.Context, manifest *core.Manifest) {
	w.stopVerify()
	checkCtx, cancel := context.WithCancel(ctx)
	w.verifications++
	number := w.verifications
	w.stopVerify = cancel
	go func() {
		defer cancel()
		err := w.process.spreader.Verify(checkCtx, manifest)
		if checkCtx.Err() == nil {
			w.post(ctx, verificationResult{number: number, err: err})
		}
	}()
}

// verificationResult is the result of verify.
type verificationResult struct {
	activation.Tick
	number uint64
	err    error
}

// handleVerification processes the result of the latest verify.
func (w *weights) handleVerification(result verificationResult) {
	if result.number != w.verifications || w.stagingTarget == (activation.Target{}) {
		return
	}
	w.change.verified = result.err == nil
	if result.err != nil {
		w.log.Warn("Verification of the staged weights failed; staging them again.", "version", w.stagingTarget.Version, "err", result.err)
		w.stagingTarget = activation.Target{}
	}
	if errors.Is(result.err, transfer.ErrDigestMismatch) {
		w.rejectPeerManifest()
	}
}

// readyToSwitch reports whether the endpoint may stop serving its old version: the
// rollout policy allows it, and its calls have ended or drainTimeout has passed.
func (w *weights) readyToSwitch(c *versionChange) bool {
	now := time.Now()
	if c.waitingSince.IsZero() {
		c.waitingSince = now
		w.setPhase(rollout.PhaseWaiting)
		return false
	}
	if c.drainStarted.IsZero() {
		pool := w.view.Index.Pool(w.process.config.Pool)
		if pool == nil || pool.Paused || now.Sub(c.waitingSince) < rollout.AnnounceTime || !w.maySwitch(pool) {
			return false
		}
		c.drainStarted = now
		w.setPhase(rollout.PhaseSwitching)
	}
	return w.process.gate.Load().InFlight == 0 || now.Sub(c.drainStarted) > drainTimeout
}

// maySwitch applies the rollout policy to the endpoints of the pool in this zone.
func (w *weights) maySwitch(pool *catalogue.Pool) bool {
	var peers []rollout.Member
	for _, e := range w.process.node.Alive() {
		if e.State.GetPool() == string(pool.Name) && e.State.GetZone() == string(w.process.node.Zone) {
			peers = append(peers, rollout.Member{ID: core.VMID(e.State.GetVm()), Phase: rollout.Phase(e.State.GetSwitching())})
		}
	}
	size := w.view.PoolSize(pool.Name, w.process.node.Zone)
	return rollout.MaySwitch(w.process.node.VM, pool.Version, peers, rollout.Limit(pool.MaxSwitching, size))
}

// setPhase announces the phase of this endpoint and updates the gate.
func (w *weights) setPhase(phase rollout.Phase) {
	w.mu.Lock()
	changed := w.phase != phase
	w.phase = phase
	w.mu.Unlock()
	if !changed {
		return
	}
	w.process.node.RequestPoolStates(phase != rollout.PhaseNone)
	w.process.updateGate()
	w.process.node.Trigger()
}

// switching reports whether the gate is closed for a change of version.
func (w *weights) switching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase == rollout.PhaseSwitching
}

// perform executes the machine's actions. Slow ones run in the background.
func (w *weights) perform(ctx context.Context, actions []activation.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case activation.VerifyStaging:
			target := activation.Target{Version: a.Manifest.Version, Digest: a.Manifest.Whole, Boot: a.Boot}
			ok := w.change.verified && target == w.stagingTarget
			w.perform(ctx, w.step(activation.Verified{Target: target, OK: ok}))
		case activation.AllocateNumbers:
			go func() { w.post(ctx, w.holder.Allocate(ctx, a.AtLeast)) }()
		case activation.ConfirmHolder:
			go func() { w.post(ctx, w.holder.Confirm(ctx)) }()
		case activation.Order:
			go w.sendOrder(ctx, a.Order)
		case activation.Activated:
			w.activated(ctx, a.Target)
		case activation.Cold:
			w.process.gate.Cold()
			w.stagingTarget = activation.Target{}
			w.process.node.Recorder.Add(timeline.KindColdDetected, "", string(w.process.node.VM), "The engine has a new start number.")
			w.log.Warn("The engine restarted; its weights must be loaded again.", "boot", a.Boot)
		case activation.StagingLost:
			w.stagingTarget = activation.Target{}
		}
	}
}

// sendOrder sends a load order to the engine and posts the result.
func (w *weights) sendOrder(ctx context.Context, order engine.LoadOrder) {
	w.process.node.Recorder.Add(timeline.KindLoadOrder, "", string(order.Version), "Load order given.")
	orderCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	reply, err := w.process.engine.Load(orderCtx, &order)
	event := activation.OrderEnded{Number: order.Fence, Result: orderResult(err)}
	if err != nil {
		w.log.Warn("The load order failed.", "version", order.Version, "number", order.Fence, "err", err)
	} else {
		event.Boot = reply.Boot
	}
	w.post(ctx, event)
}

func orderResult(err error) activation.OrderResult {
	switch {
	case err == nil:
		return activation.OrderDone
	case errors.Is(err, engine.ErrStaleFence):
		return activation.OrderOldNumber
	case errors.Is(err, engine.ErrIncomplete):
		return activation.OrderIncomplete
	default:
		return activation.OrderLost
	}
}

// activated reopens the gate with the new version.
func (w *weights) activated(ctx context.Context, target activation.Target) {
	w.process.gate.Cold()
	w.setPhase(rollout.PhaseNone)
	w.setDetail("")
	w.process.node.Recorder.Add(timeline.KindVersionSwitch, "", string(target.Version), "The engine serves the version.")
	w.log.Info("The engine serves the version.", "version", target.Version)
	w.process.node.Trigger()
	w.freeOldVersions(ctx, target)
}

// freeOldVersions frees the staged chunks of versions that are neither served nor
// declared.
func (w *weights) freeOldVersions(ctx context.Context, target activation.Target) {
	for version := range w.stagedVersions {
		if version == target.Version || w.declared != nil && version == w.declared.Version {
			continue
		}
		if err := w.process.engine.Drop(ctx, version); err != nil {
			w.log.Warn("Could not free the staged chunks of an old version; retrying after the next activation.", "version", version, "err", err)
			continue
		}
		delete(w.stagedVersions, version)
	}
}
