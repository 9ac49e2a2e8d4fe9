package entry

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/membudget"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// Request headers of the caller API.
const (
	headerPriority = "X-Priority"
	headerTeam     = "X-Team"
	headerDeadline = "X-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerRequest  = "X-Request-Id"
)

// Limits and defaults for caller input.
const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// bodyMemory bounds the bodies of all calls, in bytes. noMemoryRetryAfter is when a call
	// without memory may be repeated: another entry may have some.
	bodyMemory         = 48 << 20
	noMemoryRetryAfter = 200 * time.Millisecond
	// MaxMessages is the maximum number of messages in a chat completion.
	MaxMessages = 1024
	// MaxNameBytes is the maximum length of a model name and of header values that
	// hold a name or key.
	MaxNameBytes = 256
	// MaxForwardedHeaders is the maximum number of headers forwarded to a plain
	// service.
	MaxForwardedHeaders = 64
	// DefaultDeadline applies to requests without a deadline header.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is the longest deadline a caller may set.
	MaxDeadline = 10 * time.Minute
)

// unreadTimeout bounds the reading of a body whose request has been rejected: net/http discards up
// to 256 KiB of it before it closes the connection.
const unreadTimeout = 500 * time.Millisecond

// unreadCalls counts requests that were rejected before their body had been read.
var unreadCalls = expvar.NewMap("entry_unread")

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome      string         `json:"outcome"`
	Reason       core.Reason    `json:"reason"`
	Detail       string         `json:"detail"`
	RetryAfterMS int64          `json:"retry_after_ms"`
	RequestID    core.RequestID `json:"request_id,omitempty"`
}

// CallerAPI is the HTTP API for callers.
type CallerAPI struct {
	node       *node.Node
	dispatcher *Dispatcher
	// memory is the budget for the bodies of calls.
	memory   *membudget.Budget
	draining atomic.Bool
}

// NewCallerAPI returns a caller API that runs its calls with dispatcher.
func NewCallerAPI(n *node.Node, dispatcher *Dispatcher) *CallerAPI {
	return &CallerAPI{node: n, dispatcher: dispatcher, memory: membudget.New(bodyMemory)}
}

// Drain makes the readiness check fail, so that the load balancer stops sending new
// connections.
func (a *CallerAPI) Drain() { a.draining.Store(true) }

// Handler returns the HTTP handler of the caller listener.
func (a *CallerAPI) Handler() http.Handler {
	container := restful.NewContainer()
	container.DoNotRecover(false)
	container.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, response *restful.Response) {
		a.writeRefusal(response.ResponseWriter, "", e.Code, core.NotRun(core.ReasonNoRoute, 0, "no such path or method"))
	})
	chat := new(restful.WebService)
	chat.Path("/v1").Produces(restful.MIME_JSON, "text/event-stream", "*/*")
	chat.Route(chat.POST("/chat/completions").To(a.chat))
	chat.Route(chat.GET("/models").To(a.models))
	container.Add(chat)
	services := new(restful.WebService)
	services.Path("/services").Consumes("*/*").Produces("*/*")
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		services.Route(services.Method(method).Path("/{service}").To(a.serviceCall))
		services.Route(services.Method(method).Path("/{service}/{rest:*}").To(a.serviceCall))
	}
	container.Add(services)
	health := new(restful.WebService)
	health.Path("/")
	health.Route(health.GET("/healthz").To(func(_ *restful.Request, r *restful.Response) { r.WriteHeader(http.StatusOK) }))
	health.Route(health.GET("/readyz").To(a.ready))
	container.Add(health)
	// Dispatch does not rewrite paths, whereas the container's own mux redirects
	// requests whose path is not clean.
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if a.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		container.Dispatch(writer, request)
	})
}

