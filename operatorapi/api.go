// Package operatorapi implements the HTTP API for operators. With it they publish
// and read the configuration, take availability zones out and in, and query the
// status of endpoints and spreads and the merged timeline. It is served on a
// listener separate from that of the callers. Every path except /healthz requires
// an operator key as bearer token.
//
//	POST /v1/config/validate        set in YAML or JSON -> its problems
//	POST /v1/config/diff            set -> changes against the active revision
//	POST /v1/config/apply?base=N    set -> outcome; the default base is the active revision
//	GET  /v1/config                 the active document
//	POST /v1/zones/{zone}/out|in    outcome; ?volatile=true allows a provisional order in an outage
//	GET  /v1/status                 processes, endpoints, spreads, zones
//	GET  /v1/timeline               events; ?request= object= zone= kind= since= limit=
//	GET  /debug/vars                counters
//	GET  /healthz                   200 while the process serves
package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Timeouts and limits of the API.
const (
	// requestTimeout bounds the processing of a request.
	requestTimeout = 15 * time.Second
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// volatileTimeout bounds the wait for the platform before a zone order that
	// allows it becomes volatile.
	volatileTimeout = 1500 * time.Millisecond
	// retryAfter is the value of the Retry-After header, in seconds.
	retryAfter = "2"
	// maxTimelineEvents and defaultTimelineEvents are the maximum and the default of
	// the limit parameter of the timeline.
	maxTimelineEvents     = 10_000
	defaultTimelineEvents = 1000
)

// Publisher publishes configuration sets and zone states.
type Publisher interface {
	Publish(ctx context.Context, base uint64, set *catalogue.Set, author string) configsync.Outcome
	SetZone(ctx context.Context, zone core.ZoneID, state catalogue.ZoneState, author string) configsync.Outcome
}

// ConfigSource returns the newest known document, or nil.
type ConfigSource interface {
	Current() *configsync.Document
}

// ZoneOrders stores the volatile zone orders of the process and sends them to peers.
type ZoneOrders interface {
	// OfferZoneOrder stores an order. It returns false if a newer one is stored or
	// there are too many.
	OfferZoneOrder(order configsync.ZoneOrder) bool
	// ZoneOrders returns the stored orders.
	ZoneOrders() []configsync.ZoneOrder
}

// StatusSource returns the process's view of the deployment.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// TimelineSource collects the matching events of all reachable processes, ordered
// by stamp.
type TimelineSource interface {
	Timeline(ctx context.Context, filter timeline.Filter) (Timeline, error)
}

// Timeline is the merged timeline of several processes.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the processes that did not reply.
	Missing []core.VMID `json:"missing,omitempty"`
	// Truncated is set if older events were omitted.
	Truncated bool `json:"truncated,omitempty"`
}

// Config configures the API. Keys, Publisher and Documents are required.
type Config struct {
	Keys      Keys
	Publisher Publisher
	Documents ConfigSource
	Orders    ZoneOrders
	Status    StatusSource
	Timeline  TimelineSource
	Recorder  *timeline.Recorder
	Clock     *hlc.Clock
	Log       *log.Logger
}

func (c *Config) fillDefaults() error {
	if len(c.Keys) == 0 || c.Publisher == nil || c.Documents == nil {
		return errors.New("operatorapi: keys, publisher and documents are required")
	}
	if c.Clock == nil {
		c.Clock = hlc.New(time.Now)
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	c.Log = c.Log.WithPrefix("operator")
	return nil
}

// api implements the request handlers.
type api struct {
	Config
	attempts *attemptLimiter
}

// New returns the HTTP handler of the API. It returns an error if config is
// incomplete.
func New(config Config) (http.Handler, error) {
	if err := config.fillDefaults(); err != nil {
		return nil, err
	}
	a := &api{Config: config, attempts: newAttemptLimiter(time.Now)}
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.RecoverHandler(a.recovered)
	container.ServiceErrorHandler(serviceError)
	container.Add(a.healthService())
	container.Add(a.varsService())
	container.Add(a.mainService())
	// Dispatch replies to unknown paths with a typed body, unlike the container's mux.
	return http.HandlerFunc(container.Dispatch), nil
}

func (a *api) mainService() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/v1").Consumes("*/*").Produces(restful.MIME_JSON)
	ws.Filter(a.authenticate)
	ws.Route(ws.POST("/config/validate").To(a.validate))
	ws.Route(ws.POST("/config/diff").To(a.diff))
	ws.Route(ws.POST("/config/apply").To(a.apply))
	ws.Route(ws.GET("/config").To(a.getConfig))
	ws.Route(ws.POST("/zones/{zone}/out").To(a.zoneOut))
	ws.Route(ws.POST("/zones/{zone}/in").To(a.zoneIn))
	ws.Route(ws.GET("/status").To(a.getStatus))
	ws.Route(ws.GET("/timeline").To(a.getTimeline))
	return ws
}

func (a *api) healthService() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/healthz").Produces("text/plain", "*/*")
	ws.Route(ws.GET("").To(func(_ *restful.Request, w *restful.Response) {
		_, _ = w.Write([]byte("ok\n"))
	}))
	return ws
}

func (a *api) varsService() *restful.WebService {
	ws := new(restful.WebService)
	ws.Path("/debug/vars").Produces(restful.MIME_JSON)
	ws.Filter(a.authenticate)
	ws.Route(ws.GET("").To(getVars))
	return ws
}
