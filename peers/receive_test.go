package peers

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// slowPeer fails the kind "wait" when its call has been canceled, and answers others at once.
type slowPeer struct{ peerpb.UnimplementedPeerServer }

func (slowPeer) Timeline(ctx context.Context, request *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	if request.GetKind() == "wait" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerpb.TimelineReply{}, nil
}

// serveReceiver starts a server that is bounded by the returned receiver.
func serveReceiver(t *testing.T) (received *receiver, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	received = newReceiver(newKeyChecker(Security{}), logging.NewLimited(logging.Discard()))
	server := newServer(Security{}, received)
	peerpb.RegisterPeerServer(server, slowPeer{})
	limited := Limit(listener, 0, logging.Discard())
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(server.Stop)
	return received, listener.Addr().String()
}

const (
	callTimeout  = 20 * time.Second
	releasedSoon = 10 * time.Second
)

func call(address, kind string, timeout time.Duration) error {
	pool := NewPool("", Security{})
	conn, err := pool.Get(address)
	if err != nil {
		return err
	}
	defer pool.Discard(conn)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err = conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: kind})
	return err
}

// Guards against a bound that rejects what the processes of a large deployment send, and against
// memory that stays taken after calls and connections have ended, in whichever way.
func TestTheMemoryForReceivedMessagesIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	received, address := serveReceiver(t)
	g.Expect(call(address, strings.Repeat("x", MaxMessageBytes-1000), callTimeout)).To(Succeed(), "the largest message")
	const messageBytes = 1 << 20
	for range 2 * receiveBytes / messageBytes {
		g.Expect(call(address, strings.Repeat("x", messageBytes), callTimeout)).To(Succeed())
	}
	var calls sync.WaitGroup
	for range MaxConnections / 2 {
		calls.Go(func() { g.Expect(call(address, "x", callTimeout)).To(Succeed()) })
		calls.Go(func() { g.Expect(call(address, "wait", 100*time.Millisecond)).NotTo(Succeed()) })
	}
	calls.Wait()
	for range 100 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		conn.Close()
	}
	g.Eventually(received.budget.Used, releasedSoon).Should(BeZero())
}

// Guards against connections that are counted before they have sent anything: one whose settings
// cannot be written any more is not closed by the transport.
func TestAConnectionWithoutACallTakesNoMemory(t *testing.T) {
	g := NewWithT(t)
	received := newReceiver(newKeyChecker(Security{}), logging.NewLimited(logging.Discard()))
	client, server := net.Pipe()
	defer client.Close()
	conn, _, err := receivingTransport{newTransport(Security{}), received}.ServerHandshake(server)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.(*receivingConn).holder).To(BeNil())
}
