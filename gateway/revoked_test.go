package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const keyedDeclaration = `{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"non_idempotent","timeout-ms":1000,"goal-ms":100,
	"service":"s","max-attempts":1}],"services":[{"name":"s"}]%s}`

// keyedCall sends a call with a key, or without one if it is empty, and returns the status.
func keyedCall(gateway, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/a/x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", fmt.Sprintf("keyed%d", time.Now().UnixNano()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return status(http.DefaultClient.Do(request))
}

// A declaration may take away the only team. Its key must end, and the routes must not open to
// callers without one.
func TestTheKeyOfTheOnlyTeamEndsWhenTheTeamIsTakenAway(t *testing.T) {
	g := NewWithT(t)
	s := newLiveStore()
	s.put("op/config", fmt.Appendf(nil, keyedDeclaration, 1, `,"tenants":[{"name":"team","api-keys":["key"]}]`))
	b := newBackend(t, func(http.ResponseWriter, *http.Request) {})
	s.put("servers/b", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":4,"state":"ready"}`, b.address))
	running := startOn(t, s)
	g.Expect(keyedCall(running, "key")).To(Equal(http.StatusOK))
	g.Expect(keyedCall(running, "")).To(Equal(http.StatusUnauthorized))

	s.put("op/config", fmt.Appendf(nil, keyedDeclaration, 2, `,"tenants":[]`))
	time.Sleep(time.Second)
	started := startOn(t, s)
	for _, gateway := range []string{running, started} {
		for _, key := range []string{"key", "other", ""} {
			g.Expect(keyedCall(gateway, key)).To(Equal(http.StatusUnauthorized), "key %q", key)
		}
	}

	s.put("op/config", fmt.Appendf(nil, keyedDeclaration, 3, `,"tenants":[{"name":"team","api-keys":["key"]}]`))
	g.Eventually(func() int { return keyedCall(running, "key") }, 2*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}
