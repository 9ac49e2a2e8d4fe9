package activation

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// simulatedEngine is an engine in the simulation. With checksFence it rejects outdated
// fencing tokens; with loadsUnverified it loads incomplete weights too.
type simulatedEngine struct {
	status          engine.Status
	checksFence     bool
	loadsUnverified bool
	// partial reports whether the loaded weights had missing or corrupt chunks.
	partial bool
	role    string
	// staging holds the staged chunks by staging name and chunk index; the value is
	// false for a corrupt chunk.
	staging map[core.VersionID]map[int]bool
	// latest is the latest order executed since the last restart.
	latest  sentOrder
	loading []func()
	busy    bool
}

// enqueue queues an order. The engine executes one order at a time.
func (e *simulatedEngine) enqueue(s *simulation, o engine.LoadOrder, sent sentOrder, answer func(OrderResult, uint64)) {
	if !e.acceptFence(o) {
		answer(OrderOldNumber, 0)
		return
	}
	e.loading = append(e.loading, func() { e.load(s, o, sent, answer) })
	e.next()
}

// acceptFence reports whether the engine accepts the fencing token of an order, and
// records the highest token. Engines that do not check tokens accept all.
func (e *simulatedEngine) acceptFence(o engine.LoadOrder) bool {
	if e.checksFence && o.Fence < e.status.Fence {
		return false
	}
	e.status.Fence = max(e.status.Fence, o.Fence)
	return true
}

func (e *simulatedEngine) next() {
	if e.busy || len(e.loading) == 0 {
		return
	}
	first := e.loading[0]
	e.loading = e.loading[1:]
	e.busy = true
	first()
}

func (e *simulatedEngine) load(s *simulation, o engine.LoadOrder, sent sentOrder, answer func(OrderResult, uint64)) {
	finish := func(result OrderResult) {
		answer(result, e.status.Boot)
		e.busy = false
		e.next()
	}
	complete := len(e.staging[o.Version]) == chunkCount
	switch {
	case !e.acceptFence(o):
		finish(OrderOldNumber)
		return
	case !complete && !e.loadsUnverified:
		finish(OrderIncomplete)
		return
	}
	e.checkOrder(s, sent)
	boot := e.status.Boot
	intact := e.intact(o.Version)
	e.status.State = engine.StateLoading
	s.after(loadTime, func() {
		if e.status.Boot != boot {
			return
		}
		e.status.State, e.status.Version, e.partial, e.role = engine.StateReady, o.Version, !intact, o.Role
		finish(OrderDone)
	})
}

// intact reports whether all chunks are staged under the name and none is corrupt.
func (e *simulatedEngine) intact(name core.VersionID) bool {
	for chunk := range chunkCount {
		if !e.staging[name][chunk] {
			return false
		}
	}
	return true
}

// checkOrder verifies that an engine that checks fencing tokens, once it has executed
// an order, executes no order of an earlier process and no earlier order of the same
// process. Tokens below BlockSize are not unique and therefore exempt.
func (e *simulatedEngine) checkOrder(s *simulation, sent sentOrder) {
	old := sent.process < e.latest.process || sent.process == e.latest.process && sent.sequence < e.latest.sequence
	if e.checksFence && old && min(sent.number, e.latest.number) >= BlockSize {
		s.violations = append(s.violations, fmt.Sprintf("order %+v was executed after %+v", sent, e.latest))
	}
	if !old {
		e.latest = sent
	}
}

// restart restarts the engine without notice. The staged chunks and the loaded weights
// are lost.
func (e *simulatedEngine) restart() {
	e.status = engine.Status{Boot: e.status.Boot + 1, State: engine.StateEmpty}
	e.staging = map[core.VersionID]map[int]bool{}
	e.loading, e.busy, e.partial, e.latest = nil, false, false, sentOrder{}
}
