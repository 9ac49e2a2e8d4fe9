package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/standin/broken"
)

func serveBroken(t *testing.T, answer broken.Answer) *engine.Client {
	t.Helper()
	server, err := broken.Serve(answer)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return engine.NewClient("http://" + server.Address)
}

// serveAnswer returns a client of an engine that answers with text, after the request's body.
func serveAnswer(t *testing.T, text string) *engine.Client {
	t.Helper()
	return serveBroken(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	})
}

func wholeAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// calls are one call for each kind of answer, with the body of the answer. bare is set if the
// body has neither a parser nor a last event behind it.
var calls = map[string]struct {
	body string
	call func(client *engine.Client) error
	bare bool
}{
	"status": {`{"boot":7,"state":"serving","version":"v"}`, func(c *engine.Client) error {
		_, err := c.Status(context.Background())
		return err
	}, false},
	"list": {`{"version":"v","chunks":[0,1]}`, func(c *engine.Client) error {
		_, err := c.List(context.Background(), "v")
		return err
	}, false},
	"load": {`{"version":"v","boot":7}`, func(c *engine.Client) error {
		_, err := c.Load(context.Background(), &engine.LoadOrder{Version: "v"})
		return err
	}, false},
	"chat": {`data: {"system_fingerprint":"v","token_offset":0}` + "\n\n" + `data: {"system_fingerprint":"v","token_offset":1}` + "\n\ndata: [DONE]\n", func(c *engine.Client) error {
		if err := read(context.Background(), c); err != io.EOF {
			return fmt.Errorf("stream: %w", err)
		}
		return nil
	}, false},
	"chunk": {"chunk of weights", func(c *engine.Client) error {
		_, err := c.Get(context.Background(), "v", 0)
		return err
	}, true},
	"put": {"stored", func(c *engine.Client) error { return c.Put(context.Background(), "v", 0, []byte("chunk")) }, true},
}

func TestNoCallTakesABrokenAnswer(t *testing.T) {
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			whole := wholeAnswer(c.body)
			g.Expect(c.call(serveAnswer(t, whole))).To(Succeed())
			for problem, text := range broken.Heads(whole) {
				g.Expect(c.call(serveAnswer(t, text))).NotTo(Succeed(), problem)
			}
			for _, text := range broken.CutHeads(whole) {
				g.Expect(c.call(serveAnswer(t, text))).NotTo(Succeed(), "%q", text)
			}
		})
	}
}

// Behind the body of a chunk, which may end early, stand the digests of its manifest.
func TestAnAnswerWithoutALengthThatEndsEarlyIsNotTaken(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range calls {
		if c.bare {
			continue
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.call(serveAnswer(t, unframed+c.body))).To(Succeed())
			for end := range len(c.body) - 1 { // the line feed after the last event is not needed
				g.Expect(c.call(serveAnswer(t, unframed+c.body[:end]))).NotTo(Succeed(), "%q", c.body[:end])
			}
		})
	}
}

func TestAChunkThatTheEngineDidNotReceiveIsNotStored(t *testing.T) {
	g := NewWithT(t)
	chunk := make([]byte, 1<<20)
	for range 40 {
		client := serveBroken(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n") })
		g.Expect(client.Put(context.Background(), "v", 0, chunk)).NotTo(Succeed())
	}
	g.Expect(serveAnswer(t, "HTTP/1.1 200 OK\r\n\r\n").Put(context.Background(), "v", 0, chunk)).To(Succeed())
}
