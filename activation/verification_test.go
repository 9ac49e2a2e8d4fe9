package activation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// uncheckedConfig is for an engine that loads what is staged without a check.
var uncheckedConfig = Config{PlainNames: true, MaxVerifiedAge: 2 * time.Second, RetryWait: 100 * time.Millisecond, OrderSettle: time.Second}

// uncheckedEngine drives a machine whose engine has just started.
type uncheckedEngine struct {
	machine  *Machine
	now      time.Time
	status   engine.Status
	revision uint64
}

func newUncheckedEngine() *uncheckedEngine {
	e := &uncheckedEngine{machine: New(uncheckedConfig), now: time.Unix(1000, 0), status: engine.Status{Boot: 7, State: engine.StateEmpty}}
	e.step(NumbersGranted{First: 1, Last: 1000})
	e.step(StatusSeen{Status: e.status})
	return e
}

// step applies an event and confirms the holder if the machine asks for it.
func (e *uncheckedEngine) step(event Event) []Action {
	var out []Action
	for _, a := range e.machine.Step(e.now, event) {
		if _, confirm := a.(ConfirmHolder); confirm {
			out = append(out, e.step(HolderConfirmed{})...)
			continue
		}
		out = append(out, a)
	}
	return out
}

// run lets time pass with a status every 100 ms and returns all actions.
func (e *uncheckedEngine) run(span time.Duration) []Action {
	var out []Action
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(100 * time.Millisecond)
		out = append(out, e.step(StatusSeen{Status: e.status})...)
	}
	return out
}

func (e *uncheckedEngine) declare(version core.VersionID) (Target, []Action) {
	e.revision++
	manifest := &core.Manifest{Version: version, Whole: core.DigestOf([]byte(version))}
	target := Target{Version: version, Digest: manifest.Whole, Boot: e.status.Boot}
	return target, e.step(Declared{Revision: e.revision, Manifest: manifest})
}

var (
	anOrder        = BeAssignableToTypeOf(Order{})
	aVerification  = BeAssignableToTypeOf(VerifyStaging{})
	onlyVerifies   = ConsistOf(aVerification)
	suspensionTime = 4 * time.Second
)

func TestAnOrderIsNotSentOnAVerificationFromBeforeASuspension(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	g.Expect(e.step(Staged{Target: target})).To(onlyVerifies)
	readAt := e.now
	e.now = e.now.Add(suspensionTime)
	actions := e.step(Verified{Target: target, OK: true, ReadAt: readAt})
	actions = append(actions, e.run(200*time.Millisecond)...)
	g.Expect(actions).To(onlyVerifies, "the chunks may have turned bad meanwhile")
	g.Expect(e.step(Verified{Target: target, OK: true, ReadAt: e.now})).To(ContainElement(anOrder))
}

func TestAnOrderWhoseResultWasLostIsRepeatedOnlyAfterAnotherVerification(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	g.Expect(sent).To(ConsistOf(anOrder))
	g.Expect(sent[0].(Order).ValidFor).To(Equal(uncheckedConfig.MaxVerifiedAge))
	g.Expect(e.run(3 * time.Second)).To(BeEmpty())
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderLost})
	g.Expect(e.run(3 * time.Second)).To(onlyVerifies)
}

func TestAnOrderThatExpiredBeforeItWasSentIsVerifiedAgain(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.now = e.now.Add(suspensionTime)
	actions := e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderNotSent})
	g.Expect(append(actions, e.run(200*time.Millisecond)...)).To(onlyVerifies)
}

func TestAnOrderThatExpiredReleasesTheStagingBeforeTheNextVerification(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.run(uncheckedConfig.MaxVerifiedAge + 100*time.Millisecond)
	g.Expect(e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderNotSent})).To(BeEmpty())
	g.Expect(e.machine.StagingInUse()).To(BeFalse(), "a newer version may be chosen")
	g.Expect(e.run(200 * time.Millisecond)).To(onlyVerifies)
}

func TestTheStagingIsInUseFromItsVerificationUntilTheOrderIsAccepted(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	g.Expect(e.machine.StagingInUse()).To(BeFalse())
	e.step(Staged{Target: target})
	g.Expect(e.machine.StagingInUse()).To(BeTrue())
	e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.run(time.Second)
	g.Expect(e.machine.StagingInUse()).To(BeTrue())
	e.status.State = engine.StateLoading
	e.run(100 * time.Millisecond)
	g.Expect(e.machine.StagingInUse()).To(BeFalse(), "the engine has taken the chunks")
}

// The answer to the order was lost before the engine accepted it.
func TestALostOrderKeepsTheStagingUntilTheEngineCanNoLongerAcceptIt(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderLost})
	g.Expect(e.run(uncheckedConfig.OrderSettle - 100*time.Millisecond)).To(BeEmpty())
	g.Expect(e.machine.StagingInUse()).To(BeTrue())
	g.Expect(e.run(200 * time.Millisecond)).To(ContainElement(Or(anOrder, aVerification)))
}

