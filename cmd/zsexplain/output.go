package main

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zinniaseam/zinniaseam/explain"
)

// unpredictableMS is the predicted wait from which a gateway predicts no end, in milliseconds.
const unpredictableMS = 3_600_000

// printAnswer prints an answer as tables.
func printAnswer(out io.Writer, a *explain.Answer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "process   %s\n", processLine(&a.Process))
	fmt.Fprintf(&text, "request   %s %s%s: route %s, service %s, team %s, rank %d, time-out %s\n",
		a.Method, a.Host, a.Path, a.Route, cmp.Or(a.Service, "-"), cmp.Or(a.Team, "-"), a.Rank, period(a.TimeoutMS))
	if len(a.Targets) > 1 {
		fmt.Fprintf(&text, "split     %s\n", targets(a.Targets))
	}
	fmt.Fprintf(&text, "verdict   %s\n", verdictLine(a))
	if a.Verdict != explain.VerdictPlace {
		fmt.Fprintf(&text, "queue     %d ahead, predicted wait %s, time left to wait %s\n", a.Ahead, wait(a.StartsInMS), period(a.TimeLeftMS))
	}
	if a.StandingMS > 0 {
		fmt.Fprintf(&text, "          not short for %s: it drains, and calls that would wait are rejected\n", period(a.StandingMS))
	}
	if a.Displaces {
		fmt.Fprintf(&text, "          a waiting call of team %s would be rejected instead\n", cmp.Or(a.DisplacesTeam, "-"))
	}
	if a.AsksPeers {
		fmt.Fprintln(&text, "          other gateways of the zone are asked for a free slot first")
	}
	fmt.Fprintf(&text, "%s %d, reason %s, Retry-After %s\n", rejectionLabel(a.Verdict), a.Rejection.Status, a.Rejection.Reason, retryAfter(&a.Rejection))
	if a.Note != "" {
		fmt.Fprintf(&text, "note      %s\n", a.Note)
	}
	printQueues(&text, a.Queues)
	printEndpoints(&text, a.Endpoints)
	_, err := io.WriteString(out, text.String())
	return err
}

func processLine(p *explain.Process) string {
	line := fmt.Sprintf("%s in zone %s, declaration %d, confirmed %s ago", cmp.Or(p.Name, "-"), cmp.Or(p.Zone, "-"), p.View.Revision, age(p.View.AgeMS))
	if p.View.AgeMS < 0 {
		line = fmt.Sprintf("%s in zone %s, no view of the store", cmp.Or(p.Name, "-"), cmp.Or(p.Zone, "-"))
	}
	switch {
	case p.View.CutOff:
		line += fmt.Sprintf(", CUT OFF from the store (over %s)", period(p.View.MaxKeyAgeMS))
	case p.View.Old:
		line += fmt.Sprintf(", view OLD (over %s)", period(p.View.MaxAgeMS))
	}
	if p.Stopping {
		line += ", STOPPING"
	}
	return line
}

func verdictLine(a *explain.Answer) string {
	switch a.Verdict {
	case explain.VerdictPlace:
		if len(a.Chosen) > 1 {
			return fmt.Sprintf("placed now on one of %s, at random; candidates: %d", strings.Join(a.Chosen, ", "), a.Candidates)
		}
		return fmt.Sprintf("placed now on %s; candidates: %d", strings.Join(a.Chosen, ", "), a.Candidates)
	case explain.VerdictWait:
		return fmt.Sprintf("waits; candidates: %d", a.Candidates)
	default:
		return fmt.Sprintf("rejected: %s; candidates: %d", a.Reason, a.Candidates)
	}
}

func rejectionLabel(verdict string) string {
	if verdict == explain.VerdictReject {
		return "answer   "
	}
	return "a rejection now would be"
}

func targets(list []explain.Target) string {
	var parts []string
	for _, target := range list {
		parts = append(parts, fmt.Sprintf("%s (weight %d)", target.Service, target.Weight))
	}
	return strings.Join(parts, ", ")
}

func retryAfter(r *explain.Rejection) string {
	if r.RetryAfterMaxMS > r.RetryAfterMS {
		return fmt.Sprintf("%s to %s", period(r.RetryAfterMS), period(r.RetryAfterMaxMS))
	}
	return period(r.RetryAfterMS)
}

func printQueues(out io.Writer, queues []explain.Queue) {
	if len(queues) == 0 {
		return
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RANK\tWAITING\tAHEAD\tNOT SHORT FOR\tDRAINING")
	for _, q := range queues {
		fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%t\n", q.Rank, q.Waiting, q.Ahead, age(q.NotShortMS), q.Draining)
	}
	_ = w.Flush()
}

func printEndpoints(out io.Writer, endpoints []explain.Endpoint) {
	if len(endpoints) == 0 {
		return
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tZONE\tRESULT\tFIRST BYTE\tLOAD (AGE)\tGRANTED (AGE)\tPATH (AGE)\tSLOWDOWN (AGE)\tSTARTS\tWEIGHTS")
	for i := range endpoints {
		e := &endpoints[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d (%s)\t%s\t%s (%s)\t%.2f (%s)\t%s\t%s\n", e.ID, e.Zone, result(e), period(e.ExpectedMS), e.Load, e.Slots, age(e.LoadAgeMS),
			granted(e), period(e.PathDelayMS), age(e.PathAgeMS), e.Slowdown, age(e.SlowdownAgeMS), starts(e), weights(e))
	}
	_ = w.Flush()
}

// result tells whether an endpoint is chosen or what is against it.
func result(e *explain.Endpoint) string {
	text := "eligible"
	switch {
	case e.Chosen:
		text = "CHOSEN"
	case e.Obstacle != "":
		text = strings.ReplaceAll(e.Obstacle, "_", " ")
	}
	if e.LastResort {
		text += ", last resort"
	}
	if e.OpensInMS > 0 {
		text += ", for " + period(e.OpensInMS)
	}
	if e.ClosesInMS > 0 {
		text += ", closes in " + period(e.ClosesInMS)
	}
	if e.PendingPrefill > 0 {
		text += fmt.Sprintf(", %d prompt tokens pending", e.PendingPrefill)
	}
	if e.Unregistered {
		text += ", no entry"
	}
	return text
}

func granted(e *explain.Endpoint) string {
	if e.Granted < 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d (%s)", e.UsedSlots, e.Granted, age(e.GrantAgeMS))
}

func starts(e *explain.Endpoint) string {
	if e.StartLimit < 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d", e.Starts, e.StartLimit)
}

func weights(e *explain.Endpoint) string {
	switch {
	case e.Weights == 0 && e.NewestWeights == 0:
		return "-"
	case e.NewestWeights == 0:
		return fmt.Sprint(e.Weights)
	default:
		return fmt.Sprintf("%d, newest %d since %s", e.Weights, e.NewestWeights, age(e.SupersededMS))
	}
}

// period returns milliseconds as a duration, to the millisecond from one second on.
func period(ms float64) string {
	d := time.Duration(ms * float64(time.Millisecond))
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}

// age is period for an age, "-" if it is unknown.
func age(ms float64) string {
	if ms < 0 {
		return "-"
	}
	return period(ms)
}

// wait is period for a predicted wait.
func wait(ms float64) string {
	if ms >= unpredictableMS {
		return "without a predicted end"
	}
	return period(ms)
}
