package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
)

// Audit compares the outcomes that callers received for their orders with the
// executions that the services recorded.
type Audit struct {
	Orders int `json:"orders"`
	// Duplicates counts keys that were executed more than once.
	Duplicates int `json:"doubles"`
	// FalseNotRun counts keys that were executed although the caller received not_run.
	FalseNotRun int `json:"falseNotRun"`
	// NotRunAfterUnknown counts keys that were executed and whose caller first received
	// an unknown outcome and finally not_run.
	NotRunAfterUnknown int `json:"notRunAfterUnknown"`
	// AnsweredNotRun counts keys that were answered but never executed.
	AnsweredNotRun int `json:"answeredNotRun"`
	// UnknownRan and UnknownNotRun count the keys with an unknown final outcome that
	// were and were not executed.
	UnknownRan    int      `json:"unknownRan"`
	UnknownNotRun int      `json:"unknownNotRun"`
	Examples      []string `json:"examples,omitempty"`
}

// Violations returns an error if a guarantee about orders was violated.
func (a *Audit) Violations() error {
	if a.Duplicates+a.FalseNotRun+a.NotRunAfterUnknown+a.AnsweredNotRun == 0 {
		return nil
	}
	return fmt.Errorf("promise broken: %d doubles, %d false not_run, %d not_run after unknown, %d answered but never run (%v)",
		a.Duplicates, a.FalseNotRun, a.NotRunAfterUnknown, a.AnsweredNotRun, a.Examples)
}

// OrderLog records the final outcome of each order as its caller received it. It is
// safe for concurrent use.
type OrderLog struct {
	mu     sync.Mutex
	orders map[string]orderRecord
}

// orderRecord is the final outcome of an order as its caller received it.
type orderRecord struct {
	outcome    Outcome
	mayHaveRun bool
	history    []string
}

// NewOrderLog returns an empty log.
func NewOrderLog() *OrderLog { return &OrderLog{orders: map[string]orderRecord{}} }

// Add records a finished request. It can be used as Config.OnRecord.
func (l *OrderLog) Add(r Record) {
	if r.Class.Kind != KindOrder {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[r.Key] = orderRecord{outcome: r.Outcome, mayHaveRun: r.MayHaveRun, history: r.History}
}

// Audit compares the log with the number of executions of each key, summed over all
// services.
func (l *OrderLog) Audit(executions map[string]int) *Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	audit := &Audit{Orders: len(l.orders)}
	for key, count := range executions {
		if count > 1 {
			audit.Duplicates++
			audit.addExample(key + " ran more than once")
		}
	}
	for key, record := range l.orders {
		audit.addOrder(key, record, executions[key] > 0)
	}
	return audit
}

func (a *Audit) addOrder(key string, record orderRecord, executed bool) {
	outcome := record.outcome
	history := " (callers were told: " + strings.Join(record.history, "; ") + ")"
	switch {
	case outcome == OutcomeNotRun && executed && record.mayHaveRun:
		a.NotRunAfterUnknown++
		a.addExample(key + " ran although not_run was said after unknown" + history)
	case outcome == OutcomeNotRun && executed:
		a.FalseNotRun++
		a.addExample(key + " ran although not_run was said" + history)
	case outcome == OutcomeAnswered && !executed:
		a.AnsweredNotRun++
		a.addExample(key + " was answered and never ran" + history)
	case outcome == OutcomeAnswered || outcome == OutcomeNotRun || outcome == OutcomeSkipped:
	case executed:
		a.UnknownRan++
	default:
		a.UnknownNotRun++
	}
}

func (a *Audit) addExample(text string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, text)
	}
}

// FetchLedgers returns the number of executions of each key, summed over the service
// stand-ins at the given IP numbers and ports.
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
