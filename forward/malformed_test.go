package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/standin/broken"
)

// answerOf asks an endpoint that writes text and closes the connection.
func answerOf(t *testing.T, text string) (status int, body string, err error) {
	t.Helper()
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		_, _ = io.WriteString(conn, text)
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := uploadWith(ctx, plain{}, e, 0)
	if err != nil {
		return 0, "", err
	}
	read, err := answer.ReadAll(1 << 20)
	return answer.Status, string(read), err
}

const (
	headEnd     = "Id: r\r\nContent-Length: 4\r\n\r\nbody"
	wholeAnswer = "HTTP/1.1 200 OK\r\n" + headEnd
)

// net/http accepts any three digits as a status code, and a number with a sign.
func TestAnAnswerWithAStatusThatNoAnswerHasIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"000":                        "HTTP/1.1 000 \r\n" + headEnd,
		"000 without a reason":       "HTTP/1.1 000\r\n" + headEnd,
		"000 without a length":       "HTTP/1.1 000 Error\r\nId: r\r\n\r\nbody",
		"000 before another answer":  "HTTP/1.1 000 Error\r\n\r\n" + wholeAnswer,
		"000 behind an interim one":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Error\r\n\r\n" + wholeAnswer,
		"-00 before another answer":  "HTTP/1.1 -00 Error\r\n\r\n" + wholeAnswer,
		"+20 before another answer":  "HTTP/1.1 +20 Error\r\n\r\n" + wholeAnswer,
		"099 before another answer":  "HTTP/1.1 099 Error\r\n\r\n" + wholeAnswer,
		"101, which nobody asks for": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + wholeAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := answerOf(t, text)
			g := NewWithT(t)
			g.Expect(err).To(MatchError(forward.ErrNoAnswer), "status %d, body %q", status, body)
			g.Expect(err).To(MatchError(answers.ErrMalformedHead))
		})
	}
}

// notRun is plain for an endpoint that says in each answer that the request has not run.
type notRun struct{ plain }

func (notRun) Classify(a forward.Attempt, response *http.Response) forward.Classification {
	classification := plain{}.Classify(a, response)
	classification.NotRun = true
	return classification
}

// An answer with an invalid status says nothing about its request: neither its body nor its headers
// may be used, also on a kept connection.
func TestAnAnswerWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "00", "099", "600", "799", "999", "1000", "2000"} {
		for name, dialect := range map[string]forward.Dialect{"no promise": plain{}, "not run": notRun{}} {
			for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, after %.12q, kept %t", status, name, before, kept), func(t *testing.T) {
						g := NewWithT(t)
						e := serve(t, func(number int, id string, conn net.Conn) bool {
							if kept && number == 0 {
								writeAnswer(conn, id, "body")
								return true
							}
							write(conn, before+"HTTP/1.1 "+status+" Error\r\n"+headEnd)
							return true
						})
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						defer cancel()
						pool := forward.NewPool()
						if kept {
							_, err := do(ctx, pool, e, "first", true)
							g.Expect(err).NotTo(HaveOccurred())
						}
						received := 0
						attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}, Received: func(forward.Classification) { received++ }}
						answer, err := pool.Do(ctx, dialect, attempt, true)
						g.Expect(err).To(MatchError(forward.ErrNoAnswer), "%+v", answer)
						g.Expect(err).To(MatchError(answers.ErrMalformedHead))
						g.Expect(err).NotTo(MatchError(forward.ErrNotSent))
						g.Expect(received).To(BeZero())
						g.Expect(e.dials.Load()).To(BeEquivalentTo(1))
					})
				}
			}
		}
	}
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	for name, text := range map[string]string{
		"no interim answer":   wholeAnswer,
		"100":                 "HTTP/1.1 100 Continue\r\n\r\n" + wholeAnswer,
		"100, 103 and fields": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\nLink: y\r\n\r\n" + wholeAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			status, body, err := answerOf(t, text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(200))
			g.Expect(body).To(Equal("body"))
		})
	}
}

// malformedFields are header fields with an invalid name, and the body after them. net/http accepts
// spaces in the name, and joins a line that begins with whitespace to the previous one.
var malformedFields = map[string]string{
	"space before the colon":             "X-Foo : y\r\n" + headEnd,
	"space within":                       "X Foo: y\r\n" + headEnd,
	"leading space":                      " X-Foo: y\r\n" + headEnd,
	"leading space, second line":         "X-Foo: y\r\n X-Bar: z\r\n" + headEnd,
	"leading tab, second line":           "X-Foo: y\r\n\tX-Bar: z\r\n" + headEnd,
	"only spaces":                        "X-Foo: y\r\n   \r\n" + headEnd,
	"length, space before the colon":     "Id: r\r\nContent-Length : 30\r\n\r\npart of a body",
	"length, leading space":              "Id: r\r\n Content-Length: 30\r\n\r\npart of a body",
	"length, space within":               "Id: r\r\nContent- Length: 30\r\n\r\npart of a body",
	"coding, space before the colon":     "Id: r\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding, leading space":              "Id: r\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"tab before the colon":               "X-Foo\t: y\r\n" + headEnd,
	"0x00":                               "X-\x00Foo: y\r\n" + headEnd,
	"0x01":                               "X-\x01Foo: y\r\n" + headEnd,
	"0x0b":                               "X-\x0bFoo: y\r\n" + headEnd,
	"0x0b at the start":                  "\x0bX-Foo: y\r\n" + headEnd,
	"a carriage return":                  "X-\rFoo: y\r\n" + headEnd,
	"a carriage return before the colon": "X-Foo\r: y\r\n" + headEnd,
	"0x7f":                               "X-\x7fFoo: y\r\n" + headEnd,
	"0x80":                               "X-\x80Foo: y\r\n" + headEnd,
	"no name":                            ": y\r\n" + headEnd,
	"no colon":                           "X-Foo\r\n" + headEnd,
}

