package serving

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// prefixPart is a cacheable segment of a prompt.
type prefixPart struct {
	hash   uint64
	tokens int
}

// request is one caller's request.
type request struct {
	id           uint64
	team         core.TeamID
	priority     core.Priority
	arrivedAt    time.Time
	deadline     time.Time
	promptTokens int
	outputTokens int
	prefixes     []prefixPart
	hashes       []uint64

	tried    map[int]bool
	attempts int
	open     int
	firstAt  time.Time
	settled  bool
}

// late reports whether the deadline has passed.
func (r *request) late(now time.Time) bool { return now.After(r.deadline) }

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	id       uint64
	request  *request
	entry    *entry
	endpoint *endpoint
	hedge    bool

	startedAt  time.Time
	promptLeft int
	promptNow  int
	tokens     int
	unreported int
	lastReport time.Time
	firstAfter time.Duration
	canceled   bool
}

// classMix is a class's share of the arrivals, its request timeout and the length of
// its answers in tokens.
type classMix struct {
	share      float64
	timeout    time.Duration
	meanTokens int
	maxTokens  int
}

// teamMix is a team's relative share of the arrivals and its weight.
type teamMix struct {
	name   core.TeamID
	share  float64
	weight int
}

// workload describes the arrivals.
type workload struct {
	// perSecond is the mean arrival rate; inter-arrival times are exponentially
	// distributed.
	perSecond float64
	classes   [core.PriorityCount]classMix
	teams     []teamMix
	// systemPrompts and conversations are the numbers of different system prompts and
	// conversation prefixes.
	systemPrompts int
	conversations int
}

// Sizes of prompts and answers in tokens.
const (
	systemPromptTokens = 400
	conversationTokens = 500
	freshTokens        = 100
	minOutputTokens    = 8
)

// defaultWorkload returns a workload of ten equal teams and three classes.
func defaultWorkload(perSecond float64) workload {
	w := workload{
		perSecond: perSecond,
		classes: [core.PriorityCount]classMix{
			{share: 0.15, timeout: 4 * time.Second, meanTokens: 20, maxTokens: 60},
			{share: 0.35, timeout: 8 * time.Second, meanTokens: 40, maxTokens: 160},
			{share: 0.5, timeout: 15 * time.Second, meanTokens: 45, maxTokens: 160},
		},
		systemPrompts: 12,
		conversations: 300,
	}
	for i := range 10 {
		w.teams = append(w.teams, teamMix{name: core.TeamID("team-" + string(rune('a'+i))), share: 1, weight: 1})
	}
	return w
}

// weights returns the declared team weights.
func (w workload) weights() map[core.TeamID]int {
	weights := map[core.TeamID]int{}
	for _, team := range w.teams {
		weights[team.name] = team.weight
	}
	return weights
}

// gap returns a random time until the next arrival.
func (w workload) gap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / w.perSecond * float64(time.Second))
}

// randomRequest returns a random request that arrives at now.
func (w workload) randomRequest(random *rand.Rand, id uint64, now time.Time) *request {
	r := &request{id: id, arrivedAt: now, tried: map[int]bool{}}
	r.priority = w.randomClass(random)
	r.deadline = now.Add(w.classes[r.priority].timeout)
	r.team = w.randomTeam(random)
	r.outputTokens = w.classes[r.priority].randomTokens(random)
	conversation := skewedIndex(random, w.conversations)
	system := conversation % w.systemPrompts
	r.prefixes = []prefixPart{
		{hash: uint64(1_000_000 + system), tokens: systemPromptTokens},
		{hash: uint64(2_000_000 + conversation), tokens: conversationTokens},
	}
	r.hashes = []uint64{r.prefixes[0].hash, r.prefixes[1].hash}
	r.promptTokens = systemPromptTokens + conversationTokens + freshTokens
	return r
}

// randomTokens returns a random answer length in tokens.
func (c classMix) randomTokens(random *rand.Rand) int {
	sampled := minOutputTokens + int(random.ExpFloat64()*float64(c.meanTokens-minOutputTokens))
	return min(c.maxTokens, sampled)
}

// randomClass returns a random class, weighted by share.
func (w workload) randomClass(random *rand.Rand) core.Priority {
	target := random.Float64()
	for i := range core.PriorityCount {
		target -= w.classes[i].share
		if target < 0 {
			return i
		}
	}
	return core.PriorityCount - 1
}

// randomTeam returns a random team, weighted by share.
func (w workload) randomTeam(random *rand.Rand) core.TeamID {
	total := 0.0
	for _, team := range w.teams {
		total += team.share
	}
	target := random.Float64() * total
	for _, team := range w.teams {
		target -= team.share
		if target < 0 {
			return team.name
		}
	}
	return w.teams[len(w.teams)-1].name
}

// skewedIndex returns a random number from 0 to n-1; low numbers are more likely.
func skewedIndex(random *rand.Rand, n int) int {
	return int(float64(n) * math.Pow(random.Float64(), 2))
}
