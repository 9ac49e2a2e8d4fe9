package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
)

// memoryStore is a key-value store with injectable faults.
type memoryStore struct {
	mu     sync.Mutex
	values map[string][]byte
	revs   map[string]uint64
	last   uint64
	writes atomic.Int64
	bytes  atomic.Int64
	// loseNext is the number of next writes that take effect but return an error.
	loseNext atomic.Int64
	down     atomic.Bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{values: map[string][]byte{}, revs: map[string]uint64{}}
}

var errStore = errors.New("store: no answer")

func (s *memoryStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	if s.down.Load() {
		return nil, 0, errStore
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.revs[key], nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, previous uint64) (uint64, bool, error) {
	if s.down.Load() {
		return 0, false, errStore
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	if s.revs[key] != previous {
		return s.revs[key], false, nil
	}
	s.last++
	s.revs[key], s.values[key] = s.last, value
	if s.loseNext.Add(-1) >= 0 {
		return 0, false, errStore
	}
	return s.last, true, nil
}

// counter counts executions per key.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *counter) execute(key string) Execute {
	return func(context.Context) (*Answer, *core.Refusal) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.runs == nil {
			c.runs = map[string]int{}
		}
		c.runs[key]++
		return &Answer{Status: 200, Body: []byte("done " + key)}, nil
	}
}

func newTimedKey() string { return uuid.Must(uuid.NewV7()).String() }

func call(key string) Call {
	return Call{Service: "desk", Key: key, Fingerprint: core.DigestOf([]byte("body"))}
}

func ledgerOn(store Store, vm core.VMID, config Config) *Grouped {
	return NewGrouped(Options{Self: vm, Incarnation: 1, Store: store}, config)
}

func TestRepeatsGetTheStoredAnswerAtEveryHome(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	first := ledgerOn(store, "a", Config{})
	ctx := context.Background()
	key := newTimedKey()
	for range 3 {
		answer, refusal := first.Run(ctx, call(key), count.execute(key))
		g.Expect(refusal).To(BeNil())
		g.Expect(string(answer.Body)).To(Equal("done " + key))
	}
	g.Expect(first.Close(ctx)).To(Succeed())
	second := ledgerOn(store, "b", Config{})
	answer, refusal := second.Run(ctx, call(key), count.execute(key))
	g.Expect(refusal).To(BeNil())
	g.Expect(string(answer.Body)).To(Equal("done " + key))
	g.Expect(count.runs[key]).To(Equal(1))
}

func TestConcurrentRepeatsRunOnce(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	ledger := ledgerOn(store, "a", Config{})
	var callers sync.WaitGroup
	for i := range 64 {
		key := fmt.Sprintf("untimed-%d", i%8)
		callers.Add(1)
		go func() {
			defer callers.Done()
			answer, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
			g.Expect(refusal).To(BeNil())
			g.Expect(string(answer.Body)).To(Equal("done " + key))
		}()
	}
	callers.Wait()
	for _, runs := range count.runs {
		g.Expect(runs).To(Equal(1))
	}
	g.Expect(count.runs).To(HaveLen(8))
}

func TestAnotherRequestUnderTheKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	ledger, count := ledgerOn(newMemoryStore(), "a", Config{}), &counter{}
	key := newTimedKey()
	_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal).To(BeNil())
	other := call(key)
	other.Fingerprint = core.DigestOf([]byte("another body"))
	_, refusal = ledger.Run(context.Background(), other, count.execute(key))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(refusal.Reason).To(Equal(core.ReasonKeyMismatch))
}

func TestALostStoreAnswerIsReadBack(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	store.loseNext.Store(1)
	ledger := ledgerOn(store, "a", Config{})
	key := newTimedKey()
	_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal).To(BeNil())
	g.Expect(count.runs[key]).To(Equal(1))
}

func TestAnOutageRefusesWithoutRunning(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	store.down.Store(true)
	ledger := ledgerOn(store, "a", Config{})
	key := newTimedKey()
	_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(refusal.Reason).To(Equal(core.ReasonPlatformDown))
	g.Expect(refusal.RetryAfter).To(BeNumerically(">=", outageRetryMin))
	store.down.Store(false)
	g.Eventually(func() *core.Refusal {
		_, refusal := ledger.Run(context.Background(), call(key), count.execute(key))
		return refusal
	}, 5*time.Second).Should(BeNil())
	g.Expect(count.runs[key]).To(Equal(1))
}

