package spreading

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/experiment"
)

func TestSpreadReachesItsFiguresInSmallFleets(t *testing.T) {
	g := NewWithT(t)
	one := func(policy string, fault Fault, shape Shape) plannedCase {
		return plannedCase{Case: Case{Policy: policy, Fault: fault, Shape: shape, Weights: defaultWeights}, runs: 1}
	}
	planned := []plannedCase{
		one(chunkOwnerPolicy, FaultNone, Shape{Machines: 8, Zones: 2, Regions: 1}), one(chunkOwnerPolicy, FaultNone, Shape{Machines: 64, Zones: 4, Regions: 1}), one(chunkOwnerPolicy, FaultNone, Shape{Machines: 64, Zones: 14, Regions: 6}),
		one(chunkOwnerPolicy, FaultDeaths, Shape{Machines: 64, Zones: 14, Regions: 6}), one(chunkOwnerPolicy, FaultCorrupt, Shape{Machines: 8, Zones: 2, Regions: 1}), one(chunkOwnerPolicy, FaultStalled, Shape{Machines: 8, Zones: 2, Regions: 1}),
		one(chunkOwnerPolicy, FaultVersion, Shape{Machines: 8, Zones: 2, Regions: 1}), one(chunkOwnerPolicy, FaultZoneCut, Shape{Machines: 8, Zones: 2, Regions: 1}),
		one("chain", FaultNone, Shape{Machines: 8, Zones: 2, Regions: 1}), one("rarest_first", FaultNone, Shape{Machines: 8, Zones: 2, Regions: 1}), one("origin_only", FaultNone, Shape{Machines: 8, Zones: 2, Regions: 1}),
	}
	dir := t.TempDir()
	var out bytes.Buffer
	err := measure(context.Background(), experiment.Options{Seed: 1, OutDir: dir, Out: &out}, 1, planned)
	t.Log(out.String())
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range []string{"spread.json", "spread-replicas-n64-r1.svg", "spread-bytes-n64-r6.svg"} {
		info, err := os.Stat(filepath.Join(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Size()).To(BeNumerically(">", 0))
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	g := NewWithT(t)
	c := Case{Policy: chunkOwnerPolicy, Fault: FaultDeaths, Shape: Shape{Machines: 20, Zones: 4, Regions: 2}, Weights: Weights{64 << 20, 1 << 20}, Seed: 3}
	first, err := c.run()
	g.Expect(err).NotTo(HaveOccurred())
	second, err := c.run()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Curve).To(Equal(first.Curve))
	g.Expect(second.OriginCopies).To(Equal(first.OriginCopies))
}

func TestLowerBound(t *testing.T) {
	g := NewWithT(t)
	w := Weights{SizeBytes: 100, ChunkBytes: 10}
	n := Network{Origin: 10, Up: 5, Down: 50, Region: 1}
	g.Expect(lowerBound(w, Shape{Machines: 1, Zones: 1, Regions: 1}, n).Seconds()).To(BeNumerically("~", 10))
	g.Expect(lowerBound(w, Shape{Machines: 100, Zones: 1, Regions: 1}, n).Seconds()).To(BeNumerically("~", 100.0*100/510, 1e-6))
	g.Expect(lowerBound(w, Shape{Machines: 4, Zones: 4, Regions: 3}, n).Seconds()).To(BeNumerically("~", 50))
	g.Expect(directBound(w, Shape{Machines: 4, Zones: 4, Regions: 3}, n).Seconds()).To(BeNumerically("~", 100))
}

func TestCapacityWritesItsSlopes(t *testing.T) {
	g := NewWithT(t)
	run, err := experiment.Experiments.New("capacity-spread")
	g.Expect(err).NotTo(HaveOccurred())
	dir := t.TempDir()
	var out bytes.Buffer
	g.Expect(run(context.Background(), experiment.Options{Seed: 1, Quick: true, OutDir: dir, Out: &out})).To(Succeed())
	raw, err := os.ReadFile(filepath.Join(dir, "capacity-spread.json"))
	g.Expect(err).NotTo(HaveOccurred())
	var result CapacityResult
	g.Expect(json.Unmarshal(raw, &result)).To(Succeed())
	g.Expect(result.BytesPerMember).To(BeNumerically(">", 0))
	g.Expect(result.BytesPerMember).To(BeNumerically("<", 1024))
	g.Expect(result.BytesPerChunk).To(BeNumerically("<", 64))
	g.Expect(result.Runs[0].MaxInFlight).To(BeNumerically("<=", 64+12+4+1))
}