// ready is the load balancer's readiness check. It succeeds while new requests can be
// accepted.
func (a *CallerAPI) ready(_ *restful.Request, response *restful.Response) {
	switch {
	case a.draining.Load() || a.node.View().Leaving(a.node.VM):
		response.WriteHeader(http.StatusServiceUnavailable)
	case !a.node.Settled() || a.node.View().ConfigRevision == 0 || a.node.View().ZonesOut[a.node.Zone]:
		response.WriteHeader(http.StatusServiceUnavailable)
	default:
		response.WriteHeader(http.StatusOK)
	}
}

func (a *CallerAPI) models(_ *restful.Request, response *restful.Response) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, route := range a.node.View().Set.Routes {
		if route.Model != "" {
			list.Data = append(list.Data, model{ID: string(route.Model), Object: "model"})
		}
	}
	_ = response.WriteAsJson(list)
}

// chat serves a chat completion.
func (a *CallerAPI) chat(request *restful.Request, response *restful.Response) {
	call, holder := a.beginCall(request, response)
	if call == nil {
		return
	}
	defer holder.Close()
	var body engine.ChatRequest
	if err := json.Unmarshal(call.Body, &body); err != nil {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusBadRequest, core.NotRun(core.ReasonBadRequest, 0, "the body is not a chat completion: %v", err))
		return
	}
	if refusal := checkChat(&body); refusal != nil {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusBadRequest, refusal)
		return
	}
	view := a.node.View()
	route := view.Index.RouteForModel(core.ModelID(body.Model))
	if route == nil {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusNotFound, core.NotRun(core.ReasonNoRoute, 0, "no route for model %q", body.Model))
		return
	}
	call.Pool = route.Pool
	call.Idempotent = true
	call.PrefixHashes = prefixHashes(&body)
	a.classify(request.Request, call, route.Priority)
	sink := newChatSink(response.ResponseWriter, body.Stream, call.ID)
	a.serve(request.Request.Context(), response.ResponseWriter, call, sink)
}

func checkChat(body *engine.ChatRequest) *core.Refusal {
	if body.Model == "" || len(body.Model) > MaxNameBytes {
		return core.NotRun(core.ReasonBadRequest, 0, "model must have 1 to %d bytes", MaxNameBytes)
	}
	if len(body.Messages) == 0 || len(body.Messages) > MaxMessages {
		return core.NotRun(core.ReasonBadRequest, 0, "messages must have 1 to %d items", MaxMessages)
	}
	if body.MaxTokens < 0 {
		return core.NotRun(core.ReasonBadRequest, 0, "max_tokens is negative")
	}
	return nil
}

// beginCall reads the part of a request that is common to all calls. It returns nil if it has
// rejected the request. The holder must be closed when the call has ended.
func (a *CallerAPI) beginCall(request *restful.Request, response *restful.Response) (*Call, *membudget.Holder) {
	call, holder, refusal := a.readCall(response.ResponseWriter, request.Request)
	if refusal != nil {
		a.writeRefusal(response.ResponseWriter, "", statusOf(refusal), refusal)
		return nil, nil
	}
	if a.rejectUnconfigured(response.ResponseWriter, call) {
		holder.Close()
		return nil, nil
	}
	return call, holder
}

// rejectUnconfigured rejects a request while this entry has no configuration. A request
// with an idempotency key is rejected with an unknown outcome, since an earlier request
// with the same key may have run.
func (a *CallerAPI) rejectUnconfigured(writer http.ResponseWriter, call *Call) bool {
	if a.node.View().ConfigRevision > 0 {
		return false
	}
	refusal := core.NotRun(core.ReasonWarming, defaultRetryAfter, "this entry has no configuration yet")
	if call.IdempotencyKey != "" {
		refusal.Kind = core.OutcomeUnknown
	}
	a.writeRefusal(writer, call.ID, http.StatusServiceUnavailable, refusal)
	return true
}

