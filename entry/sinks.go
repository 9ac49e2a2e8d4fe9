package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

var (
	_ answerSink = (*streamSink)(nil)
	_ answerSink = (*bufferedSink)(nil)
	_ answerSink = (*serviceSink)(nil)
)

// newChatSink returns a sink that streams a chat completion or sends it as one JSON
// object.
func newChatSink(writer http.ResponseWriter, streamed bool, id core.RequestID) answerSink {
	if streamed {
		return &streamSink{writer: writer, request: id}
	}
	return &bufferedSink{writer: writer, request: id}
}

// streamSink writes server-sent events as tokens arrive.
type streamSink struct {
	writer  http.ResponseWriter
	request core.RequestID
	started bool
}

// Head implements Sink. The response starts with the first token.
func (s *streamSink) Head(head *peerpb.CallHead) error { return nil }

// Data writes one event.
func (s *streamSink) Data(data *peerpb.CallData) error {
	if !s.started {
		s.started = true
		s.writer.Header().Set("Content-Type", "text/event-stream")
		s.writer.Header().Set(headerRequest, string(s.request))
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.write("data: ", data.GetBody())
}

func (s *streamSink) write(prefix string, body []byte) error {
	line := make([]byte, 0, len(prefix)+len(body)+2)
	line = append(line, prefix...)
	line = append(line, body...)
	line = append(line, '\n', '\n')
	if _, err := s.writer.Write(line); err != nil {
		return err
	}
	if flusher, ok := s.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// Restart reports whether nothing has reached the caller.
func (s *streamSink) Restart() bool { return !s.started }

// Finish writes the closing event.
func (s *streamSink) Finish() { _ = s.write("data: ", []byte("[DONE]")) }

// Abort writes an error event after a partial answer.
func (s *streamSink) Abort(refusal *core.Refusal) bool {
	if !s.started {
		return false
	}
	_ = s.write("event: error\ndata: ", refusalJSON(s.request, refusal))
	return true
}

// bufferedSink collects a completion and writes it as one JSON object.
type bufferedSink struct {
	writer  http.ResponseWriter
	request core.RequestID
	text    strings.Builder
	last    engine.StreamEvent
	tokens  int
}

// completion is the body of a chat completion without streaming.
type completion struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	Choices           []completionChoice `json:"choices"`
	Usage             completionUsage    `json:"usage"`
	SystemFingerprint core.VersionID     `json:"system_fingerprint"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Head implements Sink.
func (s *bufferedSink) Head(*peerpb.CallHead) error { return nil }

// Data appends one token.
func (s *bufferedSink) Data(data *peerpb.CallData) error {
	var event engine.StreamEvent
	if err := json.Unmarshal(data.GetBody(), &event); err != nil {
		return err
	}
	if len(event.Choices) > 0 {
		s.text.WriteString(event.Choices[0].Delta.Content)
	}
	s.last = event
	s.tokens++
	return nil
}

// Restart discards the collected tokens.
func (s *bufferedSink) Restart() bool {
	s.text.Reset()
	s.tokens = 0
	return true
}

// Finish writes the completion.
func (s *bufferedSink) Finish() {
	body, _ := json.Marshal(completion{
		ID: s.last.ID, Object: "chat.completion", Created: s.last.Created, Model: s.last.Model,
		Choices:           []completionChoice{{Message: engine.Message{Role: "assistant", Content: s.text.String()}, FinishReason: "stop"}},
		Usage:             completionUsage{CompletionTokens: s.tokens},
		SystemFingerprint: s.last.SystemFingerprint,
	})
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.Header().Set(headerRequest, string(s.request))
	_, _ = s.writer.Write(body)
}

// Abort implements answerSink. Nothing has been written yet.
func (s *bufferedSink) Abort(*core.Refusal) bool { return false }

// serviceSink collects the answer of a plain service and writes it when it is complete.
type serviceSink struct {
	writer  http.ResponseWriter
	request core.RequestID
	head    *peerpb.CallHead
	body    []byte
}

// Head stores the status and the headers.
func (s *serviceSink) Head(head *peerpb.CallHead) error {
	s.head = head
	return nil
}

// Data appends to the body.
func (s *serviceSink) Data(data *peerpb.CallData) error {
	s.body = append(s.body, data.GetBody()...)
	return nil
}

// Restart discards the collected answer.
func (s *serviceSink) Restart() bool {
	s.head, s.body = nil, nil
	return true
}

// Finish writes the answer.
func (s *serviceSink) Finish() {
	for _, h := range s.head.GetHeaders() {
		s.writer.Header().Add(h.GetName(), h.GetValue())
	}
	s.writer.Header().Set(headerRequest, string(s.request))
	s.writer.WriteHeader(int(s.head.GetStatus()))
	_, _ = s.writer.Write(s.body)
}

// Abort implements answerSink. Nothing has been written yet.
func (s *serviceSink) Abort(*core.Refusal) bool { return false }
