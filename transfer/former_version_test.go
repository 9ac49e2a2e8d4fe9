package transfer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
)

// gatewaysPerVersion returns members of two regions, and for each of two versions the machines
// of the first region that send it to the second.
func gatewaysPerVersion() (local, all []spread.Member, gateways map[core.VersionID]map[core.VMID]bool) {
	for i := range 40 {
		local = append(local, spread.Member{ID: core.VMID([]byte{'a' + byte(i%26), 'a' + byte(i/26)}), Zone: "z", Region: "r0", Relay: true})
	}
	all = append(append(all, local...), spread.Member{ID: "far", Zone: "y", Region: "r1"}, spread.Member{ID: "farther", Zone: "x", Region: "r2"})
	gateways = map[core.VersionID]map[core.VMID]bool{}
	for _, version := range []core.VersionID{"v1", "v2"} {
		gateways[version] = map[core.VMID]bool{}
		for _, m := range spread.Gateways(version, "r0", "r1", all) {
			gateways[version][m.ID] = true
		}
	}
	return local, all, gateways
}

// Load pattern: a version is declared while the one before is under way to the other regions.
// Guards against chunks of the version before that no machine sends any more, while the other
// regions go on asking its gateways: in a play all engines of two regions lacked one chunk of 48
// for nine seconds.
func TestGatewaysOfAVersionStopSendingItWhenTheNextOneIsDeclared(t *testing.T) {
	g := NewWithT(t)
	const budget = 1 << 20
	local, all, gateways := gatewaysPerVersion()
	total, changed := 0.0, 0
	for _, self := range local {
		r := newRegionPacers(budget, burstParts*partBytes)
		r.setMembers("v1", self, all)
		before, _ := r.get("r1")
		r.setMembers("v2", self, all)
		link, mayServe := r.get("r1")
		g.Expect(mayServe).To(Equal(gateways["v1"][self.ID] || gateways["v2"][self.ID]))
		if link != nil {
			total += float64(link.pacer.limiter.Limit())
		}
		if gateways["v1"][self.ID] && !gateways["v2"][self.ID] {
			changed++
			g.Expect(before.pacer.limiter.Limit()).To(BeNumerically(">", 0), "a chunk under way is sent to its end")
		}
		r.setMembers("v3", self, all)
		r.setMembers("v4", self, all)
		r.setMembers("v5", self, all)
		_, mayServe = r.get("r1")
		still := gateways["v1"][self.ID] || gateways["v2"][self.ID]
		g.Expect(mayServe && still && r.links["r1"].gatewayCount+r.links["r1"].formerCount == 0).To(BeFalse())
	}
	g.Expect(changed).To(BeNumerically(">", 0))
	g.Expect(total).To(BeNumerically("<=", budget*(1+formerShare)+1))
}

// heartbeats is a peer that sends heartbeats and no data.
type heartbeats struct {
	peerpb.EndpointClient
	grpc.ServerStreamingClient[peerpb.ChunkPart]
	ctx context.Context
}

func (h heartbeats) FetchChunk(ctx context.Context, _ *peerpb.ChunkRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[peerpb.ChunkPart], error) {
	return heartbeats{ctx: ctx}, nil
}

func (h heartbeats) Recv() (*peerpb.ChunkPart, error) {
	select {
	case <-time.After(heartbeatInterval):
		return &peerpb.ChunkPart{}, nil
	case <-h.ctx.Done():
		return nil, context.Cause(h.ctx)
	}
}

func (h heartbeats) Header() (metadata.MD, error) { return nil, nil }

// Guards against a chunk that waits for ever on one peer which is stuck itself, while another
// one has the chunk: heartbeats alone kept the fetch going.
func TestAFetchNeverEndsWhileItsSourceSendsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, err := New(Config{
			Self: spread.Member{ID: "self", Zone: "z", Region: "r"}, Staging: NewMemoryStaging(1),
			Dial: func(core.VMID) (peerpb.EndpointClient, error) { return heartbeats{}, nil },
		})
		g.Expect(err).NotTo(HaveOccurred())
		manifest := &core.Manifest{Version: "v", SizeBytes: 1, ChunkBytes: 1, Chunks: make([]core.Digest, 1)}
		begun := time.Now()
		fetch := spread.Fetch{Source: spread.Source{Peer: "stuck"}, Wait: time.Second, Timeout: 1300 * time.Millisecond}
		_, err = s.receiveFromPeer(&run{manifest: manifest, ctx: t.Context()}, fetch, 1, &result{})
		g.Expect(errors.Is(err, errNoProgress)).To(BeTrue(), "%v", err)
		g.Expect(failureOf(err)).To(Equal(spread.FailureTimeout), "so that another source is asked")
		g.Expect(time.Since(begun)).To(Equal(fetch.Wait + heartbeatTimeouts*fetch.Timeout))
	})
}
