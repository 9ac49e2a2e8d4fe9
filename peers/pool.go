// Package peers manages one gRPC connection to each peer process and replaces
// unresponsive connections.
//
// The health of a connection is determined by progress, not by its state. When
// calls are open on it and no message has arrived for SuspectAfter, it is probed.
// If the probe gets no reply within ProbeTimeout, the connection is discarded: its
// calls end with ErrUnresponsive, and the next call dials a new connection.
package peers

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"

	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Timeouts and limits of connections.
const (
	// SuspectAfter is how long a connection with open calls may receive no message
	// before it is probed.
	SuspectAfter = 600 * time.Millisecond
	// ProbeTimeout bounds the wait for the reply to a probe.
	ProbeTimeout = 500 * time.Millisecond
	// inspectInterval is how often connections are checked.
	inspectInterval = 200 * time.Millisecond
	// ConnectTimeout bounds one dial.
	ConnectTimeout = time.Second
	// dialBackoffBase, dialBackoffMultiplier, dialBackoffJitter and dialBackoffMax are
	// the backoff between dials of one connection.
	dialBackoffBase       = 50 * time.Millisecond
	dialBackoffMultiplier = 1.6
	dialBackoffJitter     = 0.2
	dialBackoffMax        = time.Second
	// MaxMessageBytes bounds one message between processes.
	MaxMessageBytes = 8 << 20
	// StreamWindowBytes and ConnWindowBytes are the flow-control windows of a call
	// and of a connection. They are static because gRPC's dynamic window estimation
	// sends a ping for nearly every token of a stream.
	StreamWindowBytes = 4 << 20
	ConnWindowBytes   = 16 << 20
	// maxTimeouts is the number of consecutive short calls without a reply after
	// which a connection is discarded.
	maxTimeouts = 2
	// IdleAfter is how long a connection may be unused before it is closed.
	IdleAfter = 2 * time.Minute
)

// ErrUnreachable means that no connection to the peer could be established.
var ErrUnreachable = errors.New("peers: peer cannot be reached")

// ErrUnresponsive is the cancellation cause of calls whose connection was discarded.
var ErrUnresponsive = errors.New("peers: connection is unresponsive")

var discardedCount = expvar.NewInt("peers_discarded")

// Conn is a connection to a peer. It is safe for concurrent use.
type Conn struct {
	Addr         string
	cc           *grpc.ClientConn
	ctx          context.Context
	discard      context.CancelCauseFunc
	lastProgress atomic.Int64 // last message from the peer, in Unix nanoseconds
	lastUse      atomic.Int64 // last Get or begin or end of a call, in Unix nanoseconds
	openCalls    atomic.Int32
	timeouts     atomic.Int32 // consecutive short calls without a reply
	probing      atomic.Bool
	// suspectAfter overrides SuspectAfter unless it is 0.
	suspectAfter atomic.Int64
}

// Endpoint returns a client for the service of endpoint processes.
func (c *Conn) Endpoint() peerpb.EndpointClient { return peerpb.NewEndpointClient(c.cc) }

// Agent returns a client for the service of agents.
func (c *Conn) Agent() peerpb.AgentClient { return peerpb.NewAgentClient(c.cc) }

// Gateway returns a client for the service of gateways.
func (c *Conn) Gateway() peerpb.GatewayClient { return peerpb.NewGatewayClient(c.cc) }

// Peer returns a client for the exchange service of all processes.
func (c *Conn) Peer() peerpb.PeerClient { return peerpb.NewPeerClient(c.cc) }

// Ready waits until the connection is established, for at most ConnectTimeout. It
// returns ErrUnreachable otherwise; in that case nothing was sent.
func (c *Conn) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	for {
		state := c.cc.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return ErrUnreachable
		case connectivity.Idle:
			c.cc.Connect()
		}
		if !c.cc.WaitForStateChange(ctx, state) {
			return ErrUnreachable
		}
	}
}

// Discarded reports whether the connection was closed as unresponsive or idle.
func (c *Conn) Discarded() bool { return c.ctx.Err() != nil }

// SetSuspectAfter overrides SuspectAfter for this connection. It is for peers that
// send messages rarely.
func (c *Conn) SetSuspectAfter(wait time.Duration) { c.suspectAfter.Store(int64(wait)) }

func (c *Conn) suspectTime() time.Duration {
	if wait := c.suspectAfter.Load(); wait > 0 {
		return time.Duration(wait)
	}
	return SuspectAfter
}

// RecordProgress records that a message arrived from the peer.
func (c *Conn) RecordProgress() {
	c.lastProgress.Store(time.Now().UnixNano())
	c.timeouts.Store(0)
}

