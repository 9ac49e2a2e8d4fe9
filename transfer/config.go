// Package transfer moves chunks of weights between endpoint processes and from
// the origin. It carries out the fetches that a spread policy chooses, checks
// every chunk's digest, stages the chunks in the engine's host memory and
// serves them to peers. The process itself keeps a limited number of chunks in
// memory.
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

// RecommendedRegionRate is the budget for weights on a link of 25 Mbit/s
// between two regions, in bytes per second. It is five sixths of the link; live
// requests need about a twentieth.
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
	// regionPartBytes is the payload of one message across regions, where rates
	// are low.
	regionPartBytes = 8 << 10
	// burstParts is the depth of every token bucket, in parts.
	burstParts = 4
	// maxServeWait limits how long a request may wait for a chunk.
	maxServeWait = 30 * time.Second
	// slotStallTimeout is the time without progress after which an upload
	// releases its slot.
	slotStallTimeout = 5 * time.Second
	// heartbeatInterval is the interval of the empty parts that a server sends
	// while a request waits.
	heartbeatInterval = time.Second
	// stagingTimeout limits one call to the staging.
	stagingTimeout = 10 * time.Second
	commandRing    = 16
	// unknownInterval is the minimum time between two calls of OnUnknownVersion.
	unknownInterval = 100 * time.Millisecond
)

// Origin is the primary source of the weights. It may reject a read with
// *origin.LimitedError.
type Origin interface {
	// ReadRange fills buf with the weights from offset on. It calls progress with
	// the length of each part that it has read; an error from progress ends the
	// read.
	ReadRange(ctx context.Context, version core.VersionID, offset int64, buf []byte, progress func(n int) error) error
}

var _ Origin = (*origin.Client)(nil)

// Config configures a Spreader. Self, Staging and Dial are required.
type Config struct {
	// Self is this machine as a member of the spread.
	Self spread.Member
	// OriginRegion is the region of the origin.
	OriginRegion core.RegionID
	// Policy is the name of the spread policy; empty means DefaultPolicy.
	Policy string
	// Origin reads chunks from the origin.
	Origin Origin
	// Staging stores the chunks.
	Staging Staging
	// Dial returns a client of a peer's endpoint process; it must not block.
	Dial func(vm core.VMID) (peerpb.EndpointClient, error)
	// OnUnknownVersion is called, at most once per unknownInterval, when a peer
	// requests a version that is not the target version and was not one before;
	// it must not block. May be nil.
	OnUnknownVersion func()
	// Probe makes one round trip to a machine's process and returns when it has
	// ended. If nil, the budgets of the region links are not adjusted.
	Probe func(ctx context.Context, vm core.VMID) error
	// RegionSlack is the rise of the round-trip time across regions at which
	// weight transfers are slowed; 0 leaves the budgets of the region links as
	// they are set.
	RegionSlack time.Duration
	// Recorder records timeline events; nil records none.
	Recorder *timeline.Recorder
	// Logger may be nil, which discards the log.
	Logger *log.Logger
	// Seed makes the random choices of the policy reproducible.
	Seed uint64

	// UploadRate limits all uploads together, in bytes per second; 0 is
	// unlimited.
	UploadRate int64
	// DownloadRate limits all fetches together, in bytes per second; 0 is
	// unlimited.
	DownloadRate int64
	// FetchRate is the rate at which a peer with a faster link may send one
	// chunk, in bytes per second, so that the queue on this machine's link stays
	// short; 0 is unlimited.
	FetchRate int64
	// OriginRate limits the fetches from the origin, in bytes per second; 0 is
	// unlimited.
	OriginRate int64
	// PartBytes is the payload of one message, by default and at most 64 KiB. On
	// slow links that live requests share, small parts keep the queue short.
	PartBytes int
	// RegionRate is the budget of all weight transfers together on the link
	// between two regions, in bytes per second. Each gateway uses an equal share
	// of it.
	RegionRate int64

	// CacheBytes limits the total size of the chunks that this process keeps in
	// memory for serving.
	CacheBytes int64
	// ReceiveBytes limits the total size of the chunks that are being received.
	ReceiveBytes int64
	// MaxInFlight limits the fetches in flight, including waiting ones.
	MaxInFlight int
	// UploadSlots limits the chunks that are being sent.
	UploadSlots int
	// MaxServes limits the requests of peers that are being served or are
	// waiting.
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
