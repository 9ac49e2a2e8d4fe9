package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/placement"
)

// admitted is a call that the declaration permits.
type admitted struct {
	call    *forward.Call
	route   *catalogue.HTTPRoute
	team    *catalogue.KeyedTeam
	service core.ServiceID
	arrived boottime.Instant
	// deadline is when the complete answer is due.
	deadline boottime.Instant
}

// rejection is this process's own answer to a call.
type rejection struct {
	status int
	reason core.Reason
	// retryAfter is set on rejections of calls that have not run.
	retryAfter time.Duration
	// unconfirmed is set if the call would be denied, but by a view that is too old.
	unconfirmed bool
}

const (
	// defaultTimeout is used for a caller that sends no time-out.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the retry time sent by a process that does not know the
	// declaration yet: about the time that a process takes to start.
	notReadyRetryAfter = 500 * time.Millisecond
)

// check finds the route and the team of a call. A view that is too old permits no final
// rejection, since a newer declaration may permit the call.
func (g *Gateway) check(view *fleet.View, call *forward.Call, arrived, now boottime.Instant) (*admitted, *rejection) {
	if view.Deployment == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonPlatformDown, retryAfter: notReadyRetryAfter}
	}
	age := now.Sub(view.ConfirmedAt)
	route := view.Deployment.Route(call.Host, call.Path)
	if route == nil {
		return nil, g.deny(age, http.StatusNotFound, core.ReasonNoRoute)
	}
	a := &admitted{call: call, route: route, arrived: arrived, service: route.Target(rand.Float64())}
	if view.Deployment.KeysRequired && !route.Anonymous {
		if age > g.config.MaxKeyAge {
			return nil, &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonPlatformDown, retryAfter: notReadyRetryAfter}
		}
		a.team = view.Deployment.Team(call.Key)
		if a.team == nil {
			return nil, g.deny(age, http.StatusUnauthorized, core.ReasonUnauthorized)
		}
	}
	a.deadline = arrived.Add(callTimeout(call, route))
	return a, nil
}

// deny returns a final rejection based on the declaration, or a temporary one if the
// view is older than MaxDeclarationAge.
func (g *Gateway) deny(age time.Duration, status int, reason core.Reason) *rejection {
	if age > g.config.MaxDeclarationAge {
		return &rejection{status: http.StatusServiceUnavailable, reason: core.ReasonPlatformDown, retryAfter: notReadyRetryAfter, unconfirmed: true}
	}
	return &rejection{status: status, reason: reason}
}

// callTimeout is the longest time that the caller may wait for its answer.
func callTimeout(call *forward.Call, route *catalogue.HTTPRoute) time.Duration {
	timeout := defaultTimeout
	if call.Timeout > 0 {
		timeout = call.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

// request returns the placement request of the call. lastEventAt is when the caller got its
// latest event, 0 if it has none.
func (a *admitted) request(tried []fleet.EndpointID, headSent bool, lastEventAt boottime.Instant) placement.Request {
	request := placement.Request{
		ID: a.call.ID, Service: a.service, Homes: [][]core.RegionID{a.route.AllowedRegions},
		PromptTokens: a.call.PromptTokens, OutputTokens: a.call.OutputTokens, Priority: a.route.Priority,
		Deadline: a.deadline, Tried: tried, Team: a.teamName(),
		Continues: headSent, MayMove: a.route.Retryable() && len(tried)+1 < a.route.MaxAttempts,
	}
	if a.route.EventTimeout > 0 {
		request.FirstEventBy = max(a.arrived, lastEventAt).Add(a.route.EventTimeout)
	}
	if a.team != nil {
		request.Homes = append(request.Homes, a.team.AllowedRegions)
		if a.team.Priority >= 0 {
			request.Priority = a.team.Priority
		}
	}
	return request
}

func (a *admitted) teamName() core.TeamID {
	if a.team == nil {
		return ""
	}
	return a.team.Name
}
