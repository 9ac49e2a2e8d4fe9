package metastore_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/metastore"
)

// scriptedStore answers reads and watches with the steps in order and cancels the test's
// context after the last one.
type scriptedStore struct {
	steps []func() ([]metastore.Change, uint64, error)
	calls []string
	end   context.CancelFunc
}

func (s *scriptedStore) next(call string) ([]metastore.Change, uint64, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.end()
		return nil, 0, context.Canceled
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scriptedStore) Read(context.Context, string) (metastore.Snapshot, error) {
	items, revision, err := s.next("read")
	return metastore.Snapshot{Items: items, Revision: revision}, err
}

func (s *scriptedStore) Revision(context.Context) (uint64, error) { return 0, errors.ErrUnsupported }

func (s *scriptedStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]metastore.Change, uint64, error) {
	return s.next("watch")
}

// sinkLog records the names of the calls that it receives.
type sinkLog struct{ log []string }

func (s *sinkLog) Replace(snapshot metastore.Snapshot, _ boottime.Instant, outage metastore.Outage) {
	call := "replace"
	if outage.Failed {
		call = "recovered"
	}
	s.log = append(s.log, call)
}
func (s *sinkLog) Apply(_ []metastore.Change, _ uint64, _ boottime.Instant, outage metastore.Outage) {
	call := "apply"
	if outage.Failed {
		call = "recovered"
	}
	s.log = append(s.log, call)
}
func (s *sinkLog) Disconnected(error) { s.log = append(s.log, "disconnected") }

func answer(revision uint64) func() ([]metastore.Change, uint64, error) {
	return func() ([]metastore.Change, uint64, error) { return nil, revision, nil }
}

func failure(err error) func() ([]metastore.Change, uint64, error) {
	return func() ([]metastore.Change, uint64, error) { return nil, 0, err }
}

func follow(t *testing.T, steps ...func() ([]metastore.Change, uint64, error)) (*scriptedStore, *sinkLog) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store, sink := &scriptedStore{steps: steps, end: cancel}, &sinkLog{}
	follower := metastore.Follower{Store: store, Sink: sink, Now: boottime.Now}
	NewWithT(t).Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
	return store, sink
}

// growingStore is a store to which one key after the other is written.
type growingStore struct {
	from time.Time
	// every is the time between two writes; writes is their number.
	every  time.Duration
	writes uint64
	calls  int
	end    context.CancelFunc
}

func (s *growingStore) revision() uint64 { return min(uint64(time.Since(s.from)/s.every), s.writes) }

func (s *growingStore) Read(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{}, nil
}

func (s *growingStore) Revision(context.Context) (uint64, error) { return s.revision(), nil }

func (s *growingStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	s.calls++
	if after == s.writes {
		s.end()
		return nil, after, nil
	}
	due := s.every * time.Duration(after+1)
	if err := kernel.Sleep(ctx, min(max(due-time.Since(s.from), 0), wait)); err != nil {
		return nil, after, err
	}
	revision := s.revision()
	return make([]metastore.Change, revision-after), revision, nil
}

// Load pattern: 24 endpoints register within five seconds. The bound on the calls is half
// the number of changes.
func TestChangesThatKeepComingAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store := &growingStore{from: time.Now(), every: 200 * time.Millisecond, writes: 24, end: cancel}
		sink := &sinkLog{}
		follower := metastore.Follower{
			Store: store, Sink: sink, Now: func() boottime.Instant { return boottime.Instant(time.Since(store.from)) },
			Wait: 2400 * time.Millisecond, BatchDelay: 150 * time.Millisecond, MaxBatchDelay: 600 * time.Millisecond,
		}
		g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		t.Logf("%d calls for %d changes", store.calls, store.writes)
		g.Expect(store.calls).To(BeNumerically("<=", store.writes/2))
		g.Expect(time.Since(store.from)).To(BeNumerically("<=", 24*store.every+2*follower.MaxBatchDelay))
	})
}

func TestLargeHistoryIsReadAsContent(t *testing.T) {
	g := NewWithT(t)
	store, sink := follow(t, answer(3), failure(metastore.ErrUnavailable), failure(metastore.ErrLargeHistory), answer(9), answer(10))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "watch", "read", "watch", "watch"}))
	g.Expect(sink.log).To(Equal([]string{"replace", "disconnected", "recovered", "apply"}))
}