// Guards against a new home that mistakes the last writes of a stopping owner for a
// competing takeover. It must take over the partition after those writes instead of
// redirecting callers to an owner that no longer accepts calls.
func TestATakeoverGoesOnBehindAWriteOfTheFormerOwner(t *testing.T) {
	g := NewWithT(t)
	config := unpaced.withDefaults()
	p := newPartition(config, Options{Self: "b"}, 2, newPacer(config, newProcessLimiter(config)), rand.New(rand.NewPCG(1, 1)))
	ownedAt := func(epoch, sequence uint64) []byte {
		return encodeHead(head{Group: commitID{Owner: "a", Process: 1, Epoch: epoch, Sequence: sequence}}, nil)
	}
	now := simulationStart
	g.Expect(p.step(now, submit{token: 1, key: simulatedKey(1)})).To(ConsistOf(loadHead{}))
	g.Expect(p.step(now, headLoaded{value: ownedAt(4, 7), revision: 7})).To(HaveLen(1))
	g.Expect(p.step(now, headSwapped{revision: 8, swapped: false})).To(ConsistOf(loadHead{}))
	retried := p.step(now, headLoaded{value: ownedAt(4, 8), revision: 8})
	g.Expect(retried).To(HaveLen(1))
	g.Expect(retried[0]).To(BeAssignableToTypeOf(swapHead{}))
	g.Expect(retried[0].(swapHead).previous).To(BeEquivalentTo(8))
	g.Expect(p.step(now, headSwapped{revision: 9, swapped: true})).To(ConsistOf(start{token: 1, key: simulatedKey(1)}))

	g.Expect(p.step(now, submit{token: 2, key: simulatedKey(2)})).To(HaveLen(1))
	g.Expect(p.step(now, headSwapped{revision: 10, swapped: false})).To(ConsistOf(loadHead{}))
	lost := p.step(now, headLoaded{value: ownedAt(6, 1), revision: 10})
	g.Expect(lost).To(HaveLen(1))
	g.Expect(lost[0].(reply).refusal.Reason).To(Equal(core.ReasonNotHome), "another home has taken the partition over")
}

func TestAStopInAnOutageEndsInTimeAndRunsNothingTwice(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	owner := ledgerOn(store, "a", Config{HandOverTimeout: 300 * time.Millisecond})
	key := newTimedKey()
	_, refusal := owner.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal).To(BeNil())
	store.down.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g.Expect(owner.Close(ctx)).To(Succeed())
	store.down.Store(false)
	successor := ledgerOn(store, "b", Config{})
	_, refusal = successor.Run(context.Background(), call(key), count.execute(key))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown))
	g.Expect(count.runs[key]).To(Equal(1))
}

func TestAnOwnerThatLostThePartitionNamesTheNewHome(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	first, second := ledgerOn(store, "a", Config{}), ledgerOn(store, "b", Config{})
	old, fresh := "key-1", "key-1"
	for i := 2; Partition(fresh) != Partition(old) || fresh == old; i++ {
		fresh = fmt.Sprintf("key-%d", i)
	}
	_, refusal := first.Run(context.Background(), call(old), count.execute(old))
	g.Expect(refusal).To(BeNil())
	_, refusal = second.Run(context.Background(), call(old), count.execute(old))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown), "the outcome was not yet written")
	_, refusal = second.Run(context.Background(), call(fresh), count.execute(fresh))
	g.Expect(refusal).To(BeNil())
	third := fresh + "x"
	for i := 0; Partition(third) != Partition(old); i++ {
		third = fmt.Sprintf("%s-%d", fresh, i)
	}
	_, refusal = first.Run(context.Background(), call(third), count.execute(third))
	g.Expect(refusal.Reason).To(Equal(core.ReasonNotHome))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(first.HomeOf("desk", third)).To(Equal(core.VMID("b")))
	g.Expect(count.runs).To(HaveLen(2))
}

func TestAGivenUpCallIsNeverRun(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	store.down.Store(true)
	ledger := ledgerOn(store, "a", Config{RetryMin: time.Hour, RetryMax: time.Hour})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, refusal := ledger.Run(ctx, call("k"), count.execute("k"))
	g.Expect(refusal.Kind).To(Equal(core.OutcomeNotRun))
	g.Expect(count.runs).To(BeEmpty())
}

func TestAnOwnerOutlivesAStoreThatReturnsWithOldData(t *testing.T) {
	g := NewWithT(t)
	store, count := newMemoryStore(), &counter{}
	owner := ledgerOn(store, "a", unpaced)
	var keys []string
	for i := 0; len(keys) < 3; i++ {
		if key := fmt.Sprintf("key-%d", i); Partition(key) == 0 {
			keys = append(keys, key)
		}
	}
	run := func(l *Grouped, key string) *core.Refusal {
		_, refusal := l.Run(context.Background(), call(key), count.execute(key))
		return refusal
	}
	g.Expect(run(owner, keys[0])).To(BeNil())
	values, revs := maps.Clone(store.values), maps.Clone(store.revs)
	g.Expect(run(owner, keys[1])).To(BeNil())
	store.values, store.revs = values, revs
	g.Expect(run(owner, keys[2])).To(BeNil())
	successor := ledgerOn(store, "b", unpaced)
	for _, key := range keys {
		refusal := run(successor, key)
		g.Expect(refusal == nil || refusal.Kind == core.OutcomeUnknown).To(BeTrue())
		g.Expect(count.runs[key]).To(Equal(1))
	}
}
