package gateway

import (
	"errors"
	"expvar"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/forward"
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

// readCall reads a call. Its body has to arrive within the time that the caller waits for its
// answer.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, maxBody int64) (*forward.Call, error) {
	if r.ContentLength == 0 {
		return g.dialect.ReadCall(r, maxBody)
	}
	timeout := g.dialect.Timeout(r)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	call, err := g.dialect.ReadCall(r, maxBody)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			stalledCallers.Add("body", 1)
		}
		return nil, err
	}
	return call, controller.SetReadDeadline(time.Time{})
}
