package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const microsecondsPerMillisecond = 1000.0

// WriteTable prints the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d\toffered %d\tin %.1f s\tattempts %d\n", r.Seed, r.Offered, r.Seconds, r.Attempts)
	for _, outcome := range Outcomes {
		if count := r.Outcomes[outcome]; count > 0 {
			fmt.Fprintf(w, "%s\t%d\t%.2f%%\n", outcome, count, 100*float64(count)/float64(r.Offered))
		}
	}
	for version, count := range r.Versions {
		fmt.Fprintf(w, "answered by %s\t%d\n", version, count)
	}
	fmt.Fprintln(w, "milliseconds\tp50\tp95\tp99\tmax\tcount")
	writeSummary(w, "first token", r.FirstToken)
	writeSummary(w, "between tokens", r.InterToken)
	writeSummary(w, "whole answer", r.FullAnswer)
	for _, class := range r.Classes {
		writeSummary(w, fmt.Sprintf("%s (%d of %d)", class.Class, class.Outcomes[OutcomeAnswered], class.Offered), class.FullAnswer)
	}
	for _, failure := range r.Failures {
		writeSummary(w, fmt.Sprintf("%s: %s", failure.Outcome, failure.Reason), failure.Latency)
	}
	fmt.Fprintf(w, "seconds under %.0f%% answered\t%d %v\n", 100*r.GapShare, len(r.GapSeconds), r.GapSeconds)
	fmt.Fprintf(w, "of idempotent work\t%d %v\n", len(r.IdempotentGapSeconds), r.IdempotentGapSeconds)
	return w.Flush()
}

func writeSummary(w io.Writer, name string, s Summary) {
	if s.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\n", name, ms(s.P50US), ms(s.P95US), ms(s.P99US), ms(s.MaxUS), s.Count)
}

func ms(us int64) float64 { return float64(us) / microsecondsPerMillisecond }
