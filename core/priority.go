package core

import "fmt"

// Priority is the class of a request; a lower value is served first.
type Priority uint8

const (
	// PriorityDispatch is for confirmations, dispatch orders, bookings and payments.
	PriorityDispatch Priority = iota
	// PriorityBriefing is for route briefings and other interactive requests.
	PriorityBriefing
	// PrioritySummary is for routine summaries.
	PrioritySummary
	// PriorityCount is the number of classes.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"dispatch", "briefing", "summary"}

// String returns the name used in headers and in the configuration.
func (p Priority) String() string {
	if p < PriorityCount {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// ParsePriority parses a class name. The empty string means PrioritySummary.
func ParsePriority(name string) (Priority, error) {
	if name == "" {
		return PrioritySummary, nil
	}
	for i, known := range priorityNames {
		if known == name {
			return Priority(i), nil
		}
	}
	return 0, fmt.Errorf("priority %q: want one of dispatch, briefing, summary", name)
}
