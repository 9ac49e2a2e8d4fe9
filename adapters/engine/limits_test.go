package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// largeHead returns the URL of a server whose answers have a head of 1 MiB.
func largeHead(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 1<<20))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestAHeadOverTheLimitIsNotRead(t *testing.T) {
	_, err := engine.NewClient(largeHead(t)).Get(context.Background(), "m", 0)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("server response headers exceeded")))
}

func TestAStagedChunkOverTheLimitIsNotCut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for range core.MaxChunkBytes/len(block) + 1 {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	_, err := engine.NewClient(server.URL).Get(context.Background(), "m", 0)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("larger than 67108864 bytes")))
}
