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

// change is how far the change to the wanted target has come.
type change struct {
	// verified says that the staged weights were checked as a whole.
	verified bool
	// announced is when the endpoint began to wait for its turn.
	announced time.Time
	// reported says that the machine was told that the weights are staged.
	reported bool
	// drained is when the gate was closed for the change.
	drained time.Time
}

// members lists the machines that want the pool's version.
func members(view *node.View, pool *catalogue.Pool) []spread.Member {
	var list []spread.Member
	for _, vm := range view.VMs {
		if vm.Pool == pool.Name && vm.State == core.VMLive {
			list = append(list, spread.Member{ID: vm.ID, Zone: vm.Zone, Region: vm.Region})
		}
	}
	return list
}

// advance moves the change one step: staged and verified, announced, drained, reported.
func (w *weights) advance(ctx context.Context) {
	c := &w.change
	progress, known := w.process.spreader.Progress(w.wanted.Version)
	if w.wanted == (activation.Target{}) || !c.verified || !known || !progress.Done {
		return
	}
	present, serves := w.serving()
	if serves && present == w.wanted {
		return
	}
	if !c.reported && serves && present.Version != w.wanted.Version && !w.takeTurn(c) {
		return
	}
	c.reported = true
	w.perform(ctx, w.step(activation.Staged{Target: w.wanted}))
}

// verify checks the weights as a whole beside the duty, while they arrive. It
// takes the place of any check before it.
func (w *weights) verify(ctx context.Context, manifest *core.Manifest) {
	w.stopVerify()
	checkCtx, cancel := context.WithCancel(ctx)
	w.checks++
	number := w.checks
	w.stopVerify = cancel
	go func() {
		defer cancel()
		err := w.process.spreader.Verify(checkCtx, manifest)
		if checkCtx.Err() == nil {
			w.report(ctx, wholeChecked{number: number, err: err})
		}
	}()
}

// wholeChecked is the end of verify.
type wholeChecked struct {
	activation.Tick
	number uint64
	err    error
}

// settleCheck takes the result of the latest verify.
func (w *weights) settleCheck(done wholeChecked) {
	if done.number != w.checks || w.wanted == (activation.Target{}) {
		return
	}
	w.change.verified = done.err == nil
	if done.err != nil {
		w.log.Warn("The staged weights don't match.", "version", w.wanted.Version, "err", done.err)
		w.wanted = activation.Target{}
	}
	if errors.Is(done.err, transfer.ErrDigestMismatch) {
		w.distrust()
	}
}

// takeTurn reports whether the endpoint may leave its old version now: its turn
// has come and its calls have ended.
func (w *weights) takeTurn(c *change) bool {
	now := time.Now()
	if c.announced.IsZero() {
		c.announced = now
		w.setPhase(rollout.PhaseWaiting)
		return false
	}
	if c.drained.IsZero() {
		pool := w.view.Index.Pool(w.process.config.Pool)
		if pool == nil || pool.Paused || now.Sub(c.announced) < rollout.AnnounceTime || !w.mayChange(pool) {
			return false
		}
		c.drained = now
		w.setPhase(rollout.PhaseSwitching)
	}
	return w.process.gate.Load().InFlight == 0 || now.Sub(c.drained) > drainTimeout
}

// mayChange asks the rollout policy about the endpoints of the pool in this zone.
func (w *weights) mayChange(pool *catalogue.Pool) bool {
	var peers []rollout.Member
	for _, e := range w.process.node.Alive() {
		if e.State.GetPool() == string(pool.Name) && e.State.GetZone() == string(w.process.node.Zone) {
			peers = append(peers, rollout.Member{ID: core.VMID(e.State.GetVm()), Phase: rollout.Phase(e.State.GetSwitching())})
		}
	}
	size := w.view.PoolSize(pool.Name, w.process.node.Zone)
	return rollout.MaySwitch(w.process.node.VM, pool.Version, peers, rollout.Limit(pool.MaxSwitching, size))
}

// setPhase announces where this endpoint stands and closes or opens the gate.
func (w *weights) setPhase(phase rollout.Phase) {
	w.mu.Lock()
	changed := w.phase != phase
	w.phase = phase
	w.mu.Unlock()
	if !changed {
		return
	}
	w.process.node.FollowPool(phase != rollout.PhaseNone)
	w.process.updateGate()
	w.process.node.Trigger()
}

// switching reports whether the gate is closed for a change of version.
func (w *weights) switching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase == rollout.PhaseSwitching
}

// perform carries out the machine's actions; slow ones run beside the duty.
func (w *weights) perform(ctx context.Context, actions []activation.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case activation.VerifyStaging:
			target := activation.Target{Version: a.Manifest.Version, Digest: a.Manifest.Whole, Boot: a.Boot}
			ok := w.change.verified && target == w.wanted
			w.perform(ctx, w.step(activation.Verified{Target: target, OK: ok}))
		case activation.AllocateNumbers:
			go func() { w.report(ctx, w.holder.Allocate(ctx, a.AtLeast)) }()
		case activation.ConfirmHolder:
			go func() { w.report(ctx, w.holder.Confirm(ctx)) }()
		case activation.Order:
			go w.order(ctx, a.Order)
		case activation.Activated:
			w.activated(ctx, a.Target)
		case activation.Cold:
			w.process.gate.Cold()
			w.wanted = activation.Target{}
			w.process.node.Recorder.Add(timeline.KindColdDetected, "", string(w.process.node.VM), "The engine has a new start number.")
			w.log.Warn("The engine restarted.", "boot", a.Boot)
		case activation.StagingLost:
			w.wanted = activation.Target{}
		}
	}
}

// order gives one load order and reports how it ended.
func (w *weights) order(ctx context.Context, order engine.LoadOrder) {
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
	w.report(ctx, event)
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

// activated reopens the gate on the new version.
func (w *weights) activated(ctx context.Context, target activation.Target) {
	w.process.gate.Cold()
	w.setPhase(rollout.PhaseNone)
	w.setDetail("")
	w.process.node.Recorder.Add(timeline.KindVersionSwitch, "", string(target.Version), "The engine serves the version.")
	w.log.Info("Serving version.", "version", target.Version)
	w.process.node.Trigger()
	w.freeFormer(ctx, target)
}

// freeFormer frees the staged chunks of versions that are neither served nor declared.
func (w *weights) freeFormer(ctx context.Context, target activation.Target) {
	for version := range w.kept {
		if version == target.Version || w.declared != nil && version == w.declared.Version {
			continue
		}
		if err := w.process.engine.Drop(ctx, version); err != nil {
			w.log.Warn("The staging of a former version can't be freed.", "version", version, "err", err)
			continue
		}
		delete(w.kept, version)
	}
}
