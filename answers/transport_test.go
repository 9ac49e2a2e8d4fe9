package answers

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// connected returns the two ends of a connection.
func connected(t *testing.T) (ours *conn, theirs *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	ours, theirs = &conn{Conn: raw}, accepted.(*net.TCPConn)
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}

// net/http may close a connection on which it has begun a request and never writes it.
func TestTheCloseOfAConnectionEndsTheWaitForARequestThatIsNeverWritten(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := connected(t)
	ours.begin()
	_, err := io.WriteString(theirs, "HTTP/1.1 200 OK\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	theirs.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(ours)
		ended <- err
	}()
	g.Consistently(ended, 50*time.Millisecond).ShouldNot(Receive())
	ours.Close()
	g.Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
}

// Without the start of an answer, net/http must see that an idle connection was closed.
func TestTheEndOfAConnectionWithoutAnAnswerIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := connected(t)
	ours.begin()
	theirs.Close()
	_, err := ours.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}