func TestForgottenHistoryIsReadAgain(t *testing.T) {
	g := NewWithT(t)
	store, sink := follow(t, answer(3), answer(4), failure(metastore.ErrCompacted), answer(9), answer(10))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "watch", "read", "watch", "watch"}))
	g.Expect(sink.log).To(Equal([]string{"replace", "apply", "replace", "apply"}))
}

// Load pattern: the watches of all gateways of a region are cut while the link is busy. A
// full read after each would send everything over it again.
func TestAFollowerContinuesFromItsRevisionAfterAFailedCall(t *testing.T) {
	g := NewWithT(t)
	outage := errors.New("connection lost")
	store, _ := follow(t, answer(3), failure(outage), failure(outage), answer(4), answer(5))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "watch", "watch", "watch", "watch"}))
}

func TestAFollowerWhoseHistoryIsGoneAfterAnOutageReadsEverything(t *testing.T) {
	g := NewWithT(t)
	store, sink := follow(t, answer(3), failure(errors.New("store down")), failure(metastore.ErrCompacted), answer(9), answer(10))
	g.Expect(store.calls).To(Equal([]string{"read", "watch", "watch", "read", "watch", "watch"}))
	g.Expect(sink.log).To(Equal([]string{"replace", "disconnected", "recovered", "apply"}))
}

func TestAnOutageIsToldOnceAndTheReturnAsRecovered(t *testing.T) {
	g := NewWithT(t)
	outage := errors.New("store down")
	_, sink := follow(t, answer(3), failure(outage), failure(outage), failure(metastore.ErrRateLimited), answer(7), answer(8))
	g.Expect(sink.log).To(Equal([]string{"replace", "disconnected", "recovered", "apply"}))
}

// timeSink records when changes were made.
type timeSink struct {
	sinkLog
	madeAt []boottime.Instant
}

func (s *timeSink) Apply(changes []metastore.Change, _ uint64, _ boottime.Instant, _ metastore.Outage) {
	for _, change := range changes {
		s.madeAt = append(s.madeAt, change.MadeAt)
	}
}

func (s *timeSink) Replace(snapshot metastore.Snapshot, confirmed boottime.Instant, _ metastore.Outage) {
	s.Apply(snapshot.Items, 0, confirmed, metastore.Outage{})
}

// followTimes follows a store whose calls each take a time and return one change, and
// returns when each change counts as made, relative to the start. The process is
// suspended for a part of the calls.
func followTimes(t *testing.T, calls ...timedCall) []time.Duration {
	t.Helper()
	var made []time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &timedStore{from: time.Now(), calls: calls, end: cancel}
		sink := &timeSink{}
		start := store.now()
		follower := metastore.Follower{Store: store, Sink: sink, Now: store.now, Wait: time.Minute}
		NewWithT(t).Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		for _, at := range sink.madeAt {
			if at == 0 {
				made = append(made, -1)
				continue
			}
			made = append(made, at.Sub(start))
		}
	})
	return made
}

type timedCall struct {
	takes, suspended time.Duration
	// transfer is the part of takes for which the answer is under way.
	transfer time.Duration
	err      error
}

type timedStore struct {
	from    time.Time
	calls   []timedCall
	skipped atomic.Int64
	end     context.CancelFunc
}

func (s *timedStore) now() boottime.Instant {
	return boottime.Instant(time.Hour + time.Since(s.from)).Add(time.Duration(s.skipped.Load()))
}

func (s *timedStore) next(ctx context.Context) ([]metastore.Change, error) {
	if len(s.calls) == 0 {
		s.end()
		return nil, ctx.Err()
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	time.Sleep(call.takes)
	s.skipped.Add(int64(call.suspended))
	return []metastore.Change{{TransferTime: call.transfer}}, call.err
}

func (s *timedStore) Read(ctx context.Context, _ string) (metastore.Snapshot, error) {
	changes, err := s.next(ctx)
	return metastore.Snapshot{Items: changes}, err
}

func (s *timedStore) Revision(context.Context) (uint64, error) { return 0, errors.ErrUnsupported }

func (s *timedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]metastore.Change, uint64, error) {
	changes, err := s.next(ctx)
	return changes, after, err
}

