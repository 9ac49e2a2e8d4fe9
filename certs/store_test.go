package certs_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/certs"
	"github.com/zinniaseam/zinniaseam/standin/authority"
)

const ip = "127.0.0.9"

func newAuthority(t *testing.T) *authority.Authority {
	a, err := authority.New("test")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return a
}

func texts(events []certs.Event) []string {
	var out []string
	for _, event := range events {
		out = append(out, event.Text)
	}
	return out
}

func TestRotatedFilesComeIntoForceAndWrongOnesChangeNothing(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a := newAuthority(t)
	g.Expect(a.Write(dir, ip)).To(Succeed())
	store, err := certs.Open(dir, time.Now)
	g.Expect(err).NotTo(HaveOccurred())
	first := store.Material()
	g.Expect(store.Reload()).To(BeEmpty())

	g.Expect(os.WriteFile(filepath.Join(dir, certs.CertFile), []byte("half a certificate"), 0o600)).To(Succeed())
	events := store.Reload()
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Alarm).To(BeTrue())
	g.Expect(events[0].Err).To(HaveOccurred())
	g.Expect(store.Reload()).To(BeEmpty(), "the same failure must be reported only once")
	g.Expect(store.Material()).To(BeIdenticalTo(first))

	g.Expect(a.Write(dir, ip)).To(Succeed())
	g.Expect(texts(store.Reload())).To(ConsistOf("New certificates are in use."))
	g.Expect(store.Material()).NotTo(BeIdenticalTo(first))
}

func TestCertificatesOfAnotherAuthorityOrTimeAreRefused(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a, other := newAuthority(t), newAuthority(t)
	g.Expect(a.Write(dir, ip, other)).To(Succeed())
	_, err := certs.Open(dir, time.Now)
	g.Expect(err).To(MatchError(ContainSubstring("not signed by an authority")))
	g.Expect(a.Write(dir, ip, other, a)).To(Succeed())
	_, err = certs.Open(dir, time.Now)
	g.Expect(err).NotTo(HaveOccurred())
	for _, now := range []time.Time{time.Now().Add(2 * time.Hour), time.Now().Add(-time.Hour)} {
		_, err = certs.Open(dir, func() time.Time { return now })
		g.Expect(err).To(MatchError(certs.ErrExpired))
	}
	g.Expect(os.Remove(filepath.Join(dir, certs.KeyFile))).To(Succeed())
	_, err = certs.Open(dir, time.Now)
	g.Expect(err).To(MatchError(ContainSubstring(certs.KeyFile)))
}

func TestOperatorsAreWarnedOnceOfACertificateThatEnds(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(newAuthority(t).Write(dir, ip)).To(Succeed())
	now := time.Now()
	store, err := certs.Open(dir, func() time.Time { return now })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Reload()).To(BeEmpty())
	now = now.Add(56 * time.Minute)
	g.Expect(texts(store.Reload())).To(ConsistOf(ContainSubstring("The certificate expires at")))
	g.Expect(store.Reload()).To(BeEmpty())
}

// The active material must be consistent whatever the directory contains.
func TestAnyMixOfFilesLeavesFittingMaterialInForce(t *testing.T) {
	g := NewWithT(t)
	authorities := []*authority.Authority{newAuthority(t), newAuthority(t)}
	rapid.Check(t, func(r *rapid.T) {
		dir, err := os.MkdirTemp("", "certs")
		g.Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(dir)
		g.Expect(authorities[0].Write(dir, ip)).To(Succeed())
		store, err := certs.Open(dir, time.Now)
		g.Expect(err).NotTo(HaveOccurred())
		for range rapid.IntRange(1, 6).Draw(r, "steps") {
			other, _ := os.MkdirTemp("", "certs")
			g.Expect(rapid.SampledFrom(authorities).Draw(r, "authority").Write(other, ip)).To(Succeed())
			name := rapid.SampledFrom([]string{certs.CertFile, certs.KeyFile, certs.CAFile}).Draw(r, "file")
			g.Expect(os.Rename(filepath.Join(other, name), filepath.Join(dir, name))).To(Succeed())
			os.RemoveAll(other)
			before := store.Material()
			_, loadErr := certs.Load(dir, time.Now())
			store.Reload()
			if loadErr != nil {
				g.Expect(store.Material()).To(BeIdenticalTo(before))
				continue
			}
			g.Expect(store.Material().NotAfter).To(BeTemporally(">", time.Now()))
		}
	})
}
