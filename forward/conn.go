package forward

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// readBuffer and writeBuffer are buffer sizes in bytes. A body that fits into
	// writeBuffer is written before the answer is awaited.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// maxRejected bounds the rejected requests of a connection that is kept.
	maxRejected = 64
)

// connState is the use state of a connection.
type connState uint8

const (
	connIdle connState = iota
	connBusy
	connDead
)

// conn is one connection to an endpoint. A goroutine waits for the first byte of each
// answer. Bytes that arrive on an idle connection belong to no request, so the
// connection is closed.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *headReader
	writer  *bufio.Writer
	// exchanges is the number of requests before the present one.
	exchanges int
	// rejected are the IDs of the requests that the endpoint has rejected on the connection.
	rejected []core.RequestID
	// keepFor is how long the connection is kept idle. It and idleSince are guarded by
	// the pool.
	keepFor   time.Duration
	idleSince time.Time

	mu    sync.Mutex
	state connState
	// readable receives nil at the first byte of an answer, or the error that ended the
	// connection.
	readable chan error
	// resume is sent to when a complete answer has been read, and closed when the
	// connection is closed during a call.
	resume chan struct{}
}

func newConn(pool *Pool, address string, raw net.Conn) *conn {
	c := &conn{
		pool: pool, address: address, raw: raw, keepFor: defaultIdle, state: connBusy,
		reader: newHeadReader(raw), writer: bufio.NewWriterSize(raw, writeBuffer),
		readable: make(chan error, 1), resume: make(chan struct{}, 1),
	}
	go c.await()
	return c
}

// await reports the start of each answer until the connection ends.
func (c *conn) await() {
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		state := c.state
		if state == connIdle {
			c.state = connDead
		}
		c.mu.Unlock()
		if state != connBusy {
			c.pool.remove(c)
			c.raw.Close()
			c.readable <- errors.Join(net.ErrClosed, err)
			return
		}
		c.readable <- err
		if err != nil {
			return
		}
		if _, open := <-c.resume; !open {
			return
		}
	}
}

// suits reports whether the ID of a request tells its answer from those to earlier requests
// on the connection, which the endpoint may write once more.
func (c *conn) suits(id core.RequestID) bool {
	return id != "" && !slices.Contains(c.rejected, id)
}

// claim takes an idle connection for a request. It returns false if the connection is
// closed or has been idle for too long.
func (c *conn) claim(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle || now.Sub(c.idleSince) > c.keepFor {
		return false
	}
	c.state = connBusy
	c.exchanges++
	return true
}

// release returns a connection to the pool after the last byte of an answer was read.
func (c *conn) release() {
	if c.reader.Buffered() > 0 || len(c.rejected) > maxRejected {
		c.close() // unexpected bytes after the answer, or more IDs than are remembered
		return
	}
	c.mu.Lock()
	if c.state != connBusy {
		c.mu.Unlock()
		return
	}
	c.state = connIdle
	c.mu.Unlock()
	// The connection is not in the pool yet, so nothing else can close it.
	c.resume <- struct{}{}
	c.pool.put(c)
}

// close closes the connection in any state. During a call it is reset, so that data
// still to be sent does not reach the endpoint.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBusy {
		close(c.resume)
		if tcp, ok := c.raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
	}
	c.state = connDead
	c.raw.Close()
}
