package gateway

import (
	"errors"
	"expvar"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
)

const (
	// callerStall bounds the time in which a caller accepts callerPiece bytes of an answer.
	// A caller that is slower has stalled, even if it reads a byte now and then.
	callerStall = 10 * time.Second
	callerPiece = 4 << 10
)

var stalledCallers = expvar.NewMap("stalled_callers")

// callerListener accepts connections of callers whose writes fail when the caller stalls.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return callerConn{conn}, nil
}

// callerConn is a connection of a caller.
type callerConn struct{ net.Conn }

// CloseWrite ends the answers. net/http calls it before it closes a connection on which the
// caller is still sending, so that the caller can read the last answer.
func (c callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Close()
}

// Write implements net.Conn.
func (c callerConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if err := c.SetWriteDeadline(time.Now().Add(callerStall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(written+callerPiece, len(data))])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				stalledCallers.Add("answer", 1)
			}
			return written, err
		}
	}
	return written, nil
}

// rejectedReadTimeout bounds the reading of a body whose request has been rejected. net/http
// discards up to 256 KiB of it before it closes the connection.
const rejectedReadTimeout = 500 * time.Millisecond

// errEvicted means that the caller made no progress while others lacked memory.
var errEvicted = errors.New("the caller stalled while memory was short")

// readCall reads a call. Its body has to arrive within the time that the caller waits for its
// answer. The holder, which is nil for a call without a body, must be closed when the call has
// ended.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, maxBody int64) (*forward.Call, *membudget.Holder, error) {
	if r.ContentLength == 0 {
		return g.dialect.ReadCall(r, nil), nil, nil
	}
	timeout := g.dialect.Timeout(r)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	body, holder, err := forward.ReceiveBody(w, r, maxBody, timeout, g.memory, g.now)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			stalledCallers.Add("body", 1)
		}
		return nil, nil, err
	}
	return g.dialect.ReadCall(r, body), holder, nil
}
