package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
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

// net/http accepts spaces in field names. A body whose length or transfer coding is not recognized is
// framed differently than its endpoint framed it.
func TestAnAnswerWithAMalformedNameOfAFieldDoesNotReachCallers(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 15\r\n\r\n" + firstEvent
	)
	texts := map[string]string{
		"length, space before the colon": ok + sealed + "Content-Length : 30\r\n\r\n" + firstEvent,
		"length, leading space":          ok + sealed + " Content-Length: 30\r\n\r\n" + firstEvent,
		"coding, space before the colon": ok + sealed + "Transfer-Encoding : chunked\r\n\r\n" + chunk(firstEvent) + "0\r\n\r\n",
		"coding, leading space":          ok + sealed + "\tTransfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent) + "0\r\n\r\n",
		"other, space before the colon":  ok + sealed + "X-Foo : y\r\n" + length,
		"other, space within":            ok + sealed + "X Foo: y\r\n" + length,
		"other, leading space":           ok + sealed + " X-Foo: y\r\n" + length,
		"coding in HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvent) + "0\r\n\r\n",
		"in an interim answer":           "HTTP/1.1 103 Early Hints\r\nX Foo: y\r\n\r\n" + otherAnswer,
		"no name":                        ok + sealed + ": y\r\n" + length,
		"header without a colon":         ok + sealed + "X-Foo\r\n" + length,
		"carriage return":                ok + sealed + "X-Foo\r: y\r\n" + length,
		"tab":                            ok + sealed + "X-Foo\t: y\r\n" + length,
		"high byte":                      ok + sealed + "X-F\xf6o: y\r\n" + length,
		"control byte, length":           ok + sealed + "Content-\x01Length: 30\r\n\r\n" + firstEvent,
		"control byte, coding":           ok + sealed + "Transfer-\x7fEncoding: chunked\r\n\r\n" + chunk(firstEvent) + "0\r\n\r\n",
	}
	for _, b := range []byte{0x00, 0x01, 0x08, 0x0b, 0x0c, 0x1f, 0x7f} {
		texts[fmt.Sprintf("control byte %#x", b)] = ok + sealed + "X-" + string(b) + "Foo: y\r\n" + length
	}
	expectNoneAnswers(t, texts)
}

// Endpoints of the route answer with the number of bytes of an answer that a header names.
func TestAnAnswerWhoseHeadIsCutDoesNotReachCallers(t *testing.T) {
	for kind, whole := range map[string]string{
		"non_idempotent": "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 15\r\n\r\n" + firstEvent,
		"idempotent":     "HTTP/1.1 200 OK\r\n" + sealed + "\r\n" + firstEvent,
		"streaming":      "HTTP/1.1 200 OK\r\n" + sealed + "Content-Type: text/event-stream\r\n\r\n" + firstEvent,
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var backends []*backend
			for range 8 {
				backends = append(backends, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
					size, err := strconv.Atoi(r.Header.Get("X-Size"))
					if err != nil {
						panic(err)
					}
					write(whole[:size])(w, r)
				}))
			}
			address, _ := start(t, kind, backends...)
			ran := 0
			for size := range strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n") {
				id := fmt.Sprint("call-", size)
				response, body, err := askWith(g, address, id, map[string]string{"X-Size": strconv.Itoa(size)})
				runs := 0
				for _, b := range backends {
					runs += b.runs(id)
				}
				expectBroken(g, runs, response, body, err)
				ran += min(runs, 1)
			}
			g.Expect(ran).To(BeNumerically(">", strings.Index(whole, "\r\n\r\n")/2), "most calls reached an endpoint")
		})
	}
}
