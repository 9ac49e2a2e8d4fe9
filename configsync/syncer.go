package configsync

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/logging"
)

// counters counts what the configuration duties did.
var counters = expvar.NewMap("configsync")

// Defaults of Config.
const (
	// DefaultWatchWait is how long the platform holds one watch. It bounds how
	// long a watch on a silent connection goes unnoticed.
	DefaultWatchWait = 2 * time.Second
	// DefaultIdlePoll is how often an entry that does not watch reads the store.
	DefaultIdlePoll = 30 * time.Second
	// roleCheck is how often a process that does not watch asks whether it should.
	roleCheck  = 500 * time.Millisecond
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// Config configures the duties and the publisher of one process.
type Config struct {
	Client Client
	Self   core.VMID
	Zone   core.ZoneID
	Holder *Holder
	Clock  *hlc.Clock
	// ShouldWatch says whether this process watches the platform now; nil asks
	// Watches with the VM list held.
	ShouldWatch func() bool
	// Ready says whether the process has heard of its peers, before which it
	// publishes nothing; nil means always.
	Ready func() bool
	// AskPeers fetches newer documents from reachable peers before a publish;
	// nil means that exchange in the background is enough.
	AskPeers func(ctx context.Context)
	// Orders lists the volatile zone orders held; nil means none.
	Orders func() []ZoneOrder
	// VMsChanged is called with every newer VM list.
	VMsChanged func()
	WatchWait  time.Duration
	IdlePoll   time.Duration
	Log        *log.Logger
	// Random spreads retries; nil takes a random seed.
	Random *rand.Rand
}

func (c *Config) fillDefaults() {
	if c.Holder == nil {
		c.Holder = NewHolder()
	}
	if c.Clock == nil {
		c.Clock = hlc.New(time.Now)
	}
	if c.ShouldWatch == nil {
		holder, self, zone := c.Holder, c.Self, c.Zone
		c.ShouldWatch = func() bool { return Watches(self, zone, holder.VMs().VMs) }
	}
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.AskPeers == nil {
		c.AskPeers = func(context.Context) {}
	}
	if c.Orders == nil {
		c.Orders = func() []ZoneOrder { return nil }
	}
	if c.VMsChanged == nil {
		c.VMsChanged = func() {}
	}
	if c.WatchWait <= 0 {
		c.WatchWait = DefaultWatchWait
	}
	if c.IdlePoll <= 0 {
		c.IdlePoll = DefaultIdlePoll
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	c.Log = c.Log.WithPrefix("config")
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Syncer keeps the holder of one process on the newest documents.
type Syncer struct {
	config    Config
	holder    *Holder
	publisher *Publisher
	randomMu  sync.Mutex
}

// New returns the syncer of one process.
func New(config Config) *Syncer {
	config.fillDefaults()
	return &Syncer{
		config: config, holder: config.Holder,
		publisher: &Publisher{client: config.Client, holder: config.Holder, clock: config.Clock, ready: config.Ready, ask: config.AskPeers},
	}
}

// Holder returns what the syncer feeds.
func (s *Syncer) Holder() *Holder { return s.holder }

// Publisher returns the publisher that shares the syncer's knowledge.
func (s *Syncer) Publisher() *Publisher { return s.publisher }

// Run follows the configuration and the VM list until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, follow := range []func(context.Context, time.Duration) error{s.configRound(), s.vmsRound()} {
		running.Add(1)
		go func() {
			defer running.Done()
			s.follow(ctx, follow)
		}()
	}
	running.Wait()
	return ctx.Err()
}

// follow performs one round after another: waiting rounds while this process
// watches, and otherwise one without waiting every IdlePoll. The first round
// never waits, so that a process that has just started knows what the store holds.
func (s *Syncer) follow(ctx context.Context, round func(context.Context, time.Duration) error) {
	backoff := minBackoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := round(ctx, wait); err != nil {
			counters.Add("rounds_failed", 1)
			s.config.Log.Debug("The platform did not answer.", "err", err)
			waitFor(ctx, s.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		wait = s.awaitTurn(ctx)
	}
}

// awaitTurn returns the wait of the next round: at once for a watcher, after
// about IdlePoll for others.
func (s *Syncer) awaitTurn(ctx context.Context) time.Duration {
	deadline := time.Now().Add(s.jitter(s.config.IdlePoll))
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if s.config.ShouldWatch() {
			return s.config.WatchWait
		}
		waitFor(ctx, roleCheck)
	}
	return 0
}

// jitter returns a duration between half of d and d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return d/2 + time.Duration(s.config.Random.Int64N(int64(d/2)+1))
}

