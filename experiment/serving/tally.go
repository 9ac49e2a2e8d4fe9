package serving

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaseam/zinniaseam/core"
)

// Bounds of the histograms, in microseconds.
const (
	histogramMax    = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 3
)

// rejectionBound is the time below which a rejection counts as immediate.
const rejectionBound = 5 * time.Millisecond

// count holds the outcomes of a group of requests.
type count struct {
	Arrived  int `json:"arrived"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Expired  int `json:"expired"`
	Unknown  int `json:"unknown"`
}

// tally counts the outcomes of the requests that arrive in its window.
type tally struct {
	from, to        time.Time
	total           count
	classes         [core.PriorityCount]count
	teams           map[core.TeamID]*count
	reasons         map[core.Reason]int
	lateReasons     map[core.Reason]int
	firstTokens     *hdrhistogram.Histogram
	rejectionTimes  *hdrhistogram.Histogram
	quickRejections int
	noRetryTime     int
	attempts        int
	hedges          int
	series          map[int]int
}

func newTally() *tally {
	return &tally{
		teams:          map[core.TeamID]*count{},
		reasons:        map[core.Reason]int{},
		lateReasons:    map[core.Reason]int{},
		firstTokens:    hdrhistogram.New(1, histogramMax, histogramDigits),
		rejectionTimes: hdrhistogram.New(1, histogramMax, histogramDigits),
		series:         map[int]int{},
	}
}

// window sets the arrival window, relative to the start.
func (t *tally) window(from, to time.Duration) { t.from, t.to = epoch.Add(from), epoch.Add(to) }

// each applies change to the counts that a request belongs to. It returns false if the
// request arrived outside the window.
func (t *tally) each(r *request, change func(c *count)) bool {
	if r.arrivedAt.Before(t.from) || !r.arrivedAt.Before(t.to) {
		return false
	}
	team := t.teams[r.team]
	if team == nil {
		team = &count{}
		t.teams[r.team] = team
	}
	change(&t.total)
	change(&t.classes[r.priority])
	change(team)
	return true
}

func (t *tally) arrived(r *request) { t.each(r, func(c *count) { c.Arrived++ }) }
func (t *tally) expired(r *request) { t.each(r, func(c *count) { c.Expired++ }) }

// first records the time to the first token.
func (t *tally) first(r *request) {
	if t.each(r, func(*count) {}) {
		record(t.firstTokens, r.firstAt.Sub(r.arrivedAt))
	}
}

// answered records a complete answer; a late one counts as expired.
func (t *tally) answered(r *request, now time.Time) {
	if r.late(now) {
		t.expired(r)
		return
	}
	if t.each(r, func(c *count) { c.Answered++ }) {
		t.series[int(now.Sub(epoch)/time.Second)]++
	}
}

// rejected records a rejection, or an unknown outcome.
func (t *tally) rejected(r *request, refusal *core.Refusal, now time.Time) {
	if refusal.Kind == core.OutcomeUnknown {
		t.each(r, func(c *count) { c.Unknown++ })
		return
	}
	if !t.each(r, func(c *count) { c.Refused++ }) {
		return
	}
	t.reasons[refusal.Reason]++
	took := now.Sub(r.arrivedAt)
	record(t.rejectionTimes, took)
	if took < rejectionBound {
		t.quickRejections++
	} else {
		t.lateReasons[refusal.Reason]++
	}
	if refusal.RetryAfter <= 0 {
		t.noRetryTime++
	}
}

// record adds a duration to a histogram in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(1, d.Microseconds()), histogramMax)
	if err := h.RecordValue(value); err != nil {
		panic("serving: " + err.Error())
	}
}

// quantile returns a percentile of a histogram in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}
