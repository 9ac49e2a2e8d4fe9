package gateway_test

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The caller sends a byte of the body now and then, for longer than it wants to wait for its
// answer.
func TestACallWhoseBodyNeverEndsIsGivenUpWithItsTimeout(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, echo)
	address, _ := start(t, "non_idempotent", b)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Timeout-Ms: 500\r\nAuthorization: Bearer key\r\nContent-Length: 1000\r\n\r\n")
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
				if _, err := conn.Write([]byte("b")); err != nil {
					return
				}
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout), "the call has not run and will not run")
	g.Expect(b.calls()).To(BeZero())
}

// A body that arrives slowly and in time is a call like any other, and its connection is kept.
func TestACallWithASlowBodyIsAnswered(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "non_idempotent", newBackend(t, echo))
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\nX-Timeout-Ms: 1000\r\nAuthorization: Bearer key\r\nContent-Length: 10\r\n\r\n", i)
		for range 10 {
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(conn, "b")
		}
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		g.Expect(string(body)).To(Equal("team bbbbbbbbbb"))
		time.Sleep(600 * time.Millisecond) // past the time-out of the first call
	}
}

// largeStream is longer than what the buffers between an endpoint and its caller hold.
func largeStream(w http.ResponseWriter, _ *http.Request) {
	line := "data: " + strings.Repeat("x", 32<<10) + "\n\n"
	for i := range 1000 {
		fmt.Fprintf(w, "id: %d\n%s", i+1, line)
		w.(http.Flusher).Flush()
	}
}

// The caller reads a byte of the answer now and then. The endpoint's work ends all the same.
func TestACallerThatHardlyReadsItsAnswerIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	address, _ := start(t, "streaming", newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		largeStream(w, r)
	}))
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprint(conn, "GET /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Timeout-Ms: 1000\r\nAuthorization: Bearer key\r\n\r\n")
	g.Eventually(func() error {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return nil
		}
		select {
		case <-ended:
			return io.EOF
		default:
			return err
		}
	}, 20*time.Second, 100*time.Millisecond).Should(HaveOccurred())
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
	g.Eventually(func() string {
		if counts := expvar.Get("stalled_callers").(*expvar.Map).Get("answer"); counts != nil {
			return counts.String()
		}
		return "0"
	}, 15*time.Second, 100*time.Millisecond).Should(Equal("1"), "the connection is closed too")
}

// The caller is still sending when its call is rejected. It gets the rejection, and not a
// reset of its connection.
func TestACallThatIsTooLargeGetsItsRejectionWhileItIsBeingSent(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "non_idempotent", newBackend(t, echo))
	body := make([]byte, 16<<20)
	for range 20 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Timeout-Ms: 2000\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", len(body))
		go func() { _, _ = conn.Write(body) }()
		time.Sleep(20 * time.Millisecond)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		response.Body.Close()
		conn.Close()
	}
}
