package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// A process registers under another ID while it goes on. It rejects a call under the ID that it
// no longer has, and writes that rejection once more when the call comes again and runs.
func TestARejectionOfTheSameCallThatIsRepeatedSaysNothingAboutItsNextAttempt(t *testing.T) {
	g := NewWithT(t)
	s := newLiveStore()
	s.put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"non_idempotent","timeout-ms":2000,"goal-ms":100,
		"service":"s","max-attempts":2}],"services":[{"name":"s"}],"tenants":[{"name":"team","api-keys":["key"]}]}`))
	register := func(name string, b *backend) {
		s.put("servers/"+name, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":4,"state":"ready"}`, b.address))
	}
	var ids sync.Map
	known := func(id string) bool {
		_, loaded := ids.LoadOrStore(id, true)
		return loaded
	}
	var starts atomic.Int32
	name := func() string { return fmt.Sprint("b", starts.Load()) }
	b := &backend{ran: map[string]int{}}
	b.listener = rawListener(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		rejected := map[string]bool{}
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get("X-Request-Id")
			status, header := "421 Misdirected Request", "X-Not-Executed: 1"
			switch {
			case rejected[id]:
				b.record(id)
			case !known(id):
				s.remove("servers/" + name())
				starts.Add(1)
				register(name(), b)
				rejected[id] = true
			default:
				b.record(id)
				status, header = "200 OK", "X-Response-Seal: seal"
			}
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", status, id, header)
		}
	})
	b.address = b.listener.Addr().String()
	register(name(), b)
	register("other", newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(150 * time.Millisecond) // the gateway hears of the new ID meanwhile
		refuse(w)
	}))
	address := startOn(t, s)
	seen := false
	for i := range 10 {
		id := fmt.Sprint("call", i)
		response, _, err := ask(g, address, id)
		g.Expect(err).NotTo(HaveOccurred())
		if b.runs(id) > 0 {
			seen = true
			g.Expect(response.StatusCode).NotTo(Equal(http.StatusServiceUnavailable), "%s has run and was answered as not run", id)
		}
		time.Sleep(300 * time.Millisecond) // the connection is not used for the next call
	}
	g.Expect(seen).To(BeTrue(), "no call has run")
}

// A proxy or a library in front of an endpoint may add the header to answers of any kind.
func TestASuccessWithTheHeaderOfRejectionsIsNoRejection(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		value  string
	}{
		"a success":                    {http.StatusOK, "1"},
		"an answer that denies it":     {http.StatusServiceUnavailable, "0"},
		"an answer that says it's not": {http.StatusServiceUnavailable, "false"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set("X-Not-Executed", c.value)
				w.WriteHeader(c.status)
				echo(w, r)
			}
			address, _ := start(t, "non_idempotent", newBackend(t, answer), newBackend(t, answer))
			response, _, err := ask(g, address, "1")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(runs.Load()).To(BeEquivalentTo(1), "the call was sent again")
			g.Expect(response.StatusCode).NotTo(Equal(http.StatusServiceUnavailable))
		})
	}
}

// Callers may reuse an ID, and the first attempt with it may have been rejected on the same
// connection.
func TestARejectionThatIsRepeatedSaysNothingAboutALaterCallWithTheSameID(t *testing.T) {
	g := NewWithT(t)
	b := rawEndpoint(t, func(b *backend, number int, id string, conn net.Conn) {
		if number > 0 {
			b.record(id)
		}
		writeRefusal(conn, "X-Request-Id: "+id+"\r\n")
	})
	address, _ := start(t, "non_idempotent", b)
	deadline := time.Now().Add(500 * time.Millisecond)
	for time.Now().Before(deadline) {
		response, _, err := ask(g, address, "same")
		g.Expect(err).NotTo(HaveOccurred())
		if b.runs("same") > 0 {
			g.Expect(response.StatusCode).NotTo(Equal(http.StatusServiceUnavailable), "a call that has run was answered as not run")
			return
		}
	}
}
