package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/explain"
	"github.com/zinniaseam/zinniaseam/settings"
)

const (
	// defaultWait and maxWait bound the wait for the process.
	defaultWait = 3 * time.Second
	minWait     = 10 * time.Millisecond
	maxWait     = time.Minute
	// maxAnswerBytes bounds an answer: about 600 bytes for each of some ten thousand endpoints.
	maxAnswerBytes = 8 << 20
	// minKeyBytes is the shortest key.
	minKeyBytes = 1
)

// options are the settings of the program.
type options struct {
	process, host, path, method string
	key, team, service          string
	promptTokens, outputTokens  int
	timeout, wait               time.Duration
	json                        bool
}

// parse reads the settings.
func parse(args []string, out, errOut io.Writer) (*options, error) {
	o := &options{}
	set := settings.New("zsexplain", errOut)
	set.Text(&o.process, "process", "", "address and port of the metrics of the gateway, such as 10.0.0.1:9464", true)
	set.Text(&o.host, "host", "", "host of the request", true)
	set.Text(&o.path, "path", "", "path of the request, such as /v1/chat", true)
	set.Text(&o.method, "method", http.MethodPost, "method of the request", true)
	set.Secret(&o.key, "key", "key of the caller's team; better set in the environment as ZINNIASEAM_KEY", minKeyBytes, false)
	set.Text(&o.team, "team", "", "name of the caller's team, instead of a key", false)
	set.Text(&o.service, "service", "", "service to explain, of a route that is split among several; by default the one with the most weight", false)
	set.Int(&o.promptTokens, "prompt-tokens", 0, 0, explain.MaxTokens, "tokens", "length of the prompt, 0 if unknown")
	set.Int(&o.outputTokens, "output-tokens", 0, 0, explain.MaxTokens, "tokens", "expected length of the answer, 0 if unknown")
	set.Duration(&o.timeout, "timeout", 0, 0, explain.MaxTimeoutMS*time.Millisecond, "how long the caller waits, 0 for the time of the route")
	set.Duration(&o.wait, "wait", defaultWait, minWait, maxWait, "how long to wait for the process")
	set.Bool(&o.json, "json", false, "print the answer as JSON")
	if err := set.Parse(args, out); err != nil {
		return nil, err
	}
	if rest := set.FlagSet().NArg(); rest > 0 {
		return nil, fmt.Errorf("%d arguments after the flags, want none", rest)
	}
	if _, _, err := net.SplitHostPort(o.process); err != nil {
		return nil, fmt.Errorf("setting process = %q: want an address and port such as 10.0.0.1:9464", o.process)
	}
	if o.key != "" && o.team != "" {
		return nil, errors.New("settings key and team: want at most one of them")
	}
	return o, nil
}

// query returns the query of the request to the process, without the key.
func (o *options) query() url.Values {
	values := url.Values{explain.ParamHost: {o.host}, explain.ParamPath: {o.path}, explain.ParamMethod: {o.method}}
	for name, value := range map[string]string{explain.ParamTeam: o.team, explain.ParamService: o.service} {
		if value != "" {
			values.Set(name, value)
		}
	}
	for name, count := range map[string]int{explain.ParamPromptTokens: o.promptTokens, explain.ParamOutputTokens: o.outputTokens} {
		if count > 0 {
			values.Set(name, strconv.Itoa(count))
		}
	}
	if o.timeout > 0 {
		values.Set(explain.ParamTimeout, o.timeout.String())
	}
	return values
}

// ask sends the query and returns the answer, also as received.
func ask(ctx context.Context, o *options) (*explain.Answer, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	target := url.URL{Scheme: "http", Host: o.process, Path: explain.Path, RawQuery: o.query().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, nil, fmt.Errorf("process %s: %w", o.process, err)
	}
	if o.key != "" {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	// A redirect or a proxy would get the key.
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, unreachable(o, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, nil, unreachable(o, err)
	case len(body) > maxAnswerBytes:
		return nil, nil, fmt.Errorf("process %s: answer of more than %d bytes", o.process, maxAnswerBytes)
	case response.StatusCode != http.StatusOK:
		return nil, nil, failureOf(o, response.StatusCode, body)
	}
	var answer explain.Answer
	known := []string{explain.VerdictPlace, explain.VerdictWait, explain.VerdictReject}
	if err := json.Unmarshal(body, &answer); err != nil || !slices.Contains(known, answer.Verdict) {
		return nil, nil, fmt.Errorf("process %s: the answer is no explanation; is this the metrics address of a gateway?", o.process)
	}
	return &answer, body, nil
}

// unreachable describes an error of the connection.
func unreachable(o *options, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("process %s cannot be reached: no answer within %s", o.process, o.wait)
	}
	var request *url.Error
	if errors.As(err, &request) {
		err = request.Err // without the URL, which repeats the query
	}
	return fmt.Errorf("process %s cannot be reached: %w", o.process, err)
}

// failureOf describes an answer with another status than 200.
func failureOf(o *options, status int, body []byte) error {
	var failure explain.Failure
	if json.Unmarshal(body, &failure) != nil || failure.Code == "" {
		return fmt.Errorf("process %s: status %d without an explanation; is this the metrics address of a gateway?", o.process, status)
	}
	return fmt.Errorf("%s: %s (%s)", failure.Code, failure.Detail, processLine(&failure.Process))
}
