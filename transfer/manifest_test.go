package transfer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/transfer"
)

func TestAManifestFromAPeerIsTakenOnlyUndamaged(t *testing.T) {
	g := NewWithT(t)
	m := &core.Manifest{
		Version: "v1", SizeBytes: 25, ChunkBytes: 10, Whole: core.DigestOf([]byte("v1")),
		Chunks: []core.Digest{core.DigestOf([]byte("a")), core.DigestOf([]byte("b")), core.DigestOf([]byte("c"))},
	}
	read, err := transfer.DecodeManifest(m.Version, m.Whole, transfer.EncodeManifest(m))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(m))
	for name, corrupt := range map[string]func(*peerpb.ManifestReply){
		"another digest": func(r *peerpb.ManifestReply) { r.Chunks[40] ^= 1 },
		"half a digest":  func(r *peerpb.ManifestReply) { r.Chunks = r.Chunks[:90] },
		"a chunk less":   func(r *peerpb.ManifestReply) { r.Chunks = r.Chunks[:64] },
		"another size":   func(r *peerpb.ManifestReply) { r.SizeBytes++ },
		"no size":        func(r *peerpb.ManifestReply) { r.ChunkBytes = 0 },
		"missing":        func(r *peerpb.ManifestReply) { r.Missing = true },
	} {
		reply := transfer.EncodeManifest(m)
		corrupt(reply)
		_, err := transfer.DecodeManifest(m.Version, m.Whole, reply)
		g.Expect(err).To(HaveOccurred(), name)
	}
}