func TestAChangeIsTakenForAsOldAsItMayBe(t *testing.T) {
	const fast, slow, unknown = 10 * time.Millisecond, 2 * time.Second, time.Duration(-1)
	cases := map[string]struct {
		calls []timedCall
		want  []time.Duration
	}{
		"the first read says nothing of the age":           {[]timedCall{{takes: fast}}, []time.Duration{unknown}},
		"the store answers an open watch at once":          {[]timedCall{{takes: fast}, {takes: slow}}, []time.Duration{unknown, fast + slow}},
		"a watch that is answered at once came too late":   {[]timedCall{{takes: fast}, {takes: slow}, {takes: fast}}, []time.Duration{unknown, fast + slow, fast + slow}},
		"the process was suspended in the watch":           {[]timedCall{{takes: fast}, {takes: slow, suspended: slow}}, []time.Duration{unknown, unknown}},
		"it was suspended one watch earlier":               {[]timedCall{{takes: fast}, {takes: slow, suspended: slow}, {takes: slow}}, []time.Duration{unknown, unknown, fast + 3*slow}},
		"the answer before waited for the process":         {[]timedCall{{takes: fast}, {takes: slow, suspended: slow}, {takes: fast}}, []time.Duration{unknown, unknown, unknown}},
		"the answer to an open watch takes long":           {[]timedCall{{takes: fast}, {takes: 2 * slow, transfer: slow}}, []time.Duration{unknown, fast + slow}},
		"a watch that is answered at once after that":      {[]timedCall{{takes: fast}, {takes: 2 * slow, transfer: slow}, {takes: fast}}, []time.Duration{unknown, fast + slow, unknown}},
		"the history is large, the content read instead":   {[]timedCall{{takes: fast}, {takes: slow, err: metastore.ErrLargeHistory}, {takes: fast}}, []time.Duration{unknown, fast + slow}},
		"it is large though the watch came too late":       {[]timedCall{{takes: fast}, {takes: slow}, {takes: fast, err: metastore.ErrLargeHistory}, {takes: fast}}, []time.Duration{unknown, fast + slow, fast + slow}},
		"it is large after an answer that took long":       {[]timedCall{{takes: fast}, {takes: 2 * slow, transfer: slow}, {takes: fast, err: metastore.ErrLargeHistory}, {takes: fast}}, []time.Duration{unknown, fast + slow, unknown}},
		"the content takes long to read":                   {[]timedCall{{takes: fast}, {takes: slow, err: metastore.ErrLargeHistory}, {takes: slow}, {takes: fast}}, []time.Duration{unknown, fast + slow, unknown}},
		"it was suspended when the history was large":      {[]timedCall{{takes: fast}, {takes: slow, suspended: slow, err: metastore.ErrLargeHistory}, {takes: fast}}, []time.Duration{unknown, unknown}},
		"the history is compacted, the content read again": {[]timedCall{{takes: fast}, {takes: slow, err: metastore.ErrCompacted}, {takes: fast}}, []time.Duration{unknown, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(followTimes(t, c.calls...)).To(Equal(c.want)) })
	}
}

func TestAChangeReadAfterAnOutageWasMadeAfterIt(t *testing.T) {
	const call = 10 * time.Millisecond
	made := followTimes(t, timedCall{takes: call}, timedCall{takes: 5 * time.Second, err: errors.New("store down")}, timedCall{takes: call})
	NewWithT(t).Expect(made).To(HaveLen(2))
	NewWithT(t).Expect(made[1]).To(BeNumerically(">", 5*time.Second))
}

// A declared version that looks younger than it is keeps older weights in use for too long.
func TestAChangeThatTakesLongToArriveAfterAnOutageIsNotTakenForYounger(t *testing.T) {
	const call, outage, transfer = 10 * time.Millisecond, 5 * time.Second, 3 * time.Second
	down := timedCall{takes: outage, err: errors.New("store down")}
	for name, calls := range map[string][]timedCall{
		"in the history": {{takes: call}, down, {takes: call + transfer, transfer: transfer}},
		"in the content": {{takes: call}, down, {takes: call, err: metastore.ErrLargeHistory}, {takes: call + transfer}},
	} {
		t.Run(name, func(t *testing.T) {
			made := followTimes(t, calls...)
			NewWithT(t).Expect(made).To(HaveLen(2))
			NewWithT(t).Expect(made[1]).To(And(BeNumerically(">", outage), BeNumerically("<", outage+time.Second)))
		})
	}
}

func TestNothingIsKnownOfAChangeReadAfterAnOutageInWhichTheProcessWasSuspended(t *testing.T) {
	const call = 10 * time.Millisecond
	made := followTimes(t, timedCall{takes: call}, timedCall{takes: call, suspended: 5 * time.Second, err: errors.New("store down")}, timedCall{takes: call})
	NewWithT(t).Expect(made).To(Equal([]time.Duration{-1, -1}))
}

