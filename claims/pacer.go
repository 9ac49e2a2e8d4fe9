package claims

import (
	"time"

	"golang.org/x/time/rate"
)

// pacer limits the commit rate of one partition and that of all partitions of the
// process together.
type pacer struct {
	partition *rate.Limiter
	process   *rate.Limiter
}

func newProcessLimiter(config Config) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(config.ProcessWriteRate), config.ProcessWriteBurst)
}

func newPacer(config Config, process *rate.Limiter) *pacer {
	return &pacer{partition: rate.NewLimiter(rate.Limit(config.WriteRate), config.WriteBurst), process: process}
}

// allow takes a token from both buckets and returns true. If one of them is empty, it
// takes none and returns false.
func (p *pacer) allow(now time.Time) bool {
	if p.partition.TokensAt(now) < 1 || !p.process.AllowN(now, 1) {
		return false
	}
	return p.partition.AllowN(now, 1)
}

// wait returns the time until both buckets have a token.
func (p *pacer) wait(now time.Time) time.Duration {
	return max(timeToToken(p.partition, now), timeToToken(p.process, now))
}

func timeToToken(l *rate.Limiter, now time.Time) time.Duration {
	short := 1 - l.TokensAt(now)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(l.Limit()) * float64(time.Second))
}
