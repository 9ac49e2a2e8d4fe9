package gateway

import (
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
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

var (
	errTooLarge = errors.New("body too large")
	errNoMemory = errors.New("no memory for the body")
	// errEvicted means that the caller made no progress while others lacked memory.
	errEvicted = fmt.Errorf("%w: the caller stalled while memory was short", errNoMemory)
)

// readCall reads a call. Its body has to arrive within the time that the caller waits for its
// answer. The holder, which is nil for a call without a body, must be closed when the call has
// ended.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, maxBody int64) (*forward.Call, *membudget.Holder, error) {
	switch {
	case r.ContentLength == 0:
		return g.dialect.ReadCall(r, nil), nil, nil
	case r.ContentLength > maxBody:
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d", errTooLarge, r.ContentLength, maxBody)
	}
	timeout := g.dialect.Timeout(r)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	reader := &callerBody{body: r.Body, controller: http.NewResponseController(w), until: time.Now().Add(timeout), now: g.now}
	size := forward.ReservedBytes(r.ContentLength)
	reader.holder = g.memory.Open(membudget.Request, size, g.now(), reader.giveUp)
	if reader.holder == nil {
		return nil, nil, fmt.Errorf("%w: %d bytes wanted, %d of %d in use", errNoMemory, size, g.memory.Used(), g.memory.Capacity())
	}
	reader.holder.Begin(g.now())
	body, err := forward.ReadBody(reader, r.ContentLength, maxBody, reader.holder, g.now)
	if !reader.holder.Settle() {
		err = errEvicted
	}
	if err == nil {
		err = reader.controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		reader.holder.Close()
		return nil, nil, readError(err)
	}
	return g.dialect.ReadCall(r, body), reader.holder, nil
}

// readError counts callers that stalled and translates errors of forward.ReadBody.
func readError(err error) error {
	switch {
	case errors.Is(err, errNoMemory):
		return err
	case forward.TooLong(err):
		return fmt.Errorf("%w: %w", errTooLarge, err)
	case forward.NoMemory(err):
		return fmt.Errorf("%w: %w", errNoMemory, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		stalledCallers.Add("body", 1)
	}
	return fmt.Errorf("body: %w", err)
}

// callerBody reads the body of a request. A read fails when the caller's time is over, or when
// the transfer has stalled.
type callerBody struct {
	body       io.Reader
	controller *http.ResponseController
	holder     *membudget.Holder
	until      time.Time
	now        boottime.Clock
}

// Read implements io.Reader.
func (b *callerBody) Read(into []byte) (int, error) {
	deadline := time.Now().Add(b.holder.Deadline().Sub(b.now()))
	if b.until.Before(deadline) {
		deadline = b.until
	}
	if err := b.controller.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	// giveUp may have come before the deadline was set.
	if b.holder.Evicted() {
		return 0, errEvicted
	}
	return b.body.Read(into)
}

// giveUp makes the present read fail.
func (b *callerBody) giveUp() { _ = b.controller.SetReadDeadline(time.Now()) }
