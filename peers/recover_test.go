package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// fragile panics at requests of one kind.
type fragile struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedAgentServer
}

func (fragile) Timeline(_ context.Context, request *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	if request.GetKind() == "bad" {
		panic("malformed")
	}
	return &peerpb.TimelineReply{}, nil
}

func (fragile) Follow(stream grpc.BidiStreamingServer[peerpb.GatewayNews, peerpb.EngineNews]) error {
	message, err := stream.Recv()
	if err != nil {
		return err
	}
	return stream.Send([]*peerpb.EngineNews{{}}[len(message.GetGateway())])
}

func TestAMessageUnderWhichAHandlerPanicsEndsItsCallAndNotTheProcess(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := peers.NewServer(peers.Security{}, logging.Discard())
	peerpb.RegisterPeerServer(server, fragile{})
	peerpb.RegisterAgentServer(server, fragile{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := peers.NewPool("", peers.Security{}).Get(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())

	_, err = conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: "bad"})
	g.Expect(status.Code(err)).To(Equal(codes.Internal))
	stream, err := conn.Agent().Follow(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stream.Send(&peerpb.GatewayNews{Gateway: "g"})).To(Succeed())
	_, err = stream.Recv()
	g.Expect(status.Code(err)).To(Equal(codes.Internal))
	_, err = conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: "good"})
	g.Expect(err).NotTo(HaveOccurred())
}
