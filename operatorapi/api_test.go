package operatorapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/operatorapi"
	"github.com/zinniaseam/zinniaseam/timeline"
)

const (
	secret = "a-long-enough-operator-key"
	file   = "zones: [{name: a, region: r}, {name: b, region: r}]"
)

// fake implements all interfaces in operatorapi.Config.
type fake struct {
	doc     *configsync.Document
	outcome configsync.Outcome
	base    uint64
	author  string
	orders  []configsync.ZoneOrder
	filter  timeline.Filter
}

func (f *fake) Current() *configsync.Document { return f.doc }

func (f *fake) Publish(_ context.Context, base uint64, _ *catalogue.Set, author string) configsync.Outcome {
	f.base, f.author = base, author
	return f.outcome
}

func (f *fake) SetZone(context.Context, core.ZoneID, catalogue.ZoneState, string) configsync.Outcome {
	return f.outcome
}

func (f *fake) OfferZoneOrder(order configsync.ZoneOrder) bool {
	f.orders = append(f.orders, order)
	return true
}

func (f *fake) ZoneOrders() []configsync.ZoneOrder { return f.orders }

func (f *fake) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{Process: "entry-1"}, nil
}

func (f *fake) Timeline(_ context.Context, filter timeline.Filter) (operatorapi.Timeline, error) {
	f.filter = filter
	return operatorapi.Timeline{Events: []timeline.Event{{Object: "1"}, {Object: "2"}}}, nil
}

func newAPI(t testing.TB) (*fake, http.Handler) {
	keys, err := operatorapi.ParseKeys("night:" + secret + ",day:another-long-operator-key")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{doc: &configsync.Document{ID: configsync.ID{Revision: 4}, Set: catalogue.Set{Zones: []catalogue.Zone{
		{Name: "a", Region: "r", State: catalogue.ZoneIn}, {Name: "b", Region: "r", State: catalogue.ZoneIn}}}}}
	handler, err := operatorapi.New(operatorapi.Config{Keys: keys, Publisher: f, Documents: f, Orders: f, Status: f, Timeline: f})
	if err != nil {
		t.Fatal(err)
	}
	return f, handler
}

func call(handler http.Handler, method, path, body, key string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestEveryPathButHealthNeedsAKey(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	g.Expect(call(handler, "GET", "/healthz", "", "").Code).To(Equal(200))
	for _, path := range []string{"/v1/config", "/v1/status", "/v1/timeline", "/debug/vars"} {
		for _, key := range []string{"", "wrong", secret + "x", secret[:len(secret)-1]} {
			response := call(handler, "GET", path, "", key)
			g.Expect(response.Code).To(Equal(401), path)
			g.Expect(response.Body.String()).To(ContainSubstring(`"error":"unauthorized"`))
		}
		g.Expect(call(handler, "GET", path, "", secret).Code).To(Equal(200), path)
	}
}

func TestKeysCannotBeTriedOutFast(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	var last *httptest.ResponseRecorder
	for range 40 {
		last = call(handler, "GET", "/v1/status", "", "wrong")
	}
	g.Expect(last.Code).To(Equal(429))
	g.Expect(last.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(call(handler, "GET", "/v1/status", "", secret).Code).To(Equal(429), "a correct guess must not be distinguishable")
	other := httptest.NewRequest("GET", "/v1/status", nil)
	other.RemoteAddr = "192.0.2.77:1234"
	other.Header.Set("Authorization", "Bearer "+secret)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, other)
	g.Expect(recorder.Code).To(Equal(200), "other addresses must not be limited")
}

func TestBadKeysAreNamedWithoutBeingShown(t *testing.T) {
	g := NewWithT(t)
	_, err := operatorapi.ParseKeys("night:short-secret,nameless-key-without-colon,day:" + secret + ",day:" + secret)
	g.Expect(err).To(MatchError(And(ContainSubstring(`"night": has 12 bytes`), ContainSubstring("key 2: want name:key"), ContainSubstring(`"day": given twice`))))
	g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
}

func TestValidateReportsEveryProblem(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	response := call(handler, "POST", "/v1/config/validate", "teams: [{name: t, weight: 0}]\nmodels: [{name: ''}]", secret)
	g.Expect(response.Code).To(Equal(422))
	var comparison operatorapi.Comparison
	g.Expect(json.Unmarshal(response.Body.Bytes(), &comparison)).To(Succeed())
	g.Expect(comparison.Problems).To(HaveLen(2))
	g.Expect(call(handler, "POST", "/v1/config/validate", file, secret).Code).To(Equal(200))
}

func TestDiffComparesWithTheRevisionInForce(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	response := call(handler, "POST", "/v1/config/diff", "zones: [{name: a, region: r}]", secret)
	g.Expect(response.Body.String()).To(MatchJSON(`{"revision":4,"problems":null,"changes":[{"kind":"removed","object":"zone/b"}]}`))
}

func TestApplyUsesTheBaseAndTheOperatorsName(t *testing.T) {
	g := NewWithT(t)
	f, handler := newAPI(t)
	f.outcome = configsync.Outcome{Kind: configsync.Accepted, Revision: 5}
	g.Expect(call(handler, "POST", "/v1/config/apply", file, secret).Code).To(Equal(200))
	g.Expect(f.base).To(BeEquivalentTo(4))
	g.Expect(f.author).To(Equal("night"))
	call(handler, "POST", "/v1/config/apply?base=2", file, secret)
	g.Expect(f.base).To(BeEquivalentTo(2))
	g.Expect(call(handler, "POST", "/v1/config/apply?base=x", file, secret).Code).To(Equal(400))
}

func TestOutcomesHaveTheirOwnStatus(t *testing.T) {
	g := NewWithT(t)
	f, handler := newAPI(t)
	for cause, status := range map[configsync.Cause]int{
		configsync.CauseInvalid: 422, configsync.CauseConflict: 409, configsync.CauseStoreBehind: 409,
		configsync.CausePlatformDown: 503, configsync.CauseNotReady: 503, configsync.CauseTooLarge: 413,
	} {
		f.outcome = configsync.Outcome{Kind: configsync.Rejected, Cause: cause}
		g.Expect(call(handler, "POST", "/v1/config/apply", file, secret).Code).To(Equal(status), string(cause))
	}
	f.outcome = configsync.Outcome{Kind: configsync.Unknown, Cause: configsync.CauseAnswerLost}
	g.Expect(call(handler, "POST", "/v1/config/apply", file, secret).Code).To(Equal(504))
}

func TestAVolatileOrderIsGivenOnlyWhenAskedForAndNeeded(t *testing.T) {
	g := NewWithT(t)
	f, handler := newAPI(t)
	f.outcome = configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CausePlatformDown}
	rejected := call(handler, "POST", "/v1/zones/a/out", "", secret)
	g.Expect(rejected.Code).To(Equal(503))
	g.Expect(rejected.Body.String()).To(ContainSubstring("volatile=true"))
	g.Expect(f.orders).To(BeEmpty())
	accepted := call(handler, "POST", "/v1/zones/a/out?volatile=true", "", secret)
	g.Expect(accepted.Code).To(Equal(202))
	g.Expect(accepted.Body.String()).To(ContainSubstring(configsync.ProvisionalText))
	g.Expect(f.orders).To(HaveLen(1))
	g.Expect(f.orders[0].Out).To(BeTrue())
	status := call(handler, "GET", "/v1/status", "", secret)
	g.Expect(status.Body.String()).To(ContainSubstring(`{"name":"a","out":true,"note":"provisional`))
	f.outcome = configsync.Outcome{Kind: configsync.Rejected, Cause: configsync.CauseInvalid}
	g.Expect(call(handler, "POST", "/v1/zones/b/out?volatile=true", "", secret).Code).To(Equal(422))
	f.outcome = configsync.Outcome{Kind: configsync.Accepted}
	g.Expect(call(handler, "POST", "/v1/zones/b/out?volatile=true", "", secret).Code).To(Equal(200))
	g.Expect(f.orders).To(HaveLen(1))
}

