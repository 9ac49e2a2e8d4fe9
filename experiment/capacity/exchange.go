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

// Exchange is the traffic between processes that exchange knowledge and serve nothing.
type Exchange struct {
	Zones     int `json:"zones"`
	Entries   int `json:"entries"`
	Endpoints int `json:"endpoints"`
	// BetweenPerEntry is the exchanges that one entry opens with other entries a second.
	BetweenPerEntry float64 `json:"exchangesBetweenEntriesPerEntry"`
	// ReportsPerEndpoint is the exchanges that one endpoint process opens a second.
	ReportsPerEndpoint float64 `json:"reportsPerEndpoint"`
	// BetweenBytes and ReportBytes are request and reply of one exchange, encoded.
	BetweenBytes float64 `json:"bytesPerExchangeBetweenEntries"`
	ReportBytes  float64 `json:"bytesPerReport"`
	// FramingBytes is what a connection carries for one exchange beyond that.
	FramingBytes float64 `json:"framingBytesPerExchange"`
	// EntryBytesPerSecond is what one entry sends and receives.
	EntryBytesPerSecond float64 `json:"entryBytesPerSecond"`
	// FewestKnown is the least number of endpoints that one entry took for alive
	// at a time, OldestSeconds the greatest age of a state among them.
	FewestKnown   int     `json:"fewestKnownEndpoints"`
	OldestSeconds float64 `json:"oldestStateSeconds"`
	// MicrosPerExchange is the processor time of both sides.
	MicrosPerExchange float64 `json:"microsecondsPerExchange"`
}

const (
	exchangeWarmup = 8 * time.Second
	exchangeSpan   = 16 * time.Second
	// knowledgePoll is how often the endpoints that an entry knows are counted.
	knowledgePoll = 100 * time.Millisecond
	// zoneEntries and zoneEndpoints are one of 14 zones at the two-year size.
	zoneEntries   = 24
	zoneEndpoints = 164
	// reportEvery is how often an endpoint process with nothing new counts its state as new.
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

// traffic counts what all listeners of one measurement carry.
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

// count is a gRPC interceptor.
func (t *traffic) count(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	reply, err := handle(ctx, request)
	told, isExchange := request.(*peerpb.Knowledge)
	answered, _ := reply.(*peerpb.Knowledge)
	if !isExchange {
		return reply, err
	}
	size := int64(proto.Size(told) + proto.Size(answered))
	if told.GetFromEntry() {
		t.between.Add(1)
		t.betweenBytes.Add(size)
	} else {
		t.reports.Add(1)
		t.reportedBytes.Add(size)
	}
	return reply, err
}

// countingListener counts the bytes of its connections, both ways.
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

// measureExchangeOf runs nodes that know of each other and fills in row.
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
	if err := row.watch(ctx, nodes[0], span); err != nil {
		return err
	}
	row.fill(t, processorTime()-before, span)
	return nil
}

// watch looks at what one entry knows, for a span.
func (row *Exchange) watch(ctx context.Context, n *node.Node, span time.Duration) error {
	row.FewestKnown = len(n.Alive())
	for end := time.Now().Add(span); time.Now().Before(end); {
		alive := n.Alive()
		row.FewestKnown = min(row.FewestKnown, len(alive))
		for _, e := range alive {
			row.OldestSeconds = max(row.OldestSeconds, time.Since(e.LastSeen).Seconds())
		}
		if err := kernel.Sleep(ctx, knowledgePoll); err != nil {
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
	// An exchange between entries is traffic of two entries, a report of one.
	ofEntries := 2*between*(row.BetweenBytes+row.FramingBytes) + reports*(row.ReportBytes+row.FramingBytes)
	row.EntryBytesPerSecond = ofEntries / entries / seconds
}

// listenAll opens one listener a VM and puts its address into the list.
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

// startNode runs the shared part of a process for one VM of the list.
func startNode(ctx context.Context, running *sync.WaitGroup, list []core.VM, index int, listener net.Listener, t *traffic) *node.Node {
	vm := list[index]
	n := node.New(node.Identity{
		VM: vm.ID, Role: vm.Role, Zone: vm.Zone, Region: vm.Region, PeerAddr: vm.PeerAddr, LocalAddr: vm.PeerAddr,
		Incarnation: startNumber + uint64(index),
	}, logging.Discard())
	if vm.Role == core.RoleEndpoint {
		state := endpointState(index, vm.PeerAddr, 0)
		state.Vm, state.Zone = string(vm.ID), string(vm.Zone)
		n.SetEndpointSource(reports(state))
	}
	n.UpdateVMs(platform.VMListReply{Revision: 1, VMs: list})
	server := grpc.NewServer(grpc.UnaryInterceptor(t.count))
	peerpb.RegisterPeerServer(server, n)
	duty := func(run func(context.Context) error) {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = run(ctx)
		}()
	}
	duty(n.Run)
	duty(n.WatchDocuments)
	duty(n.Pool.Run)
	duty(func(context.Context) error { return server.Serve(listener) })
	context.AfterFunc(ctx, server.Stop)
	return n
}

// reports returns the state of an endpoint with nothing new to say, as its process reports it.
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
