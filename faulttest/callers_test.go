package faulttest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
)

// answer is the result of one call as a caller sees it.
type answer struct {
	status  int
	header  http.Header
	body    string
	tokens  int
	version core.VersionID
	// complete is set if the answer is complete and consistent.
	complete bool
	// outcome is the outcome of a refusal, including one sent within a stream.
	outcome string
	reason  core.Reason
	detail  string
	// request is the ID of a refused request.
	request string
	elapsed time.Duration
	// firstToken is the time to the response header, which is sent with the first token.
	firstToken time.Duration
	// maxTokenGap is the longest time between two tokens.
	maxTokenGap time.Duration
	problem     string
}

type refusalJSON struct {
	Outcome string      `json:"outcome"`
	Reason  core.Reason `json:"reason"`
	Detail  string      `json:"detail"`
	Request string      `json:"request_id"`
}

// chat streams one completion and checks the order of its tokens.
func chat(e *entryVM, prompt string, tokens int, headers ...string) answer {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: "assistant", Stream: true, MaxTokens: tokens,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	start := time.Now()
	response, err := send(http.MethodPost, "http://"+e.caller+"/v1/chat/completions", body, headers)
	if err != nil {
		return answer{problem: err.Error(), elapsed: time.Since(start)}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, header: response.Header, firstToken: time.Since(start)}
	if response.StatusCode != http.StatusOK {
		a.readRefusal(response.Body)
	} else {
		a.readStream(response.Body, tokens)
	}
	a.elapsed = time.Since(start)
	return a
}

func (a *answer) readRefusal(body io.Reader) {
	text, _ := io.ReadAll(body)
	a.body = string(text)
	a.parseRefusal(text)
}

func (a *answer) parseRefusal(text []byte) {
	var refusal refusalJSON
	_ = json.Unmarshal(text, &refusal)
	a.outcome, a.reason, a.detail, a.request = refusal.Outcome, refusal.Reason, refusal.Detail, refusal.Request
}

// readStream reads the events of a stream, which should have want tokens.
func (a *answer) readStream(body io.Reader, want int) {
	scanner := bufio.NewScanner(body)
	failed := false
	last := time.Now()
	for scanner.Scan() {
		line := scanner.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case isData && failed:
			a.parseRefusal([]byte(data))
			return
		case isData && data == "[DONE]":
			a.complete = a.problem == "" && a.tokens == want
			if a.tokens != want {
				a.problem = fmt.Sprintf("%d tokens, want %d", a.tokens, want)
			}
			return
		case isData:
			a.addToken([]byte(data))
			a.maxTokenGap = max(a.maxTokenGap, time.Since(last))
			last = time.Now()
		}
	}
	a.problem = "truncated stream"
}

func (a *answer) addToken(data []byte) {
	var event engine.StreamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		a.problem = err.Error()
		return
	}
	if event.TokenOffset != a.tokens {
		a.problem = fmt.Sprintf("token %d, want %d", event.TokenOffset, a.tokens)
	}
	if a.tokens > 0 && event.SystemFingerprint != a.version {
		a.problem = fmt.Sprintf("version %s after %s", event.SystemFingerprint, a.version)
	}
	a.version = event.SystemFingerprint
	a.tokens++
	a.body += event.Choices[0].Delta.Content
}

// call makes one call to a plain service.
func call(e *entryVM, method, service, path, key string, headers ...string) answer {
	if key != "" {
		headers = append(headers, "Idempotency-Key", key)
	}
	start := time.Now()
	response, err := send(method, "http://"+e.caller+"/services/"+service+path, []byte(`{"key":"`+key+`"}`), headers)
	if err != nil {
		return answer{problem: err.Error(), elapsed: time.Since(start)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: string(text), elapsed: time.Since(start)}
	if err != nil {
		a.problem = err.Error()
		return a
	}
	a.complete = response.StatusCode == http.StatusOK
	if !a.complete {
		a.parseRefusal(text)
	}
	return a
}

func send(method, url string, body []byte, headers []string) (*http.Response, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return client.Do(request)
}
