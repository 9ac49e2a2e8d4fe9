package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// declarationAge is longer than the age up to which the gateway of start denies calls.
const declarationAge = 500 * time.Millisecond

func callUnknownRoute(t *testing.T, gateway string) (code int, took time.Duration) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/unknown/x", nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("X-Request-Id", "unknown")
	sent := time.Now()
	return status(http.DefaultClient.Do(request)), time.Since(sent)
}

// The store has no changes for longer than the declaration may age. A caller with a wrong
// path must not be told to retry for that.
func TestACallOnAnUnknownRouteIsDeniedThoughTheDeclarationHasNotChangedForLong(t *testing.T) {
	gateway, s := start(t, "idempotent", newBackend(t, func(http.ResponseWriter, *http.Request) {}))
	s.quiet.Store(true)
	time.Sleep(declarationAge)
	code, _ := callUnknownRoute(t, gateway)
	NewWithT(t).Expect(code).To(Equal(http.StatusNotFound))
}

// A newer declaration may have the route.
func TestACallIsNotDeniedByADeclarationThatNobodyConfirms(t *testing.T) {
	g := NewWithT(t)
	gateway, s := start(t, "idempotent", newBackend(t, func(http.ResponseWriter, *http.Request) {}))
	s.silent.Store(true)
	time.Sleep(declarationAge)
	code, took := callUnknownRoute(t, gateway)
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(took).To(BeNumerically("<", declarationAge))
}
