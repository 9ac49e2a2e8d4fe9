package peers

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/connlimit"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/membudget"
)

const (
	// receiveBytes bounds the memory for what the clients of a server have sent: a small message
	// on each connection. It is a fifth of the memory of the smallest machine in known deployments.
	receiveBytes = MaxConnections * membudget.SmallBytes
	// maxStreams bounds the open calls of a connection. A process sends all its calls to another
	// one on the same connection.
	maxStreams = 1024
	// callBytes is what an open call takes beside its metadata: a goroutine and the transport's
	// state. Metadata is held encoded and decoded, with fieldBytes for each field.
	callBytes      = 8 << 10
	metadataCopies = 2
	fieldBytes     = 32
	// frameBytes is what a frame of an incomplete message takes beside its content, which can be
	// a single byte.
	frameBytes = 128
)

// errReceiveMemory ends a connection whose client has sent more than fits into the memory.
var errReceiveMemory = errors.New("peers: no memory for what the client has sent")

// rejectedMemory counts calls that were rejected and connections that were closed because the
// memory for received data was used up.
var rejectedMemory = expvar.NewMap("peers_rejected_memory")

// receiver bounds the memory that the clients of a server use: open calls, and messages that
// have not been received completely. gRPC bounds the size of one message, but neither the number
// of calls nor what all connections hold; its flow control extends a call's window up to the
// announced size of the message.
type receiver struct {
	keys   *keyChecker
	budget *membudget.Budget
	lines  *logging.Limited
}

func newReceiver(keys *keyChecker, lines *logging.Limited) *receiver {
	return &receiver{keys: keys, budget: membudget.New(receiveBytes), lines: lines}
}

// rejected counts and logs a call or a connection that finds no memory.
func (r *receiver) rejected(kind string, client net.Addr) {
	rejectedMemory.Add(kind, 1)
	r.lines.Info("No memory for what clients have sent; rejecting a call or closing a connection.", "kind", kind, "client", client, "memoryUsed", r.budget.Used(), "memoryCapacity", r.budget.Capacity())
}

// admit is called when the head of a call has been received, before its message is read.
func (r *receiver) admit(ctx context.Context, info *tap.Info) (context.Context, error) {
	if err := r.keys.authenticate(info.Header); err != nil {
		return nil, err
	}
	conn := connOf(ctx)
	if conn == nil {
		return ctx, nil
	}
	size := callSize(info.Header)
	if !conn.beginCall(size) {
		r.rejected("call", conn.Conn.RemoteAddr())
		return nil, status.Error(codes.ResourceExhausted, "no memory for a further call")
	}
	context.AfterFunc(ctx, func() { conn.endCall(size) })
	return ctx, nil
}

func callSize(header metadata.MD) int64 {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return callBytes + metadataCopies*int64(size)
}

// receiver is a stats.Handler, which is told of each complete message.
var _ stats.Handler = (*receiver)(nil)

// TagRPC implements stats.Handler.
func (r *receiver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (r *receiver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (r *receiver) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (r *receiver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if message, ok := event.(*stats.InPayload); ok {
		if conn := connOf(ctx); conn != nil {
			conn.messageReceived(int64(message.WireLength))
		}
	}
}

// connOf returns the connection of a call, or nil if it is not bounded.
func connOf(ctx context.Context) *receivingConn {
	if client, ok := peer.FromContext(ctx); ok {
		if addr, ok := client.Addr.(clientAddr); ok {
			return addr.conn
		}
	}
	return nil
}

// receivingTransport adds the bounds of a receiver to the connections that a server accepts.
type receivingTransport struct {
	credentials.TransportCredentials
	receiver *receiver
}

// ServerHandshake implements credentials.TransportCredentials.
func (t receivingTransport) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := t.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	return &receivingConn{Conn: conn, accepted: raw, receiver: t.receiver}, info, nil
}

// clientAddr is the address of a client with its connection, by which calls find it.
type clientAddr struct {
	net.Addr
	conn *receivingConn
}

// receivingConn is a connection whose client uses a share of a receiver's memory.
type receivingConn struct {
	net.Conn
	// accepted is the connection before the handshake, which counts towards the listener's limit.
	accepted net.Conn
	receiver *receiver
	// frames is used by Read only.
	frames frameScanner

	mu sync.Mutex
	// holder is nil until the client has sent something that is held.
	holder *membudget.Holder
	closed bool
	calls  int
	// callBytes are those of the open calls, dataBytes and dataFrames those of messages that
	// are not complete.
	callBytes, dataBytes, dataFrames int64
}

// RemoteAddr implements net.Conn.
func (c *receivingConn) RemoteAddr() net.Addr { return clientAddr{c.Conn.RemoteAddr(), c} }

// Read implements net.Conn.
func (c *receivingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if frames, size := c.frames.scan(into[:n]); frames > 0 || size > 0 {
		if !c.dataReceived(frames, size) {
			c.receiver.rejected("data", c.Conn.RemoteAddr())
			return 0, errReceiveMemory
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *receivingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.holder != nil {
		c.holder.Close()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// giveUp makes the present read fail, after which the server closes the connection. The budget is
// locked.
func (c *receivingConn) giveUp() {
	rejectedMemory.Add("stalled", 1)
	c.receiver.lines.Info("The client has stalled and memory is short; closing the connection.", "client", c.Conn.RemoteAddr())
	_ = c.SetDeadline(time.Now())
}

func (c *receivingConn) dataReceived(frames, size int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataFrames += frames
	c.dataBytes += size
	if c.calls > 0 {
		connlimit.SetState(c.accepted, http.StateActive)
	}
	now := boottime.Now()
	if c.holder != nil {
		c.holder.Progress(int(size), now)
	}
	return c.resize(now)
}

// messageReceived takes a complete message of size bytes out of the incomplete ones, with the mean
// number of frames. Clients that end calls before their message is complete leave a
// remainder, which is dropped with the last open call.
func (c *receivingConn) messageReceived(size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if size >= c.dataBytes {
		c.dataFrames, c.dataBytes = 0, 0
	} else {
		c.dataFrames -= c.dataFrames * size / c.dataBytes
		c.dataBytes -= size
	}
	c.resize(boottime.Now())
}

func (c *receivingConn) beginCall(size int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callBytes += size
	if !c.resize(boottime.Now()) {
		c.callBytes -= size
		return false
	}
	c.calls++
	connlimit.SetState(c.accepted, http.StateActive)
	return true
}

func (c *receivingConn) endCall(size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.callBytes -= size
	if c.calls == 0 {
		c.dataFrames, c.dataBytes = 0, 0
		connlimit.SetState(c.accepted, http.StateIdle)
	}
	c.resize(boottime.Now())
}

// resize reports whether the memory for what the client has sent is available.
func (c *receivingConn) resize(now boottime.Instant) bool {
	size := c.callBytes + c.dataBytes + c.dataFrames*frameBytes
	switch {
	case c.closed:
		return size == 0
	case c.holder == nil && size == 0:
		return true
	case c.holder == nil:
		c.holder = c.receiver.budget.Open(membudget.Request, 0, now, c.giveUp)
		c.holder.Begin(now)
	}
	return c.holder.Resize(size, now)
}
