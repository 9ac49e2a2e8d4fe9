package transfer

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/ring"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/timeline"
)

var metrics = expvar.NewMap("transfer")

// Spreader fetches the weights of the target version to this machine and serves
// them to peers.
type Spreader struct {
	config    Config
	construct spread.Constructor
	log       *log.Logger
	cache     *chunkCache
	tracker   *chunkTracker
	commands  *ring.Ring[command]
	results   *ring.Ring[result]
	staged    chan *core.Manifest

	upload, download, originPacer *pacer
	regions                       *regionPacers
	receiving                     *semaphore.Weighted
	slots                         *slotQueue
	serving                       atomic.Int64
	unknownLimiter                *rate.Limiter

	// The fields below are owned by the event loop.
	current *run
	// originFailed is set when the last fetch from the origin failed with
	// FailureTimeout.
	originFailed bool
	inFlight     int
	fetchers     sync.WaitGroup

	// originRegion is the region of the origin; it may be set after New.
	originRegion atomic.Pointer[core.RegionID]

	progressMu sync.Mutex
	progress   map[core.VersionID]Progress
}

const (
	// idleTick is the interval of the timer while the policy needs no tick.
	idleTick = time.Hour
	// minTick is the minimum time until the next tick of the policy.
	minTick = time.Millisecond
)

// maxProgress limits the versions whose progress is kept.
const maxProgress = 16

// New returns a Spreader, whose Run has to be started by the caller.
func New(config Config) (*Spreader, error) {
	if err := config.fillDefaults(); err != nil {
		return nil, err
	}
	construct, err := spread.Policies.New(config.Policy)
	if err != nil {
		return nil, fmt.Errorf("transfer: %w", err)
	}
	if err := checkPolicy(config, construct); err != nil {
		return nil, err
	}
	burst := burstParts * config.PartBytes
	s := &Spreader{
		config:         config,
		construct:      construct,
		log:            config.Logger.WithPrefix("transfer"),
		cache:          newChunkCache(config.CacheBytes),
		tracker:        newChunkTracker(),
		commands:       ring.New[command](commandRing),
		results:        ring.New[result](config.MaxInFlight),
		staged:         make(chan *core.Manifest, 1),
		upload:         newPacer(config.UploadRate, burst),
		download:       newPacer(config.DownloadRate, burst),
		originPacer:    newPacer(config.OriginRate, burst),
		regions:        newRegionPacers(config.RegionRate, burst),
		receiving:      semaphore.NewWeighted(config.ReceiveBytes),
		slots:          newSlotQueue(config.UploadSlots),
		unknownLimiter: rate.NewLimiter(rate.Every(unknownInterval), 1),
		progress:       map[core.VersionID]Progress{},
	}
	s.SetOriginRegion(config.OriginRegion)
	return s, nil
}

// SetOriginRegion sets the region of the origin for spreads that start later.
func (s *Spreader) SetOriginRegion(region core.RegionID) { s.originRegion.Store(&region) }

// checkPolicy rejects policies that need announcements, which processes do not
// exchange.
func checkPolicy(config Config, construct spread.Constructor) error {
	probe := construct(spread.Start{Self: config.Self, Manifest: &core.Manifest{}, Members: []spread.Member{config.Self}})
	if _, announcer := probe.(spread.Announcer); announcer {
		return fmt.Errorf("transfer: policy %q needs announcements between neighbours and runs only under virtual time", config.Policy)
	}
	return nil
}

// SetTarget starts the spread of a version, which replaces the previous target
// version. The fetches of the previous version are cancelled; its staged chunks
// stay.
func (s *Spreader) SetTarget(ctx context.Context, manifest *core.Manifest, members []spread.Member) error {
	if err := manifest.Validate(); err != nil {
		return err
	}
	staged, err := s.config.Staging.List(ctx, manifest.Version)
	if err != nil {
		return fmt.Errorf("set target %s: %w", manifest.Version, err)
	}
	stored := make([]bool, len(manifest.Chunks))
	for _, chunk := range staged {
		if chunk >= 0 && chunk < len(stored) {
			stored[chunk] = true
		}
	}
	if err := s.restage(ctx, manifest, stored); err != nil {
		return fmt.Errorf("set target %s: %w", manifest.Version, err)
	}
	return s.commands.Put(ctx, targetCommand{manifest: manifest, stored: stored, members: members})
}

// restage puts chunks that this process still has in its cache back into the
// staging.
func (s *Spreader) restage(ctx context.Context, manifest *core.Manifest, stored []bool) error {
	for chunk, digest := range manifest.Chunks {
		if stored[chunk] {
			continue
		}
		data, cached := s.cache.get(digest)
		if !cached {
			continue
		}
		if err := s.config.Staging.Put(ctx, manifest.Version, chunk, data); err != nil {
			return err
		}
		stored[chunk] = true
		metrics.Add("chunks_restaged", 1)
	}
	return nil
}

// SetMembers replaces the machines that need the version. It returns false when
// the command queue of the event loop is full; the caller retries later.
func (s *Spreader) SetMembers(members []spread.Member) bool {
	return s.commands.Offer(membersCommand{members: members})
}

// SetRegionRate changes the budget of all weight transfers together on the link
// between two regions, in bytes per second; 0 pauses transfers across regions.
func (s *Spreader) SetRegionRate(bytesPerSecond int64) {
	s.regions.setRate(bytesPerSecond)
}

// Staged returns a channel that delivers the manifest each time all chunks of
// the target version are stored. For a slow receiver only the latest is kept.
func (s *Spreader) Staged() <-chan *core.Manifest { return s.staged }

// Progress returns the progress of a version; false when it is unknown, because
// it was never the target version, was dropped or is no longer among the kept
// ones.
func (s *Spreader) Progress(version core.VersionID) (Progress, bool) {
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	progress, ok := s.progress[version]
	return progress, ok
}

// Drop removes the staged chunks of a version that is no longer the target
// version.
func (s *Spreader) Drop(ctx context.Context, version core.VersionID) error {
	if err := s.config.Staging.Drop(ctx, version); err != nil {
		return fmt.Errorf("drop %s: %w", version, err)
	}
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	delete(s.progress, version)
	return nil
}

// Run runs the event loop, which owns the policy, until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	defer s.fetchers.Wait()
	defer s.stopCurrent()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		s.resetTimer(timer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-s.commands.Items():
			s.onCommand(ctx, c)
		case r := <-s.results.Items():
			s.onResult(r)
		case <-timer.C:
			s.step(spread.Tick{})
		}
	}
}

// resetTimer sets the timer to the policy's next tick.
func (s *Spreader) resetTimer(timer *time.Timer) {
	wait := idleTick
	if s.current != nil {
		if next := s.current.policy.NextTick(); !next.IsZero() {
			wait = max(time.Until(next), minTick)
		}
	}
	timer.Reset(wait)
}

func (s *Spreader) record(kind timeline.Kind, object, text string) {
	if s.config.Recorder != nil {
		s.config.Recorder.Add(kind, "", object, text)
	}
}
