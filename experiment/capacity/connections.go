package capacity

import (
	"context"
	"fmt"
	"net"
	"runtime"

	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

const idleConnections = 200

// memoryOfConnections measures the memory of an idle connection: both sides, including
// the stacks of their goroutines.
func memoryOfConnections(ctx context.Context) (Memory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Memory{}, fmt.Errorf("capacity: %w", err)
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, node.New(node.Identity{VM: receiver, Incarnation: firstIncarnation}, logging.Discard()))
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	pools := make([]*peers.Pool, idleConnections)
	defer discardAll(pools, listener.Addr().String())
	before := heapAndStacks()
	for i := range pools {
		pools[i] = peers.NewPool("127.0.0.1:0", peers.Security{})
		conn, err := pools[i].Get(listener.Addr().String())
		if err != nil {
			return Memory{}, fmt.Errorf("capacity: %w", err)
		}
		if _, err := conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: peers.ProbeKind}); err != nil {
			return Memory{}, fmt.Errorf("capacity: probe: %w", err)
		}
	}
	used := heapAndStacks() - before
	return Memory{Name: "connection, both sides", Items: idleConnections, Bytes: used / idleConnections}, nil
}

func discardAll(pools []*peers.Pool, addr string) {
	for _, pool := range pools {
		if pool == nil {
			continue
		}
		if conn, err := pool.Get(addr); err == nil {
			pool.Discard(conn)
		}
	}
}

// heapAndStacks returns the bytes of live heap objects and goroutine stacks.
func heapAndStacks() float64 {
	heap := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + float64(stats.StackInuse)
}
