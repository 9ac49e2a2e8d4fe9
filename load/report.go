package load

import (
	"fmt"
	"sort"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaseam/zinniaseam/core"
)

// maxExamples bounds the details kept for each outcome and reason.
const maxExamples = 3

// Second counts the requests that arrived within one second of the run.
type Second struct {
	Second   int `json:"second"`
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// IdempotentOffered and IdempotentAnswered exclude orders.
	IdempotentOffered  int `json:"idempotentOffered"`
	IdempotentAnswered int `json:"idempotentAnswered"`
}

// Share returns the fraction of answered requests.
func (s Second) Share() float64 { return float64(s.Answered) / float64(s.Offered) }

// IdempotentShare returns the fraction of answered idempotent requests.
func (s Second) IdempotentShare() float64 {
	return float64(s.IdempotentAnswered) / float64(s.IdempotentOffered)
}

// FailureCount counts the unanswered requests with one outcome and reason.
type FailureCount struct {
	Outcome Outcome     `json:"outcome"`
	Reason  core.Reason `json:"reason"`
	Count   int         `json:"count"`
	// Latency is the time from arrival to the failure.
	Latency  Summary  `json:"latency"`
	Examples []string `json:"examples,omitempty"`
}

// ClassReport holds the outcomes and latencies of one class of the mix.
type ClassReport struct {
	Class      string          `json:"class"`
	Outcomes   map[Outcome]int `json:"outcomes"`
	Offered    int             `json:"offered"`
	FirstToken Summary         `json:"firstToken"`
	FullAnswer Summary         `json:"whole"`
}

