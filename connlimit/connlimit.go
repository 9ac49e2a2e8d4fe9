// Package connlimit bounds the open connections of a listener, so that clients can't use up the
// file descriptors of a process.
package connlimit

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"
)

// closedConnections counts connections that were closed because their listener was full: those
// that had not sent a request yet, idle ones, and new ones if all others were in use.
var closedConnections = expvar.NewMap("connections_over_limit")

// Limit bounds the open connections of one listener. If a connection is accepted while the limit
// is reached, another one without a request is closed: first the oldest that has not sent one
// yet, then the one that has been idle longest. If all are in use, the new one is closed.
type Limit struct {
	max    int
	strict bool

	mu   sync.Mutex
	open map[*conn]*list.Element
	// fresh and idle contain the connections without a request, the oldest first.
	fresh, idle *list.List
}

// New returns a limit of at most max connections.
func New(max int) *Limit {
	return &Limit{max: max, open: map[*conn]*list.Element{}, fresh: list.New(), idle: list.New()}
}

// NewStrict returns a limit of at most max connections that closes the new connection whenever
// it is reached. It suits connections that are kept for long and carry many calls.
func NewStrict(max int) *Limit {
	l := New(max)
	l.strict = true
	return l
}

// Listen returns a listener whose connections are bounded by the limit.
func (l *Limit) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

// ConnState tells which connections have a request. It is meant for http.Server; without it all
// connections count as not having sent one.
func (l *Limit) ConnState(outer net.Conn, state http.ConnState) {
	if wrapped, ok := outer.(interface{ NetConn() net.Conn }); ok {
		outer = wrapped.NetConn()
	}
	c, ok := outer.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	element, open := l.open[c]
	if !open {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		l.unlist(element)
		l.open[c] = nil
	case http.StateIdle:
		l.unlist(element)
		l.open[c] = l.idle.PushBack(c)
	}
}

func (l *Limit) unlist(element *list.Element) {
	if element != nil {
		l.fresh.Remove(element) // does nothing for an element of the other list
		l.idle.Remove(element)
	}
}

// admit adds a new connection, and closes it or another one if the limit is reached.
func (l *Limit) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max && !l.closeOldest() {
		closedConnections.Add("new", 1)
		return false
	}
	l.open[c] = nil
	if !l.strict {
		l.open[c] = l.fresh.PushBack(c)
	}
	return true
}

func (l *Limit) closeOldest() bool {
	kind, element := "fresh", l.fresh.Front()
	if element == nil {
		kind, element = "idle", l.idle.Front()
	}
	if element == nil {
		return false
	}
	c := element.Value.(*conn)
	l.unlist(element)
	delete(l.open, c)
	closedConnections.Add(kind, 1)
	_ = c.Conn.Close()
	return true
}

func (l *Limit) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element, open := l.open[c]; open {
		l.unlist(element)
		delete(l.open, c)
	}
}

// listener is a listener with a limit.
type listener struct {
	net.Listener
	limit *Limit
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{inner, l.limit}
		if l.limit.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// conn is a connection that counts towards a limit until it is closed.
type conn struct {
	net.Conn
	limit *Limit
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limit.remove(c)
	return err
}

// CloseWrite closes the sending side, if the inner connection has one.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return c.Close()
}
