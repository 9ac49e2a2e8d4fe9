package capacity_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/experiment/capacity"
)

func TestQuickRunMeasuresEverySlope(t *testing.T) {
	g := NewWithT(t)
	run, err := experiment.Experiments.New("capacity")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	options := experiment.Options{Seed: 1, Runs: 1, Quick: true, OutDir: t.TempDir(), Out: &out, Args: []string{"own"}}
	g.Expect(run(context.Background(), options)).To(Succeed())
	data, err := os.ReadFile(filepath.Join(options.OutDir, "capacity.json"))
	g.Expect(err).NotTo(HaveOccurred())
	var result capacity.Result
	g.Expect(json.Unmarshal(data, &result)).To(Succeed())
	t.Log(out.String())

	small, large := result.Knowledge[0], result.Knowledge[len(result.Knowledge)-1]
	g.Expect(large.MessageBytes).To(BeNumerically(">", 10*small.MessageBytes))
	g.Expect(large.StateBytes).To(BeNumerically(">", small.StateBytes))
	for _, row := range result.Exchange {
		g.Expect(row.BetweenPerEntry).To(BeNumerically(">", 0))
		g.Expect(row.FramingBytes).To(BeNumerically(">", 0))
	}
	withEndpoints := result.Exchange[len(result.Exchange)-1]
	g.Expect(withEndpoints.ReportsPerEndpoint).To(BeNumerically(">", 0))
	g.Expect(withEndpoints.ReportBytes).To(BeNumerically(">", float64(result.Messages.EmptyReport)), "some reports contain a state")
	g.Expect(withEndpoints.EntryBytesPerSecond).To(BeNumerically(">", result.Exchange[0].EntryBytesPerSecond))
	for _, row := range result.Changes {
		g.Expect(row.Seconds).To(BeNumerically(">", 0))
		g.Expect(row.WireBytes).To(BeNumerically(">", 0))
	}
	for _, row := range result.Requests {
		g.Expect(row.BackendBytes).To(BeNumerically(">", float64(row.Tokens*result.Messages.CallToken)))
	}
	g.Expect(result.Decisions).NotTo(BeEmpty())
	g.Expect(result.Documents).NotTo(BeEmpty())
	for _, row := range result.Memory {
		g.Expect(row.Bytes).To(BeNumerically(">", 0), row.Name)
	}
	g.Expect(result.Platform.Watchers).To(BeNumerically(">", 0))
	g.Expect(result.Platform.Watchers).To(BeNumerically("<", result.Platform.Entries))
}
