package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/explain"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/gateway"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
)

// explainSecret is the key of the team in these tests. No answer and no log line may contain it.
const explainSecret = "sk-3f9a11c2"

const explainDeclaration = `{"version":1,"routes":[
	{"name":"r","host":"h","prefix":"/a/","kind":"idempotent","timeout-ms":2000,"goal-ms":100,"service":"s","max-attempts":2},
	{"name":"empty","host":"h","prefix":"/e/","kind":"idempotent","timeout-ms":2000,"goal-ms":100,"service":"none","max-attempts":2}],
	"services":[{"name":"s"},{"name":"none"}],"tenants":[{"name":"team","api-keys":["` + explainSecret + `"]}]}`

// countingStore counts the confirmations that are asked for.
type countingStore struct {
	*store
	confirmations atomic.Int64
}

func (s *countingStore) Revision(ctx context.Context) (uint64, error) {
	s.confirmations.Add(1)
	return s.store.Revision(ctx)
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// explained is a gateway whose metrics address and log are known.
type explained struct {
	t                *testing.T
	callers, metrics string
	store            *countingStore
	log              *lockedBuffer
	// stop begins the planned stop of the gateway.
	stop context.CancelFunc
}

func startExplained(t *testing.T, away bool, backends ...*backend) *explained {
	t.Helper()
	g := NewWithT(t)
	s := &countingStore{store: &store{items: []metastore.Change{{Key: "op/config", Value: []byte(explainDeclaration), Revision: 1}}}}
	s.away.Store(away)
	for i, b := range backends {
		entry, err := json.Marshal(map[string]any{"service": "s", "address": b.address, "zone": "z", "capacity": 4, "state": "ready"})
		g.Expect(err).NotTo(HaveOccurred())
		s.items = append(s.items, metastore.Change{Key: "servers/b" + strconv.Itoa(i), Value: entry, Revision: 1})
	}
	x := &explained{t: t, callers: freeAddress(t), metrics: freeAddress(t), store: s, log: &lockedBuffer{}}
	logger := log.New(x.log)
	logger.SetLevel(log.DebugLevel)
	decoder := &platform.Decoder{Regions: map[core.ZoneID]core.RegionID{"z": "r"}}
	tracker := fleet.NewTracker(fleet.RenewalInterval(renewalInterval), decoder, boottime.Now, logger)
	placer := placement.New(placement.Config{Zone: "z", Region: "r", Random: rand.New(rand.NewPCG(1, 1))})
	gw, err := gateway.New(gateway.Config{
		Name: "gw1", CallerListen: x.callers, ReadyListen: freeAddress(t), MaxKeyAge: 2 * time.Second, MaxDeclarationAge: 1500 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 10, Gateways: 1, StopTimeout: 3 * time.Second, WatchWait: 50 * time.Millisecond, MetricsListen: x.metrics,
		Relay: gateway.RelayConfig{Listen: freeAddress(t), Zone: "z", Region: "r", Version: platform.VersionID},
	}, platform.Dialect{}, s, platform.NewOrigin(), tracker, placer, boottime.Now, logger)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	done := make(chan error, 1)
	go func() { done <- gw.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Eventually(done, 10*time.Second).Should(Receive(BeNil()))
		g.Expect(x.log.String()).NotTo(ContainSubstring(explainSecret))
	})
	want := http.StatusOK
	if away {
		want = http.StatusServiceUnavailable
	}
	g.Eventually(func() int { status, _ := x.ask(http.MethodGet, "host=h&path=/a/", explainSecret); return status }, 5*time.Second, 10*time.Millisecond).Should(Equal(want))
	return x
}

// ask sends a query and returns the status and body of the answer, 0 if there is none.
func (x *explained) ask(method, query, key string) (int, string) {
	request, err := http.NewRequest(method, "http://"+x.metrics+explain.Path+"?"+query, nil)
	NewWithT(x.t).Expect(err).NotTo(HaveOccurred())
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	NewWithT(x.t).Expect(err).NotTo(HaveOccurred())
	NewWithT(x.t).Expect(string(body)).NotTo(ContainSubstring(explainSecret))
	return response.StatusCode, string(body)
}

