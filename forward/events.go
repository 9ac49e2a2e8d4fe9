package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/membudget"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
	// maxQuotedLine bounds what an error quotes, in bytes.
	maxQuotedLine = 64
)

// eventFields are the fields that readers of event streams know.
var eventFields = map[string]bool{"id": true, "event": true, "data": true, "retry": true}

// Event is one complete event of a stream.
type Event struct {
	// Bytes is the event as received, including the empty line at its end.
	Bytes []byte
	// ID is the event's number. Numbered is set if it has one.
	ID       int64
	Numbered bool
	// Comment is set if the event consists of comments only.
	Comment bool
}

// EventReader splits a stream into complete events.
type EventReader struct {
	reader *bufio.Reader
	buffer []byte
	// held, if it is set, is called when the capacity of a large buffer has changed.
	held     func(capacity int)
	reported int
}

// NewEventReader returns a reader of the events of a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Events returns a reader of the events of the answer. Buffers of large events count towards the
// memory of the pool.
func (a *Answer) Events() *EventReader {
	r := NewEventReader(a)
	r.held = a.holdEvent
	return r
}

// holdEvent counts the buffer of an event. Small shares are always granted, and the events that
// readers return are not larger.
func (a *Answer) holdEvent(capacity int) {
	size, now := min(int64(capacity), membudget.SmallBytes), boottime.Now()
	if a.memory == nil {
		a.memory = a.conn.pool.memory.Open(membudget.Response, size, now, a.giveUp)
		return
	}
	a.memory.Resize(size, now)
}

// reportBuffer reports the capacity of the buffer if it is larger than that of the bufio.Reader.
func (r *EventReader) reportBuffer() {
	capacity := cap(r.buffer)
	if capacity <= readBuffer {
		capacity = 0
	}
	if r.held != nil && capacity != r.reported {
		r.reported = capacity
		r.held(capacity)
	}
}

// Next returns the next complete event. Its bytes are valid until the next call. The
// error is io.EOF if the stream ended between two events, and wraps ErrTruncated if the
// stream ended within an event, the connection failed, or an event is too large. It wraps
// ErrNoEvent if something else stands where an event is due.
func (r *EventReader) Next() (Event, error) {
	if cap(r.buffer) > readBuffer && len(r.buffer) <= readBuffer {
		r.buffer = nil // the events have become small again
	}
	r.buffer = r.buffer[:0]
	r.reportBuffer()
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		r.reportBuffer()
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.buffer) == 0:
			return Event{}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, fmt.Errorf("%w: stream ended after %d bytes of an event", ErrTruncated, len(r.buffer))
		case err != nil:
			return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(r.buffer) > len(line):
			return r.event()
		}
		if len(r.buffer) > maxEventBytes {
			return Event{}, fmt.Errorf("%w: event larger than %d bytes", ErrTruncated, maxEventBytes)
		}
	}
}

func (r *EventReader) event() (Event, error) {
	event := Event{Bytes: r.buffer, Comment: true}
	known := false
	for line := range bytes.Lines(r.buffer) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, separated := bytes.Cut(line, []byte(":"))
		if len(name) == 0 && separated {
			known = true // a comment
			continue
		}
		event.Comment = false
		switch {
		case eventFields[string(name)]:
			known = true
		case !separated || !isFieldName(name):
			return Event{}, fmt.Errorf("%w: line %.*q", ErrNoEvent, maxQuotedLine, line)
		}
		if string(name) != "id" {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID, event.Numbered = number, true
		}
	}
	if !known {
		return Event{}, fmt.Errorf("%w: %.*q", ErrNoEvent, maxQuotedLine, r.buffer)
	}
	return event, nil
}

// isFieldName reports whether a line may begin with name and a colon. Readers ignore fields
// that they don't know.
func isFieldName(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	})
}
