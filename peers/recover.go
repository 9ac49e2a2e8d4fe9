package peers

import (
	"context"
	"expvar"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var panicCount = expvar.NewInt("peers_panics")

// Recovered is deferred around the handling of messages from other processes. It turns a
// panic into an error, so that one message ends its own call and not the process. Locks that
// the handler holds must be released by deferred calls.
func Recovered(method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	panicCount.Add(1)
	log.Error("Handling a message from another process panicked; its call ends.", "method", method, "panic", cause, "stack", string(debug.Stack()))
	*err = status.Errorf(codes.Internal, "panic in %s: %v", method, cause)
}

func recoverUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer Recovered(info.FullMethod, &err)
	return handle(ctx, request)
}

func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer Recovered(info.FullMethod, &err)
	return handle(server, stream)
}
