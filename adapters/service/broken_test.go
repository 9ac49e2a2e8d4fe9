package service_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/service"
	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/standin/broken"
)

// serve runs a service that answers each request with its connection and the unread body of the
// request, and returns its URL.
func serve(t *testing.T, answer func(conn *net.TCPConn, upload io.Reader)) string {
	t.Helper()
	server, err := broken.Serve(func(conn *net.TCPConn, request *http.Request) { answer(conn, request.Body) })
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return "http://" + server.Address
}

func post(ctx context.Context, url string, size int) (*service.Answer, error) {
	return service.NewClient(url).Do(ctx, &service.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, size)})
}

const partialAnswer = "HTTP/1.1 200 OK\r\n\r\npart of a body"

func write(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// The kernel reports a reset only once, to the goroutine that writes or to the one that reads.
func TestAnAnswerWithoutALengthIsNotCompleteIfItsUploadIsNotReceived(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn, upload io.Reader){
		"reset":         func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) },
		"close, unread": func(*net.TCPConn, io.Reader) {},
		"close, half of it read": func(_ *net.TCPConn, upload io.Reader) {
			_, _ = io.CopyN(io.Discard, upload, 512<<10)
		},
		"end of the data, later a reset": func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url := serve(t, func(conn *net.TCPConn, upload io.Reader) {
				write(conn, partialAnswer)
				end(conn, upload)
			})
			for range 100 {
				answer, err := post(context.Background(), url, 1<<20)
				g.Expect(err).To(HaveOccurred(), "the answer came as %+v", answer)
				g.Expect(err).NotTo(MatchError(service.ErrNotSent))
			}
		})
	}
}

func TestAnAnswerWithoutALengthIsCompleteIfItsUploadIsReceived(t *testing.T) {
	for name, answer := range map[string]func(conn *net.TCPConn, upload io.Reader){
		"after the upload": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			write(conn, partialAnswer)
		},
		"before the upload": func(conn *net.TCPConn, upload io.Reader) {
			write(conn, partialAnswer)
			_, _ = io.Copy(io.Discard, upload)
		},
	} {
		for _, size := range []int{0, 100, 5 << 10, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				g := NewWithT(t)
				url := serve(t, answer)
				for range 40 {
					answer, err := post(context.Background(), url, size)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(answer.Body)).To(Equal("part of a body"))
				}
			})
		}
	}
}

func TestACallEndsWithItsContextWhileAnUploadIsNotReceived(t *testing.T) {
	g := NewWithT(t)
	done := make(chan struct{})
	defer close(done)
	url := serve(t, func(conn *net.TCPConn, _ io.Reader) {
		write(conn, partialAnswer)
		_ = conn.CloseWrite()
		<-done
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, err := post(ctx, url, 16<<20)
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, service.ErrNotSent)).To(BeFalse())
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
}

// answerOf asks a service that writes text and closes the connection.
func answerOf(t *testing.T, text string) (*service.Answer, error) {
	t.Helper()
	url := serve(t, func(conn *net.TCPConn, _ io.Reader) { write(conn, text) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return service.NewClient(url).Do(ctx, &service.Request{Method: http.MethodGet, Path: "/"})
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

func TestAnAnswerWithAStatusThatNoAnswerHasIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"000":                       "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody",
		"000 without a length":      "HTTP/1.1 000 Error\r\n\r\nbody",
		"000 before another answer": "HTTP/1.1 000 Error\r\n\r\n" + wholeAnswer,
		"000 behind an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Error\r\n\r\n" + wholeAnswer,
		"+20":                       "HTTP/1.1 +20 Error\r\nContent-Length: 4\r\n\r\nbody",
		"00":                        "HTTP/1.1 00 Error\r\nContent-Length: 4\r\n\r\nbody",
		"099":                       "HTTP/1.1 099 Error\r\nContent-Length: 4\r\n\r\nbody",
		"600":                       "HTTP/1.1 600 Error\r\nContent-Length: 4\r\n\r\nbody",
		"600 without a length":      "HTTP/1.1 600 Error\r\n\r\nbody",
		"799":                       "HTTP/1.1 799 Error\r\nContent-Length: 4\r\n\r\nbody",
		"999":                       "HTTP/1.1 999 Error\r\nContent-Length: 4\r\n\r\nbody",
		"1000":                      "HTTP/1.1 1000 Error\r\nContent-Length: 4\r\n\r\nbody",
		"1000 before another one":   "HTTP/1.1 1000 Error\r\n\r\n" + wholeAnswer,
		"101":                       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + wholeAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer, err := answerOf(t, text)
			g.Expect(err).To(MatchError(answers.ErrMalformedHead), "the answer came as %+v", answer)
			g.Expect(err).NotTo(MatchError(service.ErrNotSent))
		})
	}
}

// The check of the status must not reject valid ones.
func TestAnAnswerWithAValidStatusIsTaken(t *testing.T) {
	for status, body := range map[int]string{http.StatusOK: "body", http.StatusNoContent: "", http.StatusNotModified: "", 599: "body"} {
		g := NewWithT(t)
		answer, err := answerOf(t, fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Status).To(Equal(status))
		g.Expect(string(answer.Body)).To(Equal(body))
	}
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	g := NewWithT(t)
	answer, err := answerOf(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+wholeAnswer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer.Body)).To(Equal("body"))
}

func TestAnAnswerWithAMalformedNameOfAFieldIsNoAnswer(t *testing.T) {
	const ok, length = "HTTP/1.1 200 OK\r\nX-Foo: y\r\n", "Content-Length: 4\r\n\r\nbody"
	for name, text := range map[string]string{
		"length, space before the colon": ok + "Content-Length : 30\r\n\r\nbody",
		"length, leading space":          ok + " Content-Length: 30\r\n\r\nbody",
		"coding, space before the colon": ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"coding, leading tab":            ok + "\tTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"space before the colon":         ok + "X-Bar : z\r\n" + length,
		"space within":                   ok + "X Bar: z\r\n" + length,
		"leading space":                  ok + " X-Bar: z\r\n" + length,
		"control byte":                   ok + "X-\x01Bar: z\r\n" + length,
		"no name":                        ok + ": z\r\n" + length,
		"in an interim answer":           "HTTP/1.1 103 Early Hints\r\nX Bar: z\r\n\r\n" + wholeAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer, err := answerOf(t, text)
			g.Expect(err).To(HaveOccurred(), "the answer came as %+v", answer)
			g.Expect(err).NotTo(MatchError(service.ErrNotSent))
		})
	}
}

func TestAnAnswerWhoseHeadIsCutIsNoAnswer(t *testing.T) {
	for name, whole := range map[string]string{
		"with a length":    wholeAnswer,
		"without a length": partialAnswer,
		"with chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, text := range broken.CutHeads(whole) {
				for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
					answer, err := answerOf(t, before+text)
					g.Expect(err).To(HaveOccurred(), "%q came as %+v", before+text, answer)
					g.Expect(err).NotTo(MatchError(service.ErrNotSent))
				}
			}
		})
	}
}

func TestNoCallTakesABrokenAnswer(t *testing.T) {
	g := NewWithT(t)
	for problem, text := range broken.Heads(wholeAnswer) {
		answer, err := answerOf(t, text)
		g.Expect(err).To(HaveOccurred(), "%s came as %+v", problem, answer)
	}
}
