package placing

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is one kind of streamed call.
type kind struct {
	name string
	// perSecond is its rate over all callers.
	perSecond float64
	// prompt and answer are mean sizes in tokens, with the spread of a log-normal
	// distribution and the largest size.
	prompt, promptSpread, maxPrompt float64
	answer, answerSpread, maxAnswer float64
	objective                       time.Duration
	// worth is that of a mean call on time, lateWorth that of a late one.
	worth, lateWorth float64
}

// hintSpread is the standard deviation of the logarithm of a caller's guess.
const hintSpread = 0.5

// patience is how long callers wait in all.
const patience = 6 * time.Second

// kinds are the streamed calls of a dispatch fleet.
var kinds = []kind{
	{"briefing", 87.6, 1330, 1.0, 3880, 124, 0.89, 309, 400 * time.Millisecond, 2.4, 0.61},
	{"call log", 63, 827, 1.0, 3330, 124, 0.69, 309, 400 * time.Millisecond, 2.1, 0.52},
	{"answer", 67.6, 647, 0.96, 2640, 70, 0.9, 309, 300 * time.Millisecond, 1.4, 0.35},
}

// call is one caller's request, with its returns after refusals.
type call struct {
	kind           *kind
	gateway        int
	prompt, output int
	// hint is the caller's guess of output.
	hint     int
	arrived  time.Time
	returned bool
	// firstAt is when its first event reached the caller.
	firstAt time.Time
}

// worth is what the call is worth when it is answered on time or late: a part
// of the kind's for each call, the rest by its size.
func (c *call) worth(late bool) float64 {
	const fixed = 0.3
	mean := c.kind.prompt + 10*c.kind.answer
	size := (float64(c.prompt) + 10*float64(c.output)) / mean
	factor := min(fixed+(1-fixed)*size, 4)
	if late {
		return factor * c.kind.lateWorth
	}
	return factor * c.kind.worth
}

// draw makes a call that arrives now.
func draw(random *rand.Rand, now time.Time, gatewayShare []float64) *call {
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
	c.gateway = pick(random, gatewayShare)
	return c
}

func pick(random *rand.Rand, shares []float64) int {
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

// logNormal draws a size with a mean and the standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread, most float64) int {
	drawn := math.Exp(random.NormFloat64()*spread - spread*spread/2)
	return int(max(1, min(most, mean*drawn)))
}
