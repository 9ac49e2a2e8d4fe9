package platform_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/standin/broken"
)

func serveBroken(t *testing.T, answer broken.Answer) *platform.Client {
	t.Helper()
	server, err := broken.Serve(answer)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client := platform.New("http://"+server.Address, platform.Options{})
	t.Cleanup(client.Close)
	return client
}

// serveAnswer returns a client of a platform that answers with text, after the request's body.
func serveAnswer(t *testing.T, text string) *platform.Client {
	t.Helper()
	return serveBroken(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	})
}

func TestNoCallTakesABrokenAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(client *platform.Client) error
	}{
		"get": {"the value of a key", func(c *platform.Client) error {
			_, _, err := c.Get(context.Background(), "k")
			return err
		}},
		"list": {`{"keys":[{"key":"k","revision":3}]}`, func(c *platform.Client) error {
			_, err := c.List(context.Background(), "")
			return err
		}},
		"write": {`{"revision":8}`, func(c *platform.Client) error {
			_, _, err := c.CompareAndSwap(context.Background(), "k", []byte("v"), 7)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 7\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRevision, len(c.body), c.body)
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

func TestAWriteThatThePlatformDidNotReceiveIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	for range 40 {
		client := serveBroken(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"revision\":8}")
		})
		_, _, err := client.CompareAndSwap(context.Background(), "k", make([]byte, platform.MaxValueBytes), 7)
		g.Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
	}
}
