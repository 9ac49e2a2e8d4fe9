package claims

import (
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// DefaultProcessWriteRate is the default limit on the writes of one process to the
// platform, in writes per second.
const DefaultProcessWriteRate = 40

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
	core.SetDefault(&c.WriteRate, 20)
	core.SetDefault(&c.WriteBurst, 8)
	core.SetDefault(&c.ProcessWriteRate, DefaultProcessWriteRate)
	core.SetDefault(&c.ProcessWriteBurst, 40)
	core.SetDefault(&c.FlushAfter, 30*time.Second)
	core.SetDefault(&c.HoldOff, 3*time.Second)
	core.SetDefault(&c.SlowAfter, time.Second)
	core.SetDefault(&c.StoreTimeout, 2*time.Second)
	core.SetDefault(&c.RetryMin, 20*time.Millisecond)
	core.SetDefault(&c.RetryMax, 2*time.Second)
	core.SetDefault(&c.HandOverTimeout, 5*time.Second)
	core.SetDefault(&c.MaxPending, 1024)
	core.SetDefault(&c.MaxGroup, 256)
	core.SetDefault(&c.MaxWaiters, 64)
	core.SetDefault(&c.MaxAnswers, 512)
	core.SetDefault(&c.MaxAnswerBytes, 64<<10)
	core.SetDefault(&c.MaxAnswersBytes, 1<<20)
	core.SetDefault(&c.MaxStoredAnswerBytes, 256)
	core.SetDefault(&c.SealClaims, 64)
	core.SetDefault(&c.KeepClaims, 8)
	core.SetDefault(&c.SegmentClaims, 1024)
	core.SetDefault(&c.MaxUntimed, 64<<10)
	core.SetDefault(&c.MaxTimed, 64<<10)
	core.SetDefault(&c.Horizon, 24*time.Hour)
	core.SetDefault(&c.MinHorizon, 15*time.Minute)
	core.SetDefault(&c.ExecuteTimeout, time.Minute)
	return c
}
