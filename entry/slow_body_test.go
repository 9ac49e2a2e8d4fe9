package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/membudget"
)

// Guards against the time for discarded bodies being applied to the body of a call, or to the time
// that the call runs afterwards.
func TestABodyThatArrivesSlowlyIsReceived(t *testing.T) {
	g := NewWithT(t)
	canceled, received := make(chan error, 1), make(chan error, 1)
	server, listener, err := listenHTTP("callers", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _, err := forward.ReceiveBody(w, r, 100, time.Minute, membudget.New(1<<20), boottime.Now)
		received <- err
		time.Sleep(headerTimeout + time.Second)
		canceled <- r.Context().Err()
	}), 16, logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = serveHTTP(server, listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 14\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	for _, piece := range strings.SplitAfter("a b c d e f g ", " ") {
		_, err = fmt.Fprint(conn, piece)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(headerTimeout / 5)
	}
	g.Eventually(received, 5*time.Second).Should(Receive(BeNil()))
	g.Eventually(canceled, 15*time.Second).Should(Receive(BeNil()))
}
