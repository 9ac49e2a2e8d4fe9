package load

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zinniaseam/zinniaseam/core"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// KindChat is a streamed chat completion.
	KindChat Kind = "chat"
	// KindOrder is a non-idempotent plain call; it carries an Idempotency-Key.
	KindOrder Kind = "order"
	// KindLookup is an idempotent plain call.
	KindLookup Kind = "lookup"
)

// Class is one item of the mix: requests of one kind, priority and team, with their
// weight in the load.
type Class struct {
	Kind     Kind          `json:"kind"`
	Priority core.Priority `json:"-"`
	Team     core.TeamID   `json:"team"`
	Weight   int           `json:"weight"`
}

// Name returns the class as written in a mix, without the weight.
func (c Class) Name() string {
	return fmt.Sprintf("%s:%s:%s", c.Kind, c.Priority, c.Team)
}

const (
	maxClasses     = 100
	maxClassWeight = 1_000_000
)

// ParseMix parses "kind:priority:team=weight" items separated by commas.
func ParseMix(text string) ([]Class, error) {
	var classes []Class
	for item := range strings.SplitSeq(text, ",") {
		class, err := parseClass(strings.TrimSpace(item))
		if err != nil {
			return nil, err
		}
		classes = append(classes, class)
	}
	if len(classes) > maxClasses {
		return nil, fmt.Errorf("mix: %d items, want at most %d", len(classes), maxClasses)
	}
	return classes, nil
}

func parseClass(item string) (Class, error) {
	name, weightText, _ := strings.Cut(item, "=")
	parts := strings.Split(name, ":")
	if len(parts) != 3 {
		return Class{}, fmt.Errorf("mix item %q: want kind:priority:team=weight", item)
	}
	priority, err := core.ParsePriority(parts[1])
	if err != nil {
		return Class{}, fmt.Errorf("mix item %q: %w", item, err)
	}
	weight, err := strconv.Atoi(weightText)
	if err != nil || weight < 1 || weight > maxClassWeight {
		return Class{}, fmt.Errorf("mix item %q: weight: want 1 to %d", item, maxClassWeight)
	}
	class := Class{Kind: Kind(parts[0]), Priority: priority, Team: core.TeamID(parts[2]), Weight: weight}
	switch class.Kind {
	case KindChat, KindOrder, KindLookup:
		return class, nil
	}
	return Class{}, fmt.Errorf("mix item %q: kind: want chat, order or lookup", item)
}
