package serving

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

// traceOp is the kind of an event at a gate.
type traceOp string

const (
	traceOffer  traceOp = "offer"
	traceFirst  traceOp = "first"
	traceTokens traceOp = "tokens"
	traceDone   traceOp = "done"
	traceTick   traceOp = "tick"
	traceCold   traceOp = "cold"
)

// traceEvent is an event at a gate. At and Deadline are relative to the start of the
// run.
type traceEvent struct {
	At       time.Duration `json:"at"`
	Op       traceOp       `json:"op"`
	ID       uint64        `json:"id,omitempty"`
	Priority core.Priority `json:"priority,omitempty"`
	Team     core.TeamID   `json:"team,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	Count    int           `json:"count,omitempty"`
	Over     time.Duration `json:"over,omitempty"`
	Result   *gate.Result  `json:"result,omitempty"`
}

// traceOutcome summarizes the decisions of a gate over a trace.
type traceOutcome struct {
	Admitted int                 `json:"admitted"`
	Refused  map[core.Reason]int `json:"refused"`
	// PeakInFlight is the maximum number of calls in flight after the engine restarted
	// cold.
	PeakInFlight int `json:"peakInFlight"`
	// Limits holds the limit at the end of each second.
	Limits []int `json:"limits"`
}

// writeTrace writes events as JSON lines.
func writeTrace(w io.Writer, events []traceEvent) error {
	encoder := json.NewEncoder(w)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	return nil
}

// readTrace reads events from JSON lines. Errors contain the line number.
func readTrace(r io.Reader) ([]traceEvent, error) {
	var events []traceEvent
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var event traceEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", len(events)+1, err)
		}
		events = append(events, event)
	}
	return events, scanner.Err()
}

// replay passes the events of a trace to a gate and returns a summary of its
// decisions.
func replay(g *gate.Gate, events []traceEvent) traceOutcome {
	outcome := traceOutcome{Refused: map[core.Reason]int{}}
	cold := false
	for _, event := range events {
		now := epoch.Add(event.At)
		for len(outcome.Limits) < int(event.At/time.Second) {
			outcome.Limits = append(outcome.Limits, g.Load(now).Limit)
		}
		actions := feed(g, now, event)
		outcome.Admitted += len(actions.Admitted)
		for _, rejected := range actions.Rejected {
			outcome.Refused[rejected.Refusal.Reason]++
		}
		cold = cold || event.Op == traceCold
		if cold {
			outcome.PeakInFlight = max(outcome.PeakInFlight, g.Load(now).InFlight)
		}
	}
	return outcome
}

// feed passes an event to a gate and returns the resulting actions.
func feed(g *gate.Gate, now time.Time, event traceEvent) gate.Actions {
	switch event.Op {
	case traceOffer:
		return g.Offer(now, gate.Ticket{ID: event.ID, Request: gate.Request{
			Priority: event.Priority, Team: event.Team, Deadline: epoch.Add(event.Deadline),
		}})
	case traceFirst:
		g.FirstToken(now, event.Over)
	case traceTokens:
		return g.Tokens(now, event.Count, event.Over)
	case traceDone:
		return g.Done(now, event.ID, *event.Result)
	case traceTick:
		return g.Tick(now)
	case traceCold:
		g.Cold(now)
	}
	return gate.Actions{}
}
