package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// bodyBuffer is the initial size in bytes of the buffer of a body.
	bodyBuffer = 4 << 10
	// freeBodyBytes is the size up to which buffers are not counted. Most answers fit.
	freeBodyBytes = 64 << 10
	// maxBuffersBytes bounds the larger buffers of all bodies that are being read.
	maxBuffersBytes = 24 << 20
)

var errNoBodyMemory = errors.New("no memory for the body")

// bodyMemory is the memory for buffers larger than freeBodyBytes. A body that finds none
// left fails at once: bodies that wait while they hold buffers could wait for each other.
type bodyMemory struct{ free *semaphore.Weighted }

func newBodyMemory() bodyMemory { return bodyMemory{semaphore.NewWeighted(maxBuffersBytes)} }

func (m bodyMemory) reserve(size int) error {
	if size > freeBodyBytes && !m.free.TryAcquire(int64(size)) {
		return fmt.Errorf("%w: %d bytes requested, %d in total", errNoBodyMemory, size, maxBuffersBytes)
	}
	return nil
}

func (m bodyMemory) release(size int) {
	if size > freeBodyBytes {
		m.free.Release(int64(size))
	}
}

// ReadAll reads the complete body. The error wraps ErrTruncated if the body ends early, is
// longer than limit bytes, or does not fit into the memory for bodies.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer a.finish(false)
	if a.length > limit {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d", ErrTruncated, a.length, limit)
	}
	if a.length >= 0 {
		limit = a.length
	}
	body, err := readBody(a, int(limit), a.conn.pool.bodies)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return body, nil
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

// readBody reads at most limit bytes up to the end of body. While it reads, its buffer is
// reserved in memory.
func readBody(body io.Reader, limit int, memory bodyMemory) ([]byte, error) {
	buffer := make([]byte, 0, bodyBuffer)
	defer func() { memory.release(cap(buffer)) }()
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, fmt.Errorf("body larger than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, fmt.Errorf("after %d bytes: %w", len(buffer), err)
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		size := min(2*cap(buffer), limit+1)
		if err := memory.reserve(size); err != nil {
			return nil, fmt.Errorf("after %d bytes: %w", len(buffer), err)
		}
		larger := append(make([]byte, 0, size), buffer...)
		memory.release(cap(buffer))
		buffer = larger
	}
}
