package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// write takes over the connection of a request, writes text with the request's ID and closes it.
func write(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // the kernel resets a connection that is closed with unread data
		conn, _ := hijack(w)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Request-Id")))
		conn.Close()
	}
}

// expectNoneAnswers asks endpoints that answer with the texts, on routes of each kind, and checks
// that no caller can take what it receives for an answer.
func expectNoneAnswers(t *testing.T, texts map[string]string) {
	t.Helper()
	for _, kind := range []string{"non_idempotent", "idempotent", "streaming"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			handlers := map[string]http.HandlerFunc{}
			for name, text := range texts {
				handlers[name] = write(text)
			}
			backends := newBackends(t, handlers)
			address, _ := start(t, kind, backends...)
			for name := range texts {
				t.Run(name, func(t *testing.T) {
					g := NewWithT(t)
					response, body, err := askCase(g, address, name)
					g.Expect(runsOf(name, backends...)).To(BeNumerically(">", 0))
					expectBroken(g, runsOf(name, backends...), response, body, err)
				})
			}
		})
	}
}

const (
	sealed      = "X-Request-Id: ID\r\nX-Response-Seal: seal\r\n"
	otherAnswer = "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 15\r\n\r\n" + firstEvent
)

func TestAnAnswerWhoseStatusIs000DoesNotReachCallers(t *testing.T) {
	expectNoneAnswers(t, map[string]string{
		"with a length":          "HTTP/1.1 000 Error\r\n" + sealed + "Content-Length: 15\r\n\r\n" + firstEvent,
		"without a length":       "HTTP/1.1 000 Error\r\n" + sealed + "\r\n" + firstEvent,
		"before another answer":  "HTTP/1.1 000 Error\r\n\r\n" + otherAnswer,
		"after an interim one":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Error\r\n\r\n" + otherAnswer,
		"101 before another one": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + otherAnswer,
	})
}
