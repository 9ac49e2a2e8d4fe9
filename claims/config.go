package claims

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// DefaultProcessWriteRate is the default limit on the writes of one process to the
// platform, in writes per second.
const DefaultProcessWriteRate = 40

// Defaults of Config, in the units of its fields.
const (
	defaultWriteRate            = 20
	defaultWriteBurst           = 8
	defaultProcessWriteBurst    = 40
	defaultFlushAfter           = 30 * time.Second
	defaultHoldOff              = 3 * time.Second
	defaultSlowAfter            = time.Second
	defaultStoreTimeout         = 2 * time.Second
	defaultRetryMin             = 20 * time.Millisecond
	defaultRetryMax             = 2 * time.Second
	defaultHandOverTimeout      = 5 * time.Second
	defaultMaxPending           = 1024
	defaultMaxGroup             = 256
	defaultMaxWaiters           = 64
	defaultMaxAnswers           = 512
	defaultMaxAnswerBytes       = 64 << 10
	defaultMaxAnswersBytes      = 1 << 20
	defaultMaxStoredAnswerBytes = 256
	defaultSealClaims           = 64
	defaultKeepClaims           = 8
	defaultSegmentClaims        = 1024
	defaultMaxUntimed           = 64 << 10
	defaultMaxTimed             = 64 << 10
	defaultHorizon              = 24 * time.Hour
	defaultMinHorizon           = 15 * time.Minute
	defaultExecuteTimeout       = time.Minute
)

// Config configures the grouped ledger; zero fields take defaults.
type Config struct {
	// WriteRate and WriteBurst configure the token bucket for the commits of one
	// partition, in writes per second.
	WriteRate  float64
	WriteBurst int
	// ProcessWriteRate and ProcessWriteBurst configure the token bucket for all commits of
	// the process, in writes per second.
	ProcessWriteRate  float64
	ProcessWriteBurst int
	// FlushAfter is how long outcomes wait to be written together with a new claim
	// before they are written alone.
	FlushAfter time.Duration
	// OutcomeBeforeAnswer commits the outcome before the answer is sent to the caller.
	OutcomeBeforeAnswer bool
	// HoldOff is how long the process does not try to take over a partition that it
	// has lost to another VM.
	HoldOff time.Duration
	// SlowAfter is how long a store call may take before new claims are rejected.
	SlowAfter time.Duration
	// StoreTimeout is the timeout of one store call.
	StoreTimeout time.Duration
	// RetryMin and RetryMax bound the exponential backoff after a failed store call.
	RetryMin time.Duration
	RetryMax time.Duration
	// HandOverTimeout is how long a stopping process waits for an unresponsive store
	// before it exits without handing its partitions over.
	HandOverTimeout time.Duration
	// MaxPending limits the calls of one partition that wait for a commit.
	MaxPending int
	// MaxGroup limits the claims in one commit.
	MaxGroup int
	// MaxWaiters limits the callers that wait for one key.
	MaxWaiters int
	// MaxAnswers limits the answers cached per partition.
	MaxAnswers int
	// MaxAnswerBytes limits the size of one cached answer, and MaxAnswersBytes that of
	// all cached answers of a partition.
	MaxAnswerBytes  int
	MaxAnswersBytes int
	// MaxStoredAnswerBytes limits the size of one answer stored in the platform.
	MaxStoredAnswerBytes int
	// SealClaims is the number of claims in the head at which some of them are sealed.
	SealClaims int
	// KeepClaims is how many of the latest claims stay in the head, with their
	// answers.
	KeepClaims int
	// SegmentClaims limits the claims in one sealed segment.
	SegmentClaims int
	// MaxUntimed limits the sealed keys without a time in one partition.
	MaxUntimed int
	// MaxTimed limits the sealed keys with a time in one partition.
	MaxTimed int
	// Horizon is how long keys with a time are remembered.
	Horizon time.Duration
	// MinHorizon is how long keys with a time are remembered at least, even if
	// MaxTimed is reached.
	MinHorizon time.Duration
	// ExecuteTimeout is the timeout of the call to the service.
	ExecuteTimeout time.Duration
}

func (c Config) withDefaults() Config {
	core.SetDefault(&c.WriteRate, defaultWriteRate)
	core.SetDefault(&c.WriteBurst, defaultWriteBurst)
	core.SetDefault(&c.ProcessWriteRate, DefaultProcessWriteRate)
	core.SetDefault(&c.ProcessWriteBurst, defaultProcessWriteBurst)
	core.SetDefault(&c.FlushAfter, defaultFlushAfter)
	core.SetDefault(&c.HoldOff, defaultHoldOff)
	core.SetDefault(&c.SlowAfter, defaultSlowAfter)
	core.SetDefault(&c.StoreTimeout, defaultStoreTimeout)
	core.SetDefault(&c.RetryMin, defaultRetryMin)
	core.SetDefault(&c.RetryMax, defaultRetryMax)
	core.SetDefault(&c.HandOverTimeout, defaultHandOverTimeout)
	core.SetDefault(&c.MaxPending, defaultMaxPending)
	core.SetDefault(&c.MaxGroup, defaultMaxGroup)
	core.SetDefault(&c.MaxWaiters, defaultMaxWaiters)
	core.SetDefault(&c.MaxAnswers, defaultMaxAnswers)
	core.SetDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	core.SetDefault(&c.MaxAnswersBytes, defaultMaxAnswersBytes)
	core.SetDefault(&c.MaxStoredAnswerBytes, defaultMaxStoredAnswerBytes)
	core.SetDefault(&c.SealClaims, defaultSealClaims)
	core.SetDefault(&c.KeepClaims, defaultKeepClaims)
	core.SetDefault(&c.SegmentClaims, defaultSegmentClaims)
	core.SetDefault(&c.MaxUntimed, defaultMaxUntimed)
	core.SetDefault(&c.MaxTimed, defaultMaxTimed)
	core.SetDefault(&c.Horizon, defaultHorizon)
	core.SetDefault(&c.MinHorizon, defaultMinHorizon)
	core.SetDefault(&c.ExecuteTimeout, defaultExecuteTimeout)
	return c
}
