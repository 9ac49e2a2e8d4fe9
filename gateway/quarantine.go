package gateway

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

const (
	// probeTimeout bounds the connection attempt that tells whether an engine has ended.
	// An engine that runs accepts, and the system of one that has ended refuses, within a
	// round trip.
	probeTimeout = 250 * time.Millisecond
	// provingTime is how long an engine must go on after the first event of a call for the
	// call not to be the cause of its end.
	provingTime = 250 * time.Millisecond
	// justBegun is how long an attempt may have been answering for its call to count as a
	// possible cause of the engine's end.
	justBegun = 500 * time.Millisecond
	// quarantineRetryAfter is the retry time sent with a call whose prompt has a
	// quarantined part.
	quarantineRetryAfter = 10 * time.Second
	// maxHold is the longest time for which a call waits while a part of its prompt is suspended.
	// holdPoll is how often it looks whether it may be the next trial.
	maxHold  = 2 * time.Second
	holdPoll = 50 * time.Millisecond
	// suspendedRetryAfter is the retry time sent with a call that has waited for maxHold.
	suspendedRetryAfter = 2 * time.Second
)

var (
	quarantined      = &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonQuarantined, retryAfter: quarantineRetryAfter}
	suspendedTooLong = &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonQuarantined, retryAfter: suspendedRetryAfter}
	engineEnds       = expvar.NewInt("engine_ends")
	abandoned        = expvar.NewInt("calls_abandoned_by_quarantine")
	quarantinedParts = expvar.NewInt("prompt_parts_quarantined")
	suspendedParts   = expvar.NewInt("prompt_parts_suspended")
	heldCalls        = expvar.NewInt("calls_held_by_quarantine")
	trialCalls       = expvar.NewInt("quarantine_trials")
)

// quarantineGuard observes which engines end during calls. It rejects calls whose prompts
// have a part under which engine after engine has ended, before they reach an engine.
type quarantineGuard struct {
	now boottime.Clock
	log *log.Logger
	// changed is called when the records for other processes change.
	changed func()
	// mayTry reports whether it is the turn of this process to send a trial of a part that has
	// been due for some time.
	mayTry func(part core.PromptPart, dueFor time.Duration) bool

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// sessions are the calls with shared parts in progress.
	sessions map[*session]struct{}
	losses   map[quarantine.Crash]*loss
	// states are those of the parts that are suspended or quarantined.
	states map[servicePart]partState
	// trials are the calls that are sent as trials, by the part.
	trials map[servicePart]*session
	// unused are the times of trials whose calls no engine has run.
	unused map[servicePart]boottime.Instant
	// released is closed at the next change of the tracker.
	released chan struct{}
	// version and reported are those of the tracker's records and cuts at the last call of
	// changed.
	version, reported uint64
}

// partState is how calls with a prompt part are treated.
type partState string

const (
	partFree partState = ""
	// partSuspended allows one call at a time.
	partSuspended   partState = "suspended"
	partQuarantined partState = "quarantined"
)

// servicePart is a prompt part in calls of one service.
type servicePart struct {
	service core.ServiceID
	part    core.PromptPart
}

// loss is connections to one run of an endpoint that ended before the probe began which tells
// whether the run has ended. A probe says nothing about a connection that ends after it.
type loss struct {
	at boottime.Instant
	// probed is closed when ended is known.
	probed chan struct{}
	ended  bool
	// next are the connections that have ended since the probe began, nil if there are none.
	next *loss
	// calls are the shared parts of the calls that may be the cause.
	calls [][]core.PromptPart
}

func newQuarantineGuard(now boottime.Clock, logger *log.Logger) *quarantineGuard {
	return &quarantineGuard{
		now: now, log: logger.WithPrefix("quarantine"), changed: func() {}, mayTry: func(core.PromptPart, time.Duration) bool { return false },
		tracker: quarantine.New(quarantine.Config{}), sessions: map[*session]struct{}{}, losses: map[quarantine.Crash]*loss{},
		states: map[servicePart]partState{}, trials: map[servicePart]*session{}, unused: map[servicePart]boottime.Instant{}, released: make(chan struct{}),
	}
}

