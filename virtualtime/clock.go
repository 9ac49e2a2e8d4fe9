// Package virtualtime runs functions in the order of their virtual times, for
// measurements and tests that drive decisions without waiting.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock holds what is to be run. Functions due at the same time run in the
// order in which they were added. It is not safe for concurrent use.
type Clock struct {
	now    time.Time
	order  uint64
	events events
}

// New returns a clock that stands at start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// At runs do at a time; one that has passed counts as now.
func (c *Clock) At(when time.Time, do func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.order++
	heap.Push(&c.events, event{at: when, order: c.order, do: do})
}

// After runs do when wait has passed.
func (c *Clock) After(wait time.Duration, do func()) { c.At(c.now.Add(wait), do) }

// Every runs do again and again, first when wait has passed.
func (c *Clock) Every(wait time.Duration, do func()) {
	c.After(wait, func() {
		do()
		c.Every(wait, do)
	})
}

// Step runs the next function; it returns false when there is none.
func (c *Clock) Step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.do()
	return true
}

// StepUntil runs the next function when it is due up to end, and otherwise
// stands at end and returns false.
func (c *Clock) StepUntil(end time.Time) bool {
	if len(c.events) > 0 && !c.events[0].at.After(end) {
		return c.Step()
	}
	if c.now.Before(end) {
		c.now = end
	}
	return false
}

// RunUntil runs all that is due up to end and then stands at end.
func (c *Clock) RunUntil(end time.Time) {
	for c.StepUntil(end) {
		continue
	}
}

// event is one function with its time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// events is a heap with the next event first.
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
