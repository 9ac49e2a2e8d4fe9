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

// Spreader brings the wanted weights to this machine and serves them to peers.
type Spreader struct {
	config    Config
	construct spread.Constructor
	log       *log.Logger
	cache     *chunkCache
	board     *board
	commands  *ring.Ring[command]
	results   *ring.Ring[result]
	staged    chan *core.Manifest

	upload, download, originPace *pacer
	regions                      *regionPacers
	receiving                    *semaphore.Weighted
	slots                        *slotQueue
	serving                      atomic.Int64
	unknown                      *rate.Limiter

	// Owned by the event loop.
	current *run
	// originLost says that the last fetch from the origin brought nothing.
	originLost bool
	inFlight   int
	fetchers   sync.WaitGroup

	// originRegion is where the origin stands; it may become known late.
	originRegion atomic.Pointer[core.RegionID]

	progressMu sync.Mutex
	progress   map[core.VersionID]Progress
}

// maxProgress bounds the versions whose progress is remembered.
const maxProgress = 16

// New returns a spreader; its Run must be started for it to work.
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
		config:     config,
		construct:  construct,
		log:        config.Logger.WithPrefix("transfer"),
		cache:      newChunkCache(config.CacheBytes),
		board:      newBoard(),
		commands:   ring.New[command](commandRing),
		results:    ring.New[result](config.MaxInFlight),
		staged:     make(chan *core.Manifest, 1),
		upload:     newPacer(config.UploadRate, burst),
		download:   newPacer(config.DownloadRate, burst),
		originPace: newPacer(config.OriginRate, burst),
		regions:    newRegionPacers(config.RegionRate, burst),
		receiving:  semaphore.NewWeighted(config.ReceiveBytes),
		slots:      newSlotQueue(config.UploadSlots),
		unknown:    rate.NewLimiter(rate.Every(unknownInterval), 1),
		progress:   map[core.VersionID]Progress{},
	}
	s.SetOriginRegion(config.OriginRegion)
	return s, nil
}

// SetOriginRegion says where the origin stands, for spreads that start later.
func (s *Spreader) SetOriginRegion(region core.RegionID) { s.originRegion.Store(&region) }

// checkPolicy refuses policies that need announcements, which processes do not exchange.
func checkPolicy(config Config, construct spread.Constructor) error {
	probe := construct(spread.Start{Self: config.Self, Manifest: &core.Manifest{}, Members: []spread.Member{config.Self}})
	if _, announcer := probe.(spread.Announcer); announcer {
		return fmt.Errorf("transfer: policy %q needs announcements between neighbours and runs only under virtual time", config.Policy)
	}
	return nil
}

// SetTarget starts the spread of a version, or of another one in its place. The
// fetches of the former version are cancelled; its staged chunks stay.
func (s *Spreader) SetTarget(ctx context.Context, manifest *core.Manifest, members []spread.Member) error {
	if err := manifest.Validate(); err != nil {
		return err
	}
	staged, err := s.config.Staging.List(ctx, manifest.Version)
	if err != nil {
		return fmt.Errorf("want %s: %w", manifest.Version, err)
	}
	held := make([]bool, len(manifest.Chunks))
	for _, chunk := range staged {
		if chunk >= 0 && chunk < len(held) {
			held[chunk] = true
		}
	}
	if err := s.restage(ctx, manifest, held); err != nil {
		return fmt.Errorf("want %s: %w", manifest.Version, err)
	}
	return s.commands.Put(ctx, wantCommand{manifest: manifest, held: held, members: members})
}

// restage puts chunks back that this process still has in memory.
func (s *Spreader) restage(ctx context.Context, manifest *core.Manifest, held []bool) error {
	for chunk, digest := range manifest.Chunks {
		if held[chunk] {
			continue
		}
		data, cached := s.cache.get(digest)
		if !cached {
			continue
		}
		if err := s.config.Staging.Put(ctx, manifest.Version, chunk, data); err != nil {
			return err
		}
		held[chunk] = true
		metrics.Add("chunks_restaged", 1)
	}
	return nil
}

// SetMembers replaces the machines that want the version. It reports false
// when the event loop is too far behind; the caller repeats it later.
func (s *Spreader) SetMembers(members []spread.Member) bool {
	return s.commands.Offer(membersCommand{members: members})
}

// SetRegionRate changes what all weights together may use of the link between
// two regions, in bytes a second; 0 pauses transfers across regions.
func (s *Spreader) SetRegionRate(bytesPerSecond int64) {
	s.regions.setRate(bytesPerSecond)
}

// Staged delivers the manifest each time all chunks of the wanted version are
// held. Only the newest is kept for a slow receiver.
func (s *Spreader) Staged() <-chan *core.Manifest { return s.staged }

// Progress returns how far a version is; false when it was never wanted here.
func (s *Spreader) Progress(version core.VersionID) (Progress, bool) {
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	progress, ok := s.progress[version]
	return progress, ok
}

// Drop frees the staged chunks of a version that is not wanted any more.
func (s *Spreader) Drop(ctx context.Context, version core.VersionID) error {
	if err := s.config.Staging.Drop(ctx, version); err != nil {
		return fmt.Errorf("drop %s: %w", version, err)
	}
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	delete(s.progress, version)
	return nil
}

// Run is the event loop. It owns the policy and ends with ctx.
func (s *Spreader) Run(ctx context.Context) error {
	defer s.fetchers.Wait()
	defer s.stopCurrent()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.arm(timer)
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

// arm sets the timer to the policy's next tick.
func (s *Spreader) arm(timer *time.Timer) {
	wait := time.Hour
	if s.current != nil {
		if next := s.current.policy.NextTick(); !next.IsZero() {
			wait = max(time.Until(next), time.Millisecond)
		}
	}
	timer.Reset(wait)
}

func (s *Spreader) record(kind timeline.Kind, object, text string) {
	if s.config.Recorder != nil {
		s.config.Recorder.Add(kind, "", object, text)
	}
}
