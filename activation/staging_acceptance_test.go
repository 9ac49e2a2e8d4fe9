package activation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// A status that was read before the load arrives after it, so that the version is ordered
// again. The next status shows the version, which an earlier order has loaded. If the engine
// crashes before it receives the second order, it takes what is staged by then.
func TestAVersionLoadedByAnEarlierOrderDoesNotShowThatTheOpenOrderIsAccepted(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	g.Expect(sent).To(ConsistOf(anOrder))
	e.now = e.now.Add(500 * time.Millisecond)
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderDone, Boot: 7})
	again := e.step(StatusSeen{Status: e.status})
	e.status.State, e.status.Version = engine.StateReady, "m/2"
	e.run(100 * time.Millisecond)
	g.Expect(e.machine.StagingInUse()).To(Equal(len(again) > 0), "an order that is open may not have been accepted")
}

// An order waits for a connection while the engine restarts, reaches the next boot, and its
// answer is lost.
func TestALostOrderMayBeAcceptedByTheNextBootOfTheEngine(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.status.Boot++
	e.run(time.Second)
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderLost})
	e.run(200 * time.Millisecond)
	g.Expect(e.machine.StagingInUse()).To(BeTrue())
}
