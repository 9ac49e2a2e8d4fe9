package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against connections that are held without a bound by a body that is announced and never
// sent, with a request that net/http answers itself.
func TestABodyThatNeverArrivesDoesNotHoldAConnectionWithoutACall(t *testing.T) {
	address, _ := start(t, "non_idempotent", newBackend(t, echo))
	for name, head := range map[string]string{
		"options":     "OPTIONS * HTTP/1.1\r\n",
		"expectation": "POST /a/x HTTP/1.1\r\nExpect: other\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "%sHost: h\r\nContent-Length: 100\r\n\r\n", head)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Now().Add(15 * time.Second))).To(Succeed())
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer answer.Body.Close()
			_, err = io.Copy(io.Discard, conn)
			g.Expect(err).NotTo(HaveOccurred(), "the connection is closed")
		})
	}
}
