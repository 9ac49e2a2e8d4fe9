package gateway

import (
	"expvar"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
	"github.com/zinniaseam/zinniaseam/placement"
)

// endpointNotices counts what endpoints said about themselves: leaving, leaving_by_agent and
// closed.
var endpointNotices = expvar.NewMap("endpoint_notices")

// endpointSaid applies what an answer says about the endpoint itself. An answer to another
// request still tells that the endpoint is leaving, but its time to come back may be an old
// one.
func (s *session) endpointSaid(endpoint *fleet.Endpoint, c forward.Classification) {
	if c.Misdirected {
		return // sent by another endpoint at the address
	}
	g := s.gateway
	if c.Leaving && g.scheduler.leaving(endpoint) {
		endpointNotices.Add("leaving", 1)
		g.log.Info("Endpoint says that it is leaving; it gets no more calls.", "endpoint", endpoint.ID, "boot", endpoint.Boot, "request", s.admitted.call.ID,
			"sinceSentMs", g.now().Sub(s.sentAt).Milliseconds())
	}
	if c.Pause > 0 && !c.Mismatched {
		g.scheduler.close(endpoint, c.Pause)
		endpointNotices.Add("closed", 1)
		g.log.Info("Endpoint wants no calls for a time.", "endpoint", endpoint.ID, "boot", endpoint.Boot, "request", s.admitted.call.ID,
			"pauseMs", c.Pause.Milliseconds(), "notRun", c.NotRun)
	}
}

// leaving records that an endpoint is about to stop and returns false if that was known.
func (s *scheduler) leaving(endpoint *fleet.Endpoint) (changed bool) {
	s.update(func(p *placement.Placer, now boottime.Instant) { changed = p.Leaving(now, endpoint) })
	return changed
}

// close records that an endpoint wants no calls for a time.
func (s *scheduler) close(endpoint *fleet.Endpoint, pause time.Duration) {
	s.update(func(p *placement.Placer, now boottime.Instant) { p.Close(now, endpoint, pause) })
}
