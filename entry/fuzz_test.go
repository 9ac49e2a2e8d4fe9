package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/entry"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/routing"
)

// newUnconfiguredHandler returns the caller API of an entry without configuration.
func newUnconfiguredHandler(f *testing.F) http.Handler {
	f.Helper()
	n := node.New(node.Identity{VM: "entry-1", Role: core.RoleEntry, Zone: "a", Incarnation: 1}, logging.Discard())
	picker, err := routing.Pickers.New(routing.DefaultPicker)
	if err != nil {
		f.Fatal(err)
	}
	return entry.NewCallerAPI(n, entry.NewDispatcher(n, entry.NewEndpointTable(n, picker, routing.HedgeConfig{}, true))).Handler()
}

// requireRefusal fails the test unless the answer is a typed refusal of a request that
// did not run. For a request with an idempotency key, an entry without configuration
// must report an unknown outcome, since an earlier request with the key may have run.
func requireRefusal(t *testing.T, answer *httptest.ResponseRecorder, key string) {
	t.Helper()
	if answer.Code < http.StatusBadRequest || answer.Code == http.StatusInternalServerError {
		t.Fatalf("status %d: %s", answer.Code, answer.Body)
	}
	var refusal struct {
		Outcome string      `json:"outcome"`
		Reason  core.Reason `json:"reason"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &refusal); err != nil {
		t.Fatalf("status %d with %q: %v", answer.Code, answer.Body, err)
	}
	want := core.OutcomeNotRun
	if key != "" && refusal.Reason == core.ReasonWarming {
		want = core.OutcomeUnknown
	}
	if refusal.Outcome != want.String() || refusal.Reason == "" {
		t.Fatalf("status %d with %s", answer.Code, answer.Body)
	}
	if kind := answer.Header().Get("Content-Type"); kind != "application/json" {
		t.Fatalf("content type %q", kind)
	}
}

// FuzzChatRequest sends arbitrary bodies and headers. Each request must get a typed
// refusal.
func FuzzChatRequest(f *testing.F) {
	handler := newUnconfiguredHandler(f)
	f.Add([]byte(`{"model":"assistant","messages":[{"role":"user","content":"hi"}],"stream":true}`), "dispatch", "1000", "team")
	f.Add([]byte(`{"model":"","messages":[]}`), "", "", "")
	f.Add([]byte(`{"model":"assistant","messages":[{}],"max_tokens":-1}`), "urgent", "-5", "")
	f.Add([]byte(`{"messages":`), "summary", "9999999999999999999", strings.Repeat("t", 300))
	f.Add(bytes.Repeat([]byte("["), 100_000), "", "0", "")
	f.Add(bytes.Repeat([]byte(" "), entry.MaxBodyBytes+1), "", "", "")
	f.Fuzz(func(t *testing.T, body []byte, priority, deadline, team string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		request.Header.Set("X-Priority", priority)
		request.Header.Set("X-Deadline-Ms", deadline)
		request.Header.Set("X-Team", team)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		requireRefusal(t, answer, "")
	})
}

// FuzzServicePath sends arbitrary methods, paths and queries to plain services. Each
// request must get a typed refusal.
func FuzzServicePath(f *testing.F) {
	handler := newUnconfiguredHandler(f)
	f.Add("GET", "desk/stock/salt", "depot=7", "", []byte(nil))
	f.Add("POST", "desk/orders", "", "key-1", []byte(`{}`))
	f.Add("BREW", "desk", "", "", []byte(nil))
	f.Add("PUT", "../v1/config", "%zz", strings.Repeat("k", 300), []byte(nil))
	f.Add("DELETE", "//%2e%2e/%00", "a=1;b=2", "", bytes.Repeat([]byte("x"), entry.MaxBodyBytes+1))
	f.Fuzz(func(t *testing.T, method, path, query, key string, body []byte) {
		target, err := url.ParseRequestURI("/services/" + path)
		if err != nil || !validMethod(method) {
			return // a server rejects these before calling the handler
		}
		target.RawQuery = query
		request := httptest.NewRequest(http.MethodGet, "/", bytes.NewReader(body))
		request.Method, request.URL, request.RequestURI = method, target, target.RequestURI()
		request.Header.Set("Idempotency-Key", key)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		requireRefusal(t, answer, key)
	})
}

// validMethod reports whether an HTTP server accepts the method.
func validMethod(method string) bool {
	_, err := http.NewRequest(method, fmt.Sprintf("http://%s/", "127.0.0.1"), nil)
	return err == nil && method != ""
}
