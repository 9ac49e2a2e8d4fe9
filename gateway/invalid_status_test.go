package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// invalidStatuses are status codes outside of 100 to 599, and those that don't have three digits.
var invalidStatuses = []string{"000", "00", "099", "600", "799", "999", "1000", "2000"}

// promises are header lines with which an endpoint does or doesn't say that a request has not run.
var promises = map[string]string{"no promise": "", "not executed": "X-Not-Executed: 1\r\n"}

// invalidAnswers returns a complete answer with each invalid status, by its description.
func invalidAnswers(body string) map[string]string {
	texts := map[string]string{}
	for _, status := range invalidStatuses {
		for name, promise := range promises {
			texts[status+" "+name] = fmt.Sprintf("HTTP/1.1 %s Error\r\n%s%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", status, sealed, promise, len(body), body)
		}
	}
	return texts
}

// An answer with an invalid status may neither reach a caller nor count as a rejection: the request
// may have run, whatever the answer's other headers say.
func TestAnAnswerWithAnInvalidStatusIsAFailedAttempt(t *testing.T) {
	for _, kind := range []string{"non_idempotent", "idempotent", "streaming"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			texts := invalidAnswers(firstEvent)
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
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
					g.Expect(response.Header).NotTo(HaveKey("X-Not-Executed"))
					g.Expect(response.Header).NotTo(HaveKey("X-Response-Seal"))
					g.Expect(body).To(BeEmpty())
					if kind == "non_idempotent" {
						g.Expect(runsOf(name, backends...)).To(Equal(1))
					} else {
						g.Expect(runsOf(name, backends...)).To(BeNumerically(">", 0))
					}
				})
			}
		})
	}
}

// firstOnly answers the first request with one handler and the others with another one.
func firstOnly(first, others http.HandlerFunc) http.HandlerFunc {
	var asked atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if asked.Swap(true) {
			others(w, r)
			return
		}
		first(w, r)
	}
}

// Where a request may be repeated, an invalid status must not keep the caller from the answer of
// another endpoint. Each case has a gateway of its own, since the retry budget of one does not
// suffice for all cases.
func TestAfterAnInvalidStatusAnotherEndpointAnswers(t *testing.T) {
	for _, kind := range []string{"idempotent", "streaming"} {
		for name, text := range invalidAnswers(firstEvent) {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				answer := firstOnly(write(text), write(otherAnswer))
				first, second := newBackend(t, answer), newBackend(t, answer)
				address, _ := start(t, kind, first, second)
				response, body, err := ask(g, address, "1")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal(firstEvent))
				g.Expect(first.runs("1") + second.runs("1")).To(Equal(2))
			})
		}
	}
}

// An interrupted stream must not continue with the events of an answer that has an invalid status,
// nor end with it as if it were complete.
func TestAnAnswerWithAnInvalidStatusDoesNotContinueAStream(t *testing.T) {
	const rest = "id: 3\ndata: x\n\ndata: [DONE]\n\n"
	for name, text := range invalidAnswers(rest) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			answer := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event-Id") != "" {
					write(text)(w, r)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				events(w, r, 6, 2)
			}
			first, second := newBackend(t, answer), newBackend(t, answer)
			address, _ := startRoute(t, "streaming", true, first, second)
			_, body, err := ask(g, address, "1")
			g.Expect(body).To(Equal(twoEvents))
			g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			g.Expect(first.runs("1")+second.runs("1")).To(Equal(2), "the stream was not sent to another endpoint")
		})
	}
}

// The status of a later answer on a connection must be checked like that of the first one.
func TestAnInvalidStatusOnAKeptConnectionIsAFailedAttempt(t *testing.T) {
	for name, text := range invalidAnswers(firstEvent) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var mu sync.Mutex
			peers := map[string]string{} // of the connections of the requests, by request ID
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("X-Request-Id")
				mu.Lock()
				peers[id] = r.RemoteAddr
				mu.Unlock()
				if id == "second" {
					write(text)(w, r)
					return
				}
				echo(w, r)
			})
			address, _ := start(t, "idempotent", b)
			response, _, err := ask(g, address, "first")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			response, body, err := ask(g, address, "second")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(body).To(BeEmpty())
			mu.Lock()
			defer mu.Unlock()
			g.Expect(peers["second"]).To(Equal(peers["first"]), "the connection was not used again")
		})
	}
}

// The check of the status must not reject valid answers at the bounds of its range, those without a
// body, or informational answers before the final one.
func TestAnAnswerWithAValidStatusReachesCallers(t *testing.T) {
	// An endpoint that closes a connection without saying so breaks the next request on it.
	const (
		closing = sealed + "Connection: close\r\n"
		empty   = closing + "\r\n"
		stream  = "HTTP/1.1 200 OK\r\n" + closing + "Content-Length: 15\r\n\r\n" + firstEvent
	)
	texts := map[string]struct {
		text   string
		status int
		body   string
	}{
		"200":               {stream, http.StatusOK, firstEvent},
		"204":               {"HTTP/1.1 204 No Content\r\n" + empty, http.StatusNoContent, ""},
		"304":               {"HTTP/1.1 304 Not Modified\r\n" + empty, http.StatusNotModified, ""},
		"599":               {"HTTP/1.1 599 Error\r\n" + closing + "Content-Length: 4\r\n\r\nbody", 599, "body"},
		"100 before 200":    {"HTTP/1.1 100 Continue\r\n\r\n" + stream, http.StatusOK, firstEvent},
		"199 before 200":    {"HTTP/1.1 199 Other\r\n\r\n" + stream, http.StatusOK, firstEvent},
		"103 before 204":    {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\n" + empty, http.StatusNoContent, ""},
		"200 without words": {strings.Replace(stream, "200 OK", "200", 1), http.StatusOK, firstEvent},
	}
	for _, kind := range []string{"non_idempotent", "idempotent", "streaming"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			handlers := map[string]http.HandlerFunc{}
			for name, answer := range texts {
				handlers[name] = write(answer.text)
			}
			address, _ := start(t, kind, newBackends(t, handlers)...)
			for name, want := range texts {
				t.Run(name, func(t *testing.T) {
					g := NewWithT(t)
					response, body, err := askCase(g, address, name)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(response.StatusCode).To(Equal(want.status))
					g.Expect(response.Header.Get("X-Response-Seal")).To(Equal("seal"))
					g.Expect(body).To(Equal(want.body))
				})
			}
		})
	}
}
