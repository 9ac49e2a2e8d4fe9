package gateway

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/explain"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/placement"
)

// explanations counts the answers to operators' queries by verdict or error code.
var explanations = expvar.NewMap("explanations")

const (
	// explainWriteTimeout bounds the sending of an explanation.
	explainWriteTimeout = 5 * time.Second
	// explainKeyScheme precedes a team's key in the header Authorization.
	explainKeyScheme = "Bearer "
)

var explainParams = []string{
	explain.ParamHost, explain.ParamPath, explain.ParamMethod, explain.ParamTeam, explain.ParamService,
	explain.ParamPromptTokens, explain.ParamOutputTokens, explain.ParamTimeout,
}

// explainFailure is a query that cannot be explained.
type explainFailure struct {
	status       int
	code, detail string
}

func badQuery(format string, values ...any) *explainFailure {
	return &explainFailure{http.StatusBadRequest, explain.CodeBadRequest, fmt.Sprintf(format, values...)}
}

// serveExplain answers an operator's query where a request would go now. It changes nothing that
// a later decision depends on, and asks the store nothing.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	now, view := g.now(), g.tracker.View()
	answer, failure := g.explain(r, view, now)
	status, outcome := http.StatusOK, answer.Verdict
	var body any = answer
	if failure != nil {
		status, outcome = failure.status, failure.code
		body = explain.Failure{Process: g.describe(view, now), Code: failure.code, Detail: failure.detail}
	}
	explanations.Add(outcome, 1)
	g.explainLines.Info("Explained where a request would go.", "outcome", outcome, "route", answer.Route, "team", answer.Team, "reason", answer.Reason,
		"chosen", answer.Chosen, "declaration", view.DeclarationRevision(), "ageMs", now.Sub(view.ConfirmedAt).Milliseconds())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(explainWriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodGet)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// describe returns the state of this process and of its view.
func (g *Gateway) describe(view *fleet.View, now boottime.Instant) explain.Process {
	process := explain.Process{
		Name: string(g.config.Name), Zone: string(g.config.Relay.Zone), Region: string(g.config.Relay.Region), Stopping: g.stopping.Load(),
		View: explain.View{
			Revision: view.DeclarationRevision(), AgeMS: -1, Old: true, CutOff: true,
			MaxAgeMS: millis(g.config.MaxDeclarationAge), MaxKeyAgeMS: millis(g.config.MaxKeyAge),
		},
	}
	if view.ConfirmedAt != 0 {
		age := now.Sub(view.ConfirmedAt)
		process.View.AgeMS, process.View.Old, process.View.CutOff = millis(age), age > g.config.MaxDeclarationAge, age > g.config.MaxKeyAge
	}
	return process
}

// explain answers a query. A call that the check of real calls would deny by an old view is
// explained as if the view were up to date; the process in the answer says that it is old.
func (g *Gateway) explain(r *http.Request, view *fleet.View, now boottime.Instant) (explain.Answer, *explainFailure) {
	if r.Method != http.MethodGet {
		return explain.Answer{}, &explainFailure{http.StatusMethodNotAllowed, explain.CodeMethodNotAllowed, "want GET"}
	}
	query, failure := parseExplainQuery(r)
	if failure != nil {
		return explain.Answer{}, failure
	}
	deployment := view.Deployment
	if deployment == nil {
		return explain.Answer{}, &explainFailure{http.StatusServiceUnavailable, explain.CodeNoDeclaration, "this process has not read a declaration yet; it rejects all calls with 503"}
	}
	if query.team != "" {
		if query.call.Key, failure = keyOfTeam(deployment, query.team); failure != nil {
			return explain.Answer{}, failure
		}
	}
	route := deployment.Route(query.call.Host, query.call.Path)
	if route == nil {
		return explain.Answer{}, &explainFailure{http.StatusNotFound, explain.CodeUnknownRoute,
			fmt.Sprintf("no route of declaration %d matches host %q and path %q", view.DeclarationRevision(), query.call.Host, query.call.Path)}
	}
	service, failure := explainedService(route, query.service)
	if failure != nil {
		return explain.Answer{}, failure
	}
	answer := explain.Answer{
		Process: g.describe(view, now), Method: query.call.Method, Host: query.call.Host, Path: query.call.Path, Route: route.Name,
		Service: string(service), Rank: route.Priority, TimeoutMS: millis(callTimeout(&query.call, route)),
	}
	for _, target := range route.Targets {
		answer.Targets = append(answer.Targets, explain.Target{Service: string(target.Service), Weight: target.Weight})
	}
	a, rejected := g.check(view, &query.call, now, now)
	if a == nil {
		// The age of the view hides what the declaration says of the call.
		if a, _ = g.check(view, &query.call, now, view.ConfirmedAt); a == nil {
			return explain.Answer{}, keyFailure(view, route, &query.call)
		}
	}
	a.service = service
	request := a.request(nil, false, 0)
	answer.Team, answer.Rank = string(request.Team), request.Priority
	if query.call.Key != "" && a.team == nil {
		answer.Note = "the route needs no key; key and team are not looked at"
	}
	addPlacement(&answer, g.scheduler.explain(request))
	switch {
	case rejected != nil:
		rejectAnswer(&answer, rejected, "the view is too old to accept keys by it; figures and endpoints are those that would count if the store confirmed it now")
	case !g.takes(a):
		rejectAnswer(&answer, stopped, "the process is stopping and would not end the call in time")
	}
	return answer, nil
}

