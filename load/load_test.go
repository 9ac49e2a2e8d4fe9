package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/load/answer"
	standinengine "github.com/zinniaseam/zinniaseam/standin/engine"
	"github.com/zinniaseam/zinniaseam/standin/service"
)

var weightsDigest = core.DigestOf([]byte("weights"))

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return address(server)
}

func configFor(g *WithT, entry, mix string) load.Config {
	classes, err := load.ParseMix(mix)
	g.Expect(err).NotTo(HaveOccurred())
	return load.Config{
		Entries: []string{entry}, Direct: true, Rate: 200, Duration: 200 * time.Millisecond, Model: "m", Service: "s",
		Mix: classes, Seed: 1, Deadline: 3 * time.Second, Expect: map[core.VersionID]core.Digest{"v1": weightsDigest},
	}
}

func run(g *WithT, config load.Config) *load.Report {
	report, err := load.Run(context.Background(), config)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Offered).To(BeNumerically(">", 10))
	return report
}

func TestAnEngineIsAnsweredInFull(t *testing.T) {
	g := NewWithT(t)
	server := standinengine.New(standinengine.Config{TokenInterval: time.Millisecond})
	server.Load("v1", weightsDigest)
	server.Warm()
	report := run(g, configFor(g, serve(t, server), "chat:briefing:a=1"))
	g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.OutcomeAnswered: report.Offered}))
	g.Expect(report.Versions).To(Equal(map[core.VersionID]int{"v1": report.Offered}))
	g.Expect(report.FirstToken.Count).To(Equal(int64(report.Offered)))
	g.Expect(report.GapSeconds).To(BeEmpty())
	g.Expect(report.Violations()).To(Succeed())
}

func TestWrongWeightsAreMixed(t *testing.T) {
	g := NewWithT(t)
	server := standinengine.New(standinengine.Config{TokenInterval: time.Millisecond})
	server.Load("v1", core.DigestOf([]byte("part of the weights")))
	server.Warm()
	report := run(g, configFor(g, serve(t, server), "chat:briefing:a=1"))
	g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.OutcomeMixed: report.Offered}))
	g.Expect(report.Violations()).To(MatchError(ContainSubstring("mixed")))
}

// streamHandler answers every chat with the given tokens, followed by the text end.
func streamHandler(tokens func(prompt string) []string, end string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		stop := "stop"
		texts := tokens(answer.Prompt(request.Messages))
		for i, text := range texts {
			parsed, _ := answer.Parse(text)
			choice := engine.Choice{Delta: engine.Delta{Content: text}}
			if i == len(texts)-1 {
				choice.FinishReason = &stop
			}
			data, _ := json.Marshal(engine.StreamEvent{
				Choices: []engine.Choice{choice}, SystemFingerprint: parsed.Version, TokenOffset: parsed.Offset,
			})
			fmt.Fprintf(w, "data: %s\n\n", data)
		}
		fmt.Fprint(w, end)
	})
}

func tokens(offsets ...int) func(string) []string {
	return func(prompt string) []string {
		var texts []string
		for _, offset := range offsets {
			texts = append(texts, answer.NewGenerator("v1", weightsDigest, prompt).Token(offset))
		}
		return texts
	}
}

func TestStreamsThatAreNotWholeAreNotAnswers(t *testing.T) {
	const done = "data: [DONE]\n\n"
	cases := map[string]struct {
		handler http.Handler
		want    load.Outcome
	}{
		"whole":     {streamHandler(tokens(0, 1, 2), done), load.OutcomeAnswered},
		"no end":    {streamHandler(tokens(0, 1, 2), ""), load.OutcomeIncomplete},
		"short":     {streamHandler(tokens(0, 1), done), load.OutcomeWrong},
		"gap":       {streamHandler(tokens(0, 2, 3), done), load.OutcomeWrong},
		"repeat":    {streamHandler(tokens(0, 0, 1), done), load.OutcomeWrong},
		"error end": {streamHandler(tokens(0), "event: error\ndata: {\"outcome\":\"unknown\",\"reason\":\"incomplete\"}\n\n"), load.OutcomeIncomplete},
		"two versions": {streamHandler(func(prompt string) []string {
			return []string{answer.NewGenerator("v1", weightsDigest, prompt).Token(0), answer.NewGenerator("v2", weightsDigest, prompt).Token(1)}
		}, done), load.OutcomeMixed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			config := configFor(g, serve(t, c.handler), "chat:briefing:a=1")
			config.MaxTokens = 3
			report := run(g, config)
			g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{c.want: report.Offered}))
		})
	}
}

