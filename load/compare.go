package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Defaults of a comparison.
const (
	// DefaultSlice is how long each side receives load before the other one does.
	DefaultSlice = time.Second
	// DefaultLimitP50 and DefaultLimitP99 bound the time to first token that the
	// entries may add.
	DefaultLimitP50 = 500 * time.Microsecond
	DefaultLimitP99 = 2 * time.Millisecond
)

// Comparison configures a run that sends the same load alternately through entries
// and directly to an engine.
type Comparison struct {
	// Load describes the load of each side; its Entries and Direct are overwritten.
	Load Config
	// Entries and Engine are the two sides.
	Entries []string
	Engine  string
	// EntryPIDs and EndpointPIDs list the processes whose processor time is measured.
	EntryPIDs    []int
	EndpointPIDs []int
	// LimitP50 and LimitP99 bound the time to first token that the entries may add.
	LimitP50 time.Duration
	LimitP99 time.Duration
	// Slice is how long each side receives load at a time.
	Slice time.Duration
}

// Added is the latency that the entries add at each percentile.
type Added struct {
	P50US int64 `json:"p50Us"`
	P95US int64 `json:"p95Us"`
	P99US int64 `json:"p99Us"`
}

// CompareReport is the machine-readable result of a comparison.
type CompareReport struct {
	Seed            uint64  `json:"seed"`
	Rate            float64 `json:"rate"`
	SliceSeconds    float64 `json:"sliceSeconds"`
	Entry           *Report `json:"entry"`
	Direct          *Report `json:"direct"`
	AddedFirstToken Added   `json:"addedFirstToken"`
	AddedInterToken Added   `json:"addedBetween"`
	AddedFullAnswer Added   `json:"addedWhole"`
	// EntryProcessorSeconds is the processor time of the entry processes while their
	// side received load.
	EntryProcessorSeconds float64 `json:"entryProcessorSeconds,omitempty"`
	// RequestsPerCore is the number of requests per second of entry processor time.
	RequestsPerCore float64 `json:"requestsPerCore,omitempty"`
	// EndpointProcessorSeconds is the processor time of the endpoint processes while
	// the entries received load.
	EndpointProcessorSeconds float64 `json:"endpointProcessorSeconds,omitempty"`
	// LimitP50US and LimitP99US bound AddedFirstToken. WithinLimits is set if both
	// limits are met.
	LimitP50US   int64 `json:"limitP50Us"`
	LimitP99US   int64 `json:"limitP99Us"`
	WithinLimits bool  `json:"met"`
}

// processorTimes holds the processor time used by the entry and endpoint processes.
type processorTimes struct{ entry, endpoint time.Duration }

// readProcessorTimes returns the processor time used since the processes started.
func (c *Comparison) readProcessorTimes() (processorTimes, error) {
	entry, entryErr := ProcessorTime(c.EntryPIDs)
	endpoint, endpointErr := ProcessorTime(c.EndpointPIDs)
	return processorTimes{entry: entry, endpoint: endpoint}, errors.Join(entryErr, endpointErr)
}

// add adds the processor time used between two readings.
func (t *processorTimes) add(before, after processorTimes) {
	t.entry += after.entry - before.entry
	t.endpoint += after.endpoint - before.endpoint
}

// Compare sends load to both sides alternately. Each side receives load for
// Load.Duration in total.
func Compare(ctx context.Context, c Comparison) (*CompareReport, error) {
	core.SetDefault(&c.Slice, DefaultSlice)
	core.SetDefault(&c.LimitP50, DefaultLimitP50)
	core.SetDefault(&c.LimitP99, DefaultLimitP99)
	entry := newSide(c.Load, c.Entries, false)
	direct := newSide(c.Load, []string{c.Engine}, true)
	defer entry.caller.close()
	defer direct.caller.close()
	if err := errors.Join(entry.config.Check(), direct.config.Check()); err != nil {
		return nil, fmt.Errorf("compare: %w", err)
	}
	var used processorTimes
	for offset := time.Duration(0); offset < c.Load.Duration && ctx.Err() == nil; offset += c.Slice {
		before, err := c.readProcessorTimes()
		if err != nil {
			return nil, err
		}
		entry.sendSlice(ctx, offset, c.Slice)
		after, err := c.readProcessorTimes()
		if err != nil {
			return nil, err
		}
		used.add(before, after)
		direct.sendSlice(ctx, offset, c.Slice)
	}
	return c.report(entry, direct, used), nil
}

