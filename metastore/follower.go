package metastore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
)

const (
	// minRetry and maxRetry bound the backoff between retries while the store is
	// unavailable. After an outage, the store must be read well within two seconds.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// openWatch is the time after which a watch without changes is open at the store. A
	// slow store answers within 0.3 s if there are changes already.
	openWatch = 600 * time.Millisecond
	// slowTransfer is the transfer time of an answer from which on the changes in the next one
	// have no known time: they may have been made while it was under way.
	slowTransfer = 600 * time.Millisecond
	// minWait is the shortest wait of a watch that is not sent to recover.
	minWait = time.Millisecond
	// maxReadPause is the pause before a read that replaces a watch. Changes must be in force
	// within 2 s; a read takes less than 1 s.
	maxReadPause = time.Second
)

// Sink receives the updates of a Follower. Its methods are not called concurrently.
type Sink interface {
	// Replace replaces the content with snapshot, which was complete at confirmed.
	Replace(snapshot Snapshot, confirmed boottime.Instant, outage Outage)
	// Apply applies changes. With them, the content was complete at confirmed.
	Apply(changes []Change, revision uint64, confirmed boottime.Instant, outage Outage)
	// Disconnected is called once per outage, with the error of the first failed call.
	Disconnected(err error)
}

// Follower reads a prefix and then watches it until its context ends. After a failed call,
// it continues from the last revision that it has.
//
// Load pattern: a large declaration is replaced several times a second. A watch returns each of
// its values, and the followers of a region fill the link to the store. While large values
// are superseded, the Follower reads the content, which has the last values only.
type Follower struct {
	Store  Store
	Prefix string
	// Wait bounds one watch together with the pause before it. Without changes, it is the
	// maximum staleness of the content.
	Wait time.Duration
	// BatchDelay is the pause after a change, so that one call returns several changes.
	// While changes continue, it grows up to MaxBatchDelay.
	BatchDelay, MaxBatchDelay time.Duration
	Sink                      Sink
	Now                       boottime.Clock

	pause time.Duration
	// reads is set while the content is read instead of the history. Only Run uses it.
	reads  bool
	pauses *boottime.PauseDetector

	// mu is held while an answer is passed to the sink.
	mu sync.Mutex
	// revision is that of the content, unless complete is not set.
	revision uint64
	complete bool
	// content is what the sink has.
	content content
	// unavailable is set from the first failed call until one succeeds. failedAt is when that
	// call failed, and lastFailed when the latest failed call was sent.
	unavailable          bool
	failedAt, lastFailed boottime.Instant
	// servedAt is when the store last served this process, 0 if it has not yet.
	servedAt boottime.Instant
	// rewound is set from ErrRewound until the content has been read.
	rewound bool
	// answered is about the time up to which all changes have been read: when the previous
	// watch was answered, or when the read was sent.
	answered boottime.Instant
	// slow is set if the last answer took slowTransfer or longer to arrive.
	slow bool
	// watchRefused is set while the store serves other calls, but not watches. Only Run uses it.
	watchRefused bool
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.pauses = boottime.NewPauseDetector(f.Now)
	go f.pauses.Run(ctx)
	retry := minRetry
	for ctx.Err() == nil {
		sent := f.Now()
		err := f.step(ctx)
		switch {
		case err == nil:
			if !f.watchRefused {
				retry = minRetry
			}
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrLargeHistory):
			f.setIncomplete(errors.Is(err, ErrRewound))
			continue
		}
		f.disconnected(sent, err)
		if err := kernel.Sleep(ctx, retry/2+rand.N(retry)); err != nil {
			return err
		}
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

// step performs one watch, or a read if the content is not known or changes too fast.
func (f *Follower) step(ctx context.Context) error {
	after, complete, recovering := f.state()
	switch {
	case !complete:
		return f.read(ctx)
	case recovering:
		// The store answers at once, so that the process recovers without delay.
		f.pause = 0
		err := f.watch(ctx, after, 0)
		if f.watchRefused = errors.Is(err, ErrUnavailable); f.watchRefused {
			return f.readChanges(ctx)
		}
		return err
	case f.reads:
		if err := kernel.Sleep(ctx, min(maxReadPause, f.Wait)); err != nil {
			return err
		}
		return f.readChanges(ctx)
	}
	if err := kernel.Sleep(ctx, f.pause); err != nil {
		return err
	}
	return f.watch(ctx, after, max(f.Wait-f.pause, minWait))
}

func (f *Follower) state() (revision uint64, complete, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.complete, f.unavailable
}

func (f *Follower) setIncomplete(rewound bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.complete = false
	f.rewound = f.rewound || rewound
}

func (f *Follower) disconnected(sent boottime.Instant, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailed = sent
	if !f.unavailable {
		f.unavailable, f.failedAt = true, f.Now()
		f.Sink.Disconnected(err)
	}
}

// outage returns what may have happened at the store, unseen by this process, before an answer
// whose content is as of an instant. The caller must hold mu.
func (f *Follower) outage(at boottime.Instant) Outage {
	outage := Outage{Failed: f.unavailable, Rewound: f.rewound}
	if f.servedAt == 0 || !f.unavailable && f.pauses.RanSince(f.servedAt) {
		return outage
	}
	outage.AtMost = max(at.Sub(f.servedAt), 0)
	if f.unavailable {
		outage.AtLeast = max(f.lastFailed.Sub(f.failedAt), 0)
	}
	return outage
}

// served records that the store served this process. The caller must hold mu.
func (f *Follower) served(at boottime.Instant) {
	f.servedAt, f.unavailable, f.rewound = max(f.servedAt, at), false, false
}

func (f *Follower) read(ctx context.Context) error {
	sent := f.Now()
	snapshot, err := f.Store.Read(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	setMadeAt(snapshot.Items, f.outageEnd(sent), f.pauses.RanSince(f.answered) && (f.unavailable || !f.slow))
	f.answered, f.slow = sent, f.Now().Sub(sent) >= slowTransfer
	f.replace(snapshot, sent)
	return nil
}

// replace passes a snapshot to the sink. The caller must hold mu.
func (f *Follower) replace(snapshot Snapshot, sent boottime.Instant) {
	f.Sink.Replace(snapshot, sent, f.outage(f.Now()))
	f.revision, f.complete = snapshot.Revision, true
	f.served(sent)
	f.content, f.reads = newContent(snapshot.Items), false
}

// readChanges reads the content and applies how it differs from what the sink has. Unchanged
// entries are not passed on, since a Replace would have them taken for new ones. The changes
// were made after the previous answer.
func (f *Follower) readChanges(ctx context.Context) error {
	sent := f.Now()
	snapshot, err := f.Store.Read(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.pauses.RanSince(f.answered) && !f.slow
	madeAt := f.answered
	f.answered, f.slow = sent, f.Now().Sub(sent) >= slowTransfer
	if snapshot.Revision < f.revision { // the store continues from an older copy
		f.rewound = true
		setMadeAt(snapshot.Items, madeAt, known)
		f.replace(snapshot, sent)
		return nil
	}
	changes := f.content.changesTo(snapshot)
	setMadeAt(changes, madeAt, known)
	f.Sink.Apply(changes, snapshot.Revision, sent, f.outage(f.Now()))
	f.revision = snapshot.Revision
	f.served(sent)
	f.content.apply(changes)
	f.reads, f.pause = hasLargeValue(changes), 0
	return nil
}

// outageEnd returns the time from which changes count as made that were read in one step
// after an outage, or after the history was compacted. begun is when the store began to send
// them. If the store was away for all processes, nothing was written in the outage. If it was
// away for this process only, other processes know an earlier time. The caller must hold mu.
func (f *Follower) outageEnd(begun boottime.Instant) boottime.Instant {
	if f.unavailable && f.answered != 0 {
		return begun
	}
	return f.answered
}

// watch performs one watch. It confirms the content as of the time when the call was
// sent, since the process may have been suspended before it read the answer.
func (f *Follower) watch(ctx context.Context, after uint64, wait time.Duration) error {
	sent := f.Now()
	changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if errors.Is(err, ErrLargeHistory) {
		f.historyBegan(sent)
	}
	if err != nil {
		return err
	}
	begun := f.setTimes(changes, sent)
	f.Sink.Apply(changes, revision, sent, f.outage(begun))
	f.revision, f.watchRefused = revision, false
	f.served(f.answered)
	f.content.apply(changes)
	replaces := f.content.replacesLarge(changes, f.Now())
	f.reads = replaces || supersedesLarge(changes)
	f.pause = f.nextPause(len(changes) > 0, f.Now().Sub(sent))
	return nil
}

// ErrNotConfirmed means that the content may have changed, as far as the process knows.
var ErrNotConfirmed = errors.New("metastore: content not confirmed")

// Confirm asks the store for its revision, and so confirms the content as of now if nothing
// has been written since. It returns ErrNotConfirmed otherwise, and while the store is
// unavailable. It transfers no content: the open watch does.
func (f *Follower) Confirm(ctx context.Context) error {
	if _, complete, unavailable := f.state(); !complete || unavailable {
		return ErrNotConfirmed
	}
	sent := f.Now()
	revision, err := f.Store.Revision(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotConfirmed, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.complete || f.unavailable || revision > f.revision {
		return fmt.Errorf("%w: store is at revision %d, content at %d", ErrNotConfirmed, revision, f.revision)
	}
	f.Sink.Apply(nil, f.revision, sent, Outage{})
	f.servedAt = max(f.servedAt, sent)
	return nil
}

// setTimes sets the time of the changes that a watch returned. A watch that was open has
// been answered as soon as they were made; otherwise they were made after the previous
// answer. If the process was suspended meanwhile, an answer may have waited for it, and
// the time stays unknown. It returns when the answer began to arrive. The caller must hold mu.
func (f *Follower) setTimes(changes []Change, sent boottime.Instant) (begun boottime.Instant) {
	ranSinceSent, ranSinceAnswer := f.pauses.RanSince(sent), f.pauses.RanSince(f.answered)
	now := f.Now()
	var transfer time.Duration
	if len(changes) > 0 {
		transfer = changes[0].TransferTime
	}
	begun = now.Add(-transfer)
	switch {
	case f.unavailable:
		setMadeAt(changes, f.outageEnd(begun), ranSinceAnswer)
	case begun.Sub(sent) >= openWatch:
		setMadeAt(changes, begun, ranSinceSent)
	default:
		setMadeAt(changes, f.answered, ranSinceAnswer && !f.slow)
	}
	f.slow = transfer >= slowTransfer
	f.answered = sent
	if ranSinceSent {
		f.answered = begun
	}
	return begun
}

// historyBegan records the time of changes that a watch has begun to return, and that are read
// with the content instead. If the watch was open, they have been made just now. The caller
// must hold mu.
func (f *Follower) historyBegan(sent boottime.Instant) {
	if now := f.Now(); now.Sub(sent) >= openWatch && f.pauses.RanSince(sent) {
		f.answered, f.slow = now, false
	}
}

func setMadeAt(changes []Change, at boottime.Instant, known bool) {
	if !known {
		return
	}
	for i := range changes {
		changes[i].MadeAt = at
	}
}

// nextPause returns the pause before the next watch.
//
// Load pattern: endpoints register one after the other when the deployment starts or
// grows. Without a pause, each follower would make one call per endpoint. The pause
// batches the changes, and doubles while they continue.
func (f *Follower) nextPause(changed bool, waited time.Duration) time.Duration {
	switch {
	case !changed:
		return 0
	case waited > f.pause:
		return f.BatchDelay
	default:
		return min(2*f.pause, f.MaxBatchDelay)
	}
}
