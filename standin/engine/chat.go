package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load/answer"
	"github.com/zinniaseam/zinniaseam/standin"
)

// Bounds on one completion.
const (
	maxChatBytes = 1 << 20
	maxTokens    = 1 << 16
)

var finishStop = "stop"

// misroutedID is the ID in the events of a misrouted completion.
const misroutedID = "another-stream"

func (s *Server) postChat(w http.ResponseWriter, r *http.Request) {
	var request engine.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBytes)).Decode(&request); err != nil {
		s.reject(w, http.StatusBadRequest, err.Error())
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = DefaultMaxTokens
	}
	if request.MaxTokens > maxTokens || request.ResumeFrom < 0 || request.ResumeFrom > request.MaxTokens {
		s.reject(w, http.StatusBadRequest, "max_tokens or resume_from is out of range")
		return
	}
	chosen := s.chooseStreamFaults()
	switch {
	case chosen.fail:
		s.reject(w, http.StatusInternalServerError, "failed by fault")
		return
	case chosen.silent:
		<-r.Context().Done()
		standin.DropConnection()
	}
	if current := s.Status().Version; request.Version != "" && request.Version != current {
		s.reject(w, http.StatusPreconditionFailed, "loaded version is "+string(current))
		return
	}
	s.run(w, r, &request, chosen)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, request *engine.ChatRequest, chosen streamFaults) {
	j := &job{
		id: request.ID, priority: request.Priority,
		admitted: make(chan struct{}), aborted: make(chan struct{}), canceled: make(chan struct{}),
	}
	switch s.enqueue(j) {
	case admissionNotReady:
		s.reject(w, http.StatusServiceUnavailable, "not ready")
		return
	case admissionQueueFull:
		s.reject(w, http.StatusTooManyRequests, "queue is full")
		return
	case admissionCrashed:
		standin.DropConnection()
	}
	answered := false
	defer func() { s.finish(j, answered) }()
	stream := &stream{
		server: s, job: j, request: request, writer: w, caller: r, faults: chosen,
		prompt: answer.Prompt(request.Messages), created: time.Now().Unix(),
	}
	if chosen.misrouted {
		stream.request.ID, stream.prompt = misroutedID, "the prompt of another stream"
	}
	answered = stream.generate()
}

// reject responds with an error in the engine's format.
func (s *Server) reject(w http.ResponseWriter, status int, message string) {
	s.count(func() { s.stats.Refused++ })
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	standin.WriteJSON(w, status, map[string]any{"error": map[string]string{"message": message, "type": "engine_error"}})
}

func (s *Server) postCancel(w http.ResponseWriter, r *http.Request) {
	found := s.find(r.PathValue("id"))
	if len(found) == 0 {
		http.Error(w, "stream is not known", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range found {
		select {
		case <-j.canceled:
		default:
			close(j.canceled)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream is a completion in progress.
type stream struct {
	server  *Server
	job     *job
	request *engine.ChatRequest
	writer  http.ResponseWriter
	caller  *http.Request
	faults  streamFaults
	prompt  string
	created int64
	// text is the buffer of an answer that is not streamed.
	text strings.Builder
}

// generate produces the answer and reports whether it was sent completely.
func (t *stream) generate() bool {
	if !t.await(t.job.admitted) || !t.prefill() {
		return false
	}
	if current := t.server.Status().Version; t.request.Version != "" && t.request.Version != current {
		t.server.reject(t.writer, http.StatusPreconditionFailed, "loaded version is "+string(current))
		return false
	}
	if t.request.Stream {
		t.writer.Header().Set("Content-Type", "text/event-stream")
		t.writer.Header().Set(engine.HeaderBoot, strconv.FormatUint(t.server.Status().Boot, 10))
		t.writer.Header().Set("Cache-Control", "no-cache")
		t.writer.WriteHeader(http.StatusOK)
	}
	var version core.VersionID
	for offset := t.request.ResumeFrom; offset < t.request.MaxTokens; offset++ {
		if offset > t.request.ResumeFrom && !t.sleep(t.server.tokenInterval()) {
			return false
		}
		if !t.server.waitUnfrozen(t.caller) {
			return false
		}
		var ok bool
		if version, ok = t.emit(offset); !ok {
			return false
		}
		if t.faults.cutAfter > 0 && offset-t.request.ResumeFrom+1 >= t.faults.cutAfter {
			standin.DropConnection()
		}
	}
	return t.finish(version)
}

// prefill processes the prompt and takes PrefillPerByte for each uncached byte. It
// returns false if the stream ends meanwhile.
func (t *stream) prefill() bool {
	s := t.server
	cached := s.cache.use(t.prompt)
	s.count(func() {
		s.stats.PromptBytes += len(t.prompt)
		s.stats.CachedBytes += cached
	})
	return t.sleep(time.Duration(len(t.prompt)-cached) * max(0, s.config.PrefillPerByte))
}

// await waits until ready is closed. It returns false if the stream ends first.
func (t *stream) await(ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	case <-t.job.aborted:
		standin.DropConnection()
	case <-t.job.canceled:
	case <-t.caller.Context().Done():
	}
	return false
}

// sleep waits for d. It returns false if the stream ends first.
func (t *stream) sleep(d time.Duration) bool {
	elapsed := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	return t.await(elapsed)
}

// emit generates the token at offset with the currently loaded weights and sends it.
func (t *stream) emit(offset int) (core.VersionID, bool) {
	s := t.server
	s.mu.Lock()
	weights := s.weights
	s.stats.Tokens++
	s.mu.Unlock()
	if weights == nil {
		standin.DropConnection()
	}
	content := answer.NewGenerator(weights.version, weights.digest, t.prompt).Token(offset)
	if !t.request.Stream {
		t.text.WriteString(content)
		return weights.version, true
	}
	choice := engine.Choice{Delta: engine.Delta{Content: content}}
	if offset == t.request.MaxTokens-1 {
		choice.FinishReason = &finishStop
	}
	event := engine.StreamEvent{
		ID: t.request.ID, Object: "chat.completion.chunk", Created: t.created, Model: t.request.Model,
		Choices: []engine.Choice{choice}, SystemFingerprint: weights.version, TokenOffset: offset,
	}
	data, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	return weights.version, t.send(data)
}

func (t *stream) send(data []byte) bool {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := t.writer.Write(line); err != nil {
		return false
	}
	return http.NewResponseController(t.writer).Flush() == nil
}

// finish ends a complete answer: with the last event of a stream, or with the complete
// body if the answer is not streamed.
func (t *stream) finish(version core.VersionID) bool {
	if t.request.Stream {
		return t.send([]byte("[DONE]"))
	}
	standin.WriteJSON(t.writer, http.StatusOK, Completion{
		ID: t.request.ID, Object: "chat.completion", Created: t.created, Model: t.request.Model,
		Choices: []CompletionChoice{{
			Message:      engine.Message{Role: "assistant", Content: t.text.String()},
			FinishReason: finishStop,
		}},
		SystemFingerprint: version,
	})
	return true
}

// Completion is the JSON body of an answer that is not streamed.
type Completion struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	Choices           []CompletionChoice `json:"choices"`
	SystemFingerprint core.VersionID     `json:"system_fingerprint"`
}

// CompletionChoice is one choice of a Completion.
type CompletionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}
