package transfer_test

import (
	"context"
	"expvar"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

func grid(regions, zones, machines int) []spread.Member {
	var members []spread.Member
	for r := range regions {
		for z := range zones {
			for m := range machines {
				members = append(members, member(r, z, m))
			}
		}
	}
	return members
}

func TestSpreadBringsTheWholeToEveryMachine(t *testing.T) {
	g := NewWithT(t)
	timeouts := count(t, "fetch_failed_timeout")
	c := startCluster(t, grid(2, 2, 3), nil)
	data, m := weights("v1", 40, 1)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	for _, n := range c.nodes {
		g.Expect(n.spreader.Verify(context.Background(), m)).To(Succeed())
		g.Expect(n.spreader.Staged()).To(Receive(Equal(m)))
	}
	// The origin sends one copy. It sends a chunk again only after a fetch timed
	// out, which can happen on a busy machine without a fault of the policy.
	again := (count(t, "fetch_failed_timeout") - timeouts) * testChunkBytes
	g.Expect(c.origin.sent.Load()).To(BeNumerically(">=", m.SizeBytes))
	g.Expect(c.origin.sent.Load()).To(BeNumerically("<=", min(m.SizeBytes+again, 2*m.SizeBytes)))
}

func TestEveryPolicySpreadsTheWhole(t *testing.T) {
	for _, policy := range []string{"chunk_owner", "chain", "origin_only"} {
		t.Run(policy, func(t *testing.T) {
			c := startCluster(t, grid(1, 2, 2), func(config *transfer.Config) { config.Policy = policy })
			data, m := weights("v1", 12, 1)
			c.origin.add(data, m)
			c.setTarget(t, m)
			c.awaitAll(t, "v1")
		})
	}
}

func TestPolicyThatNeedsAnnouncementsIsRefused(t *testing.T) {
	_, err := transfer.New(transfer.Config{
		Self: member(0, 0, 0), Staging: newMemoryStaging(), Policy: "rarest_first",
		Dial: func(core.VMID) (peerpb.EndpointClient, error) { return nil, nil },
	})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("needs announcements")))
}

// TestTightBudgetsStillFinish has budget for one chunk at a time and allows
// fewer fetches than the policy starts.
func TestTightBudgetsStillFinish(t *testing.T) {
	c := startCluster(t, grid(2, 1, 3), func(config *transfer.Config) {
		config.ReceiveBytes, config.CacheBytes, config.UploadSlots, config.MaxInFlight = testChunkBytes, 1, 1, 4
	})
	data, m := weights("v1", 16, 12)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
}

func TestCorruptPeerIsAvoided(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 5), nil)
	data, m := weights("v1", 30, 2)
	c.origin.add(data, m)
	c.nodes["r0-z0-m1"].corrupt.Store(true)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	rejected := 0
	for _, n := range c.nodes {
		g.Expect(n.spreader.Verify(context.Background(), m)).To(Succeed())
		progress, _ := n.spreader.Progress("v1")
		rejected += progress.Rejected
	}
	g.Expect(rejected).To(BeNumerically(">", 0))
	g.Expect(c.origin.sent.Load()).To(BeNumerically("<=", 2*m.SizeBytes))
}

func TestVersionChangeInMidFlightMixesNothing(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 2, 3), func(config *transfer.Config) { config.UploadRate = 2 << 20 })
	oldData, oldManifest := weights("v1", 30, 3)
	newData, newManifest := weights("v2", 20, 4)
	c.origin.add(oldData, oldManifest)
	c.origin.add(newData, newManifest)
	c.setTarget(t, oldManifest)
	for _, n := range c.nodes {
		g.Eventually(func() int { p, _ := n.spreader.Progress("v1"); return p.Stored }, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 5))
		break
	}
	c.setTarget(t, newManifest)
	c.awaitAll(t, "v2")
	for _, n := range c.nodes {
		g.Expect(n.spreader.Verify(context.Background(), newManifest)).To(Succeed())
		for index, data := range n.staging.chunks["v1"] {
			g.Expect(core.DigestOf(data)).To(Equal(oldManifest.Chunks[index]))
		}
	}
}

func TestVerifyWholeFindsDamageAndFetchesAgain(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 3), nil)
	data, m := weights("v1", 10, 5)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	n := c.nodes["r0-z0-m0"]
	n.staging.corruptChunk("v1", 4)
	err := n.spreader.Verify(context.Background(), m)
	var bad *transfer.BadChunksError
	g.Expect(err).To(BeAssignableToTypeOf(bad))
	g.Eventually(func() error { return n.spreader.Verify(context.Background(), m) }, 5*time.Second, 10*time.Millisecond).Should(Succeed())
}

func TestWholeDigestIsChecked(t *testing.T) {
	c := startCluster(t, grid(1, 1, 1), nil)
	data, m := weights("v1", 3, 6)
	m.Whole[0] ^= 1
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	for _, n := range c.nodes {
		NewWithT(t).Expect(n.spreader.Verify(context.Background(), m)).To(MatchError(transfer.ErrDigestMismatch))
	}
}

