package activation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// traceStep is one event with the expected actions and the version served after it.
type traceStep struct {
	AtMS     int            `json:"atMs"`
	Event    string         `json:"event"`
	Revision uint64         `json:"revision,omitempty"`
	Version  core.VersionID `json:"version,omitempty"`
	Checks   bool           `json:"checks,omitempty"`
	OK       bool           `json:"ok,omitempty"`
	First    uint64         `json:"first,omitempty"`
	Number   uint64         `json:"number,omitempty"`
	Boot     uint64         `json:"boot,omitempty"`
	Status   engine.Status  `json:"status"`
	Expect   []string       `json:"expect"`
	Serving  core.VersionID `json:"serving"`
}

func (s traceStep) event(t *testing.T) Event {
	target := Target{Version: s.Version, Digest: core.DigestOf([]byte(s.Version)), Boot: s.Boot}
	switch s.Event {
	case "declared":
		manifest := &core.Manifest{Version: s.Version, Whole: target.Digest}
		return Declared{Revision: s.Revision, Manifest: manifest, ChecksFence: s.Checks}
	case "status":
		return StatusSeen{Status: s.Status}
	case "staged":
		return Staged{Target: target}
	case "verified":
		return Verified{Target: target, OK: s.OK}
	case "granted":
		return NumbersGranted{First: s.First, Last: s.First + BlockSize - 1}
	case "numbersFailed":
		return NumbersFailed{}
	case "confirmed":
		return HolderConfirmed{}
	case "superseded":
		return HolderConfirmed{Superseded: true}
	case "done":
		return OrderEnded{Number: s.Number, Result: OrderDone, Boot: s.Boot}
	case "lost":
		return OrderEnded{Number: s.Number, Result: OrderLost}
	case "tick":
		return Tick{}
	}
	t.Fatalf("unknown event %q", s.Event)
	return nil
}

func showAction(a Action) string {
	if o, ok := a.(Order); ok {
		return fmt.Sprintf("Order %s %d", o.Order.Version, o.Order.Fence)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", a), "activation.")
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
	var steps []traceStep
	g.Expect(json.Unmarshal(data, &steps)).To(Succeed())
	m := New(Config{})
	for i, s := range steps {
		now := time.UnixMilli(int64(1_700_000_000_000 + s.AtMS))
		shown := []string{}
		for _, a := range m.Step(now, s.event(t)) {
			shown = append(shown, showAction(a))
		}
		target, _, ok := m.Serving(now)
		if !ok {
			target = Target{}
		}
		g.Expect(shown).To(Equal(append([]string{}, s.Expect...)), "step %d: %s", i, s.Event)
		g.Expect(target.Version).To(Equal(s.Serving), "served after step %d: %s", i, s.Event)
	}
}