// keyFailure describes a call whose key the declaration does not have.
func keyFailure(view *fleet.View, route *catalogue.HTTPRoute, call *forward.Call) *explainFailure {
	if call.Key == "" {
		return &explainFailure{http.StatusBadRequest, explain.CodeKeyRequired, fmt.Sprintf("route %q needs a key: send one as bearer token in Authorization, or name a team", route.Name)}
	}
	return &explainFailure{http.StatusNotFound, explain.CodeUnknownKey, fmt.Sprintf("no team of declaration %d has this key", view.DeclarationRevision())}
}

// explainedService returns the service that an explanation is about: the one named, or else the
// one to which most calls of the route go.
func explainedService(route *catalogue.HTTPRoute, named string) (core.ServiceID, *explainFailure) {
	var most catalogue.WeightedTarget
	for _, target := range route.Targets {
		if named == string(target.Service) {
			return target.Service, nil
		}
		if target.Weight > most.Weight || most.Service == "" {
			most = target
		}
	}
	if named != "" {
		return "", &explainFailure{http.StatusNotFound, explain.CodeUnknownService, fmt.Sprintf("route %q has no target %q", route.Name, named)}
	}
	return most.Service, nil
}

// keyOfTeam returns a key of the named team, so that the check of real calls finds the team.
func keyOfTeam(deployment *catalogue.Deployment, name string) (string, *explainFailure) {
	i := slices.IndexFunc(deployment.Teams, func(t catalogue.KeyedTeam) bool { return string(t.Name) == name })
	switch {
	case i < 0:
		return "", &explainFailure{http.StatusNotFound, explain.CodeUnknownTeam, fmt.Sprintf("the declaration has no team %q", name)}
	case len(deployment.Teams[i].Keys) == 0:
		return "", &explainFailure{http.StatusNotFound, explain.CodeUnknownTeam, fmt.Sprintf("team %q has no key, so that it can send no call", name)}
	}
	return deployment.Teams[i].Keys[0], nil
}

// rejectAnswer turns an answer into a rejection that does not depend on the endpoints.
func rejectAnswer(answer *explain.Answer, r *rejection, note string) {
	answer.Verdict, answer.Reason, answer.Note, answer.AsksPeers = explain.VerdictReject, string(r.reason), note, false
	answer.Rejection = explain.Rejection{Status: r.status, Reason: string(r.reason), RetryAfterMS: millis(r.retryAfter), RetryAfterMaxMS: millis(r.retryAfter)}
}

// addPlacement adds the explanation of the placer to an answer.
func addPlacement(answer *explain.Answer, x placement.Explanation) {
	answer.Verdict = map[placement.Verdict]string{placement.Place: explain.VerdictPlace, placement.Wait: explain.VerdictWait, placement.Reject: explain.VerdictReject}[x.Verdict]
	answer.Reason, answer.Candidates, answer.Ahead = string(x.Reason), x.Candidates, x.Ahead
	answer.StartsInMS, answer.TimeLeftMS, answer.StandingMS = millis(x.StartsIn), millis(x.TimeLeft), millis(x.StandingFor)
	answer.Displaces, answer.DisplacesTeam = x.Displaces, string(x.DisplacedTeam)
	answer.AsksPeers = x.Verdict == placement.Wait || x.Verdict == placement.Reject && x.Reason == core.ReasonOverloaded
	reason := x.Reason
	if reason == "" {
		reason = core.ReasonOverloaded
	}
	answer.Rejection = explain.Rejection{
		Status: http.StatusServiceUnavailable, Reason: string(reason),
		RetryAfterMS: millis(orElsewhere(x.RetryAfterMin)), RetryAfterMaxMS: millis(orElsewhere(x.RetryAfterMax)),
	}
	for _, id := range x.Chosen {
		answer.Chosen = append(answer.Chosen, string(id))
	}
	for _, q := range x.Ranks {
		answer.Queues = append(answer.Queues, explain.Queue{Rank: q.Rank, Waiting: q.Waiting, Ahead: q.Ahead, Draining: q.Draining, NotShortMS: ageMillis(q.NotShortFor)})
	}
	for i := range x.Endpoints {
		answer.Endpoints = append(answer.Endpoints, endpointRow(&x.Endpoints[i]))
	}
}

