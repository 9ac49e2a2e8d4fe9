package claims

import (
	"time"

	"golang.org/x/time/rate"
)

// pacer limits the commit rate of one partition and of the whole process.
type pacer struct {
	own  *rate.Limiter
	home *rate.Limiter
}

func newHomeLimiter(config Config) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(config.ProcessWriteRate), config.ProcessWriteBurst)
}

func newPacer(config Config, home *rate.Limiter) *pacer {
	return &pacer{own: rate.NewLimiter(rate.Limit(config.WriteRate), config.WriteBurst), home: home}
}

// allow takes a token from both buckets and returns true, or takes none and returns
// false.
func (p *pacer) allow(now time.Time) bool {
	if p.own.TokensAt(now) < 1 || !p.home.AllowN(now, 1) {
		return false
	}
	return p.own.AllowN(now, 1)
}

// wait returns the time until both buckets have a token.
func (p *pacer) wait(now time.Time) time.Duration {
	return max(timeToToken(p.own, now), timeToToken(p.home, now))
}

func timeToToken(l *rate.Limiter, now time.Time) time.Duration {
	short := 1 - l.TokensAt(now)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(l.Limit()) * float64(time.Second))
}
