package metastore

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
)

const (
	// minRetry and maxRetry bound the wait between tries while the store is away;
	// a store that returns must be read well within two seconds.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Sink takes what a follower learns. Its methods are called from one goroutine.
type Sink interface {
	// Replace takes the whole content at confirmed; recovered says that the store
	// was away before.
	Replace(snapshot Snapshot, confirmed boottime.Instant, recovered bool)
	// Apply takes changes; the content was complete at confirmed.
	Apply(changes []Change, revision uint64, confirmed boottime.Instant)
	// Disconnected is called once when the store stops answering.
	Disconnected(err error)
}

// Follower reads a prefix and then watches it until its context ends.
type Follower struct {
	Store  Store
	Prefix string
	// Wait bounds one watch and the pause before it. Without changes, the age of
	// what is known grows up to it.
	Wait time.Duration
	// BatchDelay is the pause after a change, in which more gather for one call. While
	// they keep coming it grows up to MaxBatchDelay.
	BatchDelay, MaxBatchDelay time.Duration
	Sink                      Sink
	Now                       boottime.Clock

	pause time.Duration
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := minRetry
	away, known := false, false
	var revision uint64
	for ctx.Err() == nil {
		var err error
		if !known {
			revision, err = f.read(ctx, away)
		} else {
			revision, err = f.watch(ctx, revision)
		}
		switch {
		case err == nil:
			away, known, retry = false, true, minRetry
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrCompacted):
			known = false
			continue
		}
		if !away {
			away = true
			f.Sink.Disconnected(err)
		}
		known = false
		if err := kernel.Sleep(ctx, retry/2+rand.N(retry)); err != nil {
			return err
		}
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, recovered bool) (uint64, error) {
	asked := f.Now()
	snapshot, err := f.Store.Read(ctx, f.Prefix)
	if err != nil {
		return 0, err
	}
	f.Sink.Replace(snapshot, asked, recovered)
	return snapshot.Revision, nil
}

// watch confirms the content as of the sending of the call, since the answer may
// have been under way while the process was suspended.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	if err := kernel.Sleep(ctx, f.pause); err != nil {
		return after, err
	}
	asked := f.Now()
	changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, max(f.Wait-f.pause, 0))
	if err != nil {
		f.pause = 0
		return after, err
	}
	f.Sink.Apply(changes, revision, asked)
	f.pause = f.nextPause(len(changes) > 0, f.Now().Sub(asked))
	return revision, nil
}

// nextPause returns the pause before the next watch. Load pattern answered:
// endpoints register one after the other when the deployment starts or grows, and
// each follower would make a call for each of them.
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
