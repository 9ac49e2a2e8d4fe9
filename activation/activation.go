// Package activation decides which load orders an endpoint process sends to its
// engine. It performs no I/O: Step takes an event and the time and returns actions.
//
// An order is sent only for a version whose complete digest was verified on the
// engine's current boot, recently if Config.MaxVerifiedAge is set, and only one order is
// open at a time. Calls are served only
// while the engine reports the boot and version that this process has activated, so an
// order from another process is detected by the next status poll.
//
// Order numbers are fencing tokens. The platform allocates them in blocks, each to one
// process. Engines that check the numbers reject orders from a replaced process. For
// engines that ignore them, a process that may have been frozen sends no order until
// the platform has confirmed that no later process holds the numbers.
package activation

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// Defaults of Config, in the units of its fields.
const (
	defaultOrderTimeout       = 2 * time.Minute
	defaultCallTimeout        = 30 * time.Second
	defaultStatusMaxAge       = 2 * time.Second
	defaultMaxStepGap         = 2 * time.Second
	defaultRetryWait          = 500 * time.Millisecond
	defaultUnconfirmedWait    = 6 * time.Second
	defaultUnconfirmedWaitMax = time.Minute
)

// Config configures a Machine; zero fields take defaults.
type Config struct {
	// OrderTimeout is the timeout of a load order.
	OrderTimeout time.Duration
	// CallTimeout is the timeout of any other call.
	CallTimeout time.Duration
	// StatusMaxAge is the maximum age of the engine's status while calls are served.
	StatusMaxAge time.Duration
	// MaxStepGap is the time between two steps above which the process is assumed to
	// have been frozen.
	MaxStepGap time.Duration
	// RetryWait is the delay before a retry after a failure.
	RetryWait time.Duration
	// UnconfirmedWait is how long a process without a confirmation waits before it
	// sends an order while the platform is unreachable. It doubles with each such
	// order up to UnconfirmedWaitMax.
	UnconfirmedWait    time.Duration
	UnconfirmedWaitMax time.Duration
	// MaxVerifiedAge is the maximum age of a verification, from the first chunk that it
	// read, at which an order is sent. Engines that load what is staged without a check
	// need it, since staged chunks may turn bad. Zero means no limit.
	MaxVerifiedAge time.Duration
	// OrderSettle is how long an order whose result was lost may still be accepted by the
	// engine. Until then or until its fate is known, no other order is sent and
	// StagingInUse reports true.
	OrderSettle time.Duration
	// PlainNames uses plain version names in orders. By default the name includes the
	// boot, so that an order meant for another boot finds nothing staged.
	PlainNames bool
}

func (c Config) withDefaults() Config {
	core.SetDefault(&c.OrderTimeout, defaultOrderTimeout)
	core.SetDefault(&c.CallTimeout, defaultCallTimeout)
	core.SetDefault(&c.StatusMaxAge, defaultStatusMaxAge)
	core.SetDefault(&c.MaxStepGap, defaultMaxStepGap)
	core.SetDefault(&c.RetryWait, defaultRetryWait)
	core.SetDefault(&c.UnconfirmedWait, defaultUnconfirmedWait)
	core.SetDefault(&c.UnconfirmedWaitMax, defaultUnconfirmedWaitMax)
	return c
}

// Target is a version on one boot of the engine.
type Target struct {
	Version core.VersionID
	Digest  core.Digest
	Boot    uint64
}

// EngineName returns the name under which a version is staged and ordered on one boot.
func EngineName(version core.VersionID, boot uint64) core.VersionID {
	return core.VersionID(fmt.Sprintf("%s@%x", version, boot))
}

// pendingOrder is a load order without a known result: its response is awaited or was
// lost.
type pendingOrder struct {
	number uint64
	target Target
	name   core.VersionID
	sentAt time.Time
	// versionBefore is the version that the engine reported before the order.
	versionBefore core.VersionID
	// replaced is the target that was active before the order.
	replaced Target
	settings string
	// accepted is set once the engine is known to have accepted the order, lostAt when
	// its result was lost.
	accepted bool
	lostAt   time.Time
}

