package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// emptyPeer serves the peer service with empty replies.
type emptyPeer struct{ peerpb.UnimplementedPeerServer }

func (emptyPeer) Exchange(context.Context, *peerpb.Knowledge) (*peerpb.Knowledge, error) {
	return &peerpb.Knowledge{}, nil
}

func TestOnlyCallsWithThePeerKeyAreTaken(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := peers.NewServer(peers.Security{Key: "a-key-of-the-deployment"}, logging.Discard())
	peerpb.RegisterPeerServer(server, emptyPeer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	for key, want := range map[string]codes.Code{
		"a-key-of-the-deployment": codes.OK, "another-key-of-some-length": codes.Unauthenticated, "": codes.Unauthenticated,
	} {
		conn, err := peers.NewPool("", peers.Security{Key: key}).Get(listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = conn.Peer().Exchange(ctx, &peerpb.Knowledge{})
		cancel()
		g.Expect(status.Code(err)).To(Equal(want), key)
	}
}
