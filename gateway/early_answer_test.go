package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// earlyAnswer answers without reading the request's body, and ends the connection.
func earlyAnswer(text string, how ending) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _ := hijack(w)
		_, _ = io.WriteString(conn, strings.Replace(text, "ID", r.Header.Get("X-Request-Id"), 1))
		if how == reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close() // the kernel resets it, since data is unread
	}
}

// callWith sends one request with a body of the given size.
func callWith(g *WithT, address, id string, size int) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/x", strings.NewReader(strings.Repeat("x", size)))
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", "2000")
	request.Header.Set("Authorization", "Bearer key")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// expectBroken checks that a caller can't take what it received for an answer: the connection
// broke, or the gateway answered that the call failed. 503 is true of a call that has not run.
func expectBroken(g *WithT, runs int, response *http.Response, body string, err error) {
	if err != nil {
		return
	}
	if runs == 0 {
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		return
	}
	g.Expect(response.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "%v, body %q", response.Header, body)
	g.Expect(response.Header).NotTo(HaveKey("X-Response-Seal"))
	g.Expect(body).To(BeEmpty())
}

// The kernel reports a reset either to the goroutine that writes the upload or to the one that
// reads the answer.
func TestAnAnswerWhoseUploadIsResetDoesNotReachCallersAsComplete(t *testing.T) {
	for kind, text := range map[string]string{
		"non_idempotent": unframedHead + "part of a body",
		"idempotent":     unframedHead + "part of a body",
		"streaming":      unframedHead + firstEvent,
	} {
		for name, how := range map[string]ending{"reset": reset, "closed unread": closed} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var backends []*backend
				for range 4 {
					backends = append(backends, newBackend(t, earlyAnswer(text, how)))
				}
				address, _ := start(t, kind, backends...)
				for i, size := range []int{5 << 10, 100 << 10, 1 << 20, 3 << 20} {
					for j := range 10 {
						id := fmt.Sprintf("%d-%d", i, j)
						response, body, err := callWith(g, address, id, size)
						runs := 0
						for _, b := range backends {
							runs += b.runs(id)
						}
						expectBroken(g, runs, response, body, err)
					}
				}
			})
		}
	}
}
