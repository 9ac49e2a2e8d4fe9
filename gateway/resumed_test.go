package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// errorsOfANextEndpoint are answers of an endpoint at which a broken stream is to go on.
var errorsOfANextEndpoint = map[string]func(w http.ResponseWriter){
	"an error":                   func(w http.ResponseWriter) { http.Error(w, "overloaded", http.StatusInternalServerError) },
	"an error without a promise": func(w http.ResponseWriter) { http.Error(w, "overloaded", http.StatusServiceUnavailable) },
	"a rejection":                func(w http.ResponseWriter) { refuse(w) },
	"a denial":                   func(w http.ResponseWriter) { http.Error(w, "unknown model", http.StatusNotFound) },
	"a redirection":              func(w http.ResponseWriter) { w.WriteHeader(http.StatusFound) },
	"no content":                 func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
	"an error as success":        func(w http.ResponseWriter) { _, _ = io.WriteString(w, "overloaded\n\n") },
	"an error with a colon":      func(w http.ResponseWriter) { _, _ = io.WriteString(w, "error: overloaded\n\n") },
	"an error without an end":    func(w http.ResponseWriter) { _, _ = io.WriteString(w, "overloaded") },
	"an error in data":           func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: {\"error\":\"overloaded\"}\n\n") },
	"a page": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/html")
		_, _ = io.WriteString(w, "")
	},
	"a head and an error": func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nid: 3\ndata: overloaded\n\n")
	},
}

const twoEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"

// What the next endpoint writes instead of a stream must neither reach the caller nor end the
// stream as if it were complete.
func TestAnErrorOfTheNextEndpointIsNoPartOfABrokenStream(t *testing.T) {
	for name, answer := range errorsOfANextEndpoint {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if r.Header.Get("Last-Event-Id") == "" {
					events(w, r, 6, 2)
					return
				}
				answer(w)
			}
			first, second := newBackend(t, handler), newBackend(t, handler)
			address, _ := startRoute(t, "streaming", true, first, second)
			response, body, err := ask(g, address, "1")
			g.Expect(body).To(Equal(twoEvents))
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			g.Expect(first.runs("1")+second.runs("1")).To(Equal(2), "the stream was not sent to another endpoint")
		})
	}
}

// A comment may come first, and a stream of which nothing is left is complete.
func TestABrokenStreamGoesOnWithACommentOrNothing(t *testing.T) {
	for name, rest := range map[string]string{"comment": ": hello\n\nid: 3\ndata: x\n\ndata: [DONE]\n\n", "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if r.Header.Get("Last-Event-Id") == "" {
					events(w, r, 6, 2)
					return
				}
				_, _ = io.WriteString(w, rest)
			}
			address, _ := startRoute(t, "streaming", true, newBackend(t, answer), newBackend(t, answer))
			_, body, err := ask(g, address, "1")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(twoEvents + rest))
		})
	}
}

// An endpoint that fails may write its error into the stream that it has begun.
func TestAnErrorInAStreamIsNotPassedOn(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
	g := NewWithT(t)
	answer := answerAndEnd(unframedHead+firstEvent+failure+"overloaded\n\n", closed)
	address, _ := startRoute(t, "streaming", false, newBackend(t, answer))
	_, body, err := ask(g, address, "1")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(body).To(Equal(firstEvent), fmt.Sprintf("%d bytes of the error", strings.Count(body, "overloaded")))
}
