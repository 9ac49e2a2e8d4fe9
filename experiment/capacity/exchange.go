package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Exchange is the traffic between idle processes that exchange endpoint states.
type Exchange struct {
	Zones     int `json:"zones"`
	Entries   int `json:"entries"`
	Endpoints int `json:"endpoints"`
	// BetweenPerEntry is the number of exchanges a second that an entry opens with
	// other entries.
	BetweenPerEntry float64 `json:"exchangesBetweenEntriesPerEntry"`
	// ReportsPerEndpoint is the number of exchanges a second that an endpoint process
	// opens.
	ReportsPerEndpoint float64 `json:"reportsPerEndpoint"`
	// BetweenBytes and ReportBytes are the encoded size of request and reply of one
	// exchange.
	BetweenBytes float64 `json:"bytesPerExchangeBetweenEntries"`
	ReportBytes  float64 `json:"bytesPerReport"`
	// FramingBytes is the number of other bytes on the connection for one exchange.
	FramingBytes float64 `json:"framingBytesPerExchange"`
	// EntryBytesPerSecond is the number of bytes that an entry sends and receives.
	EntryBytesPerSecond float64 `json:"entryBytesPerSecond"`
	// FewestKnown is the lowest number of endpoints that were alive in the view of one
	// entry at any time, OldestSeconds the highest age of a state in that view.
	FewestKnown   int     `json:"fewestKnownEndpoints"`
	OldestSeconds float64 `json:"oldestStateSeconds"`
	// MicrosPerExchange is the processor time of both sides of an exchange.
	MicrosPerExchange float64 `json:"microsecondsPerExchange"`
}

const (
	exchangeWarmup = 8 * time.Second
	exchangeSpan   = 16 * time.Second
	// viewPoll is the interval at which the endpoints in an entry's view are counted.
	viewPoll = 100 * time.Millisecond
	// zoneEntries and zoneEndpoints are the size of one of 14 zones in the fleet
	// planned for two years ahead.
	zoneEntries   = 24
	zoneEndpoints = 164
	// reportEvery is the interval at which an endpoint process increments the sequence
	// of an unchanged state.
	reportEvery = 2 * time.Second
)

func measureExchange(ctx context.Context, quick bool) ([]Exchange, error) {
	cases := []Exchange{
		{Zones: 2, Entries: 4}, {Zones: 2, Entries: 16}, {Zones: 2, Entries: 2 * zoneEntries},
		{Zones: 1, Entries: 8, Endpoints: 16}, {Zones: zoneCount, Entries: 8 * zoneCount, Endpoints: 16 * zoneCount},
		{Zones: 1, Entries: zoneEntries}, {Zones: 1, Entries: zoneEntries, Endpoints: zoneEndpoints},
		{Zones: 2, Entries: 2 * zoneEntries, Endpoints: 2 * zoneEndpoints},
	}
	warmup, span := exchangeWarmup, exchangeSpan
	if quick {
		cases = []Exchange{{Zones: 1, Entries: 4}, {Zones: 1, Entries: 4, Endpoints: 8}, {Zones: 2, Entries: 8, Endpoints: 16}}
		warmup, span = time.Second, 2*time.Second
	}
	for i := range cases {
		if err := measureExchangeOf(ctx, &cases[i], warmup, span); err != nil {
			return nil, err
		}
	}
	return cases, nil
}

// traffic counts the exchanges and bytes at all listeners of a measurement.
type traffic struct {
	wire          atomic.Int64
	between       atomic.Int64
	reports       atomic.Int64
	betweenBytes  atomic.Int64
	reportedBytes atomic.Int64
}

func (t *traffic) reset() {
	for _, counter := range []*atomic.Int64{&t.wire, &t.between, &t.reports, &t.betweenBytes, &t.reportedBytes} {
		counter.Store(0)
	}
}

