package claims

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniaseam/zinniaseam/core"
)

// stage is the loading state of the head record.
type stage uint8

const (
	// stageAbsent means that no usable copy of the head is in memory.
	stageAbsent stage = iota
	// stageLoading means that the head is in memory and its segments are being read.
	stageLoading
	// stageReady means that the head and all segments are in memory.
	stageReady
)

// minWake is the minimum time until the next tick of a partition that has work.
const minWake = time.Millisecond

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	attemptQueued attemptState = iota
	attemptCommitting
	attemptRunning
)

// waiter is a caller that waits for the result of a key.
type waiter struct {
	token    uint64
	deadline time.Time
}

// attempt is the execution of one key by this process.
type attempt struct {
	key         keyHash
	keyTime     int64
	fingerprint uint64
	state       attemptState
	waiters     []waiter
}

// cachedAnswer is an answer kept in memory.
type cachedAnswer struct {
	fingerprint uint64
	answer      *Answer
}

// commit is a compare-and-swap of the head whose outcome is not yet known.
type commit struct {
	head     head
	value    []byte
	previous uint64
	attempts []*attempt
	// answers are sent to callers once the outcome of the commit is known.
	answers []reply
	// readBack is set if the store rejected the swap, so that the head must be read.
	readBack bool
}

// partition is the state machine for the keys of one partition of one service. It
// performs no I/O: step takes an event and returns actions. It is not safe for
// concurrent use.
//
// A call is started only after the commit that carries its claim is known to have
// taken effect. A commit is a compare-and-swap against the revision of the previous
// commit, so it fails once another process has written the head. Hence neither a clock
// nor a lease is needed to prevent two processes from starting the same key.
type partition struct {
	config      Config
	self        core.VMID
	incarnation uint64
	process     uint64
	pacer       *pacer
	random      *rand.Rand

	now time.Time
	out []action

	stage    stage
	head     head
	revision uint64
	owned    bool
	sequence uint64
	recent   recentClaims
	sealed   sealedClaims
	// nextSegment is the index of the next segment to read in stageLoading.
	nextSegment int

	attempts map[keyHash]*attempt
	tokens   map[uint64]*attempt
	queue    []*attempt
	answers  *simplelru.LRU[keyHash, cachedAnswer]
	// answersBytes is the total size of the cached answers.
	answersBytes int
	// delayed holds answers that are sent only after their outcome is committed.
	delayed []reply

	inFlight *commit
	seal     *sealing
	// sealDone is set while a written segment waits for the commit that refers to it.
	sealDone bool
	// freed holds segment names that become free with the next commit.
	freed []freeName
	// dirtySince is the time since which an outcome waits to be written; zero if none
	// does.
	dirtySince time.Time

	store     storeHealth
	lostTo    core.VMID
	lostUntil time.Time
	// closeBy is the time at which a stopping process no longer waits for an
	// unresponsive store; zero while the process is not stopping.
	closeBy time.Time
}

// newPartition returns a partition without any loaded state. The value of process must
// be unique among all processes.
func newPartition(config Config, options Options, process uint64, pacer *pacer, random *rand.Rand) *partition {
	p := &partition{
		config: config, self: options.Self, incarnation: options.Incarnation, process: process, pacer: pacer, random: random,
		attempts: map[keyHash]*attempt{}, tokens: map[uint64]*attempt{},
	}
	p.answers, _ = simplelru.NewLRU[keyHash, cachedAnswer](config.MaxAnswers, func(_ keyHash, old cachedAnswer) {
		p.answersBytes -= answerBytes(old.answer)
	})
	p.reset()
	return p
}

// step applies one event at the given time and returns the resulting actions, in
// order.
func (p *partition) step(now time.Time, e event) []action {
	p.now = now
	p.out = nil
	e.apply(p)
	p.advance()
	return p.out
}

func (p *partition) emit(a action) { p.out = append(p.out, a) }

// advance issues the next store call if none is open and one is due.
func (p *partition) advance() {
	switch {
	case p.store.busy:
		p.checkSlow()
	case p.now.Before(p.store.retryAt):
	case p.inFlight != nil:
		p.continueCommit()
	case p.seal != nil:
		p.continueSeal()
	case p.stage == stageLoading:
		p.loadNextSegment()
	case !p.commitDue():
	case p.stage == stageAbsent:
		p.openStoreCall(loadHead{})
	case p.sealDue():
		p.startSeal()
	case p.closing() || p.pacer.allow(p.now):
		p.startCommit()
	}
}

// commitDue reports whether a commit is due.
func (p *partition) commitDue() bool {
	switch {
	case len(p.queue) > 0 || len(p.delayed) > 0:
		return true
	case !p.owned:
		return false
	case p.closing():
		return len(p.attempts) == 0
	default:
		return !p.dirtySince.IsZero() && !p.now.Before(p.dirtySince.Add(p.config.FlushAfter))
	}
}

// closing reports whether the process is stopping.
func (p *partition) closing() bool { return !p.closeBy.IsZero() }

// drained reports whether a closing partition has no work left.
func (p *partition) drained() bool {
	if !p.closing() || len(p.attempts) > 0 {
		return false
	}
	return !p.owned && p.inFlight == nil || p.abandonsHandover()
}

// abandonsHandover reports whether a closing partition is left without a handover
// because the store does not respond. All claims of calls that may have run are in the
// store, so a successor takes the partition over as after a crash.
func (p *partition) abandonsHandover() bool {
	return p.closing() && p.store.down && !p.now.Before(p.closeBy)
}

// nextWake returns when the partition needs a tick; zero if it needs none.
func (p *partition) nextWake() time.Time {
	wake := p.nextWork()
	if p.closing() && p.now.Before(p.closeBy) && (wake.IsZero() || p.closeBy.Before(wake)) {
		return p.closeBy
	}
	return wake
}

// nextWork returns when the partition has work to do; zero if it has none.
func (p *partition) nextWork() time.Time {
	switch {
	case p.store.busy && !p.store.slow:
		return p.store.since.Add(p.config.SlowAfter)
	case p.store.busy:
		return time.Time{}
	case p.now.Before(p.store.retryAt):
		return p.store.retryAt
	case p.commitDue():
		return p.now.Add(max(minWake, p.pacer.wait(p.now)))
	case p.owned && !p.dirtySince.IsZero():
		return p.dirtySince.Add(p.config.FlushAfter)
	default:
		return time.Time{}
	}
}

// reset discards the head and the segments in memory.
func (p *partition) reset() {
	p.stage = stageAbsent
	p.owned = false
	p.head = head{}
	p.recent = newRecentClaims()
	p.sealed = sealedClaims{}
	p.seal = nil
	p.sealDone = false
	p.freed = nil
	p.dirtySince = time.Time{}
}

// apply does nothing; step has already advanced the time.
func (tick) apply(*partition) {}

func (drain) apply(p *partition) {
	if p.closing() {
		return
	}
	p.closeBy = p.now.Add(p.config.HandOverTimeout)
}