func TestAnAnswerWithAMalformedNameOfAFieldIsNoAnswer(t *testing.T) {
	for name, fields := range malformedFields {
		for place, text := range map[string]string{
			"head":         "HTTP/1.1 200 OK\r\n" + fields,
			"interim head": "HTTP/1.1 103 Early Hints\r\n" + fields[:strings.Index(fields, "\r\n\r\n")] + "\r\n\r\n" + wholeAnswer,
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				status, body, err := answerOf(t, text)
				NewWithT(t).Expect(err).To(MatchError(forward.ErrNoAnswer), "status %d, body %q", status, body)
			})
		}
	}
}

// packetPause lets the gateway read a packet before the next one is sent.
const packetPause = 200 * time.Microsecond

func TestAnAnswerWhoseHeadIsCutIsNoAnswer(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	inOnePacket := func(conn net.Conn, text string) { write(conn, text) }
	endings := map[string]func(conn net.Conn, text string){
		"first answer":          inOnePacket,
		"behind interim ones":   func(conn net.Conn, text string) { write(conn, interim+text) },
		"in packets of a byte":  func(conn net.Conn, text string) { writeBytes(conn, text) },
		"reset":                 func(conn net.Conn, text string) { write(conn, text); time.Sleep(packetPause); resetConn(conn) },
		"reset at once":         func(conn net.Conn, text string) { write(conn, text); resetConn(conn) },
		"on a kept connection":  inOnePacket,
		"kept, in packets of 1": func(conn net.Conn, text string) { writeBytes(conn, text) },
	}
	for name, whole := range map[string]string{
		"with a length":    wholeAnswer,
		"without a length": "HTTP/1.1 200 OK\r\nId: r\r\n\r\nbody",
		"with chunks":      "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for how, end := range endings {
			kept := strings.Contains(how, "kept")
			t.Run(name+", "+how, func(t *testing.T) {
				g := NewWithT(t)
				for _, text := range broken.CutHeads(whole) {
					e := serve(t, func(number int, _ string, conn net.Conn) bool {
						if kept && number == 0 {
							writeAnswer(conn, "first", "body")
							return true
						}
						end(conn, text)
						return false
					})
					pool := forward.NewPool()
					if kept {
						_, err := do(context.Background(), pool, e, "first", true)
						g.Expect(err).NotTo(HaveOccurred())
					}
					body, err := do(context.Background(), pool, e, "r", true)
					g.Expect(err).To(MatchError(forward.ErrNoAnswer), "%q came as %q", text, body)
					g.Expect(e.dials.Load()).To(BeEquivalentTo(1))
				}
			})
		}
	}
}

// writeBytes writes each byte in a packet of its own.
func writeBytes(conn net.Conn, text string) {
	for i := range len(text) {
		write(conn, text[i:i+1])
		time.Sleep(packetPause)
	}
}

// net/http ignores Transfer-Encoding in HTTP/1.0, so the chunk sizes would be part of the body.
func TestAnAnswerInAnOlderVersionWithAnEncodingIsNoAnswer(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"1.0":                 "HTTP/1.0 200 OK\r\nId: r\r\n" + chunked,
		"1.0, lower case":     "HTTP/1.0 200 OK\r\nId: r\r\n" + strings.ToLower(chunked),
		"1.0, behind 1.1":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nId: r\r\n" + chunked,
		"0.9":                 "HTTP/0.9 200 OK\r\nId: r\r\n" + chunked,
		"1.0, also a length":  "HTTP/1.0 200 OK\r\nId: r\r\nContent-Length: 4\r\n" + chunked,
		"1.0, not in chunks":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n" + headEnd,
		"1.0, empty encoding": "HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n" + headEnd,
	} {
		t.Run(name, func(t *testing.T) {
			_, body, err := answerOf(t, text)
			NewWithT(t).Expect(err).To(MatchError(forward.ErrNoAnswer), "the answer came as %q", body)
		})
	}
}

func TestAnAnswerInAnOlderVersionWithoutAnEncodingIsAnAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{
		"HTTP/1.0 200 OK\r\n" + headEnd,
		"HTTP/1.0 200 OK\r\nId: r\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\nTransfer: Transfer-Encoding:\r\n" + headEnd,
	} {
		_, body, err := answerOf(t, text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body"))
	}
}
