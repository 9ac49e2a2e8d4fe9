package placing

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is a class of streamed calls.
type kind struct {
	name string
	// perSecond is the class's share of the arrivals, as its rate at the usual load.
	perSecond float64
	// prompt and answer are mean sizes in tokens. Sizes are log-normal, with the
	// given standard deviation of the logarithm and maximum.
	prompt, promptSpread, maxPrompt float64
	answer, answerSpread, maxAnswer float64
	// objective is the largest time to the first token that counts as on time.
	objective time.Duration
	// value is the value of a mean-sized call answered on time, lateValue when late.
	value, lateValue float64
}

// hintSpread is the standard deviation of the logarithm of the error in a caller's
// output estimate.
const hintSpread = 0.5

// callerTimeout is how long a caller waits in total, retries included.
const callerTimeout = 6 * time.Second

// kinds are the classes of streamed calls of a dispatch fleet.
var kinds = []kind{
	{"briefing", 87.6, 1330, 1.0, 3880, 124, 0.89, 309, 400 * time.Millisecond, 2.4, 0.61},
	{"call log", 63, 827, 1.0, 3330, 124, 0.69, 309, 400 * time.Millisecond, 2.1, 0.52},
	{"answer", 67.6, 647, 0.96, 2640, 70, 0.9, 309, 300 * time.Millisecond, 1.4, 0.35},
}

// call is one caller's request, including its retry after a rejection.
type call struct {
	kind           *kind
	gateway        int
	prompt, output int
	// hint is the caller's estimate of output.
	hint    int
	arrived time.Time
	retried bool
	// firstAt is when the first event reached the caller.
	firstAt time.Time
}

// value returns the value of the call when it is answered on time or late: a fixed
// part of its kind's value, the rest in proportion to its size. It is at most four
// times the value of a mean-sized call.
func (c *call) value(late bool) float64 {
	const fixed = 0.3
	mean := c.kind.prompt + 10*c.kind.answer
	size := (float64(c.prompt) + 10*float64(c.output)) / mean
	factor := min(fixed+(1-fixed)*size, 4)
	if late {
		return factor * c.kind.lateValue
	}
	return factor * c.kind.value
}

// randomCall returns a call that arrives now.
func randomCall(random *rand.Rand, now time.Time, gatewayShare []float64) *call {
	total := 0.0
	for i := range kinds {
		total += kinds[i].perSecond
	}
	c := &call{arrived: now, kind: &kinds[len(kinds)-1]}
	at := random.Float64() * total
	for i := range kinds {
		if at -= kinds[i].perSecond; at < 0 {
			c.kind = &kinds[i]
			break
		}
	}
	c.prompt = logNormal(random, c.kind.prompt, c.kind.promptSpread, c.kind.maxPrompt)
	c.output = logNormal(random, c.kind.answer, c.kind.answerSpread, c.kind.maxAnswer)
	c.hint = max(1, int(float64(c.output)*math.Exp(random.NormFloat64()*hintSpread)))
	c.gateway = pickGateway(random, gatewayShare)
	return c
}

// pickGateway returns a random gateway index, weighted by shares.
func pickGateway(random *rand.Rand, shares []float64) int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	at := random.Float64() * total
	for i, share := range shares {
		if at -= share; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// logNormal returns a random size of at least 1 and at most largest. spread is the
// standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread, largest float64) int {
	sampled := math.Exp(random.NormFloat64()*spread - spread*spread/2)
	return int(max(1, min(largest, mean*sampled)))
}
