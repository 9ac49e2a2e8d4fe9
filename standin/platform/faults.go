package platform

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/standin"
)

// Faults configures the failures that the stand-in simulates.
type Faults struct {
	// Outage responds to every call with status 503, including waiting watches.
	Outage bool `json:"outage"`
	// DelayMS delays every call before its effect, in milliseconds.
	DelayMS int64 `json:"delayMs"`
	// LoseAnswerRate is the probability that the response to a write is lost after its
	// effect.
	LoseAnswerRate float64 `json:"loseAnswerRate"`
	// LoseAnswers is the number of next writes whose responses are lost after their
	// effect.
	LoseAnswers int `json:"loseAnswers"`
	// Seed is the seed of the random decisions of LoseAnswerRate.
	Seed uint64 `json:"seed"`
}

// Stats holds counters since the start.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches counts the reads that are watches of a key.
	Watches int `json:"watches"`
	// Waiting is the number of calls that wait for a change now.
	Waiting int `json:"waiting"`
	// Limited counts responses with status 429.
	Limited int `json:"limited"`
	// Unavailable counts responses with status 503.
	Unavailable int `json:"unavailable"`
	// LostAnswers counts writes whose response was lost after the effect.
	LostAnswers int `json:"lostAnswers"`
	// Conflicts counts writes with response status 409.
	Conflicts int `json:"conflicts"`
	// Revision is the newest revision of the store.
	Revision uint64 `json:"revision"`
}

// burstSeconds is the capacity of a token bucket in seconds of its rate.
const burstSeconds = 0.5

// bucket is a token bucket.
type bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBucket(perSecond float64) *bucket {
	if perSecond < 0 {
		return &bucket{limiter: rate.NewLimiter(rate.Inf, 0)}
	}
	burst := int(math.Max(1, perSecond*burstSeconds))
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// take takes a token and returns zero. If there is none, it returns the time until
// one is available.
func (b *bucket) take() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	reserved := b.limiter.ReserveN(now, 1)
	if wait := reserved.DelayFrom(now); wait > 0 {
		reserved.CancelAt(now)
		return wait
	}
	return 0
}

// read adds the rate limit, counters and faults of reads to a handler.
func (s *Server) read(handle http.HandlerFunc) http.HandlerFunc {
	return s.guard(s.reads, func() { s.stats.Reads++ }, handle)
}

// write adds the rate limit, counters and faults of writes to a handler.
func (s *Server) write(handle http.HandlerFunc) http.HandlerFunc {
	return s.guard(s.writes, func() { s.stats.Writes++ }, func(w http.ResponseWriter, r *http.Request) {
		if !s.shouldLoseAnswer() {
			handle(w, r)
			return
		}
		handle(discardWriter{}, r)
		s.count(func() { s.stats.LostAnswers++ })
		standin.DropConnection()
	})
}

// guard returns a handler that counts each call, applies the rate limit and the
// simulated delay and outage, and then calls handle.
func (s *Server) guard(limit *bucket, increment func(), handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(increment)
		if wait := limit.take(); wait > 0 {
			s.count(func() { s.stats.Limited++ })
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		if !standin.Sleep(r, standin.Milliseconds(s.currentFaults().DelayMS)) {
			return
		}
		if s.currentFaults().Outage {
			s.answerOutage(w)
			return
		}
		handle(w, r)
	}
}

func (s *Server) answerOutage(w http.ResponseWriter) {
	s.count(func() { s.stats.Unavailable++ })
	http.Error(w, "outage", http.StatusServiceUnavailable)
}

// shouldLoseAnswer reports whether the response to this write is lost, and counts
// LoseAnswers down.
func (s *Server) shouldLoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.random.Bernoulli(s.faults.LoseAnswerRate)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) count(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.random.Reseed(faults.Seed)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Stats returns the counters and the revision.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Revision = s.store.newestRevision()
	return stats
}

// discardWriter is the response writer of a lost response.
type discardWriter struct{}

var _ http.ResponseWriter = discardWriter{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

func parseUint(text, name string) (value uint64, err error) {
	if text == "" {
		return 0, nil
	}
	value, err = strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return value, nil
}
