package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load/answer"
)

const (
	chatPath      = "/v1/chat/completions"
	maxEventBytes = 1 << 20
	maxErrorBytes = 64 << 10
)

// chat sends one streamed completion and verifies its answer.
func (c *caller) chat(ctx context.Context, base string, arrival *Arrival) Attempt {
	messages := []engine.Message{{Role: "user", Content: arrival.Prompt}}
	body, err := json.Marshal(engine.ChatRequest{
		Model: string(c.config.Model), Messages: messages, MaxTokens: arrival.MaxTokens, Stream: true,
	})
	if err != nil {
		panic(err)
	}
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+chatPath, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	c.setHeaders(ctx, request, arrival)
	response, err := c.http.Do(request)
	if err != nil {
		return connectionFailure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRejection(response)
	}
	verifier := chatVerifier{
		expected: c.expected, prompt: answer.Prompt(messages), maxTokens: arrival.MaxTokens, began: began, last: began,
	}
	attempt := verifier.read(ctx, response.Body)
	if attempt.Outcome == OutcomeAnswered {
		// The transport reuses the connection only if the response was read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	}
	return attempt
}

// chatVerifier reads one stream and decides whether it is complete and correct.
type chatVerifier struct {
	expected  map[core.VersionID]core.Digest
	prompt    string
	maxTokens int
	began     time.Time
	last      time.Time
	tokens    int
	finished  bool
	generator *answer.Generator
	result    Attempt
}

func (v *chatVerifier) read(ctx context.Context, body io.Reader) Attempt {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	failed := false
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		switch {
		case failed:
			return v.end(errorEvent(data))
		case bytes.Equal(data, []byte("[DONE]")):
			return v.end(v.done())
		}
		if failure, ok := v.token(data); !ok {
			return v.end(failure)
		}
	}
	if ctx.Err() != nil {
		return v.end(Attempt{Outcome: OutcomeIncomplete, Reason: ReasonTimeout})
	}
	return v.end(Attempt{Outcome: OutcomeIncomplete, Reason: ReasonCut})
}

func errorEvent(data []byte) Attempt {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return Attempt{Outcome: OutcomeIncomplete, Reason: ReasonUntyped, Detail: err.Error()}
	}
	return Attempt{Outcome: OutcomeIncomplete, Reason: refusal.Reason, Detail: refusal.Detail}
}

// end returns the verdict completed with the version and the times measured so far.
func (v *chatVerifier) end(verdict Attempt) Attempt {
	verdict.Version = v.result.Version
	verdict.FirstToken = v.result.FirstToken
	verdict.InterToken = v.result.InterToken
	return verdict
}

func (v *chatVerifier) done() Attempt {
	if v.tokens != v.maxTokens || !v.finished {
		return Attempt{Outcome: OutcomeWrong, Reason: "short_answer", Detail: "the answer ended before its last token"}
	}
	return Attempt{Outcome: OutcomeAnswered}
}

// token verifies one event. For a wrong event it returns the verdict and false.
func (v *chatVerifier) token(data []byte) (Attempt, bool) {
	var event engine.StreamEvent
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 {
		return Attempt{Outcome: OutcomeWrong, Reason: "malformed_event", Detail: string(data)}, false
	}
	v.recordTokenTime()
	text := event.Choices[0].Delta.Content
	token, err := answer.Parse(text)
	if err != nil {
		return Attempt{Outcome: OutcomeWrong, Reason: "malformed_token", Detail: err.Error()}, false
	}
	if v.result.Version == "" {
		v.result.Version = token.Version
	}
	if token.Version != v.result.Version || event.SystemFingerprint != v.result.Version {
		detail := string(v.result.Version) + " then " + string(token.Version)
		return Attempt{Outcome: OutcomeMixed, Reason: "mixed_versions", Detail: detail}, false
	}
	if token.Offset != v.tokens || event.TokenOffset != v.tokens {
		return Attempt{Outcome: OutcomeWrong, Reason: "gap_or_repeat", Detail: text}, false
	}
	if !v.matches(text) {
		return Attempt{Outcome: OutcomeMixed, Reason: "wrong_weights", Detail: text}, false
	}
	v.tokens++
	v.finished = event.Choices[0].FinishReason != nil
	return Attempt{}, true
}

// matches reports whether the token is the one that the expected weights generate.
// Without expected digests every token matches.
func (v *chatVerifier) matches(text string) bool {
	if len(v.expected) == 0 {
		return true
	}
	if v.generator == nil {
		weights, ok := v.expected[v.result.Version]
		if !ok {
			return false
		}
		generator := answer.NewGenerator(v.result.Version, weights, v.prompt)
		v.generator = &generator
	}
	return v.generator.Token(v.tokens) == text
}

func (v *chatVerifier) recordTokenTime() {
	now := time.Now()
	if v.result.FirstToken == 0 {
		v.result.FirstToken = now.Sub(v.began)
	} else {
		v.result.InterToken = append(v.result.InterToken, now.Sub(v.last))
	}
	v.last = now
}