// Begin registers a call on the connection. The returned context is also canceled
// when the connection is discarded. The returned function must be called when the
// call has ended.
func (c *Conn) Begin(ctx context.Context) (context.Context, func()) {
	now := time.Now().UnixNano()
	c.lastUse.Store(now)
	if c.openCalls.Add(1) == 1 {
		c.lastProgress.Store(now)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(c.ctx, func() { cancel(ErrUnresponsive) })
	return callCtx, func() {
		detach()
		cancel(nil)
		c.openCalls.Add(-1)
		c.lastUse.Store(time.Now().UnixNano())
	}
}

// Pool holds the connections of one process. It is safe for concurrent use.
type Pool struct {
	local     *net.TCPAddr
	key       peerKey
	transport credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*Conn
}

// NewPool returns an empty pool. Its connections use the IP address of localAddr,
// an address with port, as their source address; if localAddr is empty, the system
// chooses one. security configures the protection of connections and calls.
func NewPool(localAddr string, security Security) *Pool {
	pool := &Pool{conns: map[string]*Conn{}, key: peerKey(security.Key), transport: newTransport(security)}
	if addr, err := netip.ParseAddrPort(localAddr); err == nil {
		pool.local = &net.TCPAddr{IP: addr.Addr().AsSlice()}
	}
	return pool
}

// Get returns the connection to the process at addr and creates it if necessary.
// It does not wait until the connection is established; see Conn.Ready.
func (p *Pool) Get(addr string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[addr]; ok {
		conn.lastUse.Store(time.Now().UnixNano())
		return conn, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, p.dialOptions()...)
	if err != nil {
		return nil, fmt.Errorf("peers: %s: %w", addr, err)
	}
	conn := &Conn{Addr: addr, cc: cc}
	conn.ctx, conn.discard = context.WithCancelCause(context.Background())
	now := time.Now().UnixNano()
	conn.lastProgress.Store(now)
	conn.lastUse.Store(now)
	p.conns[addr] = conn
	return conn, nil
}

func (p *Pool) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithPerRPCCredentials(p.key),
		grpc.WithTransportCredentials(p.transport),
		grpc.WithContextDialer(p.dialTCP),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStaticStreamWindowSize(StreamWindowBytes),
		grpc.WithStaticConnWindowSize(ConnWindowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialBackoffBase, Multiplier: dialBackoffMultiplier, Jitter: dialBackoffJitter, MaxDelay: dialBackoffMax},
			MinConnectTimeout: ConnectTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}
}

func (p *Pool) dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: ConnectTimeout}
	if p.local != nil {
		d.LocalAddr = p.local
	}
	return d.DialContext(ctx, "tcp", addr)
}

// RecordTimeout records that a short call got no reply. After maxTimeouts of them
// in a row, the connection is discarded.
func (p *Pool) RecordTimeout(conn *Conn) {
	if conn.timeouts.Add(1) >= maxTimeouts {
		discardedCount.Add(1)
		p.Discard(conn)
	}
}

// Discard removes and closes a connection. Its open calls end with ErrUnresponsive.
func (p *Pool) Discard(conn *Conn) {
	p.mu.Lock()
	if p.conns[conn.Addr] == conn {
		delete(p.conns, conn.Addr)
	}
	p.mu.Unlock()
	conn.discard(ErrUnresponsive)
	conn.cc.Close()
}

// Run probes suspect connections and closes idle ones until ctx is done. It then
// closes all connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(inspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			return ctx.Err()
		case now := <-ticker.C:
			p.inspect(ctx, now)
		}
	}
}

func (p *Pool) inspect(ctx context.Context, now time.Time) {
	for _, conn := range p.snapshot() {
		idle := now.Sub(time.Unix(0, conn.lastUse.Load()))
		quiet := now.Sub(time.Unix(0, conn.lastProgress.Load()))
		open := conn.openCalls.Load()
		switch {
		case open == 0 && idle > IdleAfter:
			p.Discard(conn)
		case open > 0 && quiet > conn.suspectTime() && conn.probing.CompareAndSwap(false, true):
			go p.probe(ctx, conn)
		}
	}
}

// probe sends a request with an empty result over a suspect connection and discards
// the connection if it gets no reply.
func (p *Pool) probe(ctx context.Context, conn *Conn) {
	defer conn.probing.Store(false)
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	_, err := conn.Peer().Timeline(probeCtx, &peerpb.TimelineRequest{Kind: ProbeKind})
	if err == nil {
		conn.RecordProgress()
		return
	}
	if ctx.Err() == nil {
		discardedCount.Add(1)
		p.Discard(conn)
	}
}

// ProbeKind is the timeline kind that a probe requests. No event has it.
const ProbeKind = "probe"

func (p *Pool) snapshot() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*Conn, 0, len(p.conns))
	for _, conn := range p.conns {
		conns = append(conns, conn)
	}
	return conns
}

func (p *Pool) closeAll() {
	for _, conn := range p.snapshot() {
		p.Discard(conn)
	}
}
