// Package activation decides on the load orders that one endpoint process gives
// to its engine. It performs no I/O: Step takes an event and the time and
// returns actions.
//
// An order goes out only for a version whose whole digest was verified on the
// engine's present boot, and only one order is open at a time. Calls are served
// only while the engine reports the boot and version that this process has
// activated, so a foreign order is noticed at the next look at the engine.
//
// Order numbers come in blocks from the platform, one block a process. Engines
// that check the number refuse those of a replaced process by themselves. For
// engines that ignore it, a process that may have been frozen orders nothing
// until the platform has confirmed that no later process holds the numbers.
package activation

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// Config configures a machine; zero fields take defaults.
type Config struct {
	// OrderTimeout is how long the answer to an order is awaited.
	OrderTimeout time.Duration
	// CallTimeout is how long any other answer is awaited.
	CallTimeout time.Duration
	// StatusMaxAge is how old the last look at the engine may be while calls are served.
	StatusMaxAge time.Duration
	// MaxStepGap is the time between two steps from which a process may have been frozen.
	MaxStepGap time.Duration
	// RetryWait is the wait after a failure.
	RetryWait time.Duration
	// UnconfirmedWait is how long an unconfirmed process waits before it orders
	// while the platform cannot be reached. It doubles up to UnconfirmedWaitMax.
	UnconfirmedWait    time.Duration
	UnconfirmedWaitMax time.Duration
	// PlainNames orders versions by their plain name. By default the name holds
	// the boot, so that an order meant for another boot finds nothing staged.
	PlainNames bool
}

func (c Config) withDefaults() Config {
	core.SetDefault(&c.OrderTimeout, 2*time.Minute)
	core.SetDefault(&c.CallTimeout, 30*time.Second)
	core.SetDefault(&c.StatusMaxAge, 2*time.Second)
	core.SetDefault(&c.MaxStepGap, 2*time.Second)
	core.SetDefault(&c.RetryWait, 500*time.Millisecond)
	core.SetDefault(&c.UnconfirmedWait, 6*time.Second)
	core.SetDefault(&c.UnconfirmedWaitMax, time.Minute)
	return c
}

// Target is a version on one boot of the engine.
type Target struct {
	Version core.VersionID
	Digest  core.Digest
	Boot    uint64
}

// EngineName is the name under which a version is staged and ordered on one boot.
func EngineName(version core.VersionID, boot uint64) core.VersionID {
	return core.VersionID(fmt.Sprintf("%s@%x", version, boot))
}

// order is a load order whose answer is open or was lost.
type order struct {
	number uint64
	target Target
	name   core.VersionID
	sentAt time.Time
	// before is the version that the engine reported before the order.
	before core.VersionID
	// replaced is what was active before the order.
	replaced Target
	settings string
}

// Machine decides for one endpoint process. It is not safe for concurrent use.
type Machine struct {
	config Config
	now    time.Time
	out    []Action

	declared *Declared
	status   engine.Status
	statusAt time.Time

	staged   Target
	verified Target
	active   Target
	// settings are those of the last order that is known to be carried out.
	settings string

	// open is the order whose answer is awaited, unsure one whose answer was lost.
	open   *order
	unsure *order

	numbers numbers
	// suspect is since when another process may have taken over, zero when none may.
	suspect time.Time
	// suspectWait is how long the next order waits for a confirmation.
	suspectWait time.Duration
	// retired says that a later process has taken over, draining that this one stops.
	retired  bool
	draining bool

	// calling is when the open call for a verification, numbers or a
	// confirmation was made, zero when none is open.
	calling time.Time
	retryAt time.Time
}

// New returns a machine that knows nothing of its engine.
func New(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, suspectWait: config.UnconfirmedWait}
}

// Step takes in one event at now and returns what is to be done, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	if !m.now.IsZero() && now.Sub(m.now) > m.config.MaxStepGap {
		m.now = now
		m.doubt()
		m.statusAt = time.Time{}
	}
	m.now = now
	m.out = nil
	event.apply(m)
	m.decide()
	return m.out
}

// Serving returns what calls may be answered by and the name that the engine
// knows it by. It reports false while there is none. The engine may restart
// after the last look at it, so an answer may be passed on only once a look made
// after its first token still shows the target's boot.
func (m *Machine) Serving(now time.Time) (target Target, engineName core.VersionID, ok bool) {
	ok = m.active != (Target{}) && m.open == nil && m.ready(m.active) && m.fresh(now)
	return m.active, m.nameOf(m.active), ok
}

// Retired reports whether a later process has taken the engine over.
func (m *Machine) Retired() bool { return m.retired }

// StagingTarget returns the version that is to be staged on the present boot, with the
// name to stage it under. It reports false when nothing is wanted.
func (m *Machine) StagingTarget() (manifest *core.Manifest, engineName core.VersionID, boot uint64, ok bool) {
	if m.declared == nil || m.status.Boot == 0 || m.retired || m.draining {
		return nil, "", 0, false
	}
	return m.declared.Manifest, m.nameOf(m.target()), m.status.Boot, true
}

func (m *Machine) nameOf(t Target) core.VersionID {
	if m.config.PlainNames {
		return t.Version
	}
	return EngineName(t.Version, t.Boot)
}

func (m *Machine) target() Target {
	return Target{Version: m.declared.Manifest.Version, Digest: m.declared.Manifest.Whole, Boot: m.status.Boot}
}

// ready reports whether the engine's last report shows the target in service.
func (m *Machine) ready(t Target) bool {
	return m.status.State == engine.StateReady && m.status.Boot == t.Boot && m.status.Version == m.nameOf(t)
}

func (m *Machine) fresh(now time.Time) bool {
	return !m.statusAt.IsZero() && now.Sub(m.statusAt) <= m.config.StatusMaxAge
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }
