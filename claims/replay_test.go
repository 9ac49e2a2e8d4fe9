package claims

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/core"
)

// trace is a recorded sequence of events and the actions expected after each.
type trace struct {
	Title string      `json:"title"`
	Steps []traceStep `json:"steps"`
}

// traceStep is one event at one home. The operations "effect", "answer" and "lose"
// apply to the home's pending store call: the call takes effect, its result arrives,
// or its result is lost.
type traceStep struct {
	AtMS        int      `json:"atMs"`
	Home        string   `json:"home"`
	Operation   string   `json:"do"`
	Token       uint64   `json:"token,omitempty"`
	Key         int      `json:"key,omitempty"`
	Fingerprint uint64   `json:"print,omitempty"`
	Expect      []string `json:"expect,omitempty"`
}

// replayHome is the partition of one home with its pending store call. result is set
// if the call has taken effect and its result has not arrived yet.
type replayHome struct {
	partition *partition
	pending   action
	result    event
}

// replay applies the steps of one trace to homes that share a store in memory.
type replay struct {
	store        map[string]simulatedRecord
	lastRevision uint64
	homes        map[string]*replayHome
}

func (r *replay) home(name string) *replayHome {
	if r.homes[name] == nil {
		config := Config{}.withDefaults()
		pacer := newPacer(config, rate.NewLimiter(rate.Inf, 1))
		options := Options{Self: core.VMID(name), Incarnation: 1}
		p := newPartition(config, options, uint64(len(r.homes)+1), pacer, rand.New(rand.NewPCG(1, 2)))
		r.homes[name] = &replayHome{partition: p}
	}
	return r.homes[name]
}

func (r *replay) step(t *testing.T, s traceStep) []string {
	h := r.home(s.Home)
	if s.Operation == "effect" {
		h.result = r.effect(h.pending)
		return nil
	}
	var actions []string
	for _, a := range h.partition.step(simulationStart.Add(time.Duration(s.AtMS)*time.Millisecond), r.event(t, h, s)) {
		switch a.(type) {
		case reply, start:
		default:
			h.pending = a
		}
		actions = append(actions, describeAction(a))
	}
	return actions
}

func (r *replay) event(t *testing.T, h *replayHome, s traceStep) event {
	key := simulatedKey(s.Key)
	switch s.Operation {
	case "submit":
		return submit{token: s.Token, key: key, keyTime: simulationStart.UnixMilli(), fingerprint: s.Fingerprint}
	case "giveUp":
		return abandon{token: s.Token}
	case "answered":
		return finished{key: key, answer: answerOf(key)}
	case "notHandedOver":
		return finished{key: key, refusal: core.NotRun(core.ReasonBackendFailed, 0, "refused")}
	case "unknown":
		return finished{key: key, refusal: core.Unknown(core.ReasonBackendFailed, 0, "lost")}
	case "answer":
		if h.result == nil {
			return r.effect(h.pending)
		}
		result := h.result
		h.result = nil
		return result
	case "lose":
		h.result = nil
		return lostEvent(h.pending)
	case "drain":
		return drain{}
	case "tick":
		return tick{}
	}
	t.Fatalf("unknown operation %q", s.Operation)
	return nil
}

// effect applies a store call to the store and returns its result.
func (r *replay) effect(a action) event {
	switch a := a.(type) {
	case swapHead:
		current := r.store["head"]
		if current.revision != a.previous {
			return headSwapped{revision: current.revision}
		}
		r.lastRevision++
		r.store["head"] = simulatedRecord{value: a.value, revision: r.lastRevision}
		return headSwapped{revision: r.lastRevision, swapped: true}
	default:
		current := r.store["head"]
		return headLoaded{value: current.value, revision: current.revision}
	}
}

// lostEvent returns the event for a store call whose result was lost.
func lostEvent(a action) event {
	if _, ok := a.(swapHead); ok {
		return headSwapped{err: errStoreLost}
	}
	return headLoaded{err: errStoreLost}
}

func describeAction(a action) string {
	switch a := a.(type) {
	case reply:
		if a.answer != nil {
			return fmt.Sprintf("reply %d answered", a.token)
		}
		return fmt.Sprintf("reply %d %s %s", a.token, a.refusal.Kind, a.refusal.Reason)
	case start:
		return fmt.Sprintf("start %d", a.token)
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", a), "claims.")
	}
}

func TestRecordedTracesEndAsStated(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { replayFile(t, file) })
	}
}

func replayFile(t *testing.T, file string) {
	g := NewWithT(t)
	data, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	var recorded trace
	g.Expect(json.Unmarshal(data, &recorded)).To(Succeed())
	r := &replay{store: map[string]simulatedRecord{}, homes: map[string]*replayHome{}}
	for i, s := range recorded.Steps {
		if s.Expect == nil {
			s.Expect = []string{}
		}
		actions := append([]string{}, r.step(t, s)...)
		g.Expect(actions).To(Equal(s.Expect), "%s: step %d: %s at %s", recorded.Title, i, s.Operation, s.Home)
	}
}
