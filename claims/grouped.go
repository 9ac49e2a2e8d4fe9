package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Ledgers.Register("grouped", func() Construct { return newGroupedDefault })
	Ledgers.Register("grouped_ordered", func() Construct { return newGroupedOrdered })
}

var (
	_ Ledger     = (*Grouped)(nil)
	_ HomeFinder = (*Grouped)(nil)
	_ Verifier   = (*Grouped)(nil)
)

// verifyTimeout limits the store read in Unclaimed.
const verifyTimeout = 500 * time.Millisecond

// Verifier is implemented by ledgers that can prove that a key is unclaimed.
type Verifier interface {
	// Unclaimed reports whether the platform has just confirmed that no process has
	// claimed the key. A result of false proves nothing.
	Unclaimed(ctx context.Context, service core.ServiceID, key string) bool
}

// HomeFinder is implemented by ledgers that know which VM has taken over a key.
type HomeFinder interface {
	// HomeOf returns the VM that has taken over the partition of key, or "" if this
	// process has not lost the partition. Callers use it after a refusal with
	// core.ReasonNotHome.
	HomeOf(service core.ServiceID, key string) core.VMID
}

// partitionID identifies a partition of one service.
type partitionID struct {
	service core.ServiceID
	number  int
}

// headKey returns the store key of the partition's head record.
func (id partitionID) headKey() string { return fmt.Sprintf("claims/%s/%d", id.service, id.number) }

// segmentKey returns the store key of a sealed segment.
func (id partitionID) segmentKey(name uint64) string {
	return fmt.Sprintf("claims/%s/%d/segments/%d", id.service, id.number, name)
}

// Grouped commits claims in groups to one record per partition. It is the default
// ledger.
type Grouped struct {
	options Options
	config  Config
	// processLimiter limits the commits of all partitions together.
	processLimiter *rate.Limiter
	// process distinguishes this process from others on the same VM.
	process uint64
	// ctx is canceled by stop to end the workers.
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	workers map[partitionID]*worker
	running sync.WaitGroup
	// closing is set once no more workers are started, ended once the workers' context
	// is canceled.
	closing bool
	ended   bool
}

func newGroupedDefault(options Options) Ledger { return NewGrouped(options, Config{}) }

func newGroupedOrdered(options Options) Ledger {
	return NewGrouped(options, Config{OutcomeBeforeAnswer: true})
}

// NewGrouped returns a grouped ledger.
func NewGrouped(options Options, config Config) *Grouped {
	core.SetDefault(&config.ProcessWriteRate, options.WriteRate)
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Grouped{
		options: options, config: config, processLimiter: newProcessLimiter(config), process: rand.Uint64(),
		ctx: ctx, stop: stop, workers: map[partitionID]*worker{},
	}
}

// worker returns the worker of the key's partition and starts it on first use. It
// returns nil once the ledger has ended, or if the ledger is closing and the worker
// does not exist.
func (g *Grouped) worker(service core.ServiceID, key string) *worker {
	id := partitionID{service: service, number: Partition(key)}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil
	}
	if w := g.workers[id]; w != nil {
		return w
	}
	if g.closing {
		return nil
	}
	random := rand.New(rand.NewPCG(g.process, uint64(id.number)))
	p := newPartition(g.config, g.options, g.process, newPacer(g.config, g.processLimiter), random)
	w := newWorker(id, p, g.options, g.config)
	g.workers[id] = w
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		w.run(g.ctx)
	}()
	return w
}

// Run implements Ledger.
func (g *Grouped) Run(ctx context.Context, call Call, execute Execute) (*Answer, *core.Refusal) {
	if call.Key == "" {
		return nil, core.NotRun(core.ReasonKeyMissing, 0, "a call that may not be repeated needs an idempotency key")
	}
	w := g.worker(call.Service, call.Key)
	if w == nil {
		return nil, core.NotRun(core.ReasonLeaving, notHomeRetryAfter, "the process is stopping")
	}
	return w.runCall(ctx, call, execute)
}

// Lookup implements Ledger. FateNone means that this process owns the partition and
// has no claim on the key; a call that is still on its way to this process may run
// later.
func (g *Grouped) Lookup(ctx context.Context, service core.ServiceID, key string) (Fate, *Answer) {
	w := g.worker(service, key)
	if w == nil {
		return FateUnknown, nil
	}
	status := w.lookup(ctx, hashKey(key))
	return status.fate, status.answer
}

// Unclaimed implements Verifier. It reads the partition's head: as long as the
// revision is the one that this process wrote last, no other process has claimed a
// key.
func (g *Grouped) Unclaimed(ctx context.Context, service core.ServiceID, key string) bool {
	w := g.worker(service, key)
	if w == nil {
		return false
	}
	status := w.lookup(ctx, hashKey(key))
	if status.fate != FateNone || status.down {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	_, revision, err := g.options.Store.Get(ctx, w.id.headKey())
	return err == nil && revision == status.revision
}

// HomeOf implements HomeFinder.
func (g *Grouped) HomeOf(service core.ServiceID, key string) core.VMID {
	w := g.worker(service, key)
	if w == nil {
		return ""
	}
	return w.lookup(g.ctx, hashKey(key)).home
}

// Maintain implements Ledger. The workers maintain their partitions; they stop when
// ctx ends.
func (g *Grouped) Maintain(ctx context.Context) error {
	<-ctx.Done()
	g.end()
	g.running.Wait()
	return ctx.Err()
}

// end stops all workers.
func (g *Grouped) end() {
	g.mu.Lock()
	g.closing = true
	g.ended = true
	g.mu.Unlock()
	g.stop()
}

// Close implements Ledger. It rejects new calls, waits for running calls, writes their
// outcomes and releases every partition, so that a successor can start without a
// takeover.
func (g *Grouped) Close(ctx context.Context) error {
	g.mu.Lock()
	g.closing = true
	workers := make([]*worker, 0, len(g.workers))
	for _, w := range g.workers {
		workers = append(workers, w)
	}
	g.mu.Unlock()
	defer g.end()
	for _, w := range workers {
		w.post(message{event: drain{}})
	}
	for _, w := range workers {
		select {
		case <-w.drained:
		case <-ctx.Done():
			return fmt.Errorf("claims: close %s: partition not drained: %w", w.id.headKey(), ctx.Err())
		}
	}
	return nil
}

// newTimer returns a stopped timer.
func newTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}
