package transfer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/transfer"
)

func TestVerifyWholeFollowsTheArrivingChunks(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 2), func(config *transfer.Config) { config.DownloadRate = 2 << 20 })
	data, m := weights("v1", 30, 13)
	c.origin.add(data, m)
	n := c.nodes["r0-z0-m0"]
	done := make(chan error, 1)
	go func() { done <- n.spreader.Verify(context.Background(), m) }()
	c.setTarget(t, m)
	g.Eventually(func() int64 { return n.staging.gets.Load() }, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 5))
	progress, _ := n.spreader.Progress("v1")
	g.Expect(progress.Done).To(BeFalse(), "chunks must be read back while others have not arrived yet")
	g.Eventually(done, 20*time.Second).Should(Receive(BeNil()))
}

// TestVerifyWholeSeesWhatWasLostAfterItsReading drops the chunks that were read
// back before the last ones arrive.
func TestVerifyWholeSeesWhatWasLostAfterItsReading(t *testing.T) {
	g := NewWithT(t)
	c := startCluster(t, grid(1, 1, 1), func(config *transfer.Config) { config.DownloadRate = 2 << 20 })
	data, m := weights("v1", 30, 14)
	c.origin.add(data, m)
	n := c.nodes["r0-z0-m0"]
	done := make(chan error, 1)
	go func() { done <- n.spreader.Verify(context.Background(), m) }()
	c.setTarget(t, m)
	g.Eventually(func() int64 { return n.staging.gets.Load() }, 10*time.Second, time.Millisecond).Should(BeNumerically(">", 5))
	g.Expect(n.staging.Drop(context.Background(), "v1")).To(Succeed())
	var bad *transfer.BadChunksError
	g.Eventually(done, 20*time.Second).Should(Receive(BeAssignableToTypeOf(bad)))
	g.Eventually(func() error { return n.spreader.Verify(context.Background(), m) }, 10*time.Second, 10*time.Millisecond).Should(Succeed())
}

func TestARequestForAnUnknownVersionIsTold(t *testing.T) {
	g := NewWithT(t)
	var notified atomic.Int64
	c := startCluster(t, grid(1, 1, 1), func(config *transfer.Config) { config.OnUnknownVersion = func() { notified.Add(1) } })
	_, m := weights("v1", 4, 15)
	n := c.nodes["r0-z0-m0"]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 20 {
		_, err := n.client.FetchChunk(ctx, &peerpb.ChunkRequest{
			Version: "v1", Digest: m.Chunks[0][:], WaitMs: 4000, RequesterRegion: "r0",
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(notified.Load, time.Second).Should(BeNumerically(">=", 1))
	g.Consistently(notified.Load, 50*time.Millisecond).Should(BeNumerically("<=", 3))
}