// answer sends a query that has to be explained.
func (x *explained) answer(query, key string) explain.Answer {
	status, body := x.ask(http.MethodGet, query, key)
	g := NewWithT(x.t)
	g.Expect(status).To(Equal(http.StatusOK), body)
	var answer explain.Answer
	g.Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed())
	return answer
}

// Guards against explanations that lack what decides, and against calls that are sent or counted
// by an explanation.
func TestAGatewayExplainsWhereACallWouldGo(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	x := startExplained(t, false, b)
	for _, query := range []string{"host=h&path=/a/x", "host=h&path=/a/x&team=team&method=GET&timeout=1500ms&prompt-tokens=10&output-tokens=20&service=s"} {
		key := explainSecret
		if strings.Contains(query, "team=") {
			key = ""
		}
		answer := x.answer(query, key)
		g.Expect([]string{answer.Verdict, answer.Route, answer.Service, answer.Team, answer.Process.Name, answer.Process.Zone}).To(Equal([]string{"place", "r", "s", "team", "gw1", "z"}))
		g.Expect(answer.Chosen).To(HaveLen(1))
		g.Expect(answer.Endpoints).To(HaveLen(1))
		g.Expect(answer.Endpoints[0].Chosen).To(BeTrue())
		g.Expect(answer.Process.View.Revision).To(BeEquivalentTo(1))
		g.Expect(answer.Process.View.AgeMS).To(And(BeNumerically(">=", 0), BeNumerically("<", 1500)))
		g.Expect(answer.Process.View.CutOff || answer.Process.View.Old).To(BeFalse())
		g.Expect(answer.Rejection.RetryAfterMS).To(BeNumerically(">", 0))
	}
	answer := x.answer("host=h&path=/e/", explainSecret)
	g.Expect([]string{answer.Verdict, answer.Reason, answer.Rejection.Reason}).To(Equal([]string{"reject", "no_endpoint", "no_endpoint"}))
	g.Expect(b.calls()).To(BeZero())
}

// Guards against errors that do not tell what is wrong, or that repeat a key.
func TestAQueryThatCannotBeExplainedIsAnsweredWithItsError(t *testing.T) {
	x := startExplained(t, false)
	for _, c := range []struct {
		method, query, key string
		status             int
		code, detail       string
	}{
		{"GET", "host=other&path=/a/", explainSecret, http.StatusNotFound, explain.CodeUnknownRoute, `host "other" and path "/a/"`},
		{"GET", "host=h&path=/b/", explainSecret, http.StatusNotFound, explain.CodeUnknownRoute, `host "h" and path "/b/"`},
		{"GET", "host=h&path=/a/", "wrong", http.StatusNotFound, explain.CodeUnknownKey, "no team"},
		{"GET", "host=h&path=/a/", "", http.StatusBadRequest, explain.CodeKeyRequired, `route "r"`},
		{"GET", "host=h&path=/a/&team=nobody", "", http.StatusNotFound, explain.CodeUnknownTeam, `"nobody"`},
		{"GET", "host=h&path=/a/&team=team", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "either"},
		{"GET", "host=h&path=/a/&service=none", explainSecret, http.StatusNotFound, explain.CodeUnknownService, `"none"`},
		{"GET", "host=h&path=/a/&key=" + explainSecret, "", http.StatusBadRequest, explain.CodeBadRequest, "Authorization"},
		{"GET", "host=h&path=/a/&" + explainSecret + "=1", "", http.StatusBadRequest, explain.CodeBadRequest, "unknown query parameter"},
		{"GET", "host=h&host=g&path=/a/", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "host is given 2 times"},
		{"GET", "host=%zz&path=/a/", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "malformed"},
		{"GET", "path=/a/", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "host"},
		{"GET", "host=h&path=a", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "path"},
		{"GET", "host=h&path=/a/&prompt-tokens=-1", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "prompt-tokens"},
		{"GET", "host=h&path=/a/&output-tokens=99999999999999999999", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "output-tokens"},
		{"GET", "host=h&path=/a/&timeout=-1s", explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "timeout"},
		{"GET", "host=h&path=/a/" + strings.Repeat("x", explain.MaxQueryBytes), explainSecret, http.StatusBadRequest, explain.CodeBadRequest, "bytes"},
		{"POST", "host=h&path=/a/", explainSecret, http.StatusMethodNotAllowed, explain.CodeMethodNotAllowed, "GET"},
	} {
		g := NewWithT(t)
		status, body := x.ask(c.method, c.query, c.key)
		g.Expect(status).To(Equal(c.status), "%+v: %s", c, body)
		var failure explain.Failure
		g.Expect(json.Unmarshal([]byte(body), &failure)).To(Succeed(), "%+v: %s", c, body)
		g.Expect(failure.Code).To(Equal(c.code), "%+v", c)
		g.Expect(failure.Detail).To(ContainSubstring(c.detail), "%+v", c)
		g.Expect(failure.Process.Name).To(Equal("gw1"))
	}
}

