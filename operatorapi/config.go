package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// Comparison is the response to validate and diff.
type Comparison struct {
	// Revision is the revision that the set was compared with.
	Revision uint64             `json:"revision"`
	Problems catalogue.Problems `json:"problems"`
	Changes  []catalogue.Change `json:"changes,omitempty"`
}

// ZoneResult is the response to a zone order.
type ZoneResult struct {
	configsync.Outcome
	// Provisional is the order if it is volatile; see configsync.ProvisionalText.
	Provisional *configsync.ZoneOrder `json:"provisional,omitempty"`
}

// readSet parses the set in the request body. If it can't, it writes an error
// response and returns nil.
func readSet(request *restful.Request, response *restful.Response) *catalogue.Set {
	controller := http.NewResponseController(response.ResponseWriter)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // not all writers support deadlines
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Request.Body, catalogue.MaxFileBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(response, codeTooLarge, fmt.Sprintf("The body has more than %d bytes.", catalogue.MaxFileBytes))
		return nil
	}
	if err != nil {
		writeError(response, codeBadRequest, "The body could not be read.")
		return nil
	}
	set, err := catalogue.Parse(body)
	if err != nil {
		writeError(response, codeBadRequest, err.Error())
		return nil
	}
	return set
}

// current returns the active revision and its set, or 0 and an empty set if nothing
// has been published.
func (a *api) current() (uint64, *catalogue.Set) {
	doc := a.Documents.Current()
	if doc == nil {
		return 0, &catalogue.Set{}
	}
	return doc.Revision, &doc.Set
}

// compare compares the set in the request body with the active one. If it returns
// false, it has written an error response.
func (a *api) compare(request *restful.Request, response *restful.Response) (Comparison, bool) {
	set := readSet(request, response)
	if set == nil {
		return Comparison{}, false
	}
	revision, active := a.current()
	filled := catalogue.KeepZoneStates(active, set)
	return Comparison{Revision: revision, Problems: catalogue.Validate(filled), Changes: catalogue.Diff(active, filled)}, true
}

func (a *api) validate(request *restful.Request, response *restful.Response) {
	comparison, ok := a.compare(request, response)
	if !ok {
		return
	}
	comparison.Changes = nil
	status := http.StatusOK
	if len(comparison.Problems) > 0 {
		status = http.StatusUnprocessableEntity
	}
	writeJSON(response, status, comparison)
}

func (a *api) diff(request *restful.Request, response *restful.Response) {
	if comparison, ok := a.compare(request, response); ok {
		writeJSON(response, http.StatusOK, comparison)
	}
}

func (a *api) apply(request *restful.Request, response *restful.Response) {
	base, _ := a.current()
	if text := request.QueryParameter("base"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(response, codeBadRequest, "The query parameter base is no revision.")
			return
		}
		base = parsed
	}
	set := readSet(request, response)
	if set == nil {
		return
	}
	ctx, cancel := context.WithTimeout(request.Request.Context(), requestTimeout)
	defer cancel()
	operator := operatorOf(request)
	outcome := a.Publisher.Publish(ctx, base, set, operator)
	a.record(timeline.KindConfigPublish, strconv.FormatUint(outcome.Revision, 10), operator+": publish "+string(outcome.Kind)+".")
	writeOutcome(response, outcome)
}

func (a *api) getConfig(_ *restful.Request, response *restful.Response) {
	doc := a.Documents.Current()
	if doc == nil {
		writeError(response, codeNothingPublished, "No configuration is known to this process.")
		return
	}
	writeJSON(response, http.StatusOK, doc)
}

func (a *api) zoneOut(request *restful.Request, response *restful.Response) {
	a.setZone(request, response, catalogue.ZoneOut)
}

func (a *api) zoneIn(request *restful.Request, response *restful.Response) {
	a.setZone(request, response, catalogue.ZoneIn)
}

func (a *api) setZone(request *restful.Request, response *restful.Response, state catalogue.ZoneState) {
	zone := core.ZoneID(request.PathParameter("zone"))
	operator := operatorOf(request)
	volatile := request.QueryParameter("volatile") == "true" && a.Orders != nil
	limit := requestTimeout
	if volatile {
		limit = volatileTimeout
	}
	ctx, cancel := context.WithTimeout(request.Request.Context(), limit)
	defer cancel()
	outcome := a.Publisher.SetZone(ctx, zone, state, operator)
	if volatile && mayBeVolatile(outcome) {
		a.issueVolatileOrder(response, outcome, zone, state, operator)
		return
	}
	if outcome.Cause == configsync.CausePlatformDown {
		outcome.Detail += " With volatile=true the order is given to the processes that can be reached."
	}
	a.record(timeline.KindZone, string(zone), fmt.Sprintf("%s: zone %s %s.", operator, state, outcome.Kind))
	writeOutcome(response, outcome)
}

// mayBeVolatile reports whether a zone order was not accepted because of the
// platform rather than the order itself.
func mayBeVolatile(outcome configsync.Outcome) bool {
	switch outcome.Cause {
	case configsync.CausePlatformDown, configsync.CauseAnswerLost, configsync.CauseStoreBehind, configsync.CauseNotReady:
		return true
	default:
		return false
	}
}

// issueVolatileOrder stores a volatile zone order and writes the response.
func (a *api) issueVolatileOrder(response *restful.Response, outcome configsync.Outcome, zone core.ZoneID, state catalogue.ZoneState, operator string) {
	order := configsync.ZoneOrder{Zone: zone, Out: state == catalogue.ZoneOut, Stamp: a.Clock.Now(), Author: operator}
	if !a.Orders.OfferZoneOrder(order) {
		writeError(response, codeNotAvailable, "A newer order for the zone is held, or too many orders are.")
		return
	}
	a.record(timeline.KindZone, string(zone), fmt.Sprintf("%s: volatile order, zone %s.", operator, state))
	outcome.Detail = configsync.ProvisionalText
	writeJSON(response, http.StatusAccepted, ZoneResult{Outcome: outcome, Provisional: &order})
}

// record logs an operator's action and records it on the timeline.
func (a *api) record(kind timeline.Kind, object, text string) {
	a.Log.Info(text, "object", object)
	if a.Recorder != nil {
		a.Recorder.Add(kind, "", object, text)
	}
}
