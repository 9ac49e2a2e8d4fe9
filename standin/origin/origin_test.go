package origin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/origin"
)

func fetch(g *WithT, url, span string) []byte {
	request, err := http.NewRequest("GET", url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Range", span)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusPartialContent))
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return body
}

func start(t *testing.T, config origin.Config, size int) (*origin.Server, string, core.Manifest) {
	path := filepath.Join(t.TempDir(), "weights")
	weights := make([]byte, size)
	for i := range weights {
		weights[i] = byte(i * i)
	}
	if err := os.WriteFile(path, weights, 0o600); err != nil {
		t.Fatal(err)
	}
	server := origin.New(config)
	manifest, err := server.AddFile("v1", path, 1000)
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.URL, manifest
}

func TestRangesMatchTheManifest(t *testing.T) {
	g := NewWithT(t)
	server, url, manifest := start(t, origin.Config{}, 2500)
	g.Expect(manifest.Chunks).To(HaveLen(3))
	whole := fetch(g, url+"/origin/v1", "bytes=0-2499")
	g.Expect(core.DigestOf(whole)).To(Equal(manifest.Whole))
	g.Expect(core.DigestOf(fetch(g, url+"/origin/v1", "bytes=2000-2499"))).To(Equal(manifest.Chunks[2]))
	g.Expect(server.Stats().BytesServed).To(HaveKeyWithValue(core.VersionID("v1"), int64(3000)))
}

func TestCorruptionIsSeenByTheDigest(t *testing.T) {
	g := NewWithT(t)
	server, url, manifest := start(t, origin.Config{}, 2500)
	server.SetFaults(origin.Faults{CorruptRate: 1, Seed: 7})
	g.Expect(core.DigestOf(fetch(g, url+"/origin/v1", "bytes=0-999"))).NotTo(Equal(manifest.Chunks[0]))
	server.SetFaults(origin.Faults{})
	g.Expect(core.DigestOf(fetch(g, url+"/origin/v1", "bytes=0-999"))).To(Equal(manifest.Chunks[0]))
}

func TestTheLinkIsLimitedOverAllClients(t *testing.T) {
	g := NewWithT(t)
	_, url, _ := start(t, origin.Config{BytesPerSecond: 200_000}, 50_000)
	began := time.Now()
	done := make(chan struct{}, 2)
	for range 2 {
		go func() {
			fetch(g, url+"/origin/v1", "bytes=0-49999")
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	// 100,000 bytes minus one burst of 16 KiB take at least 0.41 s at 200,000 bytes/s.
	g.Expect(time.Since(began)).To(BeNumerically(">", 400*time.Millisecond))
}

func TestManifestCallsAreLimited(t *testing.T) {
	g := NewWithT(t)
	_, url, _ := start(t, origin.Config{StoreCallsPerSecond: 1}, 100)
	var statuses []int
	for range 2 {
		response, err := http.Get(url + "/store/versions/v1")
		g.Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	g.Expect(statuses).To(Equal([]int{200, 429}))
}
