package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
)

// Guards against connections that are held without a bound by a body that is announced and never
// sent, with a request that is answered without reading it. Some are answered by net/http itself.
func TestARequestIsAnsweredWhoseUnreadBodyNeverArrives(t *testing.T) {
	n := node.New(node.Identity{VM: "entry"}, log.New(io.Discard))
	server, listener, err := listenHTTP("callers", "127.0.0.1:0", NewCallerAPI(n, nil).Handler(), 16, logging.Discard())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go func() { _ = serveHTTP(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for name, head := range map[string]string{
		"malformed header": "POST /v1/chat/completions HTTP/1.1\r\nX-Deadline-Ms: none\r\n",
		"unknown path":     "POST /unknown HTTP/1.1\r\n",
		"list of models":   "GET /v1/models HTTP/1.1\r\n",
		"health check":     "GET /healthz HTTP/1.1\r\n",
		"options":          "OPTIONS * HTTP/1.1\r\n",
		"expectation":      "POST /v1/chat/completions HTTP/1.1\r\nExpect: other\r\n",
	} {
		for _, body := range []string{"Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nx"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				conn, err := net.Dial("tcp", listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "%sHost: h\r\n%s", head, body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				defer answer.Body.Close()
				_, err = io.Copy(io.Discard, conn)
				g.Expect(err).NotTo(HaveOccurred(), "the connection is closed")
			})
		}
	}
}