// Machine is the state machine of one endpoint process. It is not safe for concurrent
// use.
type Machine struct {
	config Config
	now    time.Time
	out    []Action

	declared *Declared
	status   engine.Status
	statusAt time.Time

	staged   Target
	verified Target
	// verifiedAt is when the verification of verified began to read the chunks.
	verifiedAt time.Time
	active     Target
	// settings are those of the last order known to be executed.
	settings string

	// openOrder is the order whose response is awaited, unresolved the last order whose
	// response was lost.
	openOrder  *pendingOrder
	unresolved *pendingOrder

	numbers numbers
	// unconfirmedSince is the time since which another process may have taken over the
	// engine; zero if that is ruled out.
	unconfirmedSince time.Time
	// confirmWait is how long the next order waits for a confirmation while the
	// platform is unreachable.
	confirmWait time.Duration
	// retired is set once a later process has taken over, draining once this process
	// stops.
	retired  bool
	draining bool

	// callSince is the start of the open call, which verifies the staging, allocates
	// numbers or confirms the holder; zero if none is open. verifying is set while it
	// verifies the staging.
	callSince time.Time
	verifying bool
	retryAt   time.Time
}

// New returns a Machine without any information about its engine.
func New(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, confirmWait: config.UnconfirmedWait}
}

// Step applies one event at the given time and returns the resulting actions, in
// order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.extendSettle(now)
	if !m.now.IsZero() && now.Sub(m.now) > m.config.MaxStepGap {
		m.now = now
		m.requireConfirmation()
		m.statusAt = time.Time{}
	}
	m.now = now
	m.out = nil
	event.apply(m)
	m.decide()
	return m.out
}

// Serving returns the target that may answer calls and the engine's name for it; ok is
// false if there is none. The engine may have restarted since its last status, so an
// answer may be passed on only after a status requested after its first token still
// shows the target's boot.
func (m *Machine) Serving(now time.Time) (target Target, engineName core.VersionID, ok bool) {
	ok = m.active != (Target{}) && m.openOrder == nil && m.ready(m.active) && m.statusFresh(now)
	return m.active, m.engineNameOf(m.active), ok
}

// StagingInUse reports whether the staged chunks must not change: they are being verified,
// or an order for them was sent and the engine may not have accepted it yet. An engine that
// loads what is staged takes the chunks when it accepts the order.
func (m *Machine) StagingInUse() bool {
	return m.verifying || m.openOrder != nil && !m.openOrder.accepted || m.unresolved != nil && !m.unresolved.accepted
}

// Retired reports whether a later process has taken over the engine.
func (m *Machine) Retired() bool { return m.retired }

// StagingTarget returns the version to stage on the current boot and the name to stage
// it under; ok is false if nothing is to be staged.
func (m *Machine) StagingTarget() (manifest *core.Manifest, engineName core.VersionID, boot uint64, ok bool) {
	if m.declared == nil || m.status.Boot == 0 || m.retired || m.draining {
		return nil, "", 0, false
	}
	return m.declared.Manifest, m.engineNameOf(m.target()), m.status.Boot, true
}

func (m *Machine) engineNameOf(t Target) core.VersionID {
	if m.config.PlainNames {
		return t.Version
	}
	return EngineName(t.Version, t.Boot)
}

func (m *Machine) target() Target {
	return Target{Version: m.declared.Manifest.Version, Digest: m.declared.Manifest.Whole, Boot: m.status.Boot}
}

// ready reports whether the engine's last status shows the target in service.
func (m *Machine) ready(t Target) bool {
	return m.status.State == engine.StateReady && m.status.Boot == t.Boot && m.status.Version == m.engineNameOf(t)
}

func (m *Machine) statusFresh(now time.Time) bool {
	return !m.statusAt.IsZero() && now.Sub(m.statusAt) <= m.config.StatusMaxAge
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }
