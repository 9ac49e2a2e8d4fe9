package load

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// Stage is one named load run of a longer scenario.
type Stage struct {
	Name   string
	Report *Report
	Audit  *Audit
	// NoGaps makes a second below the gap share of idempotent work a violation.
	NoGaps bool
	// NoCuts makes a request that was started but not answered a violation.
	NoCuts bool
}

// Verdict combines the results of a longer scenario.
type Verdict struct {
	Spreads []*SpreadReport
	Stages  []Stage
	Quiet   *QuietReport
	Engines *EngineReport
}

// Violations returns an error that lists every violated guarantee.
func (v *Verdict) Violations() error {
	var violations []error
	for _, spread := range v.Spreads {
		violations = append(violations, spread.Violations())
	}
	for _, stage := range v.Stages {
		if err := stage.violations(); err != nil {
			violations = append(violations, fmt.Errorf("%s: %w", stage.Name, err))
		}
	}
	if v.Quiet != nil {
		violations = append(violations, v.Quiet.Violations())
	}
	if v.Engines != nil {
		violations = append(violations, v.Engines.Violations())
	}
	return errors.Join(violations...)
}

func (s *Stage) violations() error {
	violations := []error{s.Report.Violations()}
	if s.Audit != nil {
		violations = append(violations, s.Audit.Violations())
	}
	if s.NoGaps && len(s.Report.IdempotentGapSeconds) > 0 {
		violations = append(violations, fmt.Errorf("promise broken: under %.0f%% of idempotent work answered in seconds %v",
			100*s.Report.GapShare, s.Report.IdempotentGapSeconds))
	}
	if cut := s.cut(); s.NoCuts && cut > 0 {
		violations = append(violations, fmt.Errorf("promise broken: %d requests were cut", cut))
	}
	return errors.Join(violations...)
}

// cut returns the number of requests that may have started and were not answered.
func (s *Stage) cut() int {
	outcomes := s.Report.Outcomes
	return outcomes[OutcomeIncomplete] + outcomes[OutcomeLost] + outcomes[OutcomeUnknown]
}

// WriteTable prints the results as a table.
func (v *Verdict) WriteTable(out io.Writer) error {
	for _, spread := range v.Spreads {
		if err := spread.WriteTable(out); err != nil {
			return err
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "stage\toffered\tanswered\tnot run\tunknown\tincomplete\tlost\tmixed\twrong\tdoubles\tgaps\tfirst token p50/p95/p99 ms\tbetween tokens ms\t")
	for _, stage := range v.Stages {
		writeStage(w, &stage)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if v.Quiet != nil {
		fmt.Fprintf(out, "zone out: %d requests within %.1f s, %d in the %.1f s after\n", v.Quiet.InGrace, v.Quiet.GraceSeconds, v.Quiet.NewWork, v.Quiet.Seconds)
	}
	if e := v.Engines; e != nil {
		fmt.Fprintf(out, "engines: %d pushed over, %d load orders, %d of them under running streams\n", e.Crashes, e.Orders, e.OrdersDuringStreams)
	}
	return nil
}

func writeStage(w io.Writer, stage *Stage) {
	r := stage.Report
	doubles := "-"
	if stage.Audit != nil {
		doubles = fmt.Sprint(stage.Audit.Duplicates)
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%s\t%s\t\n", stage.Name, r.Offered,
		r.Outcomes[OutcomeAnswered], r.Outcomes[OutcomeNotRun], r.Outcomes[OutcomeUnknown], r.Outcomes[OutcomeIncomplete],
		r.Outcomes[OutcomeLost]+r.Outcomes[OutcomeSkipped], r.Outcomes[OutcomeMixed], r.Outcomes[OutcomeWrong], doubles,
		len(r.IdempotentGapSeconds), percentiles(r.FirstToken), percentiles(r.InterToken))
}

func percentiles(s Summary) string {
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(s.P50US), ms(s.P95US), ms(s.P99US))
}