// serviceCall forwards a call to a plain service.
func (a *CallerAPI) serviceCall(request *restful.Request, response *restful.Response) {
	call, holder := a.beginCall(request, response)
	if call == nil {
		return
	}
	defer holder.Close()
	name := core.ServiceID(request.PathParameter("service"))
	view := a.node.View()
	route := view.Index.RouteForService(name)
	service := view.Index.Service(name)
	if route == nil || service == nil {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusNotFound, core.NotRun(core.ReasonNoRoute, 0, "no route to service %q", name))
		return
	}
	call.Service = name
	if !isCleanPath(request.Request.URL.Path) {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusBadRequest, core.NotRun(core.ReasonBadRequest, 0, "the path has empty or dot segments"))
		return
	}
	call.Method = request.Request.Method
	call.Path = servicePath(request.Request, name)
	call.Headers = forwardedHeaders(request.Request.Header)
	rule, _ := view.Index.CallRule(name, call.Method, call.Path)
	call.Idempotent = rule.Idempotent
	priority := rule.Priority
	if priority == "" {
		priority = route.Priority
	}
	a.classify(request.Request, call, priority)
	if !call.Idempotent && call.IdempotencyKey == "" {
		a.writeRefusal(response.ResponseWriter, call.ID, http.StatusBadRequest, core.NotRun(core.ReasonKeyMissing, 0, "%s %s may not be repeated, so it needs the header %s", call.Method, call.Path, headerKey))
		return
	}
	sink := &serviceSink{writer: response.ResponseWriter, request: call.ID}
	a.serve(request.Request.Context(), response.ResponseWriter, call, sink)
}

// isCleanPath reports whether a decoded path has neither empty nor dot segments. A
// service might resolve such segments to a path other than the one whose call rule was
// applied.
func isCleanPath(decoded string) bool {
	return path.Clean(decoded) == decoded || path.Clean(decoded)+"/" == decoded
}

// servicePath returns the path and query relative to the service.
func servicePath(request *http.Request, name core.ServiceID) string {
	suffix := strings.TrimPrefix(request.URL.EscapedPath(), "/services/"+string(name))
	if suffix == "" {
		suffix = "/"
	}
	if request.URL.RawQuery != "" {
		suffix += "?" + request.URL.RawQuery
	}
	return suffix
}

// hopByHopHeaders are not forwarded to services. Content-Length and Accept-Encoding are
// dropped as well, since they are set anew for each hop.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true, "Content-Length": true, "Accept-Encoding": true,
}

func forwardedHeaders(header http.Header) []*peerpb.Header {
	var forwarded []*peerpb.Header
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			if len(forwarded) < MaxForwardedHeaders {
				forwarded = append(forwarded, &peerpb.Header{Name: name, Value: value})
			}
		}
	}
	return forwarded
}

// readCall reads and validates the headers that all calls share, and the body.
func (a *CallerAPI) readCall(writer http.ResponseWriter, request *http.Request) (*Call, *membudget.Holder, *core.Refusal) {
	for _, name := range []string{headerKey, headerTeam, headerRequest} {
		if len(request.Header.Get(name)) > MaxNameBytes {
			return nil, nil, core.NotRun(core.ReasonTooLarge, 0, "header %s has more than %d bytes", name, MaxNameBytes)
		}
	}
	timeout, err := readDeadline(request.Header.Get(headerDeadline))
	if err != nil {
		return nil, nil, core.NotRun(core.ReasonBadRequest, 0, "%v", err)
	}
	if _, err := core.ParsePriority(request.Header.Get(headerPriority)); err != nil {
		return nil, nil, core.NotRun(core.ReasonBadRequest, 0, "header %s: %v", headerPriority, err)
	}
	id := core.RequestID(request.Header.Get(headerRequest))
	if id == "" {
		id = core.RequestID(uuid.NewString())
	}
	body, holder, err := forward.ReceiveBody(writer, request, MaxBodyBytes, timeout, a.memory, boottime.Now)
	if err != nil {
		return nil, nil, unreadRefusal(writer, request, err)
	}
	return &Call{
		ID: id, Body: body.Bytes(), Deadline: time.Now().Add(timeout),
		Team: core.TeamID(request.Header.Get(headerTeam)), IdempotencyKey: request.Header.Get(headerKey),
	}, holder, nil
}

