package peers

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/zinniaseam/zinniaseam/connlimit"
	"github.com/zinniaseam/zinniaseam/logging"
)

const (
	// serverPingAfter is how long a client may send nothing before the server pings
	// it; serverPingTimeout bounds the wait for the reply.
	serverPingAfter   = 3 * time.Second
	serverPingTimeout = time.Second
	// handshakeTimeout bounds the handshakes of an accepted connection.
	handshakeTimeout = 5 * time.Second
	// maxMetadataBytes bounds the metadata of a call, which holds a key. The default is 16 MiB.
	maxMetadataBytes = 64 << 10
	// MaxConnections bounds the connections of a peer listener: several for each process of a
	// large deployment.
	MaxConnections = 512
)

// Limit returns a listener for the server that bounds the open connections to max, or to
// MaxConnections if max is 0. Further ones take the place of those without a call and of silent ones.
func Limit(listener net.Listener, max int, logger *log.Logger) net.Listener {
	if max <= 0 {
		max = MaxConnections
	}
	limit := connlimit.NewClosingSilent(max)
	limit.LogTo(logging.NewLimited(logger), "peers")
	return limit.Listen(listener)
}

// NewServer returns a gRPC server that limits the size of messages and the memory for what its
// clients send, closes the connections of unresponsive clients, and accepts only the connections
// and calls that security allows. A panic in a handler ends its call only.
func NewServer(security Security, logger *log.Logger) *grpc.Server {
	return newServer(security, newReceiver(newKeyChecker(security), logging.NewLimited(logger)))
}

func newServer(security Security, received *receiver) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(receivingTransport{newTransport(security), received}),
		grpc.InTapHandle(received.admit),
		grpc.StatsHandler(received),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.UnaryInterceptor(recoverUnary),
		grpc.StreamInterceptor(recoverStream),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxMetadataBytes),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(StreamWindowBytes),
		grpc.StaticConnWindowSize(ConnWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingAfter, Timeout: serverPingTimeout}),
	)
}
