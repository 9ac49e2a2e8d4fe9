package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve answers a call in a slot of the batch.
func (r *engineRun) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	harmful := holdsHarmfulPart(request.Header.Get("X-Prompt-Prefix"))
	first := r.engine.record.arrived(id, harmful)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id || r.serving() == 0 {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.engine.record.reached(r.engine.name, id)
	if !r.takeSlot(request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.wait(request, prefillTime)
	r.engine.record.began(first, harmful)
	if harmful {
		time.AfterFunc(crashDelay, r.crash)
	}
	r.answer(w, request)
	r.engine.record.answered(r.engine.name)
}

// holdsHarmfulPart reports whether a part other than the last is harmfulPart.
func holdsHarmfulPart(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == harmfulPart {
			return true
		}
	}
	return false
}

// takeSlot waits for a slot. It returns false if too many calls wait already or the engine
// is loading weights.
func (r *engineRun) takeSlot(request *http.Request) bool {
	r.mu.Lock()
	loading := r.loading
	r.mu.Unlock()
	defer r.waiting.Add(-1)
	if r.waiting.Add(1) > engineQueue || loading {
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
	case <-r.ended:
	}
	panic(http.ErrAbortHandler)
}

// wait lets time pass. It aborts the call if the caller leaves or the engine ends.
func (r *engineRun) wait(request *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
		return
	case <-request.Context().Done():
	case <-r.ended:
	}
	panic(http.ErrAbortHandler)
}

// answer writes the answer in the engine's shape.
func (r *engineRun) answer(w http.ResponseWriter, request *http.Request) {
	shape := shape(r.engine.shape.Load())
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Response-Seal", "seal")
	header.Set("X-Weight-Versions", strconv.Itoa(engineVersion))
	if shape == shapeChunked {
		r.writeEvents(w, http.NewResponseController(w).Flush, request)
		return
	}
	conn, buffer := hijack(w)
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffer)
	switch shape {
	case shapeEndlessHead:
		r.writeEndlessly(buffer, "X-More: more\r\n")
	case shapeEndlessBody:
		r.writeEndlessly(buffer, "\r\nmore\n")
	default:
		fmt.Fprint(buffer, "\r\n")
		r.writeEvents(buffer, buffer.Flush, request)
	}
	if shape == shapeCutInEvent {
		fmt.Fprintf(buffer, "id: %d\nda", answerEvents+1)
	}
	_ = buffer.Flush()
}

// writeEvents writes the numbered events after the one that the caller has.
func (r *engineRun) writeEvents(w io.Writer, flush func() error, request *http.Request) {
	last, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for number := last + 1; number <= answerEvents; number++ {
		if number > last+1 {
			r.wait(request, eventInterval)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", number); err != nil || flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// writeEndlessly repeats a line until the caller closes the connection.
func (r *engineRun) writeEndlessly(buffer *bufio.ReadWriter, line string) {
	block := strings.Repeat(line, blockBytes/len(line))
	for {
		if _, err := buffer.WriteString(block); err != nil || buffer.Flush() != nil {
			return
		}
	}
}
