package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/ring"
)

// inboxCapacity limits the messages queued for one partition.
const inboxCapacity = 4096

// keyStatus is the result of a key query.
type keyStatus struct {
	fate   Fate
	answer *Answer
	home   core.VMID
	// revision is the head's revision as last written or read by this process.
	revision uint64
	// down is set if the store does not respond.
	down bool
}

// query requests the status of a key.
type query struct {
	key    keyHash
	result chan keyStatus
}

// message is an input of a worker: an event, a query, or an event together with its
// call.
type message struct {
	event event
	call  *pendingCall
	query *query
}

// pendingCall is a call whose caller is waiting.
type pendingCall struct {
	token   uint64
	request core.RequestID
	execute Execute
	result  chan reply
}

// worker runs one partition. Only its goroutine accesses the partition.
type worker struct {
	id        partitionID
	partition *partition
	store     Store
	config    Config
	observe   func(Observation)
	inbox     *ring.Ring[message]
	calls     map[uint64]*pendingCall
	lastToken atomic.Uint64
	// lifetime ends when the worker stops handling messages.
	lifetime    context.Context
	endLifetime context.CancelFunc
	// drained is closed once the partition has been drained.
	drained       chan struct{}
	drainedClosed bool
}

func newWorker(id partitionID, p *partition, options Options, config Config) *worker {
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &worker{
		id: id, partition: p, store: options.Store, config: config, observe: options.Observe, inbox: ring.New[message](inboxCapacity),
		calls: map[uint64]*pendingCall{}, lifetime: lifetime, endLifetime: endLifetime, drained: make(chan struct{}),
	}
}

// run handles messages until ctx ends.
func (w *worker) run(ctx context.Context) {
	defer w.endLifetime()
	timer := newTimer()
	defer timer.Stop()
	for {
		select {
		case m := <-w.inbox.Items():
			w.handle(ctx, m)
		case <-timer.C:
			w.handle(ctx, message{event: tick{}})
		case <-ctx.Done():
			return
		}
		w.setTimer(timer)
	}
}

func (w *worker) setTimer(timer *time.Timer) {
	timer.Stop()
	if wake := w.partition.nextWake(); !wake.IsZero() {
		timer.Reset(time.Until(wake))
	}
}

// handle applies one message to the partition and performs the resulting actions.
func (w *worker) handle(ctx context.Context, m message) {
	if m.query != nil {
		fate, answer := w.partition.fate(m.query.key)
		m.query.result <- keyStatus{
			fate: fate, answer: answer, home: w.partition.lostTo,
			revision: w.partition.revision, down: w.partition.store.down,
		}
		return
	}
	if m.call != nil {
		w.calls[m.call.token] = m.call
	}
	before := w.partition.operatorView()
	actions := w.partition.step(time.Now(), m.event)
	w.observeChange(before, w.partition.operatorView())
	for _, a := range actions {
		w.perform(ctx, a)
	}
	if !w.drainedClosed && w.partition.drained() {
		w.drainedClosed = true
		close(w.drained)
	}
}

// perform executes one action. Store calls and executions run in their own goroutines,
// which report their results through the inbox.
func (w *worker) perform(ctx context.Context, a action) {
	switch a := a.(type) {
	case reply:
		countReply(a)
		if call := w.calls[a.token]; call != nil {
			delete(w.calls, a.token)
			call.result <- a
		}
	case start:
		executed.Add(1)
		call := w.calls[a.token]
		w.observeCall(call.request, "Claim committed; the call is handed over.")
		go w.execute(ctx, a.key, call.execute)
	default:
		storeCalls.Add(1)
		go w.callStore(ctx, a)
	}
}

// execute hands the call to the service. It does not end with the caller, since others
// may have joined, but it is limited by ExecuteTimeout.
func (w *worker) execute(ctx context.Context, key keyHash, execute Execute) {
	ctx, cancel := context.WithTimeout(ctx, w.config.ExecuteTimeout)
	defer cancel()
	answer, refusal := execute(ctx)
	if answer == nil && refusal == nil {
		refusal = core.Unknown(core.ReasonBackendFailed, 0, "the service gave no answer")
	}
	if refusal != nil {
		answer = nil
	}
	w.post(message{event: finished{key: key, answer: answer, refusal: refusal}})
}

// callStore performs one store call and posts its result.
func (w *worker) callStore(ctx context.Context, a action) {
	ctx, cancel := context.WithTimeout(ctx, w.config.StoreTimeout)
	defer cancel()
	w.post(message{event: w.storeEvent(ctx, a)})
}

func (w *worker) storeEvent(ctx context.Context, a action) event {
	switch a := a.(type) {
	case loadHead:
		value, revision, err := w.store.Get(ctx, w.id.headKey())
		return headLoaded{value: value, revision: revision, err: err}
	case swapHead:
		revision, swapped, err := w.store.CompareAndSwap(ctx, w.id.headKey(), a.value, a.previous)
		return headSwapped{revision: revision, swapped: swapped, err: err}
	case loadSegment:
		value, revision, err := w.store.Get(ctx, w.id.segmentKey(a.name))
		return segmentLoaded{value: value, revision: revision, err: err}
	case swapSegment:
		revision, swapped, err := w.store.CompareAndSwap(ctx, w.id.segmentKey(a.name), a.value, a.previous)
		return segmentSwapped{revision: revision, swapped: swapped, err: err}
	default:
		panic("claims: unknown action")
	}
}

// post enqueues a message and blocks while the inbox is full, until the worker stops.
func (w *worker) post(m message) { _ = w.inbox.Put(w.lifetime, m) }

// runCall submits a call and waits for its result.
func (w *worker) runCall(ctx context.Context, call Call, execute Execute) (*Answer, *core.Refusal) {
	now := time.Now()
	pending := &pendingCall{token: w.lastToken.Add(1), request: call.Request, execute: execute, result: make(chan reply, 1)}
	request := submit{
		token: pending.token, key: hashKey(call.Key), keyTime: keyTime(call.Key, now),
		fingerprint: fingerprintPrefix(call.Fingerprint),
	}
	request.deadline, _ = ctx.Deadline()
	if !w.inbox.Offer(message{event: request, call: pending}) {
		rejected.Add("inbox_full", 1)
		return nil, core.NotRun(core.ReasonOverloaded, busyRetryAfter, "too many calls wait for this partition")
	}
	select {
	case end := <-pending.result:
		return end.answer, end.refusal
	case <-w.lifetime.Done():
		return w.afterEnd(pending)
	case <-ctx.Done():
	}
	w.post(message{event: abandon{token: pending.token}})
	select {
	case end := <-pending.result:
		return end.answer, end.refusal
	case <-w.lifetime.Done():
		return w.afterEnd(pending)
	}
}

// afterEnd returns the result of a call whose worker has stopped: the reply if there
// is one, and "unknown" otherwise, since the call may have been started.
func (w *worker) afterEnd(pending *pendingCall) (*Answer, *core.Refusal) {
	select {
	case end := <-pending.result:
		return end.answer, end.refusal
	default:
		return nil, core.Unknown(core.ReasonLeaving, runningRetryAfter, "the process stopped before the call ended")
	}
}

// lookup queries the status of a key.
func (w *worker) lookup(ctx context.Context, key keyHash) keyStatus {
	q := &query{key: key, result: make(chan keyStatus, 1)}
	unknown := keyStatus{fate: FateUnknown}
	if w.inbox.Put(ctx, message{query: q}) != nil {
		return unknown
	}
	select {
	case s := <-q.result:
		return s
	case <-w.lifetime.Done():
		return unknown
	case <-ctx.Done():
		return unknown
	}
}
