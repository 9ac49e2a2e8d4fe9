package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// rawListener passes each connection to a function that writes and reads as it likes.
func rawListener(t *testing.T, serve func(conn net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener
}

func (b *backend) record(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran[id]++
}

// expectNoFalsePromise sends calls and expects that none has run which was answered as not
// run, and that some have run.
func expectNoFalsePromise(g *WithT, address string, calls int, backends ...*backend) {
	ran := 0
	for i := range calls {
		id := fmt.Sprint("call", i)
		response, _, err := ask(g, address, id)
		runs := 0
		for _, b := range backends {
			runs += b.runs(id)
		}
		g.Expect(runs).To(BeNumerically("<=", 1), "%s has run more than once", id)
		ran += runs
		if err == nil && runs > 0 {
			g.Expect(response.StatusCode).NotTo(Equal(http.StatusServiceUnavailable), "%s has run and was answered as not run", id)
		}
	}
	g.Expect(ran).To(BeNumerically(">", 0), "no call has run")
}

// A faulty endpoint writes a refusal to each new connection and runs what arrives there.
func TestARefusalWithoutAnIDOnANewConnectionSaysNothingAboutTheCall(t *testing.T) {
	for name, before := range map[string]bool{"before the request": true, "after the request": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := &backend{ran: map[string]int{}}
			b.listener = rawListener(t, func(conn net.Conn) {
				if before {
					writeRefusal(conn, "")
				}
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					b.record(request.Header.Get("X-Request-Id"))
					if !before {
						writeRefusal(conn, "")
					}
				}
			})
			b.address = b.listener.Addr().String()
			address, _ := start(t, "non_idempotent", b, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { refuse(w) }))
			expectNoFalsePromise(g, address, 20, b)
		})
	}
}
