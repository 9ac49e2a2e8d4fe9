package engine

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Default settings.
const (
	DefaultMaxBatch       = 32
	DefaultColdBatch      = 2
	DefaultAnswersPerSlot = 2
	DefaultTolerance      = 2.0
	DefaultQueueLimit     = 512
	DefaultTokenInterval  = 4 * time.Millisecond
	DefaultTokenPerStream = 100 * time.Microsecond
	DefaultPrefillPerByte = 2 * time.Microsecond
	DefaultCacheBlocks    = 4096
	DefaultLoadTime       = 300 * time.Millisecond
	DefaultFailTime       = 2 * time.Second
	DefaultReportLag      = 200 * time.Millisecond
	DefaultEventLag       = 200 * time.Millisecond
	DefaultStagingBytes   = 1 << 30
	// DefaultMaxTokens is the length of an answer if the request sets none.
	DefaultMaxTokens = 16
)

// Config configures a Server. Zero values select the defaults; a negative duration
// means zero.
type Config struct {
	// MaxBatch is the number of concurrent streams of a warm engine.
	MaxBatch int
	// ColdBatch is the initial capacity of a cold engine in streams.
	ColdBatch int
	// AnswersPerSlot is the number of answers after which the capacity of a cold engine
	// grows by one stream.
	AnswersPerSlot int
	// Tolerance is the multiple of its capacity above which a cold engine crashes.
	Tolerance float64
	// QueueLimit bounds the number of waiting streams.
	QueueLimit int
	// TokenInterval is the inter-token latency of a single stream. Each further stream
	// of the batch adds TokenPerStream.
	TokenInterval  time.Duration
	TokenPerStream time.Duration
	// PrefillPerByte is the prefill time of an uncached byte of the prompt.
	PrefillPerByte time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadTime is the duration of a load order.
	LoadTime time.Duration
	// FailTime is how long the engine is down after a crash.
	FailTime time.Duration
	// LoseWeights makes a crash or cold restart lose the loaded weights.
	LoseWeights bool
	// LoseStaging makes a crash or cold restart empty the staging area.
	LoseStaging bool
	// CheckFence rejects load orders with an old fencing token.
	CheckFence bool
	// TrustStaging loads the staged bytes even if chunks are missing.
	TrustStaging bool
	// StagingBytes is the capacity of the staging area.
	StagingBytes int64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the delay of cache events, EventGapRate the probability that an event
	// is lost.
	EventLag     time.Duration
	EventGapRate float64
	// Boot is the initial boot number; zero derives it from the clock.
	Boot uint64
	Seed uint64
}

func (c *Config) fillDefaults() {
	core.SetDefault(&c.MaxBatch, DefaultMaxBatch)
	core.SetDefault(&c.ColdBatch, DefaultColdBatch)
	core.SetDefault(&c.AnswersPerSlot, DefaultAnswersPerSlot)
	core.SetDefault(&c.Tolerance, DefaultTolerance)
	core.SetDefault(&c.QueueLimit, DefaultQueueLimit)
	core.SetDefault(&c.TokenInterval, DefaultTokenInterval)
	core.SetDefault(&c.TokenPerStream, DefaultTokenPerStream)
	core.SetDefault(&c.PrefillPerByte, DefaultPrefillPerByte)
	core.SetDefault(&c.CacheBlocks, DefaultCacheBlocks)
	core.SetDefault(&c.LoadTime, DefaultLoadTime)
	core.SetDefault(&c.FailTime, DefaultFailTime)
	core.SetDefault(&c.ReportLag, DefaultReportLag)
	core.SetDefault(&c.EventLag, DefaultEventLag)
	core.SetDefault(&c.StagingBytes, DefaultStagingBytes)
	core.SetDefault(&c.Boot, uint64(time.Now().UnixMilli()))
}
