package forward_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/forward"
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

// net/http takes any three digits for a status, and a number with a sign.
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

// malformedFields are heads with a field whose name is none, and the bodies behind them. net/http
// takes those with a blank in the name, and joins a line that begins with a blank to the one before.
var malformedFields = map[string]string{
	"a blank before the colon":           "X-Foo : y\r\n" + headEnd,
	"a blank within":                     "X Foo: y\r\n" + headEnd,
	"a blank at the start":               " X-Foo: y\r\n" + headEnd,
	"a blank at the start, later":        "X-Foo: y\r\n X-Bar: z\r\n" + headEnd,
	"a tab at the start, later":          "X-Foo: y\r\n\tX-Bar: z\r\n" + headEnd,
	"nothing but blanks":                 "X-Foo: y\r\n   \r\n" + headEnd,
	"a length with a blank behind":       "Id: r\r\nContent-Length : 30\r\n\r\npart of a body",
	"a length with a blank before":       "Id: r\r\n Content-Length: 30\r\n\r\npart of a body",
	"a length with a blank within":       "Id: r\r\nContent- Length: 30\r\n\r\npart of a body",
	"an encoding with a blank behind":    "Id: r\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"an encoding with a blank before":    "Id: r\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a tab before the colon":             "X-Foo\t: y\r\n" + headEnd,
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