// orElsewhere returns the time that a rejection tells if none is predicted.
func orElsewhere(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return elsewhereRetryAfter
	}
	return retryAfter
}

func endpointRow(e *placement.EndpointExplanation) explain.Endpoint {
	return explain.Endpoint{
		ID: string(e.Endpoint.ID), Zone: string(e.Endpoint.Zone), Region: string(e.Endpoint.Region), Obstacle: string(e.Obstacle), Chosen: e.Chosen, LastResort: e.LastResort,
		ExpectedMS: millis(e.Expected), Load: e.Load, LoadAgeMS: ageMillis(e.LoadAge), Slots: e.Endpoint.Slots,
		Granted: e.Granted, GrantAgeMS: ageMillis(e.GrantAge), UsedSlots: e.UsedSlots,
		PathDelayMS: millis(e.PathDelay), PathAgeMS: ageMillis(e.PathAge), Slowdown: e.Slowdown, SlowdownAgeMS: ageMillis(e.SlowdownAge),
		Weights: e.Weights, NewestWeights: e.NewestWeights, SupersededMS: ageMillis(e.SupersededFor), StartLimit: e.StartLimit, Starts: e.Starts,
		PendingPrefill: e.PendingPrefill, OpensInMS: millis(e.OpensIn), ClosesInMS: millis(e.ClosesIn), Unregistered: e.Endpoint.Unregistered,
	}
}

// millis returns a duration in milliseconds with the precision of a microsecond.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ageMillis is millis for an age, -1 for one that is unknown.
func ageMillis(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return millis(d)
}

// explain returns the decision that place would make on a request now.
func (s *scheduler) explain(request placement.Request) placement.Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Explain(s.now(), request)
}

// explainQuery is a query with the call that it describes.
type explainQuery struct {
	call          forward.Call
	team, service string
}

// parseExplainQuery reads a query. Its failures never repeat a value, which may be a key in the
// wrong place.
func parseExplainQuery(r *http.Request) (*explainQuery, *explainFailure) {
	if len(r.URL.RawQuery) > explain.MaxQueryBytes {
		return nil, badQuery("the query has %d bytes, want at most %d", len(r.URL.RawQuery), explain.MaxQueryBytes)
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, badQuery("the query is malformed")
	}
	for name, given := range values {
		switch {
		case name == "key":
			return nil, badQuery("a key is not accepted in the query: send it as bearer token in Authorization")
		case !slices.Contains(explainParams, name):
			return nil, badQuery("unknown query parameter; want some of %s", strings.Join(explainParams, ", "))
		case len(given) > 1:
			return nil, badQuery("query parameter %s is given %d times, want once", name, len(given))
		}
	}
	q := &explainQuery{
		call: forward.Call{Method: values.Get(explain.ParamMethod), Host: values.Get(explain.ParamHost), Path: values.Get(explain.ParamPath)},
		team: values.Get(explain.ParamTeam), service: values.Get(explain.ParamService),
	}
	if q.call.Method == "" {
		q.call.Method = http.MethodPost
	}
	if q.call.Host == "" || !strings.HasPrefix(q.call.Path, "/") {
		return nil, badQuery("want a host, and a path that begins with /")
	}
	if authorization := r.Header.Get("Authorization"); authorization != "" {
		key, found := strings.CutPrefix(authorization, explainKeyScheme)
		if !found || q.team != "" {
			return nil, badQuery("want either a key as bearer token in Authorization or a team")
		}
		q.call.Key = key
	}
	if failure := q.parseSizes(values); failure != nil {
		return nil, failure
	}
	return q, nil
}

func (q *explainQuery) parseSizes(values url.Values) *explainFailure {
	for name, target := range map[string]*int{explain.ParamPromptTokens: &q.call.PromptTokens, explain.ParamOutputTokens: &q.call.OutputTokens} {
		text := values.Get(name)
		if text == "" {
			continue
		}
		count, err := strconv.Atoi(text)
		if err != nil || count < 0 || count > explain.MaxTokens {
			return badQuery("%s: want 0 to %d tokens", name, explain.MaxTokens)
		}
		*target = count
	}
	if text := values.Get(explain.ParamTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 || timeout > explain.MaxTimeoutMS*time.Millisecond {
			return badQuery("%s: want a duration such as 6s, at most %s", explain.ParamTimeout, explain.MaxTimeoutMS*time.Millisecond)
		}
		q.call.Timeout = timeout
	}
	return nil
}