// configRound returns the round that follows the configuration.
func (s *Syncer) configRound() func(context.Context, time.Duration) error {
	var last Observed
	return func(ctx context.Context, wait time.Duration) error {
		if held := s.holder.Current(); wait == 0 && held != nil {
			seen, err := s.poll(ctx, held)
			if err != nil {
				return err
			}
			last = seen
			return s.apply(ctx, last)
		}
		value, revision, changed, err := s.config.Client.Watch(ctx, Key, last.Stored, wait)
		if err != nil {
			return err
		}
		if changed {
			last = observed(value, revision)
		}
		return s.apply(ctx, last)
	}
}

// poll reads the store without waiting; a document that is held, whoever told
// it, is not sent.
func (s *Syncer) poll(ctx context.Context, held *Document) (Observed, error) {
	text, err := held.Encode()
	if err != nil {
		return Observed{}, err
	}
	value, revision, changed, err := s.config.Client.GetIfChanged(ctx, Key, core.DigestOf(text))
	if err != nil {
		return Observed{}, err
	}
	if !changed {
		return Observed{Stored: revision, Doc: held}, nil
	}
	return observed(value, revision), nil
}

// apply acts on what the store holds: it takes a newer document, restores a
// lost one, and takes volatile orders into the configuration.
func (s *Syncer) apply(ctx context.Context, seen Observed) error {
	held := s.holder.Current()
	switch Reconcile(held, seen) {
	case TakeStore:
		s.holder.Offer(seen.Doc)
	case WriteBack:
		return s.writeBack(ctx, held, seen)
	}
	return s.foldOrders(ctx)
}

// writeBack restores the newest accepted document. A lost answer needs no
// care: the next round reads the store again.
func (s *Syncer) writeBack(ctx context.Context, held *Document, seen Observed) error {
	value, err := held.Encode()
	if err != nil {
		return err
	}
	_, swapped, err := s.config.Client.CompareAndSwap(ctx, Key, value, seen.Stored)
	if err != nil {
		return err
	}
	if swapped {
		counters.Add("written_back", 1)
		s.config.Log.Warn("The store was behind; the newest revision was written back.", "revision", held.Revision, "store", revisionOf(seen.Doc))
	}
	return nil
}

func (s *Syncer) foldOrders(ctx context.Context) error {
	doc := s.holder.Current()
	draft, needed := Fold(doc, s.config.Orders())
	if !needed || !s.config.ShouldWatch() {
		return nil
	}
	outcome := s.publisher.publish(ctx, doc.Revision, draft)
	if outcome.Kind == Accepted {
		counters.Add("orders_folded", 1)
		s.config.Log.Info("Volatile zone orders are in the configuration.", "revision", outcome.Revision)
		return nil
	}
	s.config.Log.Warn("Volatile zone orders are not yet in the configuration.", "cause", outcome.Cause)
	return nil
}

// vmsRound returns the round that follows the VM list.
func (s *Syncer) vmsRound() func(context.Context, time.Duration) error {
	var after uint64
	return func(ctx context.Context, wait time.Duration) error {
		if wait == 0 {
			// A list that peers told need not be sent.
			after = max(after, s.holder.VMs().Revision)
		}
		list, changed, err := s.config.Client.VMs(ctx, after, wait)
		if err != nil || !changed {
			return err
		}
		after = list.Revision
		if s.holder.OfferVMs(list) {
			s.config.VMsChanged()
		}
		return nil
	}
}