// admit registers a call, unless a part of its prompt is quarantined. It returns that part.
func (q *quarantineGuard) admit(s *session) (part core.PromptPart, admitted bool) {
	parts := s.admitted.call.SharedParts
	if len(parts) == 0 {
		return "", true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if part, state := q.state(q.now(), s); state == partQuarantined && !q.reserveTrial(s, part) {
		return part, false
	}
	q.sessions[s] = struct{}{}
	return "", true
}

// leave removes a call that has ended.
func (q *quarantineGuard) leave(s *session) {
	if len(s.admitted.call.SharedParts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.sessions, s)
	q.endTrial(s)
}

// proved records that the parts of a call did not end its engine when the call began to be
// answered.
func (q *quarantineGuard) proved(s *session) {
	s.provedSound = true
	if len(s.admitted.call.SharedParts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.tracker.SoundAt(now, min(s.begunAt.Add(quarantine.HarmDelay), now), s.admitted.service, s.admitted.call.SharedParts)
	q.publish(now)
}

// mayRepeat reports whether a call whose engine has ended may be sent to another one.
func (q *quarantineGuard) mayRepeat(s *session) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !s.trial && q.tracker.MayRepeat(q.now(), s.admitted.service, s.admitted.call.SharedParts)
}

// connectionLost records that the connection of a call's attempt ended early. It reports
// whether the engine has ended, which a connection attempt tells.
func (q *quarantineGuard) connectionLost(s *session) bool {
	if len(s.admitted.call.SharedParts) == 0 {
		return false
	}
	crash := quarantine.Crash{Endpoint: s.endpoint.ID, Boot: s.endpoint.Boot}
	q.mu.Lock()
	now := q.now()
	found := q.lossOf(now, crash, s)
	if s.begunAt == 0 || now.Sub(s.begunAt) < justBegun {
		found.calls = append(found.calls, s.admitted.call.SharedParts)
		if found.isProbed() && found.ended {
			q.crashed(now, s.admitted.service, crash, [][]core.PromptPart{s.admitted.call.SharedParts})
		}
	}
	q.mu.Unlock()
	<-found.probed
	return found.ended
}

// engineEnded reports whether the engine of a call's attempt has ended.
func (q *quarantineGuard) engineEnded(s *session) bool {
	q.mu.Lock()
	found := q.lossOf(q.now(), quarantine.Crash{Endpoint: s.endpoint.ID, Boot: s.endpoint.Boot}, s)
	q.mu.Unlock()
	<-found.probed
	return found.ended
}

// lossOf returns the loss to which a connection belongs that has just ended. A probe in
// progress may have been answered before; the next one follows it. The caller must hold q.mu.
func (q *quarantineGuard) lossOf(now boottime.Instant, crash quarantine.Crash, s *session) *loss {
	found := q.losses[crash]
	switch {
	case found == nil, found.isProbed() && !(found.ended && crash.Boot != 0):
		found = newLoss(now)
		q.removeOldLosses(now)
		q.losses[crash] = found
		go q.probe(s.admitted.service, s.endpoint, crash, found)
	case !found.isProbed():
		if found.next == nil {
			found.next = newLoss(now)
		}
		found = found.next
	}
	return found
}

func newLoss(now boottime.Instant) *loss { return &loss{at: now, probed: make(chan struct{})} }

func (l *loss) isProbed() bool {
	select {
	case <-l.probed:
		return true
	default:
		return false
	}
}

// maxLossAge is how long a run of an endpoint that has ended is remembered.
const maxLossAge = time.Minute

// removeOldLosses forgets losses that no call can report any more. The caller must hold
// q.mu.
func (q *quarantineGuard) removeOldLosses(now boottime.Instant) {
	for crash, l := range q.losses {
		if now.Sub(l.at) > maxLossAge {
			delete(q.losses, crash)
		}
	}
}

// probe finds out whether an endpoint has ended and records the crash. It repeats that for
// the connections that have ended meanwhile.
func (q *quarantineGuard) probe(service core.ServiceID, endpoint *fleet.Endpoint, crash quarantine.Crash, l *loss) {
	for l != nil {
		err := dial(endpoint.Address)
		q.mu.Lock()
		next := l.next
		q.judge(service, crash, l, err)
		if l.ended {
			engineEnds.Add(1)
		}
		if l.ended && next != nil {
			q.judge(service, crash, next, err)
			next = nil
		}
		if next != nil {
			next.at = q.now()
			q.losses[crash] = next
		}
		q.mu.Unlock()
		l = next
	}
}

// dial tries to connect to an endpoint.
func dial(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return err
}

// judge records the outcome of a probe for a loss. The caller must hold q.mu.
func (q *quarantineGuard) judge(service core.ServiceID, crash quarantine.Crash, l *loss, err error) {
	l.ended = errors.Is(err, syscall.ECONNREFUSED)
	q.log.Info("Connections to an engine were lost.", "endpoint", crash.Endpoint, "boot", crash.Boot, "ended", l.ended, "possibleCauses", len(l.calls), "parts", loggedCalls(l.calls), "probe", err)
	if l.ended {
		q.crashed(q.now(), service, crash, l.calls)
	}
	close(l.probed)
}

// maxLoggedParts is how many parts of a prompt a log line has, maxLoggedCalls of how many calls.
const (
	maxLoggedParts = 32
	maxLoggedCalls = 16
)

// loggedParts returns the parts of a prompt for a log line, with the number of those that are
// left out.
func loggedParts(parts []core.PromptPart) []core.PromptPart {
	if len(parts) <= maxLoggedParts {
		return parts
	}
	return append(slices.Clone(parts[:maxLoggedParts]), core.PromptPart(fmt.Sprintf("+%d", len(parts)-maxLoggedParts)))
}

// loggedCalls returns the parts of several calls for a log line.
func loggedCalls(calls [][]core.PromptPart) [][]core.PromptPart {
	logged := make([][]core.PromptPart, 0, min(len(calls), maxLoggedCalls))
	for _, parts := range calls[:min(len(calls), maxLoggedCalls)] {
		logged = append(logged, loggedParts(parts))
	}
	return logged
}

// crashed records the calls that may have ended an engine. The caller must hold q.mu.
func (q *quarantineGuard) crashed(now boottime.Instant, service core.ServiceID, crash quarantine.Crash, calls [][]core.PromptPart) {
	q.tracker.Crashed(now, service, crash, calls)
	q.publish(now)
}

// publish passes on changed records and abandons the calls that must not reach an engine
// any more. The caller must hold q.mu.
func (q *quarantineGuard) publish(now boottime.Instant) {
	if q.reported != q.tracker.Reported() || q.version != q.tracker.Version() {
		q.reported = q.tracker.Reported()
		q.changed()
	}
	if q.version == q.tracker.Version() {
		return
	}
	q.version = q.tracker.Version()
	close(q.released)
	q.released = make(chan struct{})
	q.logTransitions(now)
	for s := range q.sessions {
		if s.trial || s.begun.Load() {
			continue
		}
		if part, blocked := q.tracker.Blocked(now, s.admitted.service, s.admitted.call.SharedParts); blocked {
			q.log.Info("A part of a call's prompt was quarantined; abandoning the call.", "request", s.admitted.call.ID, "part", part)
			abandoned.Add(1)
			s.abandon(errQuarantined)
			delete(q.sessions, s)
		}
	}
}

// logTransitions logs which parts are suspended, quarantined or released. The caller must hold
// q.mu.
func (q *quarantineGuard) logTransitions(now boottime.Instant) {
	states := map[servicePart]partState{}
	for _, record := range q.tracker.Records(now) {
		key, parts := servicePart{record.Service, record.Part}, []core.PromptPart{record.Part}
		state := partFree
		if _, blocked := q.tracker.Blocked(now, record.Service, parts); blocked {
			state = partQuarantined
		} else if _, suspended := q.tracker.Suspended(now, record.Service, parts); suspended {
			state = partSuspended
		}
		if state == partFree {
			continue
		}
		states[key] = state
		if q.states[key] == state {
			continue
		}
		if state == partQuarantined {
			quarantinedParts.Add(1)
			q.log.Warn("A prompt part is quarantined: engine after engine ended under calls with it.", "service", record.Service, "part", record.Part, "crashes", record.Crashes, "trials", record.Trials)
		} else {
			suspendedParts.Add(1)
			q.log.Warn("A prompt part is suspended: several engines ended at one moment under calls with it.", "service", record.Service, "part", record.Part, "crashes", record.Crashes, "trials", record.Trials)
		}
	}
	for key, state := range q.states {
		if states[key] == partFree {
			q.log.Info("A prompt part is no longer suspended or quarantined.", "service", key.service, "part", key.part, "was", state)
		}
	}
	q.states = states
}

// news returns the records for other processes with their version, and the cuts after those that
// were sent.
func (q *quarantineGuard) news(lastCut uint64) (n partNews) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	n.records, n.version = q.tracker.Records(now), q.tracker.Version()
	n.cuts, n.lastCut = q.tracker.Cuts(now, lastCut)
	n.memory = q.tracker.Memory(now)
	return n
}

// partNews is what agents should know of prompt parts.
type partNews struct {
	records []quarantine.Record
	version uint64
	cuts    []quarantine.Cut
	lastCut uint64
	memory  time.Duration
}

// learn applies the records of another process, and for how long the processes whose records it
// has know of all crashes.
func (q *quarantineGuard) learn(records []quarantine.Record, memory time.Duration) {
	if len(records) == 0 && memory == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.tracker.LearnMemory(now, memory)
	if q.tracker.Learn(now, records) {
		q.publish(now)
	}
}
