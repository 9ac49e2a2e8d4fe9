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

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// Outage answers 503 to every call, waiting watches included.
	Outage bool `json:"outage"`
	// DelayMS delays every call before it takes effect.
	DelayMS int64 `json:"delayMs"`
	// LoseAnswerRate is the share of writes whose answer is lost after the effect.
	LoseAnswerRate float64 `json:"loseAnswerRate"`
	// LoseAnswers loses the answers of the next writes after their effect.
	LoseAnswers int `json:"loseAnswers"`
	// Seed restarts the chance of LoseAnswerRate.
	Seed uint64 `json:"seed"`
}

// Stats counts calls since the start.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches counts the reads that were watches.
	Watches int `json:"watches"`
	// Waiting is the number of watches open now.
	Waiting int `json:"waiting"`
	// Limited counts calls answered 429.
	Limited int `json:"limited"`
	// Unavailable counts calls answered 503.
	Unavailable int `json:"unavailable"`
	// LostAnswers counts writes whose answer was lost after the effect.
	LostAnswers int `json:"lostAnswers"`
	// Conflicts counts writes answered 409.
	Conflicts int `json:"conflicts"`
	// Revision is the newest revision of the store.
	Revision uint64 `json:"revision"`
}

// burstSeconds is how many seconds' worth of calls a bucket holds.
const burstSeconds = 0.5

// bucket is a token bucket; nil lets every call pass.
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

// take returns zero when the call may pass, and else how long to wait.
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

// read wraps the handler of a read call with rates and faults.
func (s *Server) read(handle http.HandlerFunc) http.HandlerFunc {
	return s.guard(s.reads, func() { s.stats.Reads++ }, handle)
}

// write wraps the handler of a write call with rates and faults.
func (s *Server) write(handle http.HandlerFunc) http.HandlerFunc {
	return s.guard(s.writes, func() { s.stats.Writes++ }, func(w http.ResponseWriter, r *http.Request) {
		if !s.losesAnswer() {
			handle(w, r)
			return
		}
		handle(discardAnswer{}, r)
		s.count(func() { s.stats.LostAnswers++ })
		standin.DropConnection()
	})
}

func (s *Server) guard(limit *bucket, counted func(), handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(counted)
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

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.chance.Bernoulli(s.faults.LoseAnswerRate)
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

// SetFaults replaces the failures acted out from now on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.chance.Reseed(faults.Seed)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Revision = s.store.newestRevision()
	return stats
}

// discardAnswer is the writer of an answer that is lost.
type discardAnswer struct{}

var _ http.ResponseWriter = discardAnswer{}

func (discardAnswer) Header() http.Header            { return http.Header{} }
func (discardAnswer) Write(data []byte) (int, error) { return len(data), nil }
func (discardAnswer) WriteHeader(int)                {}

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
