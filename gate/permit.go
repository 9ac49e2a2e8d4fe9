package gate

import (
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// reportTokens and reportAfter bound the progress that is covered by one report to
	// the gate.
	reportTokens = 4
	reportAfter  = 50 * time.Millisecond
)

// Permit allows one call in flight at the endpoint. It must be ended with Done or
// Release. Calls to FirstToken and Token are optional and let the limiter learn before
// the call ends.
type Permit struct {
	gate    *SharedGate
	id      uint64
	started time.Time
	once    sync.Once

	mu         sync.Mutex
	firstToken time.Duration
	lastReport time.Time
	unreported int
	tokens     int
}

// FirstToken records the first byte of the answer. Further calls have no effect.
func (p *Permit) FirstToken() {
	now := p.gate.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstToken > 0 {
		return
	}
	p.firstToken = max(1, now.Sub(p.started))
	p.lastReport = now
	p.tokens = 1
	p.gate.firstToken(now, p.firstToken)
}

// Token records one further event of the answer. If no first token was recorded, it
// counts as FirstToken.
func (p *Permit) Token() {
	p.mu.Lock()
	if p.firstToken == 0 {
		p.mu.Unlock()
		p.FirstToken()
		return
	}
	defer p.mu.Unlock()
	p.tokens++
	p.unreported++
	now := p.gate.now()
	if p.unreported >= reportTokens || now.Sub(p.lastReport) >= reportAfter {
		p.gate.tokens(now, p.unreported, now.Sub(p.lastReport))
		p.lastReport = now
		p.unreported = 0
	}
}

// Done ends the call. Only the first call of Done or Release has an effect. Elapsed,
// FirstToken and Tokens are filled in from the permit's own measurements if they are
// zero.
func (p *Permit) Done(result Result) {
	p.once.Do(func() { p.finish(result) })
}

// Release ends a call that was never sent to the endpoint.
func (p *Permit) Release() { p.Done(Result{NotStarted: true}) }

// finish completes the result and reports it to the gate.
func (p *Permit) finish(result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	core.SetDefault(&result.Elapsed, p.gate.now().Sub(p.started))
	core.SetDefault(&result.FirstToken, p.firstToken)
	core.SetDefault(&result.Tokens, p.tokens)
	result.Observed = result.Observed || p.tokens > 1
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.end(p.id, result)
}

// firstToken reports the first token of a call to the gate.
func (s *SharedGate) firstToken(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.FirstToken(now, after)
}

// tokens reports further tokens of a call to the gate.
func (s *SharedGate) tokens(now time.Time, count int, over time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.gate.Tokens(now, count, over))
}