func TestWantAgainFetchesWhatTheEngineLost(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 2), nil)
	data, m := weights("v1", 10, 7)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	n := c.nodes["r0-z0-m1"]
	g.Expect(n.staging.Drop(context.Background(), "v1")).To(Succeed())
	g.Expect(n.spreader.SetTarget(context.Background(), m, c.members)).To(Succeed())
	g.Eventually(func() error { return n.spreader.Verify(context.Background(), m) }, 5*time.Second, 10*time.Millisecond).Should(Succeed())
}

func TestServeRefusesAnotherDigestAndStrangersAcrossRegions(t *testing.T) {
	g := NewWithT(t)
	members := append(grid(1, 1, spread.HeadsPerRegion), member(1, 0, 0))
	c := startCluster(t, members, func(config *transfer.Config) { config.CacheBytes = 1 })
	data, m := weights("v1", 4, 8)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	gateways := map[core.VMID]bool{}
	for _, gateway := range spread.Gateways("v1", "r0", "r1", members) {
		gateways[gateway.ID] = true
	}
	g.Expect(gateways).To(HaveLen(spread.GatewaysPerLink(2)))
	for id, n := range c.nodes {
		if id == "r1-z0-m0" {
			continue
		}
		g.Expect(servesChunk(t, n, m, 2, m.Chunks[2], "r0")).To(BeTrue())
		g.Expect(servesChunk(t, n, m, 2, m.Chunks[3], "r0")).To(BeFalse())
		g.Expect(servesChunk(t, n, m, 2, m.Chunks[2], "r1")).To(Equal(gateways[id]))
		g.Expect(servesChunk(t, n, m, 2, m.Chunks[2], "r9")).To(BeFalse())
	}
}

// servesChunk requests a chunk from a machine and reports whether it sent data.
func servesChunk(t *testing.T, n *node, m *core.Manifest, index int, digest core.Digest, region string) bool {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stream, err := n.client.FetchChunk(ctx, &peerpb.ChunkRequest{
		Version: string(m.Version), Index: uint32(index), Digest: digest[:], RequesterRegion: region,
	})
	g.Expect(err).NotTo(HaveOccurred())
	part, err := stream.Recv()
	g.Expect(err).NotTo(HaveOccurred())
	return !part.Missing
}

func TestChunkThatTheStagingLostIsFetchedAgain(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 3), func(config *transfer.Config) { config.CacheBytes = 1 })
	data, m := weights("v1", 6, 10)
	c.origin.add(data, m)
	c.setTarget(t, m)
	c.awaitAll(t, "v1")
	n := c.nodes["r0-z0-m2"]
	n.staging.corruptChunk("v1", 3)
	g.Expect(servesChunk(t, n, m, 3, m.Chunks[3], "r0")).To(BeFalse())
	g.Eventually(func() bool { return servesChunk(t, n, m, 3, m.Chunks[3], "r0") }, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
}

// TestPauseOfARegionLinkIsNoFailure pauses the link for longer than the timeout
// of a silent peer.
func TestPauseOfARegionLinkIsNoFailure(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(2, 1, 1), func(config *transfer.Config) { config.RegionRate = 4 << 20 })
	data, m := weights("v1", 20, 11)
	c.origin.add(data, m)
	c.setTarget(t, m)
	far := c.nodes["r1-z0-m0"].spreader
	g.Eventually(func() int { p, _ := far.Progress("v1"); return p.Stored }, 5*time.Second, time.Millisecond).Should(BeNumerically(">", 0))
	timeouts := counter("fetch_failed_timeout")
	near := c.nodes["r0-z0-m0"].spreader
	near.SetRegionRate(0)
	time.Sleep(6 * time.Second)
	near.SetRegionRate(1 << 30)
	c.awaitAll(t, "v1")
	g.Expect(counter("fetch_failed_timeout")).To(Equal(timeouts))
	g.Expect(c.origin.sent.Load()).To(Equal(m.SizeBytes), "the far region must not fetch from the origin")
}

// counter returns one of the package's metrics as a string.
func counter(name string) string {
	if value := expvar.Get("transfer").(*expvar.Map).Get(name); value != nil {
		return value.String()
	}
	return "0"
}

// count returns one of the package's metrics as a number.
func count(t *testing.T, name string) int64 {
	value, err := strconv.ParseInt(counter(name), 10, 64)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return value
}

func TestPausedRegionLinkCarriesNothing(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(2, 1, 2), nil)
	for _, n := range c.nodes {
		n.spreader.SetRegionRate(0)
	}
	data, m := weights("v1", 8, 9)
	c.origin.add(data, m)
	c.setTarget(t, m)
	far := c.nodes["r1-z0-m0"].spreader
	g.Eventually(func() bool { p, _ := c.nodes["r0-z0-m0"].spreader.Progress("v1"); return p.Done }, 5*time.Second).Should(BeTrue())
	g.Consistently(func() int { p, _ := far.Progress("v1"); return p.Stored }, 200*time.Millisecond).Should(Equal(0))
	for _, n := range c.nodes {
		n.spreader.SetRegionRate(1 << 30)
	}
	c.awaitAll(t, "v1")
}
