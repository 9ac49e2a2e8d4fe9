package load

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// Stage is one named load of a longer run.
type Stage struct {
	Name   string
	Report *Report
	Audit  *Audit
	// NoGaps says that a second under the gap share breaks a promise.
	NoGaps bool
	// NoCuts says that a request whose work was begun and not answered breaks a promise.
	NoCuts bool
}

// Verdict joins the results of a longer run into one table.
type Verdict struct {
	Spreads []*SpreadReport
	Stages  []Stage
	Quiet   *QuietReport
	Engines *EngineReport
}

// Violations returns an error that names every promise that broke.
func (v *Verdict) Violations() error {
	var broken []error
	for _, spread := range v.Spreads {
		broken = append(broken, spread.Violations())
	}
	for _, stage := range v.Stages {
		if err := stage.broken(); err != nil {
			broken = append(broken, fmt.Errorf("%s: %w", stage.Name, err))
		}
	}
	if v.Quiet != nil {
		broken = append(broken, v.Quiet.Violations())
	}
	if v.Engines != nil {
		broken = append(broken, v.Engines.Violations())
	}
	return errors.Join(broken...)
}

func (s *Stage) broken() error {
	broken := []error{s.Report.Violations()}
	if s.Audit != nil {
		broken = append(broken, s.Audit.Violations())
	}
	if s.NoGaps && len(s.Report.IdempotentGapSeconds) > 0 {
		broken = append(broken, fmt.Errorf("promise broken: under %.0f%% of idempotent work answered in seconds %v",
			100*s.Report.GapShare, s.Report.IdempotentGapSeconds))
	}
	if cut := s.cut(); s.NoCuts && cut > 0 {
		broken = append(broken, fmt.Errorf("promise broken: %d requests were cut", cut))
	}
	return errors.Join(broken...)
}

// cut counts the requests whose work was begun and not answered.
func (s *Stage) cut() int {
	outcomes := s.Report.Outcomes
	return outcomes[OutcomeIncomplete] + outcomes[OutcomeLost] + outcomes[OutcomeUnknown]
}

// WriteTable prints the verdict for people.
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
