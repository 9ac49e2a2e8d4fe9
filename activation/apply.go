package activation

import (
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

func (d Declared) apply(m *Machine) {
	if m.declared != nil && d.Revision < m.declared.Revision {
		return
	}
	if m.declared != nil && d.Manifest.Whole != m.declared.Manifest.Whole {
		// The chunks of the new version may replace staged ones.
		m.staged, m.verified = Target{}, Target{}
	}
	m.declared = &d
}

func (s StatusSeen) apply(m *Machine) {
	if !s.RequestedAt.IsZero() && s.RequestedAt.Before(m.endedAt) {
		return
	}
	previous := m.status
	m.status, m.statusAt = s.Status, m.now
	if previous.Boot != 0 && previous.Boot != s.Status.Boot {
		m.emit(Cold{Boot: s.Status.Boot})
		m.active = Target{}
	}
	if m.numbers.used > 0 && s.Status.Fence > m.numbers.used {
		m.requireConfirmation()
	}
	if m.openOrder != nil {
		sentBefore := s.RequestedAt.IsZero() || !s.RequestedAt.Before(m.openOrder.sentAt)
		m.openOrder.accepted = m.openOrder.accepted || sentBefore && m.shows(m.openOrder)
		return
	}
	m.resolveOrder()
	if m.active != (Target{}) && s.Status.State == engine.StateReady && !m.ready(m.active) {
		m.active = Target{}
		m.requireConfirmation()
	}
}

// shows reports whether the engine's status shows that it has accepted an order.
func (m *Machine) shows(order *pendingOrder) bool {
	return m.status.State == engine.StateLoading || order.versionBefore != order.name && m.status.Version == order.name
}

// resolveOrder accepts an order whose response was lost if the engine now serves its
// version on the boot on which it was verified, and did not serve it before the order.
// Otherwise, once the engine can no longer accept it, the previously active target stays
// active if the engine still serves it.
func (m *Machine) resolveOrder() {
	u := m.unresolved
	if u == nil {
		return
	}
	u.accepted = u.accepted || m.shows(u)
	switch {
	case m.status.State == engine.StateLoading:
		return
	case u.versionBefore != u.name && m.ready(u.target):
		m.activate(u.target, u.settings)
	case m.mayStillAccept(u):
		return
	case m.ready(u.replaced):
		m.active = u.replaced
	}
	m.unresolved = nil
}

// mayStillAccept reports whether the engine may accept an order whose response was lost.
// The order may have reached the engine after a restart.
func (m *Machine) mayStillAccept(u *pendingOrder) bool {
	return !u.accepted && m.now.Sub(u.lostAt) < m.config.OrderSettle
}

func (m *Machine) activate(target Target, settings string) {
	m.active = target
	m.settings = settings
	m.retryAt = time.Time{}
	m.emit(Activated{Target: target})
}

func (StatusFailed) apply(*Machine) {}

// apply ignores targets other than the current one, such as a late report about an
// earlier boot.
func (s Staged) apply(m *Machine) {
	if m.declared != nil && s.Target == m.target() {
		m.staged = s.Target
	}
}

func (v Verified) apply(m *Machine) {
	if m.config.MaxVerifiedAge > 0 && (!m.verifying || v.ReadAt.Before(m.callSince)) {
		return // the call has timed out, and the staging was not in use since
	}
	m.endCall()
	switch {
	case v.Target != m.staged:
	case v.OK:
		m.verified, m.verifiedAt = v.Target, v.ReadAt
		if m.verificationAge() > m.config.MaxVerifiedAge {
			m.delayRetry() // meanwhile another version may be declared
		}
	default:
		m.discardStaging(v.Target)
	}
}

// discardStaging requests that the version be staged again.
func (m *Machine) discardStaging(target Target) {
	m.staged = Target{}
	m.verified = Target{}
	m.delayRetry()
	m.emit(StagingLost{Target: target})
}

func (g NumbersGranted) apply(m *Machine) {
	m.endCall()
	m.numbers.next, m.numbers.last = g.First, g.Last
	m.confirmed()
}

func (NumbersFailed) apply(m *Machine) {
	m.endCall()
	m.numbers.failed = true
	m.delayRetry()
}

func (h HolderConfirmed) apply(m *Machine) {
	m.endCall()
	m.confirmed()
	if h.Superseded {
		m.retired = true
		m.active = Target{}
	}
}

func (HolderUnknown) apply(m *Machine) {
	m.endCall()
	m.unconfirmed()
}

func (e OrderEnded) apply(m *Machine) {
	if m.openOrder == nil || m.openOrder.number != e.Number {
		return
	}
	ended := m.openOrder
	m.endedAt = m.now
	if e.Result == OrderLost || e.Result == OrderUnconfirmed {
		ended.accepted = ended.accepted || e.Result == OrderUnconfirmed
		m.orderLost()
		return
	}
	m.openOrder = nil
	switch e.Result {
	case OrderNotSent, OrderRejected:
		m.active = ended.replaced
		m.delayRetry()
	case OrderOldNumber:
		m.active = ended.replaced
		m.requireConfirmation()
	case OrderIncomplete:
		m.active = ended.replaced
		m.discardStaging(ended.target)
	default:
		m.orderDone(ended, e.Boot)
	}
}

// orderDone accepts the order if the boot that responded is the one on which the
// staged weights were verified.
func (m *Machine) orderDone(done *pendingOrder, boot uint64) {
	m.statusAt = time.Time{}
	if boot != done.target.Boot {
		m.delayRetry()
		return
	}
	m.activate(done.target, done.settings)
}

func (Draining) apply(m *Machine) { m.draining = true }

func (Tick) apply(*Machine) {}
