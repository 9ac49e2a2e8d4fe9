package operatorapi

import (
	"net"
	"time"

	"github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// Limits on wrong keys from one IP address, enforced by a token bucket.
const (
	// attemptBurst is how many wrong keys in a row are checked.
	attemptBurst = 30
	// attemptInterval is the time after which one more attempt is allowed.
	attemptInterval = 2 * time.Second
	// maxSources bounds the number of IP addresses that are tracked. The least
	// recently used one is evicted.
	maxSources = 4096
)

// attemptLimiter limits the rate at which keys can be guessed. It is safe for
// concurrent use.
type attemptLimiter struct {
	now     func() time.Time
	sources *lru.Cache[string, *rate.Limiter]
}

func newAttemptLimiter(now func() time.Time) *attemptLimiter {
	sources, err := lru.New[string, *rate.Limiter](maxSources)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &attemptLimiter{now: now, sources: sources}
}

// allowed reports whether a key from the remote address may be checked.
func (l *attemptLimiter) allowed(remote string) bool {
	limiter, known := l.sources.Get(source(remote))
	return !known || limiter.TokensAt(l.now()) >= 1
}

// recordWrong counts a wrong key from the remote address.
func (l *attemptLimiter) recordWrong(remote string) {
	limiter, known := l.sources.Get(source(remote))
	if !known {
		limiter = rate.NewLimiter(rate.Every(attemptInterval), attemptBurst)
		l.sources.Add(source(remote), limiter)
	}
	limiter.AllowN(l.now(), 1)
}

// source returns the IP address of a remote address with port.
func source(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
