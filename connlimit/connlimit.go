// Package connlimit bounds the open connections of a listener, so that clients can't use up the
// file descriptors of a process.
package connlimit

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"

	"github.com/zinniaseam/zinniaseam/logging"
)

// closedConnections counts connections that were closed because their listener was full: those
// that had not sent a request yet, idle ones, silent ones, and new ones if all others were in use.
var closedConnections = expvar.NewMap("connections_over_limit")

// Limit bounds the open connections of one listener. If a connection is accepted while the limit
// is reached, another one without a request is closed: first the oldest that has not sent one
// yet, then the one that has been idle longest. If all are in use, the new one is closed.
type Limit struct {
	max          int
	closesSilent bool
	listener     string
	lines        *logging.Limited

	mu   sync.Mutex
	open map[*conn]*list.Element
	// fresh and idle contain the connections without a request, active the others if they may
	// be closed. The first has been in its state, or silent, the longest.
	fresh, idle, active *list.List
}

// New returns a limit of at most max connections.
func New(max int) *Limit {
	return &Limit{max: max, open: map[*conn]*list.Element{}, fresh: list.New(), idle: list.New(), active: list.New()}
}

// NewClosingSilent returns a limit of at most max connections that also closes connections in use:
// if all are, the one whose state has been unchanged for the longest time. SetState must be called with
// http.StateActive whenever a connection in use has received something. It suits connections
// that are kept for long and on which known clients send often.
func NewClosingSilent(max int) *Limit {
	l := New(max)
	l.closesSilent = true
	return l
}

// LogTo logs each connection that is closed because of the limit, with the name of the listener. It
// must be called before Listen.
func (l *Limit) LogTo(lines *logging.Limited, listener string) { l.lines, l.listener = lines, listener }

// Listen returns a listener whose connections are bounded by the limit.
func (l *Limit) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

// ConnState tells which connections have a request. It is meant for http.Server; without it all
// connections count as not having sent one.
func (l *Limit) ConnState(outer net.Conn, state http.ConnState) {
	if wrapped, ok := outer.(interface{ NetConn() net.Conn }); ok {
		outer = wrapped.NetConn()
	}
	SetState(outer, state)
}

// SetState tells whether a connection of a bounded listener has a request.
func SetState(outer net.Conn, state http.ConnState) {
	c, ok := outer.(*conn)
	if !ok {
		return
	}
	l := c.limit
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
		if l.closesSilent {
			l.open[c] = l.active.PushBack(c)
		}
	case http.StateIdle:
		l.unlist(element)
		l.open[c] = l.idle.PushBack(c)
	}
}

func (l *Limit) unlist(element *list.Element) {
	if element != nil {
		// Remove does nothing for an element of another list.
		l.fresh.Remove(element)
		l.idle.Remove(element)
		l.active.Remove(element)
	}
}

// admit adds a new connection, and closes it or another one if the limit is reached.
func (l *Limit) admit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max && !l.closeOldest() {
		l.closing(c, "new")
		return false
	}
	l.open[c] = l.fresh.PushBack(c)
	return true
}

func (l *Limit) closeOldest() bool {
	kind, element := "fresh", l.fresh.Front()
	if element == nil {
		kind, element = "idle", l.idle.Front()
	}
	if element == nil {
		kind, element = "silent", l.active.Front()
	}
	if element == nil {
		return false
	}
	c := element.Value.(*conn)
	l.unlist(element)
	delete(l.open, c)
	l.closing(c, kind)
	_ = c.Conn.Close()
	return true
}

func (l *Limit) closing(c *conn, kind string) {
	closedConnections.Add(kind, 1)
	if l.lines != nil {
		l.lines.Info("Too many connections; closing one.", "listener", l.listener, "kind", kind, "client", c.RemoteAddr())
	}
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
