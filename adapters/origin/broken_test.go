package origin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/broken"
)

// serveAnswer returns a client of a store that answers with text.
func serveAnswer(t *testing.T, text string) *origin.Client {
	t.Helper()
	server, err := broken.Serve(func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) })
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return origin.New(origin.Config{StoreURL: "http://" + server.Address})
}

func TestNoCallTakesABrokenAnswer(t *testing.T) {
	manifest, err := json.Marshal(core.Manifest{Version: "v1", SizeBytes: 3, ChunkBytes: 2, Chunks: make([]core.Digest, 2)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	const weights = "a range of weights"
	for name, c := range map[string]struct {
		status, body string
		call         func(client *origin.Client) error
	}{
		"manifest": {"200 OK", string(manifest), func(c *origin.Client) error {
			_, err := c.Manifest(context.Background(), "v1")
			return err
		}},
		"range": {"206 Partial Content", weights, func(c *origin.Client) error {
			return c.ReadRange(context.Background(), "v1", 0, make([]byte, len(weights)), ignore)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			whole := fmt.Sprintf("HTTP/1.1 %s\r\nServer: x\r\nContent-Length: %d\r\n\r\n%s", c.status, len(c.body), c.body)
			g.Expect(c.call(serveAnswer(t, whole))).To(Succeed())
			for problem, text := range broken.Heads(whole) {
				g.Expect(c.call(serveAnswer(t, text))).NotTo(Succeed(), problem)
			}
			for _, text := range broken.CutHeads(whole) {
				g.Expect(c.call(serveAnswer(t, text))).NotTo(Succeed(), "%q", text)
			}
			unframed := "HTTP/1.1 " + c.status + "\r\n\r\n"
			for end := range len(c.body) {
				g.Expect(c.call(serveAnswer(t, unframed+c.body[:end]))).NotTo(Succeed(), "%q", c.body[:end])
			}
		})
	}
}
