package peers

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

const (
	// serverPingAfter is how long a client may send nothing before the server pings
	// it; serverPingTimeout bounds the wait for the reply.
	serverPingAfter   = 3 * time.Second
	serverPingTimeout = time.Second
	// handshakeTimeout bounds the handshakes of an accepted connection.
	handshakeTimeout = 5 * time.Second
)

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
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(StreamWindowBytes),
		grpc.StaticConnWindowSize(ConnWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingAfter, Timeout: serverPingTimeout}),
	)
}
