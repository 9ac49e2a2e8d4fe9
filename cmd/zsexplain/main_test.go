package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/explain"
)

// secret is the key in these tests. It may only be sent in the header Authorization.
const secret = "sk-77b0e4"

// process answers queries as a gateway would, and keeps the last request.
type process struct {
	address string
	last    *http.Request
}

func newProcess(t *testing.T, status int, body any) *process {
	t.Helper()
	p := &process{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.last = r
		w.WriteHeader(status)
		if text, raw := body.(string); raw {
			_, _ = w.Write([]byte(text))
			return
		}
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

// explainAt runs the program and returns its exit code and outputs.
func explainAt(t *testing.T, address string, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), append([]string{"-process", address, "-host", "h", "-path", "/a/"}, args...), &stdout, &stderr)
	NewWithT(t).Expect(stdout.String() + stderr.String()).NotTo(ContainSubstring(secret))
	return code, stdout.String(), stderr.String()
}

func answerWith(verdict string) explain.Answer {
	return explain.Answer{
		Process: explain.Process{Name: "gw1", Zone: "z", View: explain.View{Revision: 7, AgeMS: 120}},
		Method:  "POST", Host: "h", Path: "/a/", Route: "r", Service: "s", Team: "t", Rank: 1, Verdict: verdict, Candidates: 2, Ahead: 3, StartsInMS: 410, AsksPeers: true,
		Queues:    []explain.Queue{{Rank: 1, Waiting: 3, Ahead: 3, NotShortMS: 250, Draining: true}},
		Rejection: explain.Rejection{Status: 503, Reason: "overloaded", RetryAfterMS: 500, RetryAfterMaxMS: 1500},
		Endpoints: []explain.Endpoint{
			{ID: "e0", Zone: "z", Obstacle: "no_slot", Load: 12, Slots: 12, LoadAgeMS: 30, Granted: 4, UsedSlots: 4, GrantAgeMS: 200, PathAgeMS: -1, SlowdownAgeMS: -1, StartLimit: -1},
			{ID: "e1", Zone: "z2", Obstacle: "backing_off", OpensInMS: 180, LoadAgeMS: -1, Granted: -1, GrantAgeMS: -1, PathAgeMS: -1, SlowdownAgeMS: -1, StartLimit: 20, Starts: 3},
		},
	}
}

// Guards against scripts that take a request that waits or is rejected for one that is placed.
func TestTheExitCodeTellsTheVerdict(t *testing.T) {
	for verdict, want := range map[string]int{explain.VerdictPlace: 0, explain.VerdictWait: 3, explain.VerdictReject: 4} {
		g := NewWithT(t)
		p := newProcess(t, http.StatusOK, answerWith(verdict))
		code, out, errOut := explainAt(t, p.address, "-key", secret, "-timeout", "6s", "-prompt-tokens", "900")
		g.Expect(code).To(Equal(want), verdict)
		g.Expect(errOut).To(BeEmpty())
		for _, part := range []string{"gw1", "declaration 7, confirmed 120ms ago", "route r", "team t", "rank 1", "500ms to 1.5s", "no slot", "4/4 (200ms)", "backing off, for 180ms", "3/20"} {
			g.Expect(out).To(ContainSubstring(part))
		}
		if verdict != explain.VerdictPlace {
			g.Expect(out).To(ContainSubstring("3 ahead, predicted wait 410ms"))
		}
		g.Expect(p.last.Header.Get("Authorization")).To(Equal("Bearer " + secret))
		g.Expect(p.last.URL.RawQuery).To(Equal("host=h&method=POST&path=%2Fa%2F&prompt-tokens=900&timeout=6s"))
		code, out, _ = explainAt(t, p.address, "-json")
		g.Expect(code).To(Equal(want), verdict)
		var answer explain.Answer
		g.Expect(json.Unmarshal([]byte(out), &answer)).To(Succeed())
		g.Expect(answer).To(Equal(answerWith(verdict)))
	}
}

// Guards against a key that has to be given where lists of processes show it.
func TestTheKeyMayComeFromTheEnvironment(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("ZINNIASEAM_KEY", secret)
	p := newProcess(t, http.StatusOK, answerWith(explain.VerdictPlace))
	code, _, _ := explainAt(t, p.address)
	g.Expect(code).To(Equal(0))
	g.Expect(p.last.Header.Get("Authorization")).To(Equal("Bearer " + secret))
	code, out, _ := explainAt(t, p.address, "-print-settings")
	g.Expect(code).To(Equal(0))
	g.Expect(out).To(ContainSubstring("key=(hidden)"))
}

// Guards against a process whose state is hidden although its explanation rests on it.
func TestACutOffProcessIsNamed(t *testing.T) {
	g := NewWithT(t)
	answer := answerWith(explain.VerdictReject)
	answer.Process.View = explain.View{Revision: 7, AgeMS: 9000, Old: true, CutOff: true, MaxKeyAgeMS: 4000}
	p := newProcess(t, http.StatusOK, answer)
	_, out, _ := explainAt(t, p.address)
	g.Expect(out).To(ContainSubstring("CUT OFF from the store (over 4s)"))
	answer.Process.View.CutOff, answer.Process.View.MaxAgeMS = false, 2000
	_, out, _ = explainAt(t, newProcess(t, http.StatusOK, answer).address)
	g.Expect(out).To(ContainSubstring("view OLD (over 2s)"))
}

// Guards against errors that do not tell what to mend.
func TestErrorsNameTheirCause(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	refused := closed.Addr().String()
	closed.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts in its backlog and never answers
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { silent.Close() })
	failure := explain.Failure{Process: explain.Process{Name: "gw1", View: explain.View{Revision: 7}}, Code: explain.CodeUnknownRoute, Detail: `host "h" and path "/a/"`}
	for name, c := range map[string]struct {
		address string
		args    []string
		want    string
	}{
		"refused":       {refused, nil, "process " + refused + " cannot be reached"},
		"silent":        {silent.Addr().String(), []string{"-wait", "50ms"}, "no answer within 50ms"},
		"route":         {newProcess(t, http.StatusNotFound, failure).address, nil, `unknown_route: host "h" and path "/a/" (gw1`},
		"no gateway":    {newProcess(t, http.StatusNotFound, "404 page not found").address, nil, "is this the metrics address of a gateway?"},
		"no answer":     {newProcess(t, http.StatusOK, "{}").address, nil, "is this the metrics address of a gateway?"},
		"address":       {"10.0.0.1", nil, "setting process"},
		"key and team":  {refused, []string{"-key", secret, "-team", "t"}, "at most one"},
		"arguments":     {refused, []string{"more"}, "1 arguments after the flags"},
		"tokens":        {refused, []string{"-prompt-tokens", "-1"}, "setting prompt-tokens"},
		"unknown flags": {refused, []string{"-nonsense"}, "nonsense"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Now()
			code, out, errOut := explainAt(t, c.address, c.args...)
			g.Expect(code).To(Equal(1))
			g.Expect(out).To(BeEmpty())
			g.Expect(errOut).To(ContainSubstring(c.want))
			g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
		})
	}
}
