package endpoint

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

func TestEventsOfOtherStreamsAreTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other := core.RequestID(rapid.String().Draw(t, "own")), rapid.String().Draw(t, "other")
		text := rapid.SampledFrom([]string{"salt", `"id":"` + string(own) + `"`}).Draw(t, "text")
		event, err := json.Marshal(engine.StreamEvent{ID: other, Choices: []engine.Choice{{Delta: engine.Delta{Content: text}}}})
		if err != nil {
			t.Fatal(err)
		}
		want := other == "" || core.RequestID(other) == own
		if got := newEventMatcher(own).matches(event); got != want {
			t.Fatalf("matcher accepts event %s for stream %q: %v", event, own, got)
		}
	})
}

func TestAnEventWrittenOtherwiseIsStillOwn(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newEventMatcher("r-1").matches([]byte(`{"object":"x", "id" : "r-\u0031"}`))).To(BeTrue())
	g.Expect(newEventMatcher("r-1").matches([]byte(`{"id" : "r-2"}`))).To(BeFalse())
}

func BenchmarkOwnEvent(b *testing.B) {
	event, err := json.Marshal(engine.StreamEvent{ID: "entry-1-0000000000000001", Object: "chat.completion.chunk", Choices: []engine.Choice{{}}})
	if err != nil {
		b.Fatal(err)
	}
	matcher := newEventMatcher("entry-1-0000000000000001")
	for b.Loop() {
		matcher.matches(event)
	}
}
