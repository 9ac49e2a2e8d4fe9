package faulttest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Times and bounds of the hedging tests.
const (
	// hedgeRounds is how often engines freeze, each time for hedgeFreeze.
	hedgeRounds = 10
	hedgeFreeze = 800 * time.Millisecond
	hedgePause  = 400 * time.Millisecond
	// hedgeCallers is the number of callers of each entry.
	hedgeCallers = 3
	// hedgeBurst, hedgeShare and hedgePerSecond bound the hedged requests of an
	// entry: a burst, plus a share of the answers, plus a rate per second.
	hedgeBurst     = 10
	hedgeShare     = 0.03
	hedgePerSecond = 0.5
)

// hedgePrompt is long enough that the time to the first token dominates a call.
var hedgePrompt = strings.Repeat("wet snow ", 60)

// firstTokens collects the times to the first token through one entry.
type firstTokens struct {
	mu    sync.Mutex
	times []time.Duration
}

func (f *firstTokens) add(a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.complete {
		f.times = append(f.times, a.firstToken)
	}
}

// quantile returns the q-quantile of the times.
func (f *firstTokens) quantile(q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	sorted := slices.Clone(f.times)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// hedgeCounters returns the entry's counters of hedged requests by result, of all
// attempts and of answered requests.
func (c *cluster) hedgeCounters(e *entryVM) (hedges map[string]float64, attempts, answered float64) {
	c.t.Helper()
	var vars struct {
		Hedges   map[string]float64 `json:"entry_hedges"`
		Requests map[string]float64 `json:"entry_requests"`
		Attempts float64            `json:"entry_attempts"`
	}
	c.entryVars(e, &vars)
	return vars.Hedges, vars.Attempts, vars.Requests["answered"]
}

// entryVars reads the entry's counters into the value that into points to.
func (c *cluster) entryVars(e *entryVM, into any) {
	c.t.Helper()
	if _, body := c.getOperator(e, "/debug/vars"); json.Unmarshal(body, into) != nil {
		c.t.Fatalf("counters of %s: %s", e.vm.ID, body)
	}
}

// hedgesStarted returns the number of hedged requests that the entry started.
func hedgesStarted(hedges map[string]float64) float64 {
	return hedges["first_won"] + hedges["second_won"] + hedges["none_won"]
}

// hedgeLoad keeps callers busy through the entry and records the times to the first
// token.
func hedgeLoad(e *entryVM, tokens *firstTokens) (report *loadReport, stop func()) {
	return background(hedgeCallers, func(int) *entryVM { return e }, func(e *entryVM, n int) answer {
		a := chat(e, fmt.Sprintf("Plough report %d. ", n)+hedgePrompt, 3)
		tokens.add(a)
		return a
	})
}

// Guards against a high 99th percentile of the time to the first token when one of
// four engines stalls: hedged requests should at least halve it.
func TestAStalledEngineDelaysFewFirstTokensWithSecondAttempts(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	with, without := c.addEntry("a", "-hedge-budget", "10"), c.addEntry("a", "-hedges=false")
	for range 4 {
		c.addEngine("a", "main", "-warm", "-prefill-per-byte", "100us")
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	c.waitAnswering(with, "v1")
	c.waitAnswering(without, "v1")
	var hedged, plain, warmup firstTokens
	_, stopWith := hedgeLoad(with, &warmup)
	_, stopWithout := hedgeLoad(without, &warmup)
	time.Sleep(4 * time.Second)
	stopWith()
	stopWithout()
	hedgedReport, stopHedged := hedgeLoad(with, &hedged)
	plainReport, stopPlain := hedgeLoad(without, &plain)
	for range hedgeRounds {
		time.Sleep(hedgePause)
		c.engines[0].backend.freeze()
		time.Sleep(hedgeFreeze)
		c.engines[0].backend.unfreeze()
	}
	stopHedged()
	stopPlain()
	hedgedReport.requireNoBrokenAnswers(t)
	plainReport.requireNoBrokenAnswers(t)
	counts, _, _ := c.hedgeCounters(with)
	t.Logf("first token p50 %s p99 %s with hedged requests %v; p50 %s p99 %s without",
		hedged.quantile(0.5), hedged.quantile(0.99), counts, plain.quantile(0.5), plain.quantile(0.99))
	g.Expect(hedged.quantile(0.99)).To(BeNumerically("<", plain.quantile(0.99)/2))
	g.Expect(counts["second_won"]).To(BeNumerically(">", 0))
	none, _, _ := c.hedgeCounters(without)
	g.Expect(hedgesStarted(none)).To(BeZero())
}

// Guards against hedged requests that multiply the load when all engines are slow:
// they have to stay within their budget.
func TestSecondAttemptsStayInTheirBudgetWhenAllEnginesAreSlow(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	e := c.addEntry("a")
	for range 4 {
		c.addEngine("a", "main", "-warm", "-prefill-per-byte", "100us")
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	c.waitAnswering(e, "v1")
	start := time.Now()
	var tokens firstTokens
	report, stop := hedgeLoad(e, &tokens)
	time.Sleep(3 * time.Second)
	for range hedgeRounds {
		for _, engine := range c.engines {
			engine.backend.freeze()
		}
		time.Sleep(hedgeFreeze)
		for _, engine := range c.engines {
			engine.backend.unfreeze()
		}
		time.Sleep(hedgePause / 2)
	}
	stop()
	report.requireNoBrokenAnswers(t)
	counts, attempts, answered := c.hedgeCounters(e)
	started := hedgesStarted(counts)
	bound := hedgeBurst + hedgeShare*answered + hedgePerSecond*time.Since(start).Seconds()
	t.Logf("%v of %v attempts were hedges, %v answers, bound %.0f, counters %v", started, attempts, answered, bound, counts)
	g.Expect(started).To(BeNumerically("<=", bound))
	g.Expect(attempts).To(BeNumerically("<=", 1.2*answered+bound))
	report.requireAnsweredShare(t, 0.99)
}
