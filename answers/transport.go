package answers

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Transport is an http.RoundTripper over HTTP/1.1 that returns an error where an http.Transport
// accepts a broken answer: one with a malformed head (ErrMalformedHead), or one without a length
// whose connection ended before the server had received the request. It does not check answers
// over TLS.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that uses base. It replaces base.DialContext.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var sent exchange
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: sent.begin, WroteRequest: sent.wrote})
	return t.base.RoundTrip(request.WithContext(ctx))
}

// CloseIdleConnections implements the interface that http.Client.CloseIdleConnections expects.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// exchange is a request on its connection. The transport may retry it on another one.
type exchange struct {
	mu   sync.Mutex
	conn *conn
}

func (e *exchange) begin(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, _ = info.Conn.(*conn)
	if e.conn != nil {
		e.conn.begin()
	}
}

func (e *exchange) wrote(httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.wrote()
	}
}

// conn is a connection on which net/http writes a request while it reads the answer. The kernel
// reports a reset only once: if the writer gets it, the reader sees io.EOF.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head is nil until the first request. Over TLS it remains nil.
	head *HeadScanner
	// writing is set while the request is written. answered is set once the peer has sent data
	// since the request began.
	writing, answered bool
	// writeErr is the reason for which nothing more can be written.
	writeErr error
}

func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.writing, c.answered = new(HeadScanner), true, false
}

func (c *conn) wrote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.failed(err)
	}
	return n, err
}

func (c *conn) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.failed(net.ErrClosed)
	return c.Conn.Close()
}

// Read implements net.Conn. After the start of an answer it returns io.EOF only once the peer has
// received the request. Close ends the wait for that.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	answered, malformed := c.received(into[:n])
	switch {
	case malformed != nil:
		return 0, malformed
	case err == io.EOF && answered:
		return n, c.end()
	default:
		return n, err
	}
}

// received checks data from the peer, and reports whether the peer has begun to answer.
func (c *conn) received(data []byte) (answered bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return false, nil
	}
	c.answered = c.answered || len(data) > 0
	return c.answered, c.head.Scan(data)
}

// end returns io.EOF once the peer has received the request, or the error that prevented it.
func (c *conn) end() error {
	for {
		c.mu.Lock()
		writing, err := c.writing, c.writeErr
		c.mu.Unlock()
		switch {
		case err != nil:
			return err
		case !writing:
			if err := AwaitReceipt(c.Conn); err != nil {
				return err
			}
			return io.EOF
		}
		time.Sleep(pollInterval)
	}
}