func TestTheTimelineIsFilteredAndBounded(t *testing.T) {
	g := NewWithT(t)
	f, handler := newAPI(t)
	response := call(handler, "GET", "/v1/timeline?object=p&zone=a&kind=zone&request=r&since=5m&limit=1", "", secret)
	g.Expect(response.Body.String()).To(ContainSubstring(`"truncated":true`))
	g.Expect(f.filter.Object).To(Equal("p"))
	g.Expect(f.filter.Since).NotTo(BeZero())
	for _, query := range []string{"since=yesterday", "limit=0", "limit=99999"} {
		g.Expect(call(handler, "GET", "/v1/timeline?"+query, "", secret).Code).To(Equal(400), query)
	}
}

func TestMalformedRequestsGetTypedErrors(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	for path, status := range map[string]int{"/v1/config/apply": 413, "/v1/nothing": 404} {
		response := call(handler, "POST", path, strings.Repeat("x", catalogue.MaxFileBytes+1), secret)
		g.Expect(response.Code).To(Equal(status))
		g.Expect(response.Body.String()).To(HavePrefix(`{"error":"`))
	}
	g.Expect(call(handler, "DELETE", "/v1/config", "", secret).Code).To(Equal(405))
	g.Expect(call(handler, "POST", "/v1/config/apply", "pools: 3", secret).Code).To(Equal(400))
}

func TestVarsHideTheArguments(t *testing.T) {
	g := NewWithT(t)
	_, handler := newAPI(t)
	response := call(handler, "GET", "/debug/vars", "", secret)
	g.Expect(response.Body.String()).To(ContainSubstring("memstats"))
	g.Expect(response.Body.String()).NotTo(ContainSubstring("cmdline"))
}

func FuzzApply(f *testing.F) {
	for _, seed := range []string{file, "{", "zones: [{name: a", "\x00", "a: &a [*a]"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		_, handler := newAPI(t)
		response := call(handler, "POST", "/v1/config/diff", body, secret)
		if response.Code != 200 && response.Code != 400 && response.Code != 413 {
			t.Fatalf("status %d: %s", response.Code, response.Body)
		}
		if !json.Valid(response.Body.Bytes()) {
			t.Fatalf("the response is not valid JSON: %s", response.Body)
		}
	})
}
