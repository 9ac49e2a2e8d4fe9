package activation

import (
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// decide takes the next step towards the declared version.
func (m *Machine) decide() {
	m.expire()
	if m.idle() {
		return
	}
	target := m.target()
	switch {
	case m.active == target && m.ready(target) && m.settings == m.declared.settings():
	case m.staged != target:
	case m.verified != target:
		m.call(VerifyStaging{Manifest: m.declared.Manifest, Name: m.nameOf(target), Boot: target.Boot})
	case !m.suspect.IsZero():
		m.call(ConfirmHolder{})
	default:
		m.order(target)
	}
}

// idle reports whether nothing may be started now.
func (m *Machine) idle() bool {
	switch {
	case m.declared == nil, m.retired, m.draining:
		return true
	case m.open != nil, !m.calling.IsZero(), m.now.Before(m.retryAt):
		return true
	case !m.fresh(m.now):
		return true
	default:
		return m.status.State == engine.StateLoading || m.status.State == engine.StateFailed
	}
}

// expire gives up on answers that did not come.
func (m *Machine) expire() {
	if m.open != nil && m.now.Sub(m.open.sentAt) > m.config.OrderTimeout {
		m.orderLost()
	}
	if !m.calling.IsZero() && m.now.Sub(m.calling) > m.config.CallTimeout {
		m.calling = time.Time{}
	}
}

// call emits an action whose answer must come before anything else is started.
func (m *Machine) call(a Action) {
	m.calling = m.now
	m.emit(a)
}

// order gives a load order for a verified target, once there is a number for it.
func (m *Machine) order(target Target) {
	number, ok := m.number()
	if !ok {
		return
	}
	name := m.nameOf(target)
	manifest := *m.declared.Manifest
	manifest.Version = name
	m.open = &order{
		number: number, target: target, name: name, sentAt: m.now,
		before: m.status.Version, replaced: m.active, settings: m.declared.settings(),
	}
	m.unsure = nil
	m.active = Target{}
	m.emit(Order{Order: engine.LoadOrder{
		Version: name, Fence: number, Manifest: manifest,
		Role: m.declared.Role, Adapters: m.declared.Adapters,
	}})
}

// number returns a number for the next order, or asks for a block and reports false.
func (m *Machine) number() (uint64, bool) {
	if number, ok := m.numbers.take(m.status.Fence); ok {
		return number, true
	}
	if m.numbers.failed {
		m.numbers.failed = false
		if number, ok := m.numbers.provisional(m.status.Fence, m.declared.ChecksFence); ok {
			return number, true
		}
	}
	m.call(AllocateNumbers{AtLeast: max(m.status.Fence, m.numbers.used) + 1})
	return 0, false
}

func (m *Machine) retryLater() { m.retryAt = m.now.Add(m.config.RetryWait) }

// orderLost keeps the order in mind, since it may have taken effect.
func (m *Machine) orderLost() {
	m.unsure = m.open
	m.open = nil
	m.statusAt = time.Time{}
	m.retryLater()
}

// doubt asks for a confirmation before the next order.
func (m *Machine) doubt() {
	if m.suspect.IsZero() {
		m.suspect = m.now
	}
}

// confirmed ends all doubt.
func (m *Machine) confirmed() {
	m.suspect = time.Time{}
	m.suspectWait = m.config.UnconfirmedWait
}

// unconfirmed lets one order pass after a wait in which newer declarations can
// arrive from peers, and makes the next wait longer.
func (m *Machine) unconfirmed() {
	if m.now.Sub(m.suspect) < m.suspectWait {
		m.retryLater()
		return
	}
	m.suspect = time.Time{}
	m.suspectWait = min(2*m.suspectWait, m.config.UnconfirmedWaitMax)
}