func (c *Comparison) report(entry, direct *side, used processorTimes) *CompareReport {
	report := &CompareReport{
		Seed: c.Load.Seed, Rate: c.Load.Rate, SliceSeconds: c.Slice.Seconds(),
		Entry: entry.collector.report(), Direct: direct.collector.report(),
		EntryProcessorSeconds: used.entry.Seconds(), EndpointProcessorSeconds: used.endpoint.Seconds(),
		LimitP50US: c.LimitP50.Microseconds(), LimitP99US: c.LimitP99.Microseconds(),
	}
	report.AddedFirstToken = added(report.Entry.FirstToken, report.Direct.FirstToken)
	report.AddedInterToken = added(report.Entry.InterToken, report.Direct.InterToken)
	report.AddedFullAnswer = added(report.Entry.FullAnswer, report.Direct.FullAnswer)
	if used.entry > 0 {
		report.RequestsPerCore = float64(report.Entry.Offered) / used.entry.Seconds()
	}
	report.WithinLimits = report.AddedFirstToken.P50US <= report.LimitP50US && report.AddedFirstToken.P99US <= report.LimitP99US
	return report
}

// Violations returns an error that lists every violated guarantee and limit.
func (r *CompareReport) Violations() error {
	violations := []error{r.Entry.Violations(), r.Direct.Violations()}
	if !r.WithinLimits {
		violations = append(violations, fmt.Errorf("the entries add %.2f ms p50 and %.2f ms p99 to the first token, the limits are %.2f and %.2f ms",
			ms(r.AddedFirstToken.P50US), ms(r.AddedFirstToken.P99US), ms(r.LimitP50US), ms(r.LimitP99US)))
	}
	return errors.Join(violations...)
}

func added(entry, direct Summary) Added {
	return Added{
		P50US: entry.P50US - direct.P50US, P95US: entry.P95US - direct.P95US, P99US: entry.P99US - direct.P99US,
	}
}

// side is one of the two targets of a comparison.
type side struct {
	config    Config
	caller    *caller
	collector *collector
	plan      *Plan
	pending   Arrival
	more      bool
}

func newSide(config Config, entries []string, direct bool) *side {
	s := &side{config: config}
	s.config.Entries = entries
	s.config.Direct = direct
	s.config.FillDefaults()
	s.caller = newCaller(&s.config)
	s.collector = newCollector(&s.config)
	s.plan = NewPlan(&s.config)
	s.pending, s.more = s.plan.Next()
	return s
}

// sendSlice sends the arrivals planned for [from, from+length) and waits for their
// answers.
func (s *side) sendSlice(ctx context.Context, from, length time.Duration) {
	start := time.Now().Add(-from)
	sender := newSender(&s.config, s.caller, s.collector)
	defer sender.wait()
	for s.more && s.pending.At < from+length {
		if !sender.start(ctx, s.pending, start) {
			return
		}
		s.pending, s.more = s.plan.Next()
	}
}

// WriteTable prints the comparison as a table.
func (r *CompareReport) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d\trate %.0f/s each\tslices of %.1f s\n", r.Seed, r.Rate, r.SliceSeconds)
	fmt.Fprintf(w, "through entries\t%d of %d answered\n", r.Entry.Outcomes[OutcomeAnswered], r.Entry.Offered)
	fmt.Fprintf(w, "direct\t%d of %d answered\n", r.Direct.Outcomes[OutcomeAnswered], r.Direct.Offered)
	fmt.Fprintln(w, "milliseconds\tp50\tp95\tp99\tmax\tcount")
	writeSummary(w, "first token through entries", r.Entry.FirstToken)
	writeSummary(w, "first token direct", r.Direct.FirstToken)
	writeAdded(w, "first token added", r.AddedFirstToken)
	writeSummary(w, "between tokens through entries", r.Entry.InterToken)
	writeSummary(w, "between tokens direct", r.Direct.InterToken)
	writeAdded(w, "between tokens added", r.AddedInterToken)
	writeSummary(w, "whole answer through entries", r.Entry.FullAnswer)
	writeSummary(w, "whole answer direct", r.Direct.FullAnswer)
	writeAdded(w, "whole answer added", r.AddedFullAnswer)
	if r.EntryProcessorSeconds > 0 {
		fmt.Fprintf(w, "entry processor time\t%.2f s\trequests/s a core\t%.0f\n", r.EntryProcessorSeconds, r.RequestsPerCore)
	}
	if r.EndpointProcessorSeconds > 0 {
		fmt.Fprintf(w, "endpoint processor time\t%.2f s\trequests/s a core\t%.0f\n", r.EndpointProcessorSeconds,
			float64(r.Entry.Offered)/r.EndpointProcessorSeconds)
	}
	verdict := "not met"
	if r.WithinLimits {
		verdict = "met"
	}
	fmt.Fprintf(w, "limits of the first token added\t%.2f\t\t%.2f\t%s\n", ms(r.LimitP50US), ms(r.LimitP99US), verdict)
	return w.Flush()
}

func writeAdded(w io.Writer, name string, a Added) {
	fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\n", name, ms(a.P50US), ms(a.P95US), ms(a.P99US))
}
