package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time since the start of the run.
	At       time.Duration
	Sequence int
	Class    Class
	// Key is the Idempotency-Key of orders and the request ID of chats.
	Key string
	// Prompt is the user message of a chat.
	Prompt    string
	MaxTokens int
}

// Plan generates open-loop arrivals: arrival times do not depend on answers.
type Plan struct {
	config   *Config
	random   *rand.Rand
	total    int
	at       time.Duration
	sequence int
}

// NewPlan returns the plan for the configuration; the same seed gives the same plan.
func NewPlan(config *Config) *Plan {
	plan := &Plan{config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed))}
	for _, class := range config.Mix {
		plan.total += class.Weight
	}
	return plan
}

// Next returns the next arrival, or false once the planned duration is over.
func (p *Plan) Next() (Arrival, bool) {
	gap := p.random.ExpFloat64() / p.config.Rate
	p.at += time.Duration(gap * float64(time.Second))
	if p.at >= p.config.Duration {
		return Arrival{}, false
	}
	p.sequence++
	arrival := Arrival{
		At: p.at, Sequence: p.sequence, Class: p.drawClass(), MaxTokens: p.config.MaxTokens,
		Key: fmt.Sprintf("%s-%d-%d", p.config.KeyPrefix, p.config.Seed, p.sequence),
	}
	if arrival.Class.Kind == KindChat {
		arrival.Prompt = p.drawPrompt()
	}
	return arrival, true
}

// drawClass returns a random class, in proportion to the weights.
func (p *Plan) drawClass() Class {
	drawn := p.random.IntN(p.total)
	for _, class := range p.config.Mix {
		drawn -= class.Weight
		if drawn < 0 {
			return class
		}
	}
	return p.config.Mix[0]
}

// drawPrompt returns a random shared prefix followed by a question that is unique
// with high probability.
func (p *Plan) drawPrompt() string {
	topic := p.random.IntN(p.config.Prefixes)
	shared := fmt.Sprintf("topic %d ", topic)
	if fill := p.config.PrefixBytes - len(shared); fill > 0 {
		shared += strings.Repeat("=", fill)
	}
	return fmt.Sprintf("%s question %d", shared, p.random.Uint32())
}
