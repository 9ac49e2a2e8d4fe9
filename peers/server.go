package peers

import (
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/zinniaseam/zinniaseam/connlimit"
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
	// maxConnections bounds the connections of a peer listener: several for each process of a
	// large deployment. Further ones are closed.
	maxConnections = 512
)

// Limit returns a listener for the server that bounds the open connections.
func Limit(listener net.Listener) net.Listener {
	return connlimit.NewStrict(maxConnections).Listen(listener)
}

// NewServer returns a gRPC server that limits the size of messages, closes the
// connections of unresponsive clients, and accepts only the connections and calls
// that security allows. A panic in a handler ends its call only.
func NewServer(security Security) *grpc.Server {
	keys := newKeyChecker(security)
	return grpc.NewServer(
		grpc.Creds(newTransport(security)),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ChainUnaryInterceptor(recoverUnary, keys.unary),
		grpc.ChainStreamInterceptor(recoverStream, keys.stream),
		grpc.MaxHeaderListSize(maxMetadataBytes),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(StreamWindowBytes),
		grpc.StaticConnWindowSize(ConnWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingAfter, Timeout: serverPingTimeout}),
	)
}
