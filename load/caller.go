package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Headers of the caller API.
const (
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
	headerDeadline = "X-Deadline-Ms"
	headerKey      = "Idempotency-Key"
)

// caller sends the requests of a run and classifies the responses.
type caller struct {
	config   *Config
	http     *http.Client
	expected map[core.VersionID]core.Digest
	entries  *balancer
}

func newCaller(config *Config) *caller {
	return &caller{
		config: config, http: &http.Client{Transport: config.transport()}, expected: config.expected(),
		entries: newBalancer(config.Entries),
	}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// request sends one arrival, with retries, and returns its record. Times are
// measured from began.
func (c *caller) request(ctx context.Context, arrival Arrival, began time.Time) Record {
	deadline := began.Add(c.config.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	record := Record{Arrival: arrival}
	for {
		started := time.Now()
		entry := c.entries.pick(arrival.Sequence + record.Attempts)
		record.Attempt = c.attempt(ctx, "http://"+entry, &arrival)
		record.Attempts++
		record.appendHistory(entry, time.Since(began))
		if record.FirstToken > 0 {
			record.FirstToken += started.Sub(began)
		}
		record.Elapsed = time.Since(began)
		if !c.mayRetry(&record) || !sleepUntil(ctx, time.Now().Add(record.RetryAfter), deadline) {
			return record
		}
	}
}

// appendHistory adds the last attempt to the history.
func (r *Record) appendHistory(entry string, elapsed time.Duration) {
	ended := fmt.Sprintf("%s %s from %s at %.3f s", r.Outcome, r.Reason, entry, elapsed.Seconds())
	r.MayHaveRun = r.MayHaveRun || r.Outcome == OutcomeUnknown || r.Outcome == OutcomeLost && r.Reason != ReasonDial
	r.History = append(r.History, ended)
}

func (c *caller) attempt(ctx context.Context, base string, arrival *Arrival) Attempt {
	if arrival.Class.Kind == KindChat {
		return c.chat(ctx, base, arrival)
	}
	return c.plain(ctx, base, arrival)
}

// mayRetry reports whether the caller retries the request.
func (c *caller) mayRetry(record *Record) bool {
	if record.Attempts > c.config.Retries {
		return false
	}
	switch record.Outcome {
	case OutcomeNotRun:
		return record.RetryAfter > 0
	case OutcomeUnknown, OutcomeLost:
		return c.config.RetryUnknown || record.Reason == ReasonDial
	}
	return false
}

// sleepUntil waits until at. It returns false if at is after deadline or ctx is done
// first.
func sleepUntil(ctx context.Context, at, deadline time.Time) bool {
	if at.After(deadline) {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) setHeaders(ctx context.Context, request *http.Request, arrival *Arrival) {
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerPriority, arrival.Class.Priority.String())
	request.Header.Set(headerTeam, string(arrival.Class.Team))
	if end, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(end.Add(-answerGrace)).Milliseconds())
		request.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	}
}

// plainReply is the part of a plain service's answer that is verified.
type plainReply struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// plain sends one plain call and verifies that the answer belongs to it.
func (c *caller) plain(ctx context.Context, base string, arrival *Arrival) Attempt {
	path := c.config.Path + "/" + arrival.Key
	url := base + "/services/" + string(c.config.Service) + path
	if c.config.Direct {
		url = base + path
	}
	method := http.MethodGet
	if arrival.Class.Kind == KindOrder {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(`{"order":"`+arrival.Key+`"}`))
	if err != nil {
		panic(err)
	}
	// Without GetBody, the HTTP transport does not retry the request on its own.
	request.GetBody = nil
	c.setHeaders(ctx, request, arrival)
	if arrival.Class.Kind == KindOrder {
		request.Header.Set(headerKey, arrival.Key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return connectionFailure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRejection(response)
	}
	var reply plainReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&reply); err != nil {
		return Attempt{Outcome: OutcomeIncomplete, Reason: ReasonCut, Detail: err.Error()}
	}
	wantKey := request.Header.Get(headerKey)
	if reply.Key != wantKey || reply.Method != method || reply.Path != path {
		return Attempt{Outcome: OutcomeWrong, Reason: "other_answer", Detail: reply.Key + " " + reply.Path}
	}
	return Attempt{Outcome: OutcomeAnswered}
}

// connectionFailure classifies an error that occurred before any response.
func connectionFailure(err error) Attempt {
	attempt := Attempt{Outcome: OutcomeLost, Reason: ReasonConnection, Detail: err.Error()}
	var operation *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		attempt.Reason = ReasonTimeout
	case errors.As(err, &operation) && operation.Op == "dial":
		attempt.Reason = ReasonDial
	}
	return attempt
}

// readRejection classifies a response with an error status.
func readRejection(response *http.Response) Attempt {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var refusal Refusal
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Outcome == "" {
		detail := strconv.Itoa(response.StatusCode) + " " + string(body)
		return Attempt{Outcome: OutcomeLost, Reason: ReasonUntyped, Detail: detail}
	}
	attempt := Attempt{Outcome: OutcomeUnknown, Reason: refusal.Reason, Detail: refusal.Detail}
	if refusal.Outcome == OutcomeNotRun {
		attempt.Outcome = OutcomeNotRun
	}
	attempt.RetryAfter = time.Duration(refusal.RetryAfterMS) * time.Millisecond
	return attempt
}
