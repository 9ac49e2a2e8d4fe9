package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// Event is one complete event of a stream.
type Event struct {
	// Bytes is the event as received, including the empty line at its end.
	Bytes []byte
	// ID is the event's number. Numbered is set if it has one.
	ID       int64
	Numbered bool
}

// EventReader splits a stream into complete events.
type EventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// NewEventReader returns a reader of the events of a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next complete event. Its bytes are valid until the next call. The
// error is io.EOF if the stream ended between two events, and wraps ErrTruncated if the
// stream ended within an event, the connection failed, or an event is too large.
func (r *EventReader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buffer = append(r.buffer, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.buffer) == 0:
			return Event{}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, fmt.Errorf("%w: stream ended after %d bytes of an event", ErrTruncated, len(r.buffer))
		case err != nil:
			return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(r.buffer) > len(line):
			return r.event(), nil
		}
		if len(r.buffer) > maxEventBytes {
			return Event{}, fmt.Errorf("%w: event larger than %d bytes", ErrTruncated, maxEventBytes)
		}
	}
}

func (r *EventReader) event() Event {
	event := Event{Bytes: r.buffer}
	for line := range bytes.Lines(r.buffer) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID, event.Numbered = number, true
		}
	}
	return event
}