// Guards against an explanation that hides that the process is cut off from the store, and
// against one that has the store asked.
func TestAGatewayThatIsCutOffSaysSo(t *testing.T) {
	g := NewWithT(t)
	x := startExplained(t, false)
	x.store.away.Store(true)
	g.Eventually(func() bool { return x.answer("host=h&path=/a/", explainSecret).Process.View.CutOff }, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	answer := x.answer("host=h&path=/a/", explainSecret)
	g.Expect([]string{answer.Verdict, answer.Reason}).To(Equal([]string{"reject", "platform_down"}))
	g.Expect(answer.Rejection.Status).To(Equal(http.StatusServiceUnavailable))
	g.Expect([]string{answer.Team, answer.Rejection.Reason}).To(Equal([]string{"team", "platform_down"}))
	status, body := x.ask(http.MethodGet, "host=h&path=/a/", "wrong")
	g.Expect(status).To(Equal(http.StatusNotFound))
	g.Expect(body).To(ContainSubstring(explain.CodeUnknownKey))
	status, body = x.ask(http.MethodGet, "host=h&path=/unknown", explainSecret)
	g.Expect(status).To(Equal(http.StatusNotFound))
	g.Expect(body).To(ContainSubstring(`"cutOff":true`))
	g.Expect(x.store.confirmations.Load()).To(BeZero())
}

// Guards against a process without a declaration that answers as if the route were unknown.
func TestAGatewayWithoutADeclarationSaysSo(t *testing.T) {
	x := startExplained(t, true)
	status, body := x.ask(http.MethodGet, url.Values{"host": {"h"}, "path": {"/a/"}}.Encode(), explainSecret)
	g := NewWithT(t)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(ContainSubstring(explain.CodeNoDeclaration))
}

// Guards against an explanation that has a call placed which a stopping process does not take: the
// call may last for 2 s, and the process ends calls 2.4 s after its stop has begun.
func TestAGatewayThatStopsSaysThatItTakesNoLongCall(t *testing.T) {
	g := NewWithT(t)
	x := startExplained(t, false, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	x.stop()
	var answer explain.Answer
	g.Eventually(func() string { answer = x.answer("host=h&path=/a/", explainSecret); return answer.Reason }, 2*time.Second, 20*time.Millisecond).Should(Equal("leaving"))
	g.Expect(answer.Verdict).To(Equal("reject"))
	g.Expect(answer.Process.Stopping).To(BeTrue())
	short := x.answer("host=h&path=/a/&timeout=100ms", explainSecret)
	g.Expect(short.Verdict).To(Equal("place"))
}
