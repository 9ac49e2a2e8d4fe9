package transfer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

func TestMachinesTakeTheWeightsFromRelaysAndSendNone(t *testing.T) {
	g := NewWithT(t)
	members := grid(2, 1, 4)
	for _, m := range grid(2, 1, 2) {
		m.ID += "-relay"
		m.Relay = true
		members = append(members, m)
	}
	c := startCluster(t, members, func(config *transfer.Config) {
		config.Policy = "chunk_owner_quick"
		if config.Self.Relay {
			config.Staging = transfer.NewMemoryStaging(2)
		}
	})
	data, m := weights("v1", 24, 1)
	c.origin.add(data, m)
	uploads := count(t, "upload_bytes")
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	g.Expect(c.origin.sent.Load()).To(BeNumerically(">=", m.SizeBytes))
	// Eight machines and three of the four relays receive each chunk from a relay;
	// the remaining relay receives it from the origin. Chunks that are requested
	// again add to the uploads.
	g.Expect(count(t, "upload_bytes") - uploads).To(BeNumerically(">=", 10*m.SizeBytes))
	for _, member := range members {
		progress, _ := c.nodes[member.ID].spreader.Progress("v1")
		if !member.Relay {
			g.Expect(progress.OriginBytes).To(BeZero(), string(member.ID))
			g.Expect(c.nodes[member.ID].staging.gets.Load()).To(BeZero(), "chunks were read from the staging, so the machine sent some: "+string(member.ID))
		}
	}
}

// unreachableOrigin fails every read immediately.
type unreachableOrigin struct{}

func (unreachableOrigin) ReadRange(context.Context, core.VersionID, int64, []byte, func(int) error) error {
	return errors.New("connection refused")
}

// Load pattern: one of three relays loses its connection to the origin, but not
// to the other machines.
func TestAnotherRelayDrawsForOneThatIsCutOffFromTheOrigin(t *testing.T) {
	g := NewWithT(t)
	members := grid(1, 1, 3)
	var partitioned core.VMID
	for _, m := range grid(1, 1, 3) {
		m.ID += "-relay"
		m.Relay = true
		members = append(members, m)
		partitioned = m.ID
	}
	c := startCluster(t, members, func(config *transfer.Config) {
		config.Policy = "chunk_owner_quick"
		if config.Self.ID == partitioned {
			config.Origin = unreachableOrigin{}
		}
	})
	data, m := weights("v1", 24, 1)
	c.origin.add(data, m)
	started := time.Now()
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	// Two waits for a chunk at a relay that is expected to receive it.
	g.Expect(time.Since(started)).To(BeNumerically("<=", 2*spread.QuickTuning.Timeouts.PeerWait))
}

func TestAChunkIsSentNoFasterThanTheReceiverAsks(t *testing.T) {
	g := NewWithT(t)
	members := []spread.Member{member(0, 0, 0), member(0, 0, 1)}
	c := startCluster(t, members, func(config *transfer.Config) { config.PartBytes = 8 << 10 })
	data, m := weights("v1", 2, 1)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	const rate = 400 << 10 // bytes per second; 96 KiB take 0.24 s
	started := time.Now()
	stream, err := c.nodes[members[0].ID].client.FetchChunk(context.Background(), &peerpb.ChunkRequest{
		Version: "v1", Index: 0, Digest: m.Chunks[0][:], Requester: string(members[1].ID), RequesterRegion: "r0", MaxRate: rate,
	})
	g.Expect(err).NotTo(HaveOccurred())
	received := 0
	for received < testChunkBytes {
		part, err := stream.Recv()
		g.Expect(err).NotTo(HaveOccurred())
		received += len(part.GetData())
	}
	g.Expect(time.Since(started)).To(BeNumerically(">=", time.Duration(0.8*testChunkBytes/rate*float64(time.Second))))
}

func TestMemoryStagingKeepsTheVersionsThatWereStagedLast(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	staging := transfer.NewMemoryStaging(2)
	for _, version := range []core.VersionID{"v1", "v2", "v3"} {
		g.Expect(staging.Put(ctx, version, 0, []byte(version))).To(Succeed())
	}
	_, err := staging.Get(ctx, "v1", 0)
	g.Expect(err).To(MatchError(transfer.ErrNotStaged))
	stored, err := staging.List(ctx, "v3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(Equal([]int{0}))
	g.Expect(staging.Drop(ctx, "v3")).To(Succeed())
	g.Expect(staging.List(ctx, "v3")).To(BeEmpty())
}
