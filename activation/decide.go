package activation

import (
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// decide starts the next step towards the declared version.
func (m *Machine) decide() {
	m.expireCalls()
	if m.blocked() {
		return
	}
	target := m.target()
	switch {
	case m.active == target && m.ready(target) && m.settings == m.declared.settings():
	case m.staged != target:
	case m.verified != target, m.verificationAge() > m.config.MaxVerifiedAge:
		m.startCall(VerifyStaging{Manifest: m.declared.Manifest, Name: m.engineNameOf(target), Boot: target.Boot})
	case !m.unconfirmedSince.IsZero():
		m.startCall(ConfirmHolder{})
	default:
		m.issueOrder(target)
	}
}

// blocked reports whether nothing may be started now.
func (m *Machine) blocked() bool {
	switch {
	case m.declared == nil, m.retired, m.draining:
		return true
	case m.openOrder != nil, !m.callSince.IsZero(), m.now.Before(m.retryAt):
		return true
	case m.unresolved != nil && m.mayStillAccept(m.unresolved):
		return true
	case !m.statusFresh(m.now):
		return true
	default:
		return m.status.State == engine.StateLoading || m.status.State == engine.StateFailed
	}
}

// expireCalls ends the open order and the open call after their timeouts.
func (m *Machine) expireCalls() {
	if m.openOrder != nil && m.now.Sub(m.openOrder.sentAt) > m.config.OrderTimeout {
		m.orderLost()
	}
	if !m.callSince.IsZero() && m.now.Sub(m.callSince) > m.config.CallTimeout {
		m.endCall()
	}
}

// startCall emits an action whose result must arrive before anything else is started.
func (m *Machine) startCall(a Action) {
	m.callSince = m.now
	_, m.verifying = a.(VerifyStaging)
	m.emit(a)
}

func (m *Machine) endCall() { m.callSince, m.verifying = time.Time{}, false }

// issueOrder emits a load order for a verified target once an order number is
// available.
func (m *Machine) issueOrder(target Target) {
	number, ok := m.nextNumber()
	if !ok {
		return
	}
	name := m.engineNameOf(target)
	manifest := *m.declared.Manifest
	manifest.Version = name
	m.openOrder = &pendingOrder{
		number: number, target: target, name: name, sentAt: m.now,
		versionBefore: m.status.Version, replaced: m.active, settings: m.declared.settings(),
	}
	m.unresolved = nil
	m.active = Target{}
	m.emit(Order{ValidFor: m.config.MaxVerifiedAge - m.verificationAge(), Order: engine.LoadOrder{
		Version: name, Fence: number, Manifest: manifest,
		Role: m.declared.Role, Adapters: m.declared.Adapters,
	}})
}

// verificationAge returns how long ago the verification began to read the staged chunks,
// 0 if the age of verifications is not limited.
func (m *Machine) verificationAge() time.Duration {
	if m.config.MaxVerifiedAge == 0 {
		return 0
	}
	return m.now.Sub(m.verifiedAt)
}

// nextNumber returns the number for the next order. If there is none, it requests a
// block and returns false.
func (m *Machine) nextNumber() (uint64, bool) {
	if number, ok := m.numbers.take(m.status.Fence); ok {
		return number, true
	}
	if m.numbers.failed {
		m.numbers.failed = false
		if number, ok := m.numbers.provisional(m.status.Fence, m.declared.ChecksFence); ok {
			return number, true
		}
	}
	m.startCall(AllocateNumbers{AtLeast: max(m.status.Fence, m.numbers.used) + 1})
	return 0, false
}

func (m *Machine) delayRetry() { m.retryAt = m.now.Add(m.config.RetryWait) }

// orderLost keeps the order as unresolved, since it may have taken effect.
func (m *Machine) orderLost() {
	m.unresolved = m.openOrder
	m.unresolved.lostAt = m.now
	m.openOrder = nil
	m.statusAt = time.Time{}
	m.delayRetry()
}

// minSettleSteps is the minimum number of steps in Config.OrderSettle.
const minSettleSteps = 4

// extendSettle leaves a long gap between two steps out of the time in which a lost order
// may still be accepted: the engine may have been suspended as well.
func (m *Machine) extendSettle(now time.Time) {
	if m.unresolved == nil {
		return
	}
	if excess := now.Sub(m.now) - m.config.OrderSettle/minSettleSteps; excess > 0 {
		m.unresolved.lostAt = m.unresolved.lostAt.Add(excess)
	}
}

// requireConfirmation makes the next order wait for a confirmation from the platform.
func (m *Machine) requireConfirmation() {
	if m.unconfirmedSince.IsZero() {
		m.unconfirmedSince = m.now
	}
}

// confirmed ends the wait for a confirmation.
func (m *Machine) confirmed() {
	m.unconfirmedSince = time.Time{}
	m.confirmWait = m.config.UnconfirmedWait
}

// unconfirmed permits one order without a confirmation after a wait in which newer
// declarations can arrive from peers, and doubles the next wait.
func (m *Machine) unconfirmed() {
	if m.now.Sub(m.unconfirmedSince) < m.confirmWait {
		m.delayRetry()
		return
	}
	m.unconfirmedSince = time.Time{}
	m.confirmWait = min(2*m.confirmWait, m.config.UnconfirmedWaitMax)
}
