package origin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/core"
)

func serve(t *testing.T, handler http.HandlerFunc) *origin.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return origin.New(origin.Config{StoreURL: server.URL})
}

// ignore is a progress function without effect.
func ignore(int) error { return nil }

func TestManifestIsCheckedAgainstTheVersion(t *testing.T) {
	g := NewWithT(t)
	m := core.Manifest{Version: "v1", SizeBytes: 3, ChunkBytes: 2, Chunks: make([]core.Digest, 2)}
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Path).To(HavePrefix("/store/versions/"))
		_ = json.NewEncoder(w).Encode(m)
	})
	got, err := client.Manifest(context.Background(), "v1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*got).To(Equal(m))
	_, err = client.Manifest(context.Background(), "v2")
	g.Expect(err).To(MatchError(ContainSubstring("answered with version v1")))
}

func TestReadRangeAsksForItsBytes(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Path).To(Equal("/origin/v1"))
		g.Expect(r.Header.Get("Range")).To(Equal("bytes=10-13"))
		w.WriteHeader(http.StatusPartialContent)
		_, _ = w.Write([]byte("abcd"))
	})
	buf := make([]byte, 4)
	read := 0
	g.Expect(client.ReadRange(context.Background(), "v1", 10, buf, func(n int) error { read += n; return nil })).To(Succeed())
	g.Expect(string(buf)).To(Equal("abcd"))
	g.Expect(read).To(Equal(4))
}

func TestShortAnswerIsAnError(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPartialContent)
		_, _ = w.Write([]byte("ab"))
	})
	NewWithT(t).Expect(client.ReadRange(context.Background(), "v1", 0, make([]byte, 4), ignore)).NotTo(Succeed())
}

func TestAnswerWithoutRangeIsAnError(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("abcd")) })
	NewWithT(t).Expect(client.ReadRange(context.Background(), "v1", 0, make([]byte, 4), ignore)).To(MatchError(ContainSubstring("status 200")))
}

func TestLimitedAnswersCarryABoundedWait(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "": time.Second, "-1": time.Second, "x": time.Second, "NaN": time.Second, "1e9": time.Minute,
	} {
		g := NewWithT(t)
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", header)
			w.WriteHeader(http.StatusTooManyRequests)
		})
		err := client.ReadRange(context.Background(), "v1", 0, make([]byte, 4), ignore)
		var limited *origin.LimitedError
		g.Expect(errors.As(err, &limited)).To(BeTrue())
		g.Expect(limited.RetryAfter).To(Equal(want), header)
	}
}

func TestUnknownVersion(t *testing.T) {
	client := serve(t, http.NotFound)
	_, err := client.Manifest(context.Background(), "v1")
	NewWithT(t).Expect(err).To(MatchError(origin.ErrNotFound))
}
