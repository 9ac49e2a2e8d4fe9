// Package virtualtime provides a clock for discrete-event simulation. It runs
// functions in the order of their virtual times, so that measurements and tests
// don't wait for real time to pass.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock schedules functions in virtual time. Functions that are due at the same
// time run in the order in which they were scheduled. It is not safe for
// concurrent use.
type Clock struct {
	now    time.Time
	order  uint64
	events events
}

// New returns a clock whose virtual time is start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return c.now }

// At schedules do for a time. A time in the past is treated as now.
func (c *Clock) At(when time.Time, do func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.order++
	heap.Push(&c.events, event{at: when, order: c.order, do: do})
}

// After schedules do for the time wait from now.
func (c *Clock) After(wait time.Duration, do func()) { c.At(c.now.Add(wait), do) }

// Every schedules do at intervals of wait, for the first time wait from now.
func (c *Clock) Every(wait time.Duration, do func()) {
	c.After(wait, func() {
		do()
		c.Every(wait, do)
	})
}

// Step advances the clock to the next function and runs it. It returns false if
// none is scheduled.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.do()
	return true
}

// StepUntil is like Step for functions due at or before end. If there is none, it
// advances the clock to end and returns false.
func (c *Clock) StepUntil(end time.Time) bool {
	if len(c.events) > 0 && !c.events[0].at.After(end) {
		return c.Step()
	}
	if c.now.Before(end) {
		c.now = end
	}
	return false
}

// RunUntil runs all functions due at or before end and advances the clock to end.
func (c *Clock) RunUntil(end time.Time) {
	for c.StepUntil(end) {
		continue
	}
}

// event is a scheduled function. order breaks ties between equal times.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events implements heap.Interface with the earliest event first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return popped
}
