package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// serveStreams serves handle and counts the connections of the returned client.
func serveStreams(t *testing.T, handle http.HandlerFunc) (*engine.Client, *atomic.Int32) {
	t.Helper()
	var dialled atomic.Int32
	server := httptest.NewUnstartedServer(handle)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dialled.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return engine.NewClient(server.URL), &dialled
}

// answer writes one token and the end of the stream.
func answer(writer http.ResponseWriter) {
	_, _ = io.WriteString(writer, "data: {\"system_fingerprint\":\"v1\"}\n\ndata: [DONE]\n\n")
	_ = http.NewResponseController(writer).Flush()
}

// read reads a stream to its end, as the endpoint process does.
func read(ctx context.Context, client *engine.Client) error {
	stream, err := client.Chat(ctx, []byte("{}"))
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err != nil {
			return err
		}
	}
}

func TestAnsweredStreamsLeaveTheirConnection(t *testing.T) {
	g := NewWithT(t)
	client, dialled := serveStreams(t, func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer)
		// The answer ends some time after its last event.
		time.Sleep(time.Millisecond)
	})
	for range 5 {
		ctx, cancel := context.WithCancel(context.Background())
		g.Expect(read(ctx, client)).To(MatchError(io.EOF))
		cancel()
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(dialled.Load()).To(BeEquivalentTo(1))
}

func TestAnEngineThatDoesNotEndAnAnswerIsLeft(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	client, _ := serveStreams(t, func(writer http.ResponseWriter, request *http.Request) {
		answer(writer)
		<-request.Context().Done()
		close(ended)
	})
	g.Expect(read(context.Background(), client)).To(MatchError(io.EOF))
	g.Eventually(ended, 2*engine.EndTimeout).Should(BeClosed())
}

func TestACallerThatGivesUpEndsItsStream(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	client, _ := serveStreams(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, "data: {\"system_fingerprint\":\"v1\"}\n\n")
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Chat(ctx, []byte("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	defer stream.Close()
	_, err = stream.Next()
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	_, err = stream.Next()
	g.Expect(errors.Is(err, engine.ErrTruncated)).To(BeTrue())
	g.Eventually(ended).Should(BeClosed())
}
