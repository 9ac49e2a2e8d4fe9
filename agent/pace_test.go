package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/peerpb"
)

// pacedFleet is the declaration of a deployment whose agents limit the slots that they divide.
func pacedFleet(paced bool) *peerpb.FleetNews {
	return &peerpb.FleetNews{Model: "m", Version: 2, Revision: 5, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes, OriginRegion: "r", Slots: slots, Paced: paced}
}

// granted returns the slots granted to the gateway last, -1 before slots are divided.
func (f *gateway) granted() int {
	if last := f.last(); last.GetDivided() {
		return int(last.GetGranted())
	}
	return -1
}

// demandAll declares a fleet and keeps asking for all slots.
func (f *gateway) demandAll(t *testing.T, fleet *peerpb.FleetNews) {
	t.Helper()
	NewWithT(t).Expect(f.stream.Send(&peerpb.GatewayNews{Fleet: fleet, Want: &peerpb.SlotWant{Calls: slots}})).To(Succeed())
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				if f.stream.Send(&peerpb.GatewayNews{Want: &peerpb.SlotWant{Calls: slots}}) != nil {
					return
				}
			}
		}
	}()
}

// Failure: all slots of an engine that has just been found are granted before it has shown
// that it runs calls; or the grants stay low although it does.
func TestSlotsOfAPacedEngineAreGrantedAsItsCallsBegin(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{version: 2}
	f := follow(t, start(t, e), "one", "r")
	f.demandAll(t, pacedFleet(true))
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(Equal(slots / 4))
	g.Consistently(f.granted, time.Second, 10*time.Millisecond).Should(Equal(slots/4), "no call has begun")
	e.setRunning(slots / 4)
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(Equal(slots / 2))
	g.Consistently(f.granted, 300*time.Millisecond, 10*time.Millisecond).Should(Equal(slots/2), "the further calls have not begun")
	e.setRunning(slots / 2)
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(Equal(slots))
}

// Failure: slots are limited in a deployment that does not ask for it, or by the messages of
// gateways that do not know the field.
func TestSlotsOfOtherEnginesAreGrantedAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := follow(t, start(t, &fakeEngine{version: 2}), "one", "r")
	f.demandAll(t, pacedFleet(false))
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(BeNumerically(">=", 0))
	g.Expect(f.granted()).To(Equal(slots))
}

// Failure: during an upgrade, each message of a gateway that does not know the field opens
// the limit.
func TestAGatewayWithoutTheFieldDoesNotEndPacingOfADeclaration(t *testing.T) {
	g := NewWithT(t)
	address := start(t, &fakeEngine{version: 2})
	f := follow(t, address, "one", "r")
	f.demandAll(t, pacedFleet(true))
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(Equal(slots / 4))
	older := follow(t, address, "two", "r")
	g.Expect(older.stream.Send(&peerpb.GatewayNews{Fleet: pacedFleet(false)})).To(Succeed())
	g.Consistently(f.granted, time.Second, 10*time.Millisecond).Should(Equal(slots / 4))
	next := pacedFleet(false)
	next.Revision++
	g.Expect(older.stream.Send(&peerpb.GatewayNews{Fleet: next})).To(Succeed())
	g.Eventually(f.granted, 5*time.Second, 10*time.Millisecond).Should(Equal(slots), "the next declaration does not ask for it")
}
