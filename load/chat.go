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

// chat sends one streamed completion and checks its answer.
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
		return brokenConnection(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	check := chatCheck{
		expected: c.expected, prompt: answer.Prompt(messages), maxTokens: arrival.MaxTokens, began: began, last: began,
	}
	attempt := check.read(ctx, response.Body)
	if attempt.Outcome == OutcomeAnswered {
		// The connection is used again only when the answer was read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
	}
	return attempt
}

// chatCheck follows one stream and decides whether it is whole and right.
type chatCheck struct {
	expected  map[core.VersionID]core.Digest
	prompt    string
	maxTokens int
	began     time.Time
	last      time.Time
	tokens    int
	finished  bool
	script    *answer.Generator
	result    Attempt
}

func (k *chatCheck) read(ctx context.Context, body io.Reader) Attempt {
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
			return k.end(errorEvent(data))
		case bytes.Equal(data, []byte("[DONE]")):
			return k.end(k.done())
		}
		if broken, ok := k.token(data); !ok {
			return k.end(broken)
		}
	}
	if ctx.Err() != nil {
		return k.end(Attempt{Outcome: OutcomeIncomplete, Reason: ReasonTimeout})
	}
	return k.end(Attempt{Outcome: OutcomeIncomplete, Reason: ReasonCut})
}

func errorEvent(data []byte) Attempt {
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return Attempt{Outcome: OutcomeIncomplete, Reason: ReasonUntyped, Detail: err.Error()}
	}
	return Attempt{Outcome: OutcomeIncomplete, Reason: refusal.Reason, Detail: refusal.Detail}
}

// end joins the verdict with the times measured so far.
func (k *chatCheck) end(verdict Attempt) Attempt {
	verdict.Version = k.result.Version
	verdict.FirstToken = k.result.FirstToken
	verdict.InterToken = k.result.InterToken
	return verdict
}

func (k *chatCheck) done() Attempt {
	if k.tokens != k.maxTokens || !k.finished {
		return Attempt{Outcome: OutcomeWrong, Reason: "short_answer", Detail: "the answer ended before its last token"}
	}
	return Attempt{Outcome: OutcomeAnswered}
}

// token checks one event; it returns false with the verdict on a wrong one.
func (k *chatCheck) token(data []byte) (Attempt, bool) {
	var event engine.StreamEvent
	if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 {
		return Attempt{Outcome: OutcomeWrong, Reason: "malformed_event", Detail: string(data)}, false
	}
	k.clock()
	text := event.Choices[0].Delta.Content
	token, err := answer.Parse(text)
	if err != nil {
		return Attempt{Outcome: OutcomeWrong, Reason: "malformed_token", Detail: err.Error()}, false
	}
	if k.result.Version == "" {
		k.result.Version = token.Version
	}
	if token.Version != k.result.Version || event.SystemFingerprint != k.result.Version {
		detail := string(k.result.Version) + " then " + string(token.Version)
		return Attempt{Outcome: OutcomeMixed, Reason: "mixed_versions", Detail: detail}, false
	}
	if token.Offset != k.tokens || event.TokenOffset != k.tokens {
		return Attempt{Outcome: OutcomeWrong, Reason: "gap_or_repeat", Detail: text}, false
	}
	if !k.matches(text) {
		return Attempt{Outcome: OutcomeMixed, Reason: "wrong_weights", Detail: text}, false
	}
	k.tokens++
	k.finished = event.Choices[0].FinishReason != nil
	return Attempt{}, true
}

// matches compares the token with what the expected weights generate.
func (k *chatCheck) matches(text string) bool {
	if len(k.expected) == 0 {
		return true
	}
	if k.script == nil {
		whole, ok := k.expected[k.result.Version]
		if !ok {
			return false
		}
		script := answer.NewGenerator(k.result.Version, whole, k.prompt)
		k.script = &script
	}
	return k.script.Token(k.tokens) == text
}

func (k *chatCheck) clock() {
	now := time.Now()
	if k.result.FirstToken == 0 {
		k.result.FirstToken = now.Sub(k.began)
	} else {
		k.result.InterToken = append(k.result.InterToken, now.Sub(k.last))
	}
	k.last = now
}
