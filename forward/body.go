package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/membudget"
)

const (
	// bodyBuffer is the initial size in bytes of the buffer of a body.
	bodyBuffer = 4 << 10
	// defaultMemory is the budget of a pool that is given none, in bytes.
	defaultMemory = 24 << 20
)

var (
	errNoBodyMemory = errors.New("no memory for the body")
	// errBodyTooLong means that a body is longer than its limit.
	errBodyTooLong = errors.New("body too long")
)

// ReadAll reads the complete body. The error wraps ErrTruncated if the body ends early, is
// longer than limit bytes, or does not fit into the memory for bodies.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer a.finish(false)
	if a.length > limit {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d", ErrTruncated, a.length, limit)
	}
	body, err := a.readBody(limit)
	if err != nil {
		a.release()
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return body, nil
}

func (a *Answer) readBody(limit int64) ([]byte, error) {
	length, initial := a.length, int64(bodyBuffer)
	if length >= 0 {
		initial = length
	}
	a.memory = a.conn.pool.memory.Open(membudget.Response, initial, boottime.Now(), a.giveUp)
	if a.memory == nil {
		return nil, fmt.Errorf("%w: %d bytes requested, %d in total", errNoBodyMemory, initial, a.conn.pool.memory.Capacity())
	}
	return readBody(a, length, limit, a.memory, boottime.Now)
}

// giveUp makes the delivery of the body fail whose memory is needed.
func (a *Answer) giveUp() {
	if a.evicted != nil {
		a.evicted()
	}
}

// Deliver declares that the body is being passed on, and returns a function that reports how many
// more bytes the caller has accepted. If the caller stalls while memory is needed, evicted is
// called; it must neither block nor use the answer.
func (a *Answer) Deliver(evicted func()) (progress func(n int)) {
	if a.memory == nil {
		return func(int) {}
	}
	a.evicted = evicted
	a.memory.Begin(boottime.Now())
	return func(n int) { a.memory.Progress(n, boottime.Now()) }
}

// release gives back the memory of the body.
func (a *Answer) release() {
	if a.memory != nil {
		a.memory.Close()
	}
}

// Discard reads a body that is not needed to its end, so that the connection can be reused.
// If the body is longer than limit bytes or does not end in time, the connection is closed.
func (a *Answer) Discard(limit int64, timeout time.Duration) error {
	defer a.finish(false)
	if !a.stop() {
		return fmt.Errorf("%w: %w", ErrTruncated, context.Cause(a.ctx))
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	a.stop = context.AfterFunc(ctx, a.conn.close)
	// Unlike a.Read, does not wait for the upload: an unframed body need not be complete here.
	n, err := io.Copy(io.Discard, io.LimitReader(a.body, limit+1))
	if err != nil {
		return fmt.Errorf("%w: after %d bytes: %w", ErrTruncated, n, err)
	}
	if n > limit {
		return fmt.Errorf("%w: body larger than %d bytes", ErrTruncated, limit)
	}
	a.finish(a.reuse)
	return nil
}

// TooLong reports whether ReadBody failed because the body is longer than its limit.
func TooLong(err error) bool { return errors.Is(err, errBodyTooLong) }

// NoMemory reports whether ReadBody failed because the budget has no memory for the body.
func NoMemory(err error) bool { return errors.Is(err, errNoBodyMemory) }

// readBody reads a body of length bytes, or of at most limit bytes if length is -1, to its end.
// memory must hold length or bodyBuffer bytes. A body of unknown length is read into a buffer that
// doubles; while it is copied, both buffers are held.
func readBody(body io.Reader, length, limit int64, memory *membudget.Holder, now boottime.Clock) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", errBodyTooLong, length, limit)
	}
	if length >= 0 {
		buffer := make([]byte, length)
		for received := 0; received < len(buffer); {
			n, err := body.Read(buffer[received:])
			received += n
			memory.Progress(n, now())
			if err != nil && received < len(buffer) {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return nil, fmt.Errorf("after %d bytes: %w", received, err)
			}
		}
		return buffer, readEnd(body)
	}
	buffer := make([]byte, 0, bodyBuffer)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		memory.Progress(n, now())
		switch {
		case int64(len(buffer)) > limit:
			return nil, fmt.Errorf("%w: over %d bytes", errBodyTooLong, limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, fmt.Errorf("after %d bytes: %w", len(buffer), err)
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		size := min(2*int64(cap(buffer)), limit+1)
		if !memory.Resize(int64(cap(buffer))+size, now()) {
			return nil, fmt.Errorf("after %d bytes: %w", len(buffer), errNoBodyMemory)
		}
		larger := append(make([]byte, 0, size), buffer...)
		memory.Resize(size, now())
		buffer = larger
	}
}

// readEnd reads the end of a body whose bytes have all been read.
func readEnd(body io.Reader) error {
	var extra [1]byte
	for {
		n, err := body.Read(extra[:])
		switch {
		case n > 0:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