// A real clock advances between the reading of the time and the detection of the pause.
func TestAChangeInTheWatchAfterASuspensionHasAKnownTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const call, watch = 10 * time.Millisecond, 2 * time.Second
		store := &timedStore{from: time.Now(), end: cancel, calls: []timedCall{{takes: call}, {takes: watch, suspended: watch}, {takes: watch}}}
		var readings atomic.Int64
		now := func() boottime.Instant { return store.now().Add(time.Duration(readings.Add(1)) * time.Microsecond) }
		sink := &timeSink{}
		follower := metastore.Follower{Store: store, Sink: sink, Now: now, Wait: time.Minute}
		g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		g.Expect(sink.madeAt).To(HaveLen(3))
		g.Expect(sink.madeAt[1]).To(BeZero(), "the process was suspended in this watch")
		g.Expect(sink.madeAt[2]).NotTo(BeZero(), "the process ran all along in this watch")
	})
}

// refusingStore refuses all watches for some time, and records when it was read and how long
// the outages of its follower were.
type refusingStore struct {
	sinkLog
	from, until time.Time
	revision    uint64
	watches     int
	outages     []metastore.Outage
	end         context.CancelFunc
}

func (s *refusingStore) now() boottime.Instant { return boottime.Instant(time.Since(s.from)) }

func (s *refusingStore) Read(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{Revision: s.revision}, nil
}

func (s *refusingStore) Revision(context.Context) (uint64, error) { return s.revision, nil }

func (s *refusingStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	s.watches++
	switch {
	case time.Now().After(s.until):
		s.end()
		return nil, 0, context.Canceled
	case s.now() > boottime.Instant(time.Second):
		return nil, 0, metastore.ErrUnavailable
	}
	return nil, after, kernel.Sleep(ctx, wait)
}

func (s *refusingStore) Apply(changes []metastore.Change, revision uint64, confirmed boottime.Instant, outage metastore.Outage) {
	s.sinkLog.Apply(changes, revision, confirmed, outage)
	s.outages = append(s.outages, outage)
}

// The content is confirmed by reads within 1.5 s, without a watch for each.
func TestContentIsConfirmedWhileTheStoreRefusesWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store := &refusingStore{from: time.Now(), until: time.Now().Add(21 * time.Second), revision: 5, end: cancel}
		follower := metastore.Follower{Store: store, Sink: store, Now: store.now, Wait: 500 * time.Millisecond}
		g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		g.Expect(store.outages).NotTo(BeEmpty())
		for _, outage := range store.outages {
			g.Expect(outage.AtMost).To(BeNumerically("<=", 1500*time.Millisecond))
		}
		g.Expect(store.watches).To(BeNumerically("<", 20*5))
	})
}

// A watch that is cut says nothing of the time for which the store was away; that it serves the
// process again does.
func TestAnOutageIsBoundedByTheAnswersAroundIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		from := time.Now()
		var began, ended []time.Duration // of each call
		timed := func(wait time.Duration, step func() ([]metastore.Change, uint64, error)) func() ([]metastore.Change, uint64, error) {
			return func() ([]metastore.Change, uint64, error) {
				began = append(began, time.Since(from))
				time.Sleep(wait)
				ended = append(ended, time.Since(from))
				return step()
			}
		}
		lost := errors.New("connection lost")
		store := &scriptedStore{end: cancel, steps: []func() ([]metastore.Change, uint64, error){
			timed(0, answer(3)), timed(time.Second, answer(3)),
			timed(500*time.Millisecond, failure(lost)), timed(0, answer(3)), // cut once
			timed(500*time.Millisecond, failure(lost)), timed(4*time.Second, failure(lost)), timed(time.Second, failure(lost)), timed(0, answer(4)), // away for seconds
		}}
		sink := &outageSink{}
		follower := metastore.Follower{Store: store, Sink: sink, Now: func() boottime.Instant { return boottime.Instant(time.Since(from)) }}
		g.Expect(follower.Run(ctx)).To(MatchError(context.Canceled))
		g.Expect(sink.outages).To(Equal([]metastore.Outage{
			{},
			{Failed: true, AtMost: ended[3] - ended[1]},
			{Failed: true, AtLeast: began[6] - ended[4], AtMost: ended[7] - ended[3]},
		}))
	})
}

// outageSink records the outages before each change.
type outageSink struct {
	sinkLog
	outages []metastore.Outage
}

func (s *outageSink) Apply(_ []metastore.Change, _ uint64, _ boottime.Instant, outage metastore.Outage) {
	s.outages = append(s.outages, outage)
}