// unreadRefusal rejects a request whose body has not been read to its end, and closes its
// connection. If it has an idempotency key, an earlier request with the same key may have run.
func unreadRefusal(writer http.ResponseWriter, request *http.Request, err error) *core.Refusal {
	writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadTimeout)) // not all writers support deadlines
	var refusal *core.Refusal
	switch {
	case forward.TooLong(err):
		return core.NotRun(core.ReasonTooLarge, 0, "the body has more than %d bytes", MaxBodyBytes)
	case forward.NoMemory(err):
		unreadCalls.Add("no_memory", 1)
		refusal = core.NotRun(core.ReasonNoMemory, noMemoryRetryAfter, "no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		unreadCalls.Add("too_slow", 1)
		refusal = core.NotRun(core.ReasonBadRequest, 0, "the body did not arrive in time")
	default:
		return core.NotRun(core.ReasonBadRequest, 0, "the body can't be read")
	}
	if request.Header.Get(headerKey) != "" {
		refusal.Kind = core.OutcomeUnknown
	}
	return refusal
}

func readDeadline(text string) (time.Duration, error) {
	if text == "" {
		return DefaultDeadline, nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > MaxDeadline {
		return 0, fmt.Errorf("header %s = %q: want 1 to %d milliseconds", headerDeadline, text, MaxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// classify sets the priority of the call: the priority requested by the caller if
// present, otherwise the declared one.
func (a *CallerAPI) classify(request *http.Request, call *Call, declared string) {
	name := request.Header.Get(headerPriority)
	if name == "" {
		name = declared
	}
	priority, err := core.ParsePriority(name)
	if err != nil {
		priority = core.PrioritySummary
	}
	call.Priority = priority
}

// answerSink is a Sink whose answer can be completed or aborted.
type answerSink interface {
	Sink
	// Finish completes the answer.
	Finish()
	// Abort ends an answer that cannot be completed. It returns false if nothing has
	// been written, in which case the caller of Abort can still send a refusal.
	Abort(refusal *core.Refusal) bool
}

// serve runs the call and writes the answer or the refusal.
func (a *CallerAPI) serve(ctx context.Context, writer http.ResponseWriter, call *Call, sink answerSink) {
	refusal := a.dispatcher.Do(ctx, call, sink)
	if refusal == nil {
		sink.Finish()
		return
	}
	if !sink.Abort(refusal) {
		a.writeRefusal(writer, call.ID, statusOf(refusal), refusal)
	}
}

// statusOf maps a refusal to an HTTP status.
func statusOf(refusal *core.Refusal) int {
	switch refusal.Reason {
	case core.ReasonBadRequest, core.ReasonKeyMissing:
		return http.StatusBadRequest
	case core.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.ReasonNoRoute:
		return http.StatusNotFound
	case core.ReasonKeyMismatch, core.ReasonKeyUsed, core.ReasonKeyExpired:
		return http.StatusConflict
	case core.ReasonOverloaded, core.ReasonTeamShare:
		return http.StatusTooManyRequests
	case core.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if refusal.Kind == core.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeRefusal writes a typed refusal as JSON.
func (a *CallerAPI) writeRefusal(writer http.ResponseWriter, id core.RequestID, status int, refusal *core.Refusal) {
	writer.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(refusalJSON(id, refusal))
}

func refusalJSON(id core.RequestID, refusal *core.Refusal) []byte {
	body, _ := json.Marshal(refusalBody{
		Outcome: refusal.Kind.String(), Reason: refusal.Reason, Detail: refusal.Detail,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(), RequestID: id,
	})
	return body
}
