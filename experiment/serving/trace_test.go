package serving

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/gate"
)

var updateTrace = flag.Bool("update-trace", false, "record the gate trace and its outcome anew")

const (
	tracePath   = "testdata/gate_cold_start.jsonl"
	outcomePath = "testdata/gate_cold_start_outcome.json"
)

// newTraceGate returns the gate for recording and replaying the trace.
func newTraceGate() *gate.Gate {
	return gate.New(gate.Config{Random: rand.New(rand.NewPCG(1, 1))})
}

// recordTrace records the gate events of one endpoint under full load whose engine
// restarts after four seconds.
func recordTrace(g *WithT) []traceEvent {
	f, err := newFleet(setup{
		seed: seeds[0], endpoints: 1, entries: 2, zones: 1, limiter: "adaptive", picker: "weighted",
		workload: defaultWorkload(fullRate / coldEndpoints), shapeOf: func(int) engineShape { return defaultShape },
	})
	g.Expect(err).NotTo(HaveOccurred())
	var events []traceEvent
	f.endpoints[0].gate = newTraceGate()
	f.endpoints[0].record = func(event traceEvent) { events = append(events, event) }
	f.run(coldStartAt / 5)
	f.endpoints[0].engine.restart()
	f.run(coldStartAt * 3 / 4)
	return events
}

func TestGateReplaysTheRecordedColdStart(t *testing.T) {
	g := NewWithT(t)
	if *updateTrace {
		file, err := os.Create(tracePath)
		g.Expect(err).NotTo(HaveOccurred())
		events := recordTrace(g)
		g.Expect(writeTrace(file, events)).To(Succeed())
		g.Expect(file.Close()).To(Succeed())
		data, err := json.MarshalIndent(replay(newTraceGate(), events), "", "  ")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(outcomePath, append(data, '\n'), 0o644)).To(Succeed())
	}
	file, err := os.Open(tracePath)
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	events, err := readTrace(file)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := os.ReadFile(outcomePath)
	g.Expect(err).NotTo(HaveOccurred())
	var recorded traceOutcome
	g.Expect(json.Unmarshal(data, &recorded)).To(Succeed())
	g.Expect(replay(newTraceGate(), events)).To(Equal(recorded))
}

func TestTraceReaderNamesTheBrokenLine(t *testing.T) {
	g := NewWithT(t)
	file, err := os.CreateTemp(t.TempDir(), "trace")
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	_, err = file.WriteString("{\"op\":\"tick\"}\n{\"op\":\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = file.Seek(0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = readTrace(file)
	g.Expect(err).To(MatchError(ContainSubstring("line 2")))
}
