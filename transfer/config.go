// Package transfer moves weight chunks between endpoint processes and from the
// origin. It carries out the fetches that a spread policy chooses, checks every
// chunk's digest, stages chunks in the engine's host memory and serves them to
// peers. The process itself keeps a bounded number of chunks in memory.
package transfer

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// RecommendedRegionRate is what weights may use of a link of 25 Mbit/s between two
// regions, in bytes a second: five sixths of it; live requests need about a twentieth.
const RecommendedRegionRate = 2_600_000

// Defaults of Config.
const (
	DefaultPolicy       = "chunk_owner"
	defaultCacheBytes   = 32 << 20
	defaultReceiveBytes = 32 << 20
	defaultMaxInFlight  = 128
	defaultUploadSlots  = 8
	defaultMaxServes    = 2048
	defaultRegionRate   = 1 << 20
	// partBytes is the payload of one streamed message.
	partBytes = 64 << 10
	// regionPartBytes is the payload of one message across regions, where rates are low.
	regionPartBytes = 8 << 10
	// burstParts is the depth of every token bucket, in parts.
	burstParts = 4
	// maxServeWait bounds how long a peer may ask to be kept waiting.
	maxServeWait = 30 * time.Second
	// serveStall is after how long without progress an upload gives its slot back.
	serveStall = 5 * time.Second
	// heartbeatInterval is how often a waiting server shows that it is alive.
	heartbeatInterval = time.Second
	// stagingTimeout bounds one call to the staging.
	stagingTimeout = 10 * time.Second
	commandRing    = 16
	// unknownInterval is the least time between two calls of Unknown.
	unknownInterval = 100 * time.Millisecond
)

// Origin is where weights come from first. It may refuse with *origin.LimitedError.
type Origin interface {
	// ReadRange fills buf with the weights from offset on. progress is called with
	// the length of each part after it was read; an error from it ends the read.
	ReadRange(ctx context.Context, version core.VersionID, offset int64, buf []byte, progress func(n int) error) error
}

var _ Origin = (*origin.Client)(nil)

// Config configures a Spreader. Self, Staging and Dial are required.
type Config struct {
	// Self is this machine.
	Self spread.Member
	// OriginRegion is the region in which the origin stands.
	OriginRegion core.RegionID
	// Policy names the spread policy; empty means DefaultPolicy.
	Policy string
	// Origin draws chunks from the origin.
	Origin Origin
	// Staging holds the chunks.
	Staging Staging
	// Dial returns a client of a peer's endpoint process; it must not block.
	Dial func(vm core.VMID) (peerpb.EndpointClient, error)
	// OnUnknownVersion is called, at most once in unknownInterval, when a peer asks for a
	// version that this machine has not heard of; it must not block. May be nil.
	OnUnknownVersion func()
	// Probe makes one round trip to a machine's process and returns when it has
	// ended; nil leaves the budgets of region links as they are set.
	Probe func(ctx context.Context, vm core.VMID) error
	// RegionSlack is the rise of the round trip across regions at which weights
	// slow down; 0 leaves the budgets as they are set.
	RegionSlack time.Duration
	// Recorder takes the time line's events; nil records none.
	Recorder *timeline.Recorder
	// Logger writes the log; nil writes none.
	Logger *log.Logger
	// Seed makes the policy's choices reproducible.
	Seed uint64

	// UploadRate bounds all uploads together, in bytes a second; 0 is unbounded.
	UploadRate int64
	// DownloadRate bounds all fetches together, in bytes a second; 0 is unbounded.
	DownloadRate int64
	// FetchRate is how fast a peer with a faster link is to send one chunk, in bytes
	// a second, so that the queue on this machine's link stays short; 0 is unbounded.
	FetchRate int64
	// OriginRate bounds the draws from the origin, in bytes a second; 0 is unbounded.
	OriginRate int64
	// PartBytes is how much is sent at once, at most and by default 64 KiB. On slow
	// links that live requests share, small parts keep the queue short.
	PartBytes int
	// RegionRate is what all weights together may use of the link between two
	// regions, in bytes a second. Each gateway takes an equal share of it.
	RegionRate int64

	// CacheBytes bounds the chunks kept in this process for serving.
	CacheBytes int64
	// ReceiveBytes bounds the chunks being received at once.
	ReceiveBytes int64
	// MaxInFlight bounds the fetches in flight, waiting ones included.
	MaxInFlight int
	// UploadSlots bounds the chunks being sent at once.
	UploadSlots int
	// MaxServes bounds the requests of peers being served or kept waiting.
	MaxServes int
}

func (c *Config) fillDefaults() error {
	if c.Self.ID == "" || c.Staging == nil || c.Dial == nil {
		return errors.New("transfer: Self, Staging and Dial are required")
	}
	if c.Policy == "" {
		c.Policy = DefaultPolicy
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	setDefault(&c.PartBytes, partBytes)
	setDefault(&c.CacheBytes, defaultCacheBytes)
	setDefault(&c.ReceiveBytes, defaultReceiveBytes)
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.UploadSlots, defaultUploadSlots)
	setDefault(&c.MaxServes, defaultMaxServes)
	setDefault(&c.RegionRate, defaultRegionRate)
	return nil
}

func setDefault[T int | int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
