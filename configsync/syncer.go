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

// counters holds the metrics of this package.
var counters = expvar.NewMap("configsync")

// Defaults of Config.
const (
	// DefaultWatchWait is the long-poll duration of one watch. It also bounds
	// the time until a watch on a dead connection is detected.
	DefaultWatchWait = 2 * time.Second
	// DefaultIdlePoll is the poll interval of an entry that does not watch.
	DefaultIdlePoll = 30 * time.Second
	// roleCheckInterval is the interval at which a process that does not watch
	// calls Config.ShouldWatch.
	roleCheckInterval = 500 * time.Millisecond
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = 3 * time.Second
)

// Config configures the Syncer and the Publisher of one process.
type Config struct {
	Client Client
	Self   core.VMID
	Zone   core.ZoneID
	Holder *Holder
	Clock  *hlc.Clock
	// ShouldWatch reports whether this process watches the platform now; nil
	// means IsWatcher with the newest known VM list.
	ShouldWatch func() bool
	// Ready reports whether the process has received state from its peers. Until
	// then every publish is rejected; nil means always ready.
	Ready func() bool
	// PullFromPeers fetches newer documents from reachable peers before a
	// publish; nil means that the background exchange is sufficient.
	PullFromPeers func(ctx context.Context)
	// Orders returns the current volatile zone orders; nil means none.
	Orders func() []ZoneOrder
	// VMsChanged is called whenever a newer VM list was stored; nil is ignored.
	VMsChanged func()
	WatchWait  time.Duration
	IdlePoll   time.Duration
	Log        *log.Logger
	// Random is the source of jitter for polls and retries; nil means one with a
	// random seed.
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
		c.ShouldWatch = func() bool { return IsWatcher(self, zone, holder.VMs().VMs) }
	}
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.PullFromPeers == nil {
		c.PullFromPeers = func(context.Context) {}
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

// Syncer keeps the Holder of one process up to date with the store.
type Syncer struct {
	config    Config
	holder    *Holder
	publisher *Publisher
	randomMu  sync.Mutex
}

// New returns a Syncer with defaults filled in for unset fields of config.
func New(config Config) *Syncer {
	config.fillDefaults()
	return &Syncer{
		config: config, holder: config.Holder,
		publisher: &Publisher{client: config.Client, holder: config.Holder, clock: config.Clock, ready: config.Ready, pullFromPeers: config.PullFromPeers},
	}
}

// Holder returns the Holder that the syncer updates.
func (s *Syncer) Holder() *Holder { return s.holder }

// Publisher returns the Publisher that shares the syncer's Holder.
func (s *Syncer) Publisher() *Publisher { return s.publisher }

// Run follows the configuration and the VM list until ctx is done, and returns
// its error.
func (s *Syncer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, round := range []func(context.Context, time.Duration) error{s.configRound(), s.vmsRound()} {
		running.Add(1)
		go func() {
			defer running.Done()
			s.follow(ctx, round)
		}()
	}
	running.Wait()
	return ctx.Err()
}

// follow runs rounds until ctx is done: long-poll rounds while this process
// watches, otherwise one immediate read per IdlePoll with jitter. The first
// round is an immediate read, so that a process knows the stored document right
// after its start.
func (s *Syncer) follow(ctx context.Context, round func(context.Context, time.Duration) error) {
	backoff := minBackoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if err := round(ctx, wait); err != nil {
			counters.Add("rounds_failed", 1)
			s.config.Log.Debug("Synchronizing with the platform failed; retrying with backoff.", "err", err)
			sleep(ctx, s.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		wait = s.awaitNextRound(ctx)
	}
}

// awaitNextRound blocks until the next round is due and returns its long-poll
// duration. It returns immediately for a watcher, and otherwise after IdlePoll
// with jitter or once the process becomes a watcher.
func (s *Syncer) awaitNextRound(ctx context.Context) time.Duration {
	deadline := time.Now().Add(s.jitter(s.config.IdlePoll))
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if s.config.ShouldWatch() {
			return s.config.WatchWait
		}
		sleep(ctx, roleCheckInterval)
	}
	return 0
}

// jitter returns a random duration between d/2 and d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return d/2 + time.Duration(s.config.Random.Int64N(int64(d/2)+1))
}

// configRound returns the round that follows the configuration.
func (s *Syncer) configRound() func(context.Context, time.Duration) error {
	var last Observed
	return func(ctx context.Context, wait time.Duration) error {
		if current := s.holder.Current(); wait == 0 && current != nil {
			seen, err := s.poll(ctx, current)
			if err != nil {
				return err
			}
			last = seen
			return s.apply(ctx, last)
		}
		value, revision, changed, err := s.config.Client.Watch(ctx, Key, last.ModRevision, wait)
		if err != nil {
			return err
		}
		if changed {
			last = parseObserved(value, revision)
		}
		return s.apply(ctx, last)
	}
}

// poll reads the store without waiting. The read is conditional on the digest of
// the known document, so the platform does not resend a document that was
// already received from the store or a peer.
func (s *Syncer) poll(ctx context.Context, current *Document) (Observed, error) {
	text, err := current.Encode()
	if err != nil {
		return Observed{}, err
	}
	value, revision, changed, err := s.config.Client.GetIfChanged(ctx, Key, core.DigestOf(text))
	if err != nil {
		return Observed{}, err
	}
	if !changed {
		return Observed{ModRevision: revision, Doc: current}, nil
	}
	return parseObserved(value, revision), nil
}

// apply reconciles the holder with a read of the store: it adopts a newer
// document, writes back a lost one, and folds volatile zone orders into the
// configuration.
func (s *Syncer) apply(ctx context.Context, seen Observed) error {
	current := s.holder.Current()
	switch Reconcile(current, seen) {
	case AdoptStored:
		s.holder.Offer(seen.Doc)
	case WriteBack:
		return s.writeBack(ctx, current, seen)
	}
	return s.foldOrders(ctx)
}

// writeBack restores the newest accepted document. A lost response needs no
// handling, because the next round reads the store again.
func (s *Syncer) writeBack(ctx context.Context, current *Document, seen Observed) error {
	value, err := current.Encode()
	if err != nil {
		return err
	}
	_, swapped, err := s.config.Client.CompareAndSwap(ctx, Key, value, seen.ModRevision)
	if err != nil {
		return err
	}
	if swapped {
		counters.Add("written_back", 1)
		s.config.Log.Warn("The store had lost the newest revision; it was written back.", "revision", current.Revision, "store", revisionOf(seen.Doc))
	}
	return nil
}

// foldOrders publishes volatile zone orders that the configuration does not
// contain yet. Only watchers do this.
func (s *Syncer) foldOrders(ctx context.Context) error {
	doc := s.holder.Current()
	draft, needed := Fold(doc, s.config.Orders())
	if !needed || !s.config.ShouldWatch() {
		return nil
	}
	outcome := s.publisher.publish(ctx, doc.Revision, draft)
	if outcome.Kind == Accepted {
		counters.Add("orders_folded", 1)
		s.config.Log.Info("Volatile zone orders were published in the configuration.", "revision", outcome.Revision)
		return nil
	}
	s.config.Log.Warn("Publishing volatile zone orders in the configuration failed; retrying in the next round.", "cause", outcome.Cause)
	return nil
}

// vmsRound returns the round that follows the VM list.
func (s *Syncer) vmsRound() func(context.Context, time.Duration) error {
	var after uint64
	return func(ctx context.Context, wait time.Duration) error {
		if wait == 0 {
			// The platform need not resend a list that was received from peers.
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
