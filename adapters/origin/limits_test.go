package origin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
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
	_, err := origin.New(origin.Config{StoreURL: largeHead(t)}).Manifest(context.Background(), "m")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("server response headers exceeded")))
}
