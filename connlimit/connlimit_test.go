package connlimit_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/connlimit"
)

// serve starts a server with at most max connections. Requests to /wait last until the test ends.
func serve(t *testing.T, max int) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	limit := connlimit.New(max)
	ended := make(chan struct{})
	server := &http.Server{ConnState: limit.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			_ = http.NewResponseController(w).Flush()
			<-ended
		}
	})}
	go func() { _ = server.Serve(limit.Listen(inner)) }()
	t.Cleanup(func() {
		close(ended)
		_ = server.Close()
	})
	return inner.Addr().String()
}

// dial opens a connection and sends a request unless path is empty.
func dial(g *WithT, address, path string) net.Conn {
	conn, err := request(address, path)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// request is dial, with an error if the request is not answered.
func request(address, path string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil || path == "" {
		return conn, err
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return conn, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 4096))
	return conn, err
}

// closed reports whether the server has closed a connection.
func closed(conn net.Conn, within time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, conn)
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}

const (
	closedWithin = 5 * time.Second
	openFor      = 200 * time.Millisecond
)

// Guards against connections without a request that keep out clients with requests.
func TestConnectionsWithoutARequestAreClosedFirst(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, 3)
	busy, idle, fresh := dial(g, address, "/wait"), dial(g, address, "/"), dial(g, address, "")
	time.Sleep(openFor) // the server has seen the connections' states
	dial(g, address, "/wait")
	g.Expect(closed(fresh, closedWithin)).To(BeTrue())
	g.Expect(closed(idle, openFor)).To(BeFalse())
	dial(g, address, "/wait")
	g.Expect(closed(idle, closedWithin)).To(BeTrue())
	g.Expect(closed(busy, openFor)).To(BeFalse())
	refused, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(closed(refused, closedWithin)).To(BeTrue())
	g.Expect(closed(busy, openFor)).To(BeFalse())
}

// Guards against connections that count although they are closed. The server learns of a close a
// moment later, and closes a connection that comes before that.
func TestAClosedConnectionMakesRoom(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, 1)
	var last net.Conn
	for range 20 {
		if last != nil {
			last.Close()
		}
		g.Eventually(func() error {
			conn, err := request(address, "/")
			last = conn
			return err
		}, closedWithin, time.Millisecond).Should(Succeed())
	}
	g.Expect(closed(last, openFor)).To(BeFalse())
}

// Guards against strangers that push out the connections of known processes, which send often, and
// against strangers that keep these out with connections in use on which they send nothing.
func TestSilentConnectionsAreClosedBeforeThoseThatSend(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := connlimit.NewClosingSilent(2).Listen(inner)
	defer listener.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	connect := func(state http.ConnState) (client, server net.Conn) {
		client = dial(g, inner.Addr().String(), "")
		t.Cleanup(func() { client.Close() })
		g.Eventually(accepted, closedWithin).Should(Receive(&server))
		if state != http.StateNew {
			connlimit.SetState(server, state)
		}
		return client, server
	}
	known, knownServer := connect(http.StateActive)
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive, http.StateActive} {
		stranger, _ := connect(state)
		connlimit.SetState(knownServer, http.StateActive)
		connect(http.StateNew)
		g.Expect(closed(stranger, closedWithin)).To(BeTrue(), "%s", state)
		g.Expect(closed(known, openFor)).To(BeFalse(), "%s", state)
	}
}
