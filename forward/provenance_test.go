package forward_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
)

// Logs of a false rejection must show what the rejection rested on.
func TestAnAnswerTellsWhatItsConnectionHadCarried(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, id string, conn net.Conn) bool { writeAnswer(conn, id, "body"); return true })
	pool := forward.NewPool()
	for exchanges := range 3 {
		attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
		answer, err := pool.Do(context.Background(), plain{}, attempt, true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Provenance).To(Equal(forward.Provenance{Exchanges: exchanges, RequestWritten: true}))
		_, err = answer.ReadAll(1 << 10)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func TestAnErrorNamesTheAnswerThatBelongsToAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		writeAnswer(conn, strings.Repeat("x", 4<<10), "theirs")
		return true
	})
	_, err := do(context.Background(), forward.NewPool(), e, "mine", true)
	g.Expect(err).To(MatchError(ContainSubstring("status 200")))
	g.Expect(len(err.Error())).To(BeNumerically("<", 512))
}

// The bytes may be an earlier rejection, or one of the connection.
func TestNothingThatArrivesBeforeTheRequestAnswersIt(t *testing.T) {
	for name, first := range map[string]func(conn net.Conn){
		"an answer": func(conn net.Conn) { writeAnswer(conn, "r", "body") },
		"a close":   func(conn net.Conn) { conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan int, 1)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				first(conn)
				n, _ := conn.Read(make([]byte, 1))
				received <- n
			}()
			attempt := forward.Attempt{
				Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: listener.Addr().String()},
				Start: func() (time.Duration, bool) {
					time.Sleep(50 * time.Millisecond) // what comes first arrives meanwhile
					return time.Second, true
				},
			}
			_, err = forward.NewPool().Do(context.Background(), plain{}, attempt, false)
			g.Expect(err).To(MatchError(forward.ErrNotSent))
			g.Eventually(received).Should(Receive(BeZero()), "the request was sent")
		})
	}
}
