package engine

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
)

// sampleEvent is an event as engines send it, with fields that the system checks and
// others.
const sampleEvent = `{"id":"7","object":"chat.completion.chunk","created":1764800000,"model":"m","choices":[` +
	`{"index":0,"delta":{"role":"assistant","content":"a \"b\u00e9\n"},"logprobs":null,"finish_reason":null}],` +
	`"usage":{"prompt_tokens":[1,2],"cached":true},"system_fingerprint":"v1","token_offset":17}`

// checkAgainstDecoder fails the test if the scan accepts data but returns other values than
// the full decoder.
func checkAgainstDecoder(t interface {
	Helper()
	Fatalf(format string, args ...any)
}, data []byte) {
	t.Helper()
	found, ok := scanEventFields(data, "v0")
	if !ok {
		return
	}
	var event StreamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		t.Fatalf("the scan accepts %q, the decoder returns the error %v", data, err)
	}
	if found.version != event.SystemFingerprint || found.offset != event.TokenOffset {
		t.Fatalf("the scan returns %v for %q, the decoder returns %q and %d", found, data, event.SystemFingerprint, event.TokenOffset)
	}
}

func TestTheScanTakesEventsOfEngines(t *testing.T) {
	g := NewWithT(t)
	found, ok := scanEventFields([]byte(sampleEvent), "")
	g.Expect(ok).To(BeTrue())
	g.Expect(found).To(Equal(eventFields{version: "v1", offset: 17}))
	data, err := json.Marshal(StreamEvent{Choices: []Choice{{Delta: Delta{Content: "<\x01\u2028"}}}, SystemFingerprint: "v2", TokenOffset: 3})
	g.Expect(err).NotTo(HaveOccurred())
	found, ok = scanEventFields(data, "v2")
	g.Expect(ok).To(BeTrue())
	g.Expect(found).To(Equal(eventFields{version: "v2", offset: 3}))
	g.Expect(testing.AllocsPerRun(100, func() { scanEventFields(data, "v2") })).To(BeZero())
}

// TestTheScanAgreesWithTheDecoder replaces parts of an event at random positions by JSON
// fragments.
func TestTheScanAgreesWithTheDecoder(t *testing.T) {
	fragments := []string{`"`, `\`, `{`, `}`, `[`, `]`, `,`, `:`, `0`, `-`, `1e3`, `null`, `true`, "\x00", "\xff", " ", `"Token_Offset":4,`, `"token_offset":"4",`, `"system_fingerprint":null,`, `"ſystem_fingerprint":"v9",`, `"id":5,`}
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(sampleEvent)
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)).Draw(t, "at")
			cut := rapid.IntRange(0, min(3, len(data)-at)).Draw(t, "cut")
			fragment := rapid.SampledFrom(append(fragments, "")).Draw(t, "piece")
			data = append(data[:at:at], append([]byte(fragment), data[at+cut:]...)...)
		}
		checkAgainstDecoder(t, data)
	})
}

func FuzzTheScanAgreesWithTheDecoder(f *testing.F) {
	f.Add([]byte(sampleEvent))
	f.Add([]byte(`{"Token_Offset":4,"token_offset":5,"system_fingerprint":"v1"}`))
	f.Fuzz(func(t *testing.T, data []byte) { checkAgainstDecoder(t, data) })
}

func BenchmarkMark(b *testing.B) {
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			scanEventFields([]byte(sampleEvent), "v1")
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			var event StreamEvent
			if err := json.Unmarshal([]byte(sampleEvent), &event); err != nil || event.SystemFingerprint != core.VersionID("v1") {
				b.Fatal(err)
			}
		}
	})
}
