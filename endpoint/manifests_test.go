package endpoint

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

func manifestOf(version core.VersionID) *core.Manifest {
	return &core.Manifest{
		Version: version, SizeBytes: 25, ChunkBytes: 10, Whole: core.DigestOf([]byte(version)),
		Chunks: []core.Digest{core.DigestOf([]byte("a")), core.DigestOf([]byte("b")), core.DigestOf([]byte("c"))},
	}
}

func declaredFrom(m *core.Manifest) declaredManifest {
	return declaredManifest{version: m.Version, digest: m.Whole, size: m.SizeBytes}
}

func TestAManifestMustBeTheDeclaredOne(t *testing.T) {
	g := NewWithT(t)
	m := manifestOf("v1")
	version := &catalogue.Version{Name: "v1", Digest: m.Whole.String(), SizeBytes: 26}
	want, err := manifestDeclaredBy(version)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(want.check(m)).To(MatchError(ContainSubstring("25 bytes, want 26")))
	other := manifestOf("v2")
	g.Expect(declaredFrom(m).check(other)).To(MatchError(ContainSubstring("digest")))
}

func TestOnlyTheLatestManifestsAreKept(t *testing.T) {
	g := NewWithT(t)
	var r manifestReader
	versions := []core.VersionID{"v1", "v2", "v3", "v4", "v5"}
	for _, version := range versions {
		r.add(manifestOf(version))
	}
	g.Expect(r.get("v1", manifestOf("v1").Whole)).To(BeNil())
	last := r.get("v5", manifestOf("v5").Whole)
	g.Expect(last).NotTo(BeNil())
	g.Expect(r.get("v5", core.Digest{})).To(BeNil(), "a version of the same name with another digest")
	r.remove(last)
	g.Expect(r.get("v5", last.Whole)).To(BeNil())
	g.Expect(r.get("v4", manifestOf("v4").Whole)).NotTo(BeNil())
}
