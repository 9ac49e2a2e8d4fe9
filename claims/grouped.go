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

// verifyTimeout bounds the read of Unclaimed.
const verifyTimeout = 500 * time.Millisecond

// Verifier is implemented by ledgers that can prove that a key is unclaimed.
type Verifier interface {
	// Unclaimed reports whether the platform confirms now that no process has
	// claimed the key. False says nothing.
	Unclaimed(ctx context.Context, service core.ServiceID, key string) bool
}

// HomeFinder is implemented by ledgers that know which VM took a key over.
type HomeFinder interface {
	// HomeOf returns the VM that holds the partition of key when it was lost to
	// another VM, and "" otherwise. It is meant to be asked after a refusal with
	// core.ReasonNotHome.
	HomeOf(service core.ServiceID, key string) core.VMID
}

// partitionID names a partition of one service.
type partitionID struct {
	service core.ServiceID
	number  int
}

// headKey is the key of the partition's head record.
func (id partitionID) headKey() string { return fmt.Sprintf("claims/%s/%d", id.service, id.number) }

// segmentKey is the key of a sealed segment.
func (id partitionID) segmentKey(name uint64) string {
	return fmt.Sprintf("claims/%s/%d/segments/%d", id.service, id.number, name)
}

// Grouped commits claims in groups to one record a partition. It is the
// default ledger.
type Grouped struct {
	options Options
	config  Config
	home    *rate.Limiter
	// process tells this process from others on the same VM.
	process uint64
	// ctx ends the workers.
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	workers map[partitionID]*worker
	running sync.WaitGroup
	// closing says that no worker is started any more, ended that none runs.
	closing bool
	ended   bool
}

func newGroupedDefault(options Options) Ledger { return NewGrouped(options, Config{}) }

func newGroupedOrdered(options Options) Ledger {
	return NewGrouped(options, Config{OutcomeBeforeAnswer: true})
}

// NewGrouped returns a grouped ledger.
func NewGrouped(options Options, config Config) *Grouped {
	core.SetDefault(&config.HomeWriteRate, options.WriteRate)
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Grouped{
		options: options, config: config, home: newHomeLimiter(config), process: rand.Uint64(),
		ctx: ctx, stop: stop, workers: map[partitionID]*worker{},
	}
}

// worker returns the worker of a partition and starts it on first use.
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
	p := newPartition(g.config, g.options, g.process, newPacer(g.config, g.home), random)
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

// Lookup implements Ledger. FateNone says that this process holds the partition
// and saw no claim; a call still on its way here may yet run.
func (g *Grouped) Lookup(ctx context.Context, service core.ServiceID, key string) (Fate, *Answer) {
	w := g.worker(service, key)
	if w == nil {
		return FateUnknown, nil
	}
	status := w.ask(ctx, hashKey(key))
	return status.fate, status.answer
}

// Unclaimed implements Verifier. It reads the partition's head: while that is
// the revision which this process wrote last, no other process has claimed a key.
func (g *Grouped) Unclaimed(ctx context.Context, service core.ServiceID, key string) bool {
	w := g.worker(service, key)
	if w == nil {
		return false
	}
	known := w.ask(ctx, hashKey(key))
	if known.fate != FateNone || known.down {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	_, revision, err := g.options.Store.Get(ctx, w.id.headKey())
	return err == nil && revision == known.revision
}

// HomeOf implements HomeFinder.
func (g *Grouped) HomeOf(service core.ServiceID, key string) core.VMID {
	w := g.worker(service, key)
	if w == nil {
		return ""
	}
	return w.ask(g.ctx, hashKey(key)).home
}

// Maintain implements Ledger. The partitions maintain themselves; they end with ctx.
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

// Close implements Ledger. It refuses new calls, waits for running ones, writes
// outcomes and gives every partition up, so that a successor need not take it over.
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
			return fmt.Errorf("claims: %s: not all claims were handed over: %w", w.id.headKey(), ctx.Err())
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
