package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// largestBody is the default limit of a body. heldBodies of them, half of each reserved, use up
// what requests of that size may use of the gateway's default budget.
const (
	largestBody = 4 << 20
	heldBodies  = 12
)

// post opens a connection and sends the head of a request with a body of size bytes.
func post(g *WithT, address, id string, size int) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 60000\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", id, size)
	return conn, bufio.NewReader(conn)
}

// Guards against bodies that are read although there is no memory for them, and against a
// rejection that may have run.
func TestABodyWithoutMemoryIsRejectedBeforeItIsRead(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, echo)
	address, _ := start(t, "non_idempotent", b)
	// The gateway may see the requests in any order; one of them is left without memory.
	responses := make(chan *http.Response, heldBodies+1)
	for range heldBodies + 1 {
		conn, reader := post(g, address, "held", largestBody)
		defer conn.Close()
		go func() {
			if response, err := http.ReadResponse(reader, nil); err == nil {
				responses <- response
			}
		}()
	}
	var response *http.Response
	g.Eventually(responses, 10*time.Second).Should(Receive(&response))
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).To(Equal("0.20"))
	g.Expect(response.Close).To(BeTrue())
	g.Expect(b.calls()).To(BeZero())
	g.Expect(responses).NotTo(Receive(), "the others have memory")
	small, body, err := ask(g, address, "small")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(small.StatusCode).To(Equal(http.StatusOK), "there is room for small bodies")
	g.Expect(body).To(Equal("team body"))
}

// Guards against callers that stop in the middle of their bodies and so keep out all others.
func TestStalledBodiesMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, echo)
	address, _ := start(t, "non_idempotent", b)
	var held []*bufio.Reader
	for range heldBodies {
		conn, reader := post(g, address, "held", largestBody)
		defer conn.Close()
		held = append(held, reader)
	}
	time.Sleep(2500 * time.Millisecond) // longer than the time that a stalled transfer has
	conn, reader := post(g, address, "other", largestBody)
	defer conn.Close()
	_, err := conn.Write([]byte(strings.Repeat("x", largestBody)))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	rejected := make(chan int, heldBodies)
	for _, reader := range held {
		go func() { rejected <- status(http.ReadResponse(reader, nil)) }()
	}
	g.Eventually(rejected, 5*time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)), "one of them has lost its memory")
	g.Expect(b.runs("held")).To(BeZero())
}

// Guards against bodies whose memory is not given back when their calls have ended.
func TestTheMemoryOfBodiesComesBack(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "non_idempotent", newBackend(t, echo))
	text := strings.Repeat("x", largestBody)
	conn, reader := post(g, address, "0", largestBody)
	defer conn.Close()
	for i := range heldBodies {
		if i > 0 {
			fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\nX-Timeout-Ms: 2000\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n", i)
			fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		} else {
			fmt.Fprint(conn, text)
		}
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		n, err := reader.Discard(int(response.ContentLength))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len("team ") + largestBody))
	}
}
