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
}

// hintSpread is the standard deviation of the logarithm of the error in a caller's
// output estimate.
const hintSpread = 0.5

const (
	// callerTimeout is how long a caller waits in total, retries included.
	callerTimeout = 6 * time.Second
	// eventTimeout is how long a caller waits without an event before it leaves.
	eventTimeout = 2400 * time.Millisecond
	// callerRetries is how often a caller comes back after a rejection.
	callerRetries = 1
)

// kinds are the classes of streamed calls of a dispatch fleet.
var kinds = []kind{
	{"briefing", 87.6, 1330, 1.0, 3880, 124, 0.89, 309},
	{"call log", 63, 827, 1.0, 3330, 124, 0.69, 309},
	{"answer", 67.6, 647, 0.96, 2640, 70, 0.9, 309},
}

// call is one caller's request, including its retry after a rejection.
type call struct {
	kind           *kind
	gateway        int
	prompt, output int
	// hint is the caller's estimate of output.
	hint int
	// arrived is when the caller sent the call first, sentAt when it sent it last.
	arrived, sentAt time.Time
	// retriesLeft is how often the caller still comes back after a rejection. Gateways don't
	// know it.
	retriesLeft int
	// firstAt is when the first event reached the caller.
	firstAt time.Time
}

// randomCall returns a call that arrives now.
func randomCall(random *rand.Rand, now time.Time, gatewayShare []float64) *call {
	total := 0.0
	for i := range kinds {
		total += kinds[i].perSecond
	}
	c := &call{arrived: now, sentAt: now, retriesLeft: callerRetries, kind: &kinds[len(kinds)-1]}
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
