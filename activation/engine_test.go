package activation

import (
	"fmt"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// simulatedEngine is an engine. It loads whatever is staged if loadsUnverified is set.
type simulatedEngine struct {
	status          engine.Status
	checksFence     bool
	loadsUnverified bool
	partial         bool
	role            string
	// staging holds the staged chunks by name; the value is false for a corrupt chunk.
	staging map[core.VersionID]map[int]bool
	// latest is the latest order executed on this boot.
	latest  sentOrder
	loading []func()
	busy    bool
}

// enqueue queues an order. The engine executes one order at a time.
func (e *simulatedEngine) enqueue(s *simulation, o engine.LoadOrder, sent sentOrder, answer func(OrderResult, uint64)) {
	if !e.acceptNumber(o) {
		answer(OrderOldNumber, 0)
		return
	}
	e.loading = append(e.loading, func() { e.load(s, o, sent, answer) })
	e.next()
}

// acceptNumber rejects outdated numbers on engines that check them.
func (e *simulatedEngine) acceptNumber(o engine.LoadOrder) bool {
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
	end := func(result OrderResult) {
		answer(result, e.status.Boot)
		e.busy = false
		e.next()
	}
	complete := len(e.staging[o.Version]) == chunkCount
	switch {
	case !e.acceptNumber(o):
		end(OrderOldNumber)
		return
	case !complete && !e.loadsUnverified:
		end(OrderIncomplete)
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
		end(OrderDone)
	})
}

func (e *simulatedEngine) intact(name core.VersionID) bool {
	for chunk := range chunkCount {
		if !e.staging[name][chunk] {
			return false
		}
	}
	return true
}

// checkOrder verifies that an engine that checks numbers never executes an order
// issued before one that it has already executed, by the same or a later process.
// Numbers below BlockSize are not unique and therefore exempt.
func (e *simulatedEngine) checkOrder(s *simulation, sent sentOrder) {
	old := sent.process < e.latest.process || sent.process == e.latest.process && sent.sequence < e.latest.sequence
	if e.checksFence && old && min(sent.number, e.latest.number) >= BlockSize {
		s.violations = append(s.violations, fmt.Sprintf("order %+v was executed after %+v", sent, e.latest))
	}
	if !old {
		e.latest = sent
	}
}

// restart restarts the engine without notice; it loses its staging and its weights.
func (e *simulatedEngine) restart() {
	e.status = engine.Status{Boot: e.status.Boot + 1, State: engine.StateEmpty}
	e.staging = map[core.VersionID]map[int]bool{}
	e.loading, e.busy, e.partial, e.latest = nil, false, false, sentOrder{}
}
