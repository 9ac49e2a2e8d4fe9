package load

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Run sends the planned load and returns its report. When ctx is done, it starts no
// further requests and waits for those in flight. It returns an error only for an
// invalid configuration.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.FillDefaults()
	if err := config.Check(); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	caller := newCaller(&config)
	defer caller.close()
	collector := newCollector(&config)
	sender := newSender(&config, caller, collector)
	if config.Balance {
		watchCtx, endWatch := context.WithCancel(context.WithoutCancel(ctx))
		defer endWatch()
		go caller.entries.watch(watchCtx)
	}
	plan := NewPlan(&config)
	start := time.Now()
	for {
		arrival, more := plan.Next()
		if !more || !sender.start(ctx, arrival, start) {
			break
		}
	}
	sender.wait()
	return collector.report(), nil
}

// sender starts requests at their arrival times and bounds the number in flight.
type sender struct {
	caller    *caller
	collector *collector
	slots     chan struct{}
	running   sync.WaitGroup
}

func newSender(config *Config, caller *caller, collector *collector) *sender {
	return &sender{caller: caller, collector: collector, slots: make(chan struct{}, config.MaxInFlight)}
}

// start waits for the arrival time and starts the request. It returns false if ctx
// is done first.
func (s *sender) start(ctx context.Context, arrival Arrival, runStart time.Time) bool {
	at := runStart.Add(arrival.At)
	if !sleepUntil(ctx, at, at) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.collector.add(Record{Arrival: arrival, Attempt: Attempt{Outcome: OutcomeSkipped, Reason: "too_many_in_flight"}})
		return true
	}
	s.running.Add(1)
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer s.running.Done()
		defer func() { <-s.slots }()
		s.collector.add(s.caller.request(ctx, arrival, at))
	}()
	return true
}

// wait blocks until all started requests have finished.
func (s *sender) wait() { s.running.Wait() }
