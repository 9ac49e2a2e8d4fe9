package forward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
)

var errEndpointLost = errors.New("endpoint unreachable")

// The endpoint's process ended, and its kernel closed the connection.
func TestAnAnswerWithoutALengthFromALostEndpointIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nid: 1\n\n")
		return false
	})
	pool := forward.NewPool()
	for range 200 {
		ctx, cancel := context.WithCancelCause(context.Background())
		attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
		answer, err := pool.Do(ctx, plain{}, attempt, true)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Millisecond) // the connection is closed meanwhile
		cancel(errEndpointLost)
		_, err = answer.ReadAll(1 << 20)
		g.Expect(err).To(MatchError(forward.ErrTruncated))
	}
}

// The kernel reports a reset to one read, and the end of the stream to the next.
func TestAResetIsReportedToEachRead(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nid: 1\n\n")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
	answer, err := forward.NewPool().Do(context.Background(), plain{}, attempt, true)
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	for range 3 {
		_, err = io.Copy(io.Discard, answer)
		g.Expect(err).To(MatchError(ContainSubstring("reset")))
	}
}

func TestAStreamThatEndsInsideAnEventDoesNotEndAsComplete(t *testing.T) {
	g := NewWithT(t)
	reader := forward.NewEventReader(strings.NewReader("id: 1\n\nid: 2\n"))
	_, err := reader.Next()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.Next()
	g.Expect(err).To(MatchError(forward.ErrTruncated))
	g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
}
