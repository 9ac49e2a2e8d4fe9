package forward_test

import (
	"context"
	"io"
	"net"
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