func TestARejectedOrderReleasesTheStaging(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderRejected})
	g.Expect(e.machine.StagingInUse()).To(BeFalse())
}

func TestAnOrderThatWasAcceptedReleasesTheStagingAlthoughItsResultIsUnknown(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderUnconfirmed})
	g.Expect(e.machine.StagingInUse()).To(BeFalse())
}

// Versions 2 and 3 are declared close together. Some chunks of 3 have replaced those of 2
// when 2 is chosen again.
func TestAVersionChosenAgainIsStagedAndVerifiedAgain(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	second, _ := e.declare("m/2")
	g.Expect(e.step(Staged{Target: second})).To(onlyVerifies)
	e.status.State = engine.StateLoading // by an earlier order
	e.step(StatusSeen{Status: e.status})
	e.step(Verified{Target: second, OK: true, ReadAt: e.now})
	e.declare("m/3")
	_, actions := e.declare("m/2")
	e.status.State = engine.StateEmpty
	actions = append(actions, e.run(200*time.Millisecond)...)
	g.Expect(actions).To(BeEmpty(), "version 2 has not been staged again")
	g.Expect(e.step(Staged{Target: second})).To(onlyVerifies)
}

// A slow VM takes longer to read all chunks than a verification is valid.
func TestAVerificationThatTakesTooLongReleasesTheStagingBeforeTheNext(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	g.Expect(e.step(Staged{Target: target})).To(onlyVerifies)
	readAt := e.now
	g.Expect(e.run(uncheckedConfig.MaxVerifiedAge + 500*time.Millisecond)).To(BeEmpty())
	g.Expect(e.step(Verified{Target: target, OK: true, ReadAt: readAt})).To(BeEmpty())
	g.Expect(e.machine.StagingInUse()).To(BeFalse(), "a newer version may be chosen")
	g.Expect(e.run(200 * time.Millisecond)).To(onlyVerifies)
}

// The VM was suspended in a verification of version 2. Version 3 is chosen and 2 again
// before the result arrives.
func TestTheResultOfAVerificationThatTimedOutIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	second, _ := e.declare("m/2")
	g.Expect(e.step(Staged{Target: second})).To(onlyVerifies)
	e.now = e.now.Add(defaultCallTimeout - 500*time.Millisecond)
	readAt := e.now
	e.now = e.now.Add(time.Second)
	e.step(Tick{})
	g.Expect(e.machine.StagingInUse()).To(BeFalse(), "the verification timed out")
	e.declare("m/3")
	e.declare("m/2")
	e.step(StatusSeen{Status: e.status})
	g.Expect(e.step(Staged{Target: second})).To(onlyVerifies)
	g.Expect(e.step(Verified{Target: second, OK: true, ReadAt: readAt})).To(BeEmpty(), "chunks of version 3 may have replaced those read")
	g.Expect(e.machine.StagingInUse()).To(BeTrue(), "the later verification is open")
	g.Expect(e.step(Verified{Target: second, OK: true, ReadAt: e.now})).To(ContainElement(anOrder))
}

// The engine restarted after the verification, and its new process has received the order.
func TestALostOrderThatReachedARestartedEngineKeepsTheStaging(t *testing.T) {
	g := NewWithT(t)
	e := newUncheckedEngine()
	target, _ := e.declare("m/2")
	e.step(Staged{Target: target})
	sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
	e.status.Boot++
	e.run(100 * time.Millisecond)
	e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderLost})
	e.run(uncheckedConfig.OrderSettle - 100*time.Millisecond)
	g.Expect(e.machine.StagingInUse()).To(BeTrue())
	e.run(200 * time.Millisecond)
	g.Expect(e.machine.StagingInUse()).To(BeFalse())
}

// The VM, and with it the engine, is suspended after the answer to an order was lost.
func TestASuspensionIsNoTimeInWhichTheEngineAcceptsALostOrder(t *testing.T) {
	for _, suspension := range []time.Duration{1200 * time.Millisecond, suspensionTime} {
		g := NewWithT(t)
		e := newUncheckedEngine()
		target, _ := e.declare("m/2")
		e.step(Staged{Target: target})
		sent := e.step(Verified{Target: target, OK: true, ReadAt: e.now})
		e.step(OrderEnded{Number: sent[0].(Order).Order.Fence, Result: OrderLost})
		e.run(200 * time.Millisecond)
		e.now = e.now.Add(suspension)
		g.Expect(e.run(uncheckedConfig.OrderSettle/2)).To(BeEmpty(), "suspended for %s", suspension)
		g.Expect(e.machine.StagingInUse()).To(BeTrue(), "suspended for %s", suspension)
		g.Expect(e.run(uncheckedConfig.OrderSettle)).To(ContainElement(aVerification), "suspended for %s", suspension)
	}
}
