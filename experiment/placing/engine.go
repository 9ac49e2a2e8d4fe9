package placing

import (
	"slices"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// engineQueue is the capacity of an engine's internal queue. The engine rejects
// calls when it is full.
const engineQueue = 32

// engine models continuous batching: each pass processes prompt tokens of the
// running calls, then generates StepsPerPass tokens for each call whose prompt is
// complete.
type engine struct {
	clock       *virtualtime.Clock
	profile     *catalogue.EngineProfile
	running     []*job
	waiting     []*job
	passRunning bool
	crashed     bool
	// draining is set when the next version is loaded as soon as all calls have
	// ended. version is that of the loaded weights.
	draining bool
	version  int64
}

// loadTime is how long an engine takes to load weights.
const loadTime = 300 * time.Millisecond

// job is one call on an engine.
type job struct {
	prompt, output int
	promptLeft     int
	written        int
	// offeredAt is when the call arrived, admittedAt when it joined the batch.
	offeredAt, admittedAt time.Time
	// onEvent is called after each pass that generated tokens, onEnd when the
	// answer is complete or, with complete=false, when the engine crashed.
	onEvent func()
	onEnd   func(complete bool)
}

// offer queues a call and reports whether the engine accepted it. It rejects
// calls when the queue is full, while draining and after a crash.
func (e *engine) offer(j *job) bool {
	if e.crashed || e.draining || len(e.running)+len(e.waiting) >= e.profile.BatchSlots+engineQueue {
		return false
	}
	j.promptLeft = j.prompt
	j.offeredAt = e.clock.Now()
	e.waiting = append(e.waiting, j)
	e.schedule()
	return true
}

// crash fails all calls and marks the engine as unreachable.
func (e *engine) crash() {
	ended := append(e.running, e.waiting...)
	e.running, e.waiting, e.crashed = nil, nil, true
	for _, j := range ended {
		j.onEnd(false)
	}
}

// startVersionChange drains the engine and then loads the next version.
func (e *engine) startVersionChange() {
	e.draining = true
	e.loadWhenIdle()
}

// loadWhenIdle loads the next version if the engine is draining and has no calls.
func (e *engine) loadWhenIdle() {
	if !e.draining || len(e.running)+len(e.waiting) > 0 {
		return
	}
	e.clock.After(loadTime, func() {
		if e.draining {
			e.draining = false
			e.version++
		}
	})
}

// schedule fills the batch from the queue and starts the next pass, unless one is
// running or there is no work.
func (e *engine) schedule() {
	if e.passRunning || e.crashed || len(e.running)+len(e.waiting) == 0 {
		return
	}
	for len(e.running) < e.profile.BatchSlots && len(e.waiting) > 0 {
		e.waiting[0].admittedAt = e.clock.Now()
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.passRunning = true
	e.clock.After(e.passTime(e.readPrompts()), e.finishPass)
}

// readPrompts consumes prompt tokens of the running calls, up to the budget of one
// pass, and returns how many.
func (e *engine) readPrompts() int {
	budget := e.profile.PromptChunk * e.profile.StepsPerPass
	left := budget
	for _, j := range e.running {
		tokens := min(left, j.promptLeft)
		j.promptLeft -= tokens
		left -= tokens
	}
	return budget - left
}

func (e *engine) passTime(read int) time.Duration {
	p := e.profile
	context := 0
	for _, j := range e.running {
		context += j.prompt + j.written
	}
	step := p.Step + time.Duration(len(e.running))*p.StepPerCall + time.Duration(context)*p.StepPerThousand/1000
	return time.Duration(p.StepsPerPass)*step + time.Duration(float64(read)/p.PromptTokensPerSecond*float64(time.Second))
}

func (e *engine) finishPass() {
	e.passRunning = false
	if e.crashed {
		return
	}
	var ended []*job
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.promptLeft > 0 {
			return false
		}
		j.written += e.profile.StepsPerPass
		j.onEvent()
		if j.written < j.output {
			return false
		}
		ended = append(ended, j)
		return true
	})
	for _, j := range ended {
		j.onEnd(true)
	}
	if len(ended) > 0 {
		e.loadWhenIdle()
	}
	e.schedule()
}
