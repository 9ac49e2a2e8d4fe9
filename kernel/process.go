package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Duty is a long-running job of a process. Each one runs in its own goroutine.
type Duty struct {
	// Name appears in logs and errors.
	Name string
	// Run works until ctx is done. An error other than context.Canceled stops the
	// process.
	Run func(ctx context.Context) error
}

// Process runs duties concurrently and performs a graceful shutdown in steps.
type Process struct {
	duties []Duty
	stops  []Stop
}

// Stop is one step of a graceful shutdown.
type Stop struct {
	// Name appears in errors.
	Name string
	// Do performs the step. It must return once ctx is done.
	Do func(ctx context.Context) error
}

// AddDuty appends a duty.
func (p *Process) AddDuty(name string, run func(ctx context.Context) error) {
	p.duties = append(p.duties, Duty{Name: name, Run: run})
}

// AddStop appends a shutdown step. Steps run one after the other in the order in
// which they were added.
func (p *Process) AddStop(name string, do func(ctx context.Context) error) {
	p.stops = append(p.stops, Stop{Name: name, Do: do})
}

// Run starts all duties and waits until ctx is done or a duty fails. It then
// performs the shutdown steps, with stopTimeout for all of them together, and
// finally cancels the duties and waits for them. It returns the first error of a
// duty or of a step.
func (p *Process) Run(ctx context.Context, stopTimeout time.Duration) error {
	dutyCtx, cancelDuties := context.WithCancel(context.Background())
	defer cancelDuties()
	failures := make(chan error, len(p.duties))
	var running sync.WaitGroup
	for _, duty := range p.duties {
		running.Add(1)
		go func() {
			defer running.Done()
			err := duty.Run(dutyCtx)
			if err != nil && !errors.Is(err, context.Canceled) {
				failures <- fmt.Errorf("duty %s: %w", duty.Name, err)
			}
		}()
	}
	var firstErr error
	select {
	case <-ctx.Done():
	case firstErr = <-failures:
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, step := range p.stops {
		if err := step.Do(stopCtx); err != nil && firstErr == nil {
			firstErr = fmt.Errorf("stop %s: %w", step.Name, err)
		}
	}
	cancelDuties()
	running.Wait()
	return firstErr
}