// Report is the machine-readable result of a run.
type Report struct {
	Seed     uint64          `json:"seed"`
	Rate     float64         `json:"rate"`
	Seconds  float64         `json:"seconds"`
	Offered  int             `json:"offered"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Attempts int             `json:"attempts"`
	// Versions counts the answered chats of each version.
	Versions map[core.VersionID]int `json:"versions,omitempty"`
	Failures []FailureCount         `json:"refused,omitempty"`
	Classes  []ClassReport          `json:"classes"`
	// FirstToken, InterToken and FullAnswer are the latencies of answered requests.
	// FirstToken and FullAnswer are measured from the arrival.
	FirstToken Summary `json:"firstToken"`
	InterToken Summary `json:"between"`
	FullAnswer Summary `json:"whole"`
	// PerSecond counts requests by second of arrival.
	PerSecond []Second `json:"perSecond"`
	// GapSeconds and IdempotentGapSeconds list the seconds whose answered fraction is
	// below GapShare.
	GapShare             float64 `json:"gapShare"`
	GapSeconds           []int   `json:"gapSeconds"`
	IdempotentGapSeconds []int   `json:"idempotentGapSeconds"`
}

// Violations returns an error if any answer was mixed or wrong.
func (r *Report) Violations() error {
	mixed, wrong := r.Outcomes[OutcomeMixed], r.Outcomes[OutcomeWrong]
	if mixed == 0 && wrong == 0 {
		return nil
	}
	return fmt.Errorf("promise broken: %d mixed and %d wrong answers", mixed, wrong)
}

type failureKey struct {
	outcome Outcome
	reason  core.Reason
}

type failureStats struct {
	count    int
	latency  *hdr.Histogram
	examples []string
}

type classStats struct {
	offered    int
	outcomes   map[Outcome]int
	firstToken *hdr.Histogram
	fullAnswer *hdr.Histogram
}

// collector aggregates finished requests. It is safe for concurrent use.
type collector struct {
	config *Config
	start  time.Time

	mu         sync.Mutex
	offered    int
	attempts   int
	outcomes   map[Outcome]int
	versions   map[core.VersionID]int
	failures   map[failureKey]*failureStats
	classes    map[string]*classStats
	seconds    map[int]*Second
	firstToken *hdr.Histogram
	interToken *hdr.Histogram
	fullAnswer *hdr.Histogram
}

func newCollector(config *Config) *collector {
	return &collector{
		config: config, start: time.Now(), outcomes: map[Outcome]int{}, versions: map[core.VersionID]int{},
		failures: map[failureKey]*failureStats{}, classes: map[string]*classStats{}, seconds: map[int]*Second{},
		firstToken: newHistogram(), interToken: newHistogram(), fullAnswer: newHistogram(),
	}
}

func (c *collector) add(r Record) {
	if c.config.OnRecord != nil {
		c.config.OnRecord(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered++
	c.attempts += r.Attempts
	c.outcomes[r.Outcome]++
	c.addSecond(&r)
	c.addClass(&r)
	if r.Outcome != OutcomeAnswered {
		c.addFailure(&r)
		return
	}
	record(c.fullAnswer, r.Elapsed)
	if r.Class.Kind != KindChat {
		return
	}
	c.versions[r.Version]++
	record(c.firstToken, r.FirstToken)
	for _, gap := range r.InterToken {
		record(c.interToken, gap)
	}
}

func (c *collector) addSecond(r *Record) {
	number := int(r.At / time.Second)
	second := c.seconds[number]
	if second == nil {
		second = &Second{Second: number}
		c.seconds[number] = second
	}
	answered := 0
	if r.Outcome == OutcomeAnswered {
		answered = 1
	}
	second.Offered++
	second.Answered += answered
	if r.Class.Kind != KindOrder {
		second.IdempotentOffered++
		second.IdempotentAnswered += answered
	}
}

func (c *collector) addClass(r *Record) {
	name := r.Class.Name()
	class := c.classes[name]
	if class == nil {
		class = &classStats{outcomes: map[Outcome]int{}, firstToken: newHistogram(), fullAnswer: newHistogram()}
		c.classes[name] = class
	}
	class.offered++
	class.outcomes[r.Outcome]++
	if r.Outcome != OutcomeAnswered {
		return
	}
	record(class.fullAnswer, r.Elapsed)
	if r.Class.Kind == KindChat {
		record(class.firstToken, r.FirstToken)
	}
}

func (c *collector) addFailure(r *Record) {
	key := failureKey{outcome: r.Outcome, reason: r.Reason}
	failures := c.failures[key]
	if failures == nil {
		failures = &failureStats{latency: newHistogram()}
		c.failures[key] = failures
	}
	failures.count++
	record(failures.latency, r.Elapsed)
	if r.Detail != "" && len(failures.examples) < maxExamples {
		failures.examples = append(failures.examples, r.Key+": "+r.Detail)
	}
}

func (c *collector) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &Report{
		Seed: c.config.Seed, Rate: c.config.Rate, Seconds: time.Since(c.start).Seconds(),
		Offered: c.offered, Attempts: c.attempts, Outcomes: c.outcomes, Versions: c.versions,
		FirstToken: summarize(c.firstToken), InterToken: summarize(c.interToken), FullAnswer: summarize(c.fullAnswer),
		GapShare: c.config.GapShare, GapSeconds: []int{}, IdempotentGapSeconds: []int{},
	}
	c.reportSeconds(report)
	c.reportFailures(report)
	c.reportClasses(report)
	return report
}

func (c *collector) reportSeconds(report *Report) {
	for _, second := range c.seconds {
		report.PerSecond = append(report.PerSecond, *second)
	}
	sort.Slice(report.PerSecond, func(i, j int) bool { return report.PerSecond[i].Second < report.PerSecond[j].Second })
	for _, second := range report.PerSecond {
		if second.Share() < report.GapShare {
			report.GapSeconds = append(report.GapSeconds, second.Second)
		}
		if second.IdempotentOffered > 0 && second.IdempotentShare() < report.GapShare {
			report.IdempotentGapSeconds = append(report.IdempotentGapSeconds, second.Second)
		}
	}
}

func (c *collector) reportFailures(report *Report) {
	for key, failures := range c.failures {
		report.Failures = append(report.Failures, FailureCount{
			Outcome: key.outcome, Reason: key.reason, Count: failures.count,
			Latency: summarize(failures.latency), Examples: failures.examples,
		})
	}
	sort.Slice(report.Failures, func(i, j int) bool {
		a, b := report.Failures[i], report.Failures[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return string(a.Outcome)+string(a.Reason) < string(b.Outcome)+string(b.Reason)
	})
}

func (c *collector) reportClasses(report *Report) {
	for name, class := range c.classes {
		report.Classes = append(report.Classes, ClassReport{
			Class: name, Outcomes: class.outcomes, Offered: class.offered,
			FirstToken: summarize(class.firstToken), FullAnswer: summarize(class.fullAnswer),
		})
	}
	sort.Slice(report.Classes, func(i, j int) bool { return report.Classes[i].Class < report.Classes[j].Class })
}
