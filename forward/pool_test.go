package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
)

// plain is a dialect whose messages contain only the call's ID.
type plain struct{}

func (plain) Request(a forward.Attempt) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: "x", URL: &url.URL{Opaque: "/"}, Body: http.NoBody, Header: http.Header{"Id": {string(a.Call.ID)}},
	}
}

func (plain) Classify(a forward.Attempt, response *http.Response) forward.Classification {
	return forward.Classification{Mismatched: response.Header.Get("Id") != string(a.Call.ID)}
}

// endpoint answers each request by calling a function with the request's index on its
// connection. The function returns false to close the connection.
type endpoint struct {
	address string
	dials   atomic.Int32
	// ended receives the error that ended each connection.
	ended chan error
}

type answerFunc func(number int, id string, conn net.Conn) bool

func serve(t *testing.T, answer answerFunc) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	e := &endpoint{address: listener.Addr().String(), ended: make(chan error, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.dials.Add(1)
			go e.serveConn(conn, answer)
		}
	}()
	return e
}

func (e *endpoint) serveConn(conn net.Conn, answer answerFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			e.ended <- err
			return
		}
		if !answer(number, request.Header.Get("Id"), conn) {
			return
		}
	}
}

// writeAnswer writes an answer with a Content-Length.
func writeAnswer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(ctx context.Context, pool *forward.Pool, e *endpoint, id core.RequestID, mayRepeat bool) (string, error) {
	attempt := forward.Attempt{Call: &forward.Call{ID: id}, Endpoint: &fleet.Endpoint{Address: e.address}}
	answer, err := pool.Do(ctx, plain{}, attempt, mayRepeat)
	if err != nil {
		return "", err
	}
	body, err := answer.ReadAll(1 << 20)
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, id string, conn net.Conn) bool { writeAnswer(conn, id, "body"); return true })
	pool := forward.NewPool()
	for i := range 5 {
		body, err := do(context.Background(), pool, e, core.RequestID(fmt.Sprint(i)), true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body"))
	}
	g.Expect(e.dials.Load()).To(BeEquivalentTo(1))
}

func TestAConnectionWithBytesBeyondAnAnswerIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, id string, conn net.Conn) bool {
		writeAnswer(conn, id, "first")
		writeAnswer(conn, id, "extra")
		return true
	})
	pool := forward.NewPool()
	for i := range 3 {
		body, err := do(context.Background(), pool, e, core.RequestID(fmt.Sprint(i)), true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("first"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(e.dials.Load()).To(BeEquivalentTo(3))
}

func TestALateAnswerOfAnotherRequestIsNeverPassedOn(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool { writeAnswer(conn, "another", "theirs"); return true })
	_, err := do(context.Background(), forward.NewPool(), e, "mine", true)
	g.Expect(err).To(MatchError(forward.ErrNoAnswer))
}

func TestAnAnswerThatEndsEarlyIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, id string, conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nonly this", id)
		return false
	})
	_, err := do(context.Background(), forward.NewPool(), e, "r", true)
	g.Expect(err).To(MatchError(forward.ErrTruncated))
}

func TestNothingWasSentWhenTheDialFails(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(int, string, net.Conn) bool { return false })
	e.address = "127.0.0.1:1"
	_, err := do(context.Background(), forward.NewPool(), e, "r", true)
	g.Expect(err).To(MatchError(forward.ErrNotSent))
}

func TestAnAttemptThatIsNoLongerPermittedWhenItsConnectionIsOpenIsNotSent(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	e := serve(t, func(_ int, id string, conn net.Conn) bool {
		requests.Add(1)
		writeAnswer(conn, id, "body")
		return true
	})
	pool := forward.NewPool()
	for range 2 {
		attempt := forward.Attempt{Call: &forward.Call{ID: "1"}, Endpoint: &fleet.Endpoint{Address: e.address}, Start: func() (time.Duration, bool) { return time.Second, false }}
		_, err := pool.Do(context.Background(), plain{}, attempt, true)
		g.Expect(err).To(MatchError(forward.ErrWithdrawn))
		g.Expect(err).To(MatchError(forward.ErrNotSent))
	}
	body, err := do(context.Background(), pool, e, "2", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("body"))
	g.Expect(requests.Load()).To(BeEquivalentTo(1))
}

func TestARequestThatGotNoAnswerMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(int, string, net.Conn) bool { return false })
	_, err := do(context.Background(), forward.NewPool(), e, "r", false)
	g.Expect(err).To(MatchError(forward.ErrNoAnswer))
	g.Expect(e.dials.Load()).To(BeEquivalentTo(1)) // sent only once
}

func TestACallThatMayNotRepeatTakesNoStaleConnection(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, id string, conn net.Conn) bool { writeAnswer(conn, id, ""); return true })
	pool := forward.NewPool()
	_, err := do(context.Background(), pool, e, "first", true)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	_, err = do(context.Background(), pool, e, "second", false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.dials.Load()).To(BeEquivalentTo(2))
}

func TestTheConnectionOfAnAbandonedCallIsReset(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan struct{})
	e := serve(t, func(int, string, net.Conn) bool { close(arrived); return true })
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := do(ctx, forward.NewPool(), e, "r", true)
	g.Expect(err).To(MatchError(forward.ErrNoAnswer))
	g.Eventually(e.ended).Should(Receive(MatchError(ContainSubstring("reset"))))
}

func TestEventsAreCutWholeAndABrokenOneIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	reader := forward.NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: "))
	first, err := reader.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.ID).To(BeEquivalentTo(1))
	g.Expect(string(first.Bytes)).To(Equal("id: 1\ndata: a\n\n"))
	second, err := reader.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.ID).To(BeEquivalentTo(2))
	_, err = reader.Next()
	g.Expect(err).To(MatchError(forward.ErrTruncated))
}

func TestAStreamMayEndBetweenTwoEvents(t *testing.T) {
	g := NewWithT(t)
	reader := forward.NewEventReader(strings.NewReader("id: 1\n\n"))
	_, err := reader.Next()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.Next()
	g.Expect(err).To(MatchError(io.EOF))
}

func TestWhatIsNoEventEndsAStream(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n", "overloaded\n\n", "error: overloaded\n\n",
		"id: 2\noverloaded\ndata: x\n\n", "id: 2\nnot a field: x\ndata: x\n\n", "Content-Type: text/plain\n\n",
	} {
		g := NewWithT(t)
		reader := forward.NewEventReader(strings.NewReader("id: 1\ndata: x\n\n" + text + "id: 3\ndata: x\n\n"))
		_, err := reader.Next()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = reader.Next()
		g.Expect(err).To(MatchError(forward.ErrNoEvent), text)
	}
}

func TestFieldsThatReadersIgnoreAreNoErrorInAnEvent(t *testing.T) {
	for _, text := range []string{
		"x-weight-versions: 2\nid: 1\ndata: x\n\n", ": comment\n\n", "data\n\n", "id:1\nevent:token\ndata:{\"a\": 1}\n\n", "retry: 10\n\n", "data: a b\ndata: http://c\n\n",
	} {
		g := NewWithT(t)
		event, err := forward.NewEventReader(strings.NewReader(text)).Next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(event.Bytes)).To(Equal(text))
		g.Expect(event.Comment).To(Equal(strings.HasPrefix(text, ": ")))
	}
}