func TestRefusalsAreCountedByReasonAndRetriedWhenTheySay(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	seen := map[string]int{}
	backend := service.New(service.Config{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.Header.Get("Idempotency-Key")]++
		first := seen[r.Header.Get("Idempotency-Key")] == 1
		mu.Unlock()
		if !first {
			backend.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"outcome":"not_run","reason":"overloaded","retry_after_ms":10}`)
	})
	config := configFor(g, serve(t, handler), "order:dispatch:a=1")
	report := run(g, config)
	g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.OutcomeNotRun: report.Offered}))
	g.Expect(report.Failures[0].Reason).To(Equal(core.ReasonOverloaded))
	g.Expect(report.GapSeconds).To(Equal([]int{0}))
	config.Seed = 2
	config.Retries = 1
	report = run(g, config)
	g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.OutcomeAnswered: report.Offered}))
}

func TestTheAuditFindsDoublesAndFalseRefusals(t *testing.T) {
	g := NewWithT(t)
	log := load.NewOrderLog()
	for key, outcome := range map[string]load.Outcome{
		"double": load.OutcomeAnswered, "ran": load.OutcomeNotRun, "never": load.OutcomeAnswered, "lost": load.OutcomeUnknown,
		"after": load.OutcomeNotRun,
	} {
		log.Add(load.Record{
			Arrival: load.Arrival{Key: key, Class: load.Class{Kind: load.KindOrder}}, Attempt: load.Attempt{Outcome: outcome},
			MayHaveRun: key == "after",
		})
	}
	audit := log.Audit(map[string]int{"double": 2, "ran": 1, "lost": 1, "after": 1})
	audit.Examples = nil
	g.Expect(*audit).To(Equal(load.Audit{
		Orders: 5, Duplicates: 1, FalseNotRun: 1, NotRunAfterUnknown: 1, AnsweredNotRun: 1, UnknownRan: 1,
	}))
	g.Expect(audit.Violations()).To(HaveOccurred())
}

func TestTheSamePlanComesFromTheSameSeed(t *testing.T) {
	g := NewWithT(t)
	config := configFor(g, "127.0.0.1:1", "chat:briefing:a=1,order:dispatch:b=1")
	config.FillDefaults()
	first, second := load.NewPlan(&config), load.NewPlan(&config)
	for {
		a, more := first.Next()
		b, _ := second.Next()
		g.Expect(a).To(Equal(b))
		if !more {
			return
		}
	}
}

func TestACallThatIsLostMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	backend := service.New(service.Config{Faults: service.Faults{DropAfterRate: 1}})
	config := configFor(g, serve(t, backend), "order:dispatch:a=1")
	report := run(g, config)
	g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.OutcomeLost: report.Offered}))
	g.Expect(backend.Stats().Duplicates).To(BeZero())
}

func TestACompareRunsBothSides(t *testing.T) {
	g := NewWithT(t)
	server := standinengine.New(standinengine.Config{TokenInterval: time.Millisecond})
	server.Load("v1", weightsDigest)
	server.Warm()
	base := serve(t, server)
	config := configFor(g, base, "chat:briefing:a=1")
	report, err := load.Compare(context.Background(), load.Comparison{
		Load: config, Entries: []string{base}, Engine: base, Slice: 100 * time.Millisecond,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Entry.Offered).To(Equal(report.Direct.Offered))
	g.Expect(report.Entry.Outcomes[load.OutcomeAnswered]).To(Equal(report.Entry.Offered))
}

func TestACompareBreaksItsPromiseOverItsLimits(t *testing.T) {
	g := NewWithT(t)
	report := load.CompareReport{
		Entry: &load.Report{}, Direct: &load.Report{}, AddedFirstToken: load.Added{P50US: 400, P99US: 2_500},
		LimitP50US: 500, LimitP99US: 2_000,
	}
	g.Expect(report.Violations()).To(MatchError(ContainSubstring("2.50 ms p99")))
	report.WithinLimits = true
	g.Expect(report.Violations()).To(Succeed())
}

func TestCallersKeepTheirConnections(t *testing.T) {
	g := NewWithT(t)
	server := standinengine.New(standinengine.Config{TokenInterval: time.Millisecond})
	server.Load("v1", weightsDigest)
	server.Warm()
	var dialled atomic.Int32
	listener := httptest.NewUnstartedServer(server)
	listener.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			dialled.Add(1)
		}
	}
	listener.Start()
	t.Cleanup(listener.Close)
	config := configFor(g, listener.Listener.Addr().String(), "chat:briefing:a=1")
	config.Rate, config.Duration = 20, 2*time.Second
	report := run(g, config)
	g.Expect(report.Outcomes[load.OutcomeAnswered]).To(Equal(report.Offered))
	g.Expect(int(dialled.Load())).To(BeNumerically("<", report.Offered/4))
}
