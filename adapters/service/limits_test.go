package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/service"
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
	_, err := service.NewClient(largeHead(t)).Do(context.Background(), &service.Request{Method: http.MethodGet, Path: "/"})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("server response headers exceeded")))
}
