package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// streamBufferBytes is the initial buffer size of a stream; it grows up to MaxEventBytes.
const streamBufferBytes = 4 << 10

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// Event is one event of a stream with the fields that the system checks.
type Event struct {
	// Raw is the event's JSON. It is valid until the next event is read.
	Raw []byte
	// Version is the version of the weights that generated the token.
	Version core.VersionID
	// Offset is the index of the token in the complete answer.
	Offset int
}

// Stream is a streamed answer to a chat completion.
type Stream struct {
	// Boot is the engine's boot number, 0 if the answer has none.
	Boot    uint64
	body    io.ReadCloser
	reader  *bufio.Scanner
	version core.VersionID
	// detach detaches the stream from the caller's context; cancel cancels the stream.
	detach func() bool
	cancel context.CancelFunc
	// complete is set after the last event was received.
	complete bool
}

func newStream(boot uint64, body io.ReadCloser, detach func() bool, cancel context.CancelFunc) *Stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, streamBufferBytes), MaxEventBytes)
	return &Stream{Boot: boot, body: body, reader: scanner, detach: detach, cancel: cancel}
}

// Next returns the next event. It returns io.EOF after the last event and
// ErrTruncated if the stream ended before it.
func (s *Stream) Next() (Event, error) {
	for s.reader.Scan() {
		data, ok := bytes.CutPrefix(s.reader.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneData) {
			s.complete = true
			return Event{}, io.EOF
		}
		found, err := readEventFields(data, s.version)
		if err != nil {
			return Event{}, fmt.Errorf("%w: invalid event: %w", ErrTruncated, err)
		}
		s.version = found.version
		return Event{Raw: data, Version: found.version, Offset: found.offset}, nil
	}
	if err := s.reader.Err(); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Event{}, ErrTruncated
}

// readEventFields scans an event; if the scanner does not support it, the full decoder
// reads it.
func readEventFields(data []byte, previous core.VersionID) (eventFields, error) {
	if found, ok := scanEventFields(data, previous); ok {
		return found, nil
	}
	var event StreamEvent
	err := json.Unmarshal(data, &event)
	return eventFields{version: event.SystemFingerprint, offset: event.TokenOffset}, err
}

// Close ends the stream. After the last event, the connection is kept for reuse if the
// engine ends its answer within EndTimeout; Close does not wait for that.
func (s *Stream) Close() {
	s.detach()
	if s.complete {
		go s.awaitEnd()
		return
	}
	s.cancel()
	s.body.Close()
}

// awaitEnd reads the rest of the answer after the last event, so that the connection can
// be reused.
func (s *Stream) awaitEnd() {
	timer := time.AfterFunc(EndTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, MaxEventBytes))
	s.body.Close()
	s.cancel()
}
