package operatorapi

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Status is one process's view of the deployment.
type Status struct {
	// Process is the process that replies.
	Process core.VMID `json:"process"`
	// ConfigRevision and ConfigAuthor describe the active revision of Process.
	ConfigRevision uint64           `json:"configRevision"`
	ConfigAuthor   string           `json:"configAuthor,omitempty"`
	Zones          []ZoneStatus     `json:"zones,omitempty"`
	Processes      []ProcessStatus  `json:"processes,omitempty"`
	Endpoints      []EndpointStatus `json:"endpoints,omitempty"`
	Spreads        []SpreadStatus   `json:"spreads,omitempty"`
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Name core.ZoneID `json:"name"`
	Out  bool        `json:"out"`
	// Note is set while a volatile order overrides the configured state.
	Note string `json:"note,omitempty"`
}

// ProcessStatus is the status of one process.
type ProcessStatus struct {
	VM             core.VMID   `json:"vm"`
	Role           core.Role   `json:"role"`
	Zone           core.ZoneID `json:"zone"`
	ConfigRevision uint64      `json:"configRevision"`
	Leaving        bool        `json:"leaving,omitempty"`
	// SilentSeconds is the time since the last message from the process.
	SilentSeconds float64 `json:"silentSeconds"`
}

// EndpointStatus is the last known state of one endpoint.
type EndpointStatus struct {
	VM             core.VMID      `json:"vm"`
	Zone           core.ZoneID    `json:"zone"`
	Pool           core.PoolID    `json:"pool,omitempty"`
	Service        core.ServiceID `json:"service,omitempty"`
	Loaded         core.VersionID `json:"loaded,omitempty"`
	Target         core.VersionID `json:"target,omitempty"`
	Ready          bool           `json:"ready"`
	Leaving        bool           `json:"leaving,omitempty"`
	InFlight       int            `json:"inFlight"`
	Limit          int            `json:"limit"`
	Queued         int            `json:"queued"`
	ConfigRevision uint64         `json:"configRevision"`
	Detail         string         `json:"detail,omitempty"`
}

// SpreadStatus is the progress of one version in one availability zone.
type SpreadStatus struct {
	Version   core.VersionID `json:"version"`
	Zone      core.ZoneID    `json:"zone"`
	Endpoints int            `json:"endpoints"`
	// Complete is the number of endpoints that store all chunks. Serving is the
	// number that serve the version.
	Complete     int `json:"complete"`
	Serving      int `json:"serving"`
	ChunksStored int `json:"chunksHeld"`
	ChunksTotal  int `json:"chunksTotal"`
	// SecondsLeft is the estimated time to completion, negative if unknown.
	SecondsLeft float64 `json:"secondsLeft"`
}

func (a *api) getStatus(request *restful.Request, response *restful.Response) {
	ctx, cancel := context.WithTimeout(request.Request.Context(), requestTimeout)
	defer cancel()
	var status Status
	if a.Status != nil {
		found, err := a.Status.Status(ctx)
		if err != nil {
			writeError(response, codeNotAvailable, err.Error())
			return
		}
		status = found
	}
	a.addConfig(&status)
	writeJSON(response, http.StatusOK, status)
}

// addConfig adds the active revision and the zone states that result from the
// configuration and the volatile orders.
func (a *api) addConfig(status *Status) {
	doc := a.Documents.Current()
	if doc == nil {
		return
	}
	status.ConfigRevision, status.ConfigAuthor = doc.Revision, doc.Author
	var orders []configsync.ZoneOrder
	if a.Orders != nil {
		orders = a.Orders.ZoneOrders()
	}
	out := configsync.ZonesOut(doc, orders)
	status.Zones = nil
	for _, zone := range doc.Set.Zones {
		row := ZoneStatus{Name: zone.Name, Out: out[zone.Name]}
		if row.Out != (zone.State == catalogue.ZoneOut) {
			row.Note = configsync.ProvisionalText
		}
		status.Zones = append(status.Zones, row)
	}
}

func (a *api) getTimeline(request *restful.Request, response *restful.Response) {
	if a.Timeline == nil {
		writeError(response, codeNotAvailable, "This process collects no time line.")
		return
	}
	filter, limit, problem := parseFilter(request, a.Clock.Now())
	if problem != "" {
		writeError(response, codeBadRequest, problem)
		return
	}
	ctx, cancel := context.WithTimeout(request.Request.Context(), requestTimeout)
	defer cancel()
	found, err := a.Timeline.Timeline(ctx, filter)
	if err != nil {
		writeError(response, codeNotAvailable, err.Error())
		return
	}
	if len(found.Events) > limit {
		found.Events = found.Events[len(found.Events)-limit:]
		found.Truncated = true
	}
	writeJSON(response, http.StatusOK, found)
}

func parseFilter(request *restful.Request, now hlc.Stamp) (filter timeline.Filter, limit int, problem string) {
	filter = timeline.Filter{
		Request: core.RequestID(request.QueryParameter("request")),
		Object:  request.QueryParameter("object"),
		Zone:    core.ZoneID(request.QueryParameter("zone")),
		Kind:    timeline.Kind(request.QueryParameter("kind")),
	}
	since, ok := parseSince(request.QueryParameter("since"), now)
	if !ok {
		return filter, 0, "The query parameter since is neither a duration such as 5m nor a time such as 2026-01-02T15:04:05Z."
	}
	filter.Since = since
	limit = defaultTimelineEvents
	if text := request.QueryParameter("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxTimelineEvents {
			return filter, 0, "The query parameter limit is out of bounds."
		}
		limit = parsed
	}
	return filter, limit, ""
}

func parseSince(text string, now hlc.Stamp) (hlc.Stamp, bool) {
	if text == "" {
		return 0, true
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return hlc.FromTime(now.Time().Add(-ago)), true
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil || at.UnixMilli() < 0 {
		return 0, false
	}
	return hlc.FromTime(at), true
}

// hiddenVar is the expvar variable with the program's arguments, which may contain
// keys.
const hiddenVar = "cmdline"

// getVars writes all expvar variables except hiddenVar.
func getVars(_ *restful.Request, response *restful.Response) {
	vars := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != hiddenVar {
			vars[kv.Key] = json.RawMessage(kv.Value.String())
		}
	})
	writeJSON(response, http.StatusOK, vars)
}
