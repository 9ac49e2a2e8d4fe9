package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/peerpb"
)

// TestAGatewayWithAnOlderDeclarationDoesNotChangeTheLimitOfCallStarts covers a gateway that
// can't reach the store, or one of an older build, which connects to an agent last.
func TestAGatewayWithAnOlderDeclarationDoesNotChangeTheLimitOfCallStarts(t *testing.T) {
	const present = 30
	for name, older := range map[string]*peerpb.FleetNews{
		"a higher limit": {Model: "m", Version: 1, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes, OriginRegion: "r", Slots: slots, MaxStarts: 10 * present},
		"no limit known": {Model: "m", Version: 1, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes, OriginRegion: "r", Slots: slots},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := start(t, &fakeEngine{version: 2})
			one := follow(t, address, "one", "r")
			newest := &peerpb.FleetNews{Model: "m", Version: 2, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes, OriginRegion: "r", Slots: slots, MaxStarts: present}
			send := func() {
				g.Expect(one.stream.Send(&peerpb.GatewayNews{Want: &peerpb.SlotWant{Calls: 1}, SentMs: uint64(time.Now().UnixMilli()), LeaseNumber: one.last().GetLeaseNumber()})).To(Succeed())
			}
			g.Expect(one.stream.Send(&peerpb.GatewayNews{Gateway: "one", Region: "r", Process: 1, Fleet: newest})).To(Succeed())
			send()
			g.Eventually(func() uint32 { return one.last().GetStarts() }, 5*time.Second, 10*time.Millisecond).Should(And(BeNumerically(">", 0), BeNumerically("<=", present)))
			other := follow(t, address, "two", "r")
			g.Expect(other.stream.Send(&peerpb.GatewayNews{Gateway: "two", Region: "r", Process: 2, Fleet: older, SentMs: 1})).To(Succeed())
			for range 10 {
				time.Sleep(200 * time.Millisecond)
				send()
				g.Expect(one.last().GetStarts()).To(And(BeNumerically(">", 0), BeNumerically("<=", present)))
			}
		})
	}
}
