package gate

import (
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// reportTokens and reportAfter bound how much progress one report to the gate covers.
	reportTokens = 4
	reportAfter  = 50 * time.Millisecond
)

// Permit is the right to have one call in flight at the endpoint. FirstToken and
// Token are optional; they let the limiter learn before the call ends.
type Permit struct {
	gate    *SharedGate
	id      uint64
	started time.Time
	once    sync.Once

	mu     sync.Mutex
	first  time.Duration
	last   time.Time
	unsent int
	tokens int
}

// FirstToken records the first byte of the answer.
func (p *Permit) FirstToken() {
	now := p.gate.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first > 0 {
		return
	}
	p.first = max(1, now.Sub(p.started))
	p.last = now
	p.tokens = 1
	p.gate.firstToken(now, p.first)
}

// Token records one further event of the answer; the first one counts as FirstToken.
func (p *Permit) Token() {
	p.mu.Lock()
	if p.first == 0 {
		p.mu.Unlock()
		p.FirstToken()
		return
	}
	defer p.mu.Unlock()
	p.tokens++
	p.unsent++
	now := p.gate.now()
	if p.unsent >= reportTokens || now.Sub(p.last) >= reportAfter {
		p.gate.tokens(now, p.unsent, now.Sub(p.last))
		p.last = now
		p.unsent = 0
	}
}

// Done ends the call. Only the first Done counts. Elapsed, FirstToken and
// Tokens are filled in from what the pass saw when they are zero.
func (p *Permit) Done(result Result) {
	p.once.Do(func() { p.finish(result) })
}

// Release ends a call that was never handed to the endpoint.
func (p *Permit) Release() { p.Done(Result{NotStarted: true}) }

// finish completes the result and reports it.
func (p *Permit) finish(result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	core.SetDefault(&result.Elapsed, p.gate.now().Sub(p.started))
	core.SetDefault(&result.FirstToken, p.first)
	core.SetDefault(&result.Tokens, p.tokens)
	result.Observed = result.Observed || p.tokens > 1
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.end(p.id, result)
}

// firstToken reports the first token of a call.
func (s *SharedGate) firstToken(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.FirstToken(now, after)
}

// tokens reports further tokens of a call.
func (s *SharedGate) tokens(now time.Time, count int, over time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.gate.Tokens(now, count, over))
}
