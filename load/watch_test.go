package load_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/load"
	standinengine "github.com/zinniaseam/zinniaseam/standin/engine"
	"github.com/zinniaseam/zinniaseam/standin/origin"
	"github.com/zinniaseam/zinniaseam/standin/service"
)

func TestASpreadIsOverWhenEveryEngineServesTheVersion(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "weights")
	g.Expect(os.WriteFile(path, []byte("weights"), 0o600)).To(Succeed())
	store := origin.New(origin.Config{})
	_, err := store.AddFile("v1", path, 4)
	g.Expect(err).NotTo(HaveOccurred())
	first, second := standinengine.New(standinengine.Config{}), standinengine.New(standinengine.Config{})
	first.Load("v1", weightsDigest)
	watch := load.SpreadWatch{
		Engines: []string{serve(t, first), serve(t, second)}, Origin: serve(t, store),
		Version: "v1", Timeout: 300 * time.Millisecond, Progress: io.Discard,
	}
	report, err := watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Replicas).To(Equal(1))
	g.Expect(report.Violations()).To(MatchError(ContainSubstring("1 of 2")))
	second.Load("v1", weightsDigest)
	report, err = watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.ToReplicas).To(HaveLen(2))
	g.Expect(report.Violations()).To(Succeed())
}

// Guards against a last poll that the timeout ends and that counts engines as without the
// version, although they served it in the poll before.
func TestAPollThatTheTimeoutEndsDoesNotChangeTheReplicas(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "weights")
	g.Expect(os.WriteFile(path, []byte("weights"), 0o600)).To(Succeed())
	store := origin.New(origin.Config{})
	_, err := store.AddFile("v1", path, 4)
	g.Expect(err).NotTo(HaveOccurred())
	first, second := standinengine.New(standinengine.Config{}), standinengine.New(standinengine.Config{})
	first.Load("v1", weightsDigest)
	var polls atomic.Int64
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The first poll has two requests: the status, and the staged chunks for the progress line.
		if polls.Add(1) > 2 {
			<-r.Context().Done()
			return
		}
		first.ServeHTTP(w, r)
	})
	watch := load.SpreadWatch{
		Engines: []string{serve(t, slow), serve(t, second)}, Origin: serve(t, store),
		Version: "v1", Timeout: time.Second, Progress: io.Discard,
	}
	report, err := watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Replicas).To(Equal(1))
}

func TestNewWorkAfterTheGraceBreaksAPromise(t *testing.T) {
	g := NewWithT(t)
	backend := serve(t, service.New(service.Config{}))
	watch := load.QuietWatch{Services: []string{backend}, Grace: 50 * time.Millisecond, Duration: 100 * time.Millisecond}
	report, err := watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations()).To(Succeed())
	config := configFor(g, backend, "order:dispatch:a=1")
	config.Duration = time.Second
	go func() { _, _ = load.Run(context.Background(), config) }()
	report, err = watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations()).To(HaveOccurred())
	watch.Busy = true
	report, err = watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations()).To(Succeed())
	watch.Services = nil
	report, err = watch.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Violations()).To(MatchError(ContainSubstring("no request reached")))
}

func TestTheBalancerLeavesOutEntriesThatAreNotReady(t *testing.T) {
	g := NewWithT(t)
	var called atomic.Int64
	entry := func(status int) string {
		return serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/readyz" {
				w.WriteHeader(status)
				return
			}
			if status != http.StatusOK {
				called.Add(1)
			}
			streamHandler(tokens(0), "data: [DONE]\n\n").ServeHTTP(w, r)
		}))
	}
	config := configFor(g, entry(http.StatusOK), "chat:briefing:a=1")
	config.Entries = append(config.Entries, entry(http.StatusServiceUnavailable))
	config.MaxTokens = 1
	config.Balance = true
	config.Duration = time.Second
	config.Rate = 100
	report := run(g, config)
	g.Expect(report.Outcomes[load.OutcomeAnswered]).To(Equal(report.Offered))
	// Both entries receive requests until the first readiness check completes.
	g.Expect(int(called.Load())).To(BeNumerically("<", report.Offered/4))
}

func TestTheVerdictNamesEveryBrokenPromise(t *testing.T) {
	g := NewWithT(t)
	verdict := load.Verdict{
		Spreads: []*load.SpreadReport{{Version: "v1", Engines: 2, Replicas: 2, OriginCopies: 4.5}},
		Stages: []load.Stage{{
			Name: "move", Report: &load.Report{IdempotentGapSeconds: []int{3}, Outcomes: map[load.Outcome]int{load.OutcomeLost: 4}},
			Audit: &load.Audit{Duplicates: 1}, NoGaps: true, NoCuts: true,
		}},
		Quiet:   &load.QuietReport{NewWork: 1},
		Engines: &load.EngineReport{Crashes: 2, OrdersDuringStreams: 3},
	}
	for _, part := range []string{"4.50 copies", "1 doubles", "seconds [3]", "1 requests reached", "over 2 times", "4 requests were cut", "3 load orders"} {
		g.Expect(verdict.Violations()).To(MatchError(ContainSubstring(part)))
	}
	g.Expect(verdict.WriteTable(io.Discard)).To(Succeed())
}
