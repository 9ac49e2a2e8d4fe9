package forward

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// connState is what a connection is used for.
type connState uint8

const (
	connIdle connState = iota
	connBusy
	connDead
)

// conn is one connection to an endpoint. A goroutine waits for its first byte:
// bytes on an idle connection belong to no request, and end it.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// fresh says that no request was sent on it yet.
	fresh bool
	// keepFor is how long the connection is kept idle; guarded by the pool.
	keepFor   time.Duration
	idleSince time.Time

	mu    sync.Mutex
	state connState
	// readable is sent to when the first byte of an answer has come, or the end.
	readable chan error
	// resume is sent to when an answer was read whole.
	resume chan struct{}
}

func newConn(pool *Pool, address string, raw net.Conn) *conn {
	c := &conn{
		pool: pool, address: address, raw: raw, fresh: true, keepFor: defaultIdle, state: connBusy,
		reader: bufio.NewReaderSize(raw, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer),
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
			c.pool.forget(c)
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

// claim takes an idle connection for a request; false when it is dead or too old.
func (c *conn) claim(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle || now.Sub(c.idleSince) > c.keepFor {
		return false
	}
	c.state = connBusy
	c.fresh = false
	return true
}

// release gives a connection back whose answer was read to its last byte.
func (c *conn) release() {
	if c.reader.Buffered() > 0 {
		c.close() // bytes after a whole answer
		return
	}
	c.mu.Lock()
	if c.state != connBusy {
		c.mu.Unlock()
		return
	}
	c.state = connIdle
	c.mu.Unlock()
	// Before the connection is in the pool nobody else can close it.
	c.resume <- struct{}{}
	c.pool.put(c)
}

// close ends the connection, whatever it is used for. In the middle of a call it
// is reset, so that what still waits to be sent does not reach the endpoint.
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
