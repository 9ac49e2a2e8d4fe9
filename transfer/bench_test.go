package transfer_test

import (
	"context"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/spread"
)

// BenchmarkSpreadToOnePeer measures the CPU time of moving chunks from one
// machine to another within one process: encode, send, receive, verify, stage.
func BenchmarkSpreadToOnePeer(b *testing.B) {
	const chunks = 256
	data, manifest := weights("v1", chunks, 1)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		b.StopTimer()
		c := startCluster(b, []spread.Member{member(0, 0, 0), member(0, 0, 1)}, nil)
		c.origin.add(data, manifest)
		first, second := c.nodes["r0-z0-m0"], c.nodes["r0-z0-m1"]
		for i := range manifest.Chunks {
			chunk := data[i*testChunkBytes : min((i+1)*testChunkBytes, len(data))]
			_ = first.staging.Put(context.Background(), "v1", i, chunk)
		}
		if err := first.spreader.SetTarget(context.Background(), manifest, c.members); err != nil {
			b.Fatal(err)
		}
		c.awaitNode(b, first)
		b.StartTimer()
		if err := second.spreader.SetTarget(context.Background(), manifest, c.members); err != nil {
			b.Fatal(err)
		}
		c.awaitNode(b, second)
	}
}

func (c *cluster) awaitNode(b *testing.B, n *node) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if p, _ := n.spreader.Progress("v1"); p.Done {
			return
		}
	}
	b.Fatal("spread did not complete within 30 s")
}
