package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
)

// Audit compares what callers were told of their orders with the executions
// that the services recorded.
type Audit struct {
	Orders int `json:"orders"`
	// Duplicates counts keys that ran more than once.
	Duplicates int `json:"doubles"`
	// FalseNotRun counts keys that ran although their caller was told that they did not.
	FalseNotRun int `json:"falseNotRun"`
	// NotRunAfterUnknown counts keys that ran and whose caller was told first that
	// their fate is unknown and last that they did not run.
	NotRunAfterUnknown int `json:"notRunAfterUnknown"`
	// AnsweredNotRun counts keys that were answered and never ran.
	AnsweredNotRun int `json:"answeredNotRun"`
	// UnknownRan and UnknownNotRun split the keys of unknown fate.
	UnknownRan    int      `json:"unknownRan"`
	UnknownNotRun int      `json:"unknownNotRun"`
	Examples      []string `json:"examples,omitempty"`
}

// Violations returns an error when a promise about orders broke.
func (a *Audit) Violations() error {
	if a.Duplicates+a.FalseNotRun+a.NotRunAfterUnknown+a.AnsweredNotRun == 0 {
		return nil
	}
	return fmt.Errorf("promise broken: %d doubles, %d false not_run, %d not_run after unknown, %d answered but never run (%v)",
		a.Duplicates, a.FalseNotRun, a.NotRunAfterUnknown, a.AnsweredNotRun, a.Examples)
}

// OrderLog remembers how each order ended for its caller.
type OrderLog struct {
	mu     sync.Mutex
	orders map[string]orderEnd
}

// orderEnd is how an order ended for its caller.
type orderEnd struct {
	outcome    Outcome
	mayHaveRun bool
	history    []string
}

// NewOrderLog returns an empty log.
func NewOrderLog() *OrderLog { return &OrderLog{orders: map[string]orderEnd{}} }

// Add records a finished request; it fits Config.OnRecord.
func (l *OrderLog) Add(r Record) {
	if r.Class.Kind != KindOrder {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[r.Key] = orderEnd{outcome: r.Outcome, mayHaveRun: r.MayHaveRun, history: r.History}
}

// Audit checks the log against the executions by key, summed over all services.
func (l *OrderLog) Audit(executions map[string]int) *Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	audit := &Audit{Orders: len(l.orders)}
	for key, count := range executions {
		if count > 1 {
			audit.Duplicates++
			audit.example(key + " ran more than once")
		}
	}
	for key, end := range l.orders {
		audit.addOrder(key, end, executions[key] > 0)
	}
	return audit
}

func (a *Audit) addOrder(key string, end orderEnd, ran bool) {
	outcome := end.outcome
	told := " (callers were told: " + strings.Join(end.history, "; ") + ")"
	switch {
	case outcome == OutcomeNotRun && ran && end.mayHaveRun:
		a.NotRunAfterUnknown++
		a.example(key + " ran although not_run was said after unknown" + told)
	case outcome == OutcomeNotRun && ran:
		a.FalseNotRun++
		a.example(key + " ran although not_run was said" + told)
	case outcome == OutcomeAnswered && !ran:
		a.AnsweredNotRun++
		a.example(key + " was answered and never ran" + told)
	case outcome == OutcomeAnswered || outcome == OutcomeNotRun || outcome == OutcomeSkipped:
	case ran:
		a.UnknownRan++
	default:
		a.UnknownNotRun++
	}
}

func (a *Audit) example(text string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, text)
	}
}

// FetchLedgers sums the ledgers of service stand-ins, given by IP number and port.
func FetchLedgers(ctx context.Context, services []string) (map[string]int, error) {
	sum := map[string]int{}
	for _, service := range services {
		var ledger map[string]int
		if err := fetchJSON(ctx, service, "/admin/ledger", &ledger); err != nil {
			return nil, err
		}
		for key, count := range ledger {
			sum[key] += count
		}
	}
	return sum, nil
}