// count is a gRPC server interceptor that counts exchanges and their encoded bytes.
func (t *traffic) count(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	reply, err := handle(ctx, request)
	received, isExchange := request.(*peerpb.Knowledge)
	replied, _ := reply.(*peerpb.Knowledge)
	if !isExchange {
		return reply, err
	}
	size := int64(proto.Size(received) + proto.Size(replied))
	if received.GetFromEntry() {
		t.between.Add(1)
		t.betweenBytes.Add(size)
	} else {
		t.reports.Add(1)
		t.reportedBytes.Add(size)
	}
	return reply, err
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureExchangeOf runs nodes with a common VM list and fills in row.
func measureExchangeOf(ctx context.Context, row *Exchange, warmup, span time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	t := &traffic{}
	list := vms(row.Entries, row.Endpoints, row.Zones)
	listeners, err := listenAll(list, t)
	if err != nil {
		return err
	}
	nodes := make([]*node.Node, len(list))
	for i, listener := range listeners {
		nodes[i] = startNode(ctx, &running, list, i, listener, t)
	}
	if err := kernel.Sleep(ctx, warmup); err != nil {
		return err
	}
	t.reset()
	before := processorTime()
	if err := row.watchView(ctx, nodes[0], span); err != nil {
		return err
	}
	row.fill(t, processorTime()-before, span)
	return nil
}

// watchView samples the view of one entry for a span.
func (row *Exchange) watchView(ctx context.Context, n *node.Node, span time.Duration) error {
	row.FewestKnown = len(n.Alive())
	for end := time.Now().Add(span); time.Now().Before(end); {
		alive := n.Alive()
		row.FewestKnown = min(row.FewestKnown, len(alive))
		for _, e := range alive {
			row.OldestSeconds = max(row.OldestSeconds, time.Since(e.LastSeen).Seconds())
		}
		if err := kernel.Sleep(ctx, viewPoll); err != nil {
			return err
		}
	}
	return nil
}

func (row *Exchange) fill(t *traffic, used, span time.Duration) {
	between, reports := float64(t.between.Load()), float64(t.reports.Load())
	betweenBytes, reportedBytes := float64(t.betweenBytes.Load()), float64(t.reportedBytes.Load())
	entries, seconds := float64(row.Entries), span.Seconds()
	row.BetweenPerEntry = between / entries / seconds
	row.BetweenBytes = betweenBytes / max(1, between)
	row.FramingBytes = (float64(t.wire.Load()) - betweenBytes - reportedBytes) / max(1, between+reports)
	row.MicrosPerExchange = float64(used.Microseconds()) / max(1, between+reports)
	if row.Endpoints > 0 {
		row.ReportsPerEndpoint = reports / float64(row.Endpoints) / seconds
		row.ReportBytes = reportedBytes / max(1, reports)
	}
	// An exchange between entries counts for two entries, a report for one.
	ofEntries := 2*between*(row.BetweenBytes+row.FramingBytes) + reports*(row.ReportBytes+row.FramingBytes)
	row.EntryBytesPerSecond = ofEntries / entries / seconds
}

// listenAll opens a listener for each VM and sets its address in the list.
func listenAll(list []core.VM, t *traffic) ([]net.Listener, error) {
	listeners := make([]net.Listener, len(list))
	for i := range list {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		listeners[i] = countingListener{Listener: listener, bytes: &t.wire}
		list[i].PeerAddr = listener.Addr().String()
	}
	return listeners, nil
}

// startNode starts the node that entry and endpoint processes share, for one VM of the
// list.
func startNode(ctx context.Context, running *sync.WaitGroup, list []core.VM, index int, listener net.Listener, t *traffic) *node.Node {
	vm := list[index]
	n := node.New(node.Identity{
		VM: vm.ID, Role: vm.Role, Zone: vm.Zone, Region: vm.Region, PeerAddr: vm.PeerAddr, LocalAddr: vm.PeerAddr,
		Incarnation: firstIncarnation + uint64(index),
	}, logging.Discard())
	if vm.Role == core.RoleEndpoint {
		state := endpointState(index, vm.PeerAddr, 0)
		state.Vm, state.Zone = string(vm.ID), string(vm.Zone)
		n.SetEndpointSource(reports(state))
	}
	n.UpdateVMs(platform.VMListReply{Revision: 1, VMs: list})
	server := grpc.NewServer(grpc.UnaryInterceptor(t.count))
	peerpb.RegisterPeerServer(server, n)
	start := func(run func(context.Context) error) {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = run(ctx)
		}()
	}
	start(n.Run)
	start(n.WatchDocuments)
	start(n.Pool.Run)
	start(func(context.Context) error { return server.Serve(listener) })
	context.AfterFunc(ctx, server.Stop)
	return n
}

// reports returns a function that reports an unchanged endpoint state in the same way
// as an endpoint process.
func reports(state *peerpb.EndpointState) func() *peerpb.EndpointState {
	var at time.Time
	return func() *peerpb.EndpointState {
		if now := time.Now(); now.Sub(at) >= reportEvery {
			at = now
			state = proto.CloneOf(state)
			state.Sequence++
		}
		return state
	}
}
