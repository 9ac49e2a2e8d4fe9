package placement

import (
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
)

const (
	// pathSampleInterval is the longest usual time between the samples of a path without
	// delay: a gateway's demand and the agent's next status.
	pathSampleInterval = 2 * time.Second
	// regionSampleInterval is longer than the time between two samples of a region of which
	// one engine has leased call starts to this process: 0.9 s at most, since its agent sends
	// a status every 0.5 s and pauses for 0.2 s after each change.
	regionSampleInterval = time.Second
	// maxRegionSilence is how long the lack of samples counts as the delay of a region. It is
	// longer than streaming callers wait; afterwards the engines may have been removed, and
	// nothing is known of the path.
	maxRegionSilence = 10 * time.Second
	// usualPathDelay is the delay up to which a path does not affect placement. Predictions
	// allow for it already.
	usualPathDelay = travelTime
)

// PathSample is a measured round trip to the VM of an endpoint.
type PathSample struct {
	// SentAt is when the message was sent; 0 if nothing was measured.
	SentAt boottime.Instant
	// RoundTrip is how long the reply took, less the time for which the other side held it.
	RoundTrip time.Duration
}

// receivedSample is a sample with the time at which it arrived.
type receivedSample struct {
	PathSample
	receivedAt boottime.Instant
}

// regionPath is what is known of the path to another region.
type regionPath struct {
	newest receivedSample
	// heardAt is when any sample of the region arrived last, and leasedAt when the last one
	// arrived from an agent that has leased call starts to this process. Such an agent sends
	// the next sample soon; the agent of an idle engine otherwise may send none.
	heardAt, leasedAt boottime.Instant
}

// current returns the measured round trip, 0 if it is too old to tell the present one.
func (s *receivedSample) current(now boottime.Instant) time.Duration {
	if s.SentAt == 0 || now.Sub(s.receivedAt) > pathSampleInterval {
		return 0
	}
	return s.RoundTrip
}

// delay returns the delay of the path by the newest sample. A missing sample counts as a
// delay. It returns 0 for a region of which nothing is known.
func (r *regionPath) delay(now boottime.Instant) time.Duration {
	if r == nil {
		return 0
	}
	silence := now.Sub(r.heardAt)
	expected := r.leasedAt != 0 && r.heardAt.Sub(r.leasedAt) <= regionSampleInterval
	if expected && silence > regionSampleInterval && silence <= maxRegionSilence {
		return max(r.newest.RoundTrip, silence)
	}
	return r.newest.current(now)
}

// add keeps the newer of two samples. Of two that were sent at once, the shorter one tells
// the delay of what they share: the other may have waited for the link of one VM.
func (r *regionPath) add(sample receivedSample, leased bool) {
	r.heardAt = sample.receivedAt
	if leased {
		r.leasedAt = sample.receivedAt
	}
	if sample.SentAt > r.newest.SentAt || sample.SentAt == r.newest.SentAt && sample.RoundTrip <= r.newest.RoundTrip {
		r.newest = sample
	}
}

// pathDelay returns how long a call that is sent now may take to reach the endpoint. A
// missing sample counts as a delay. Without any sample it is 0.
//
// Load pattern: weights fill the narrow link of an engine's VM. Calls wait behind them
// for seconds, also after the link has recovered, and cannot be recalled.
func (e *endpointState) pathDelay(now boottime.Instant) time.Duration {
	delay := e.regionPath.delay(now)
	if e.path.SentAt == 0 {
		return delay
	}
	return max(delay, e.path.RoundTrip, now.Sub(e.path.SentAt)-pathSampleInterval, 0)
}

// callDelay is pathDelay for the choice of an endpoint. What is usual counts as 0. The
// silence of a single agent does not count: that of an idle engine has nothing to send.
func (e *endpointState) callDelay(now boottime.Instant) time.Duration {
	delay := max(e.path.current(now), e.regionPath.delay(now))
	if delay <= usualPathDelay {
		return 0
	}
	return delay
}

// addPathSample records a sample for an endpoint and, in another region, for its region.
func (p *Placer) addPathSample(e *endpointState, status *EngineStatus) {
	if status.Path.SentAt == 0 {
		return
	}
	sample := receivedSample{PathSample: status.Path, receivedAt: status.At}
	if sample.SentAt > e.path.SentAt {
		e.path = sample
	}
	if e.regionPath != nil {
		e.regionPath.add(sample, p.leased(e.Address))
	}
}

// leased reports whether the agent of the engine at an address has leased call starts to this
// process.
func (p *Placer) leased(address string) bool {
	sender := p.senders[address]
	return sender != nil && sender.Permit().Starts > 0 && sender.Permit().Until != noExpiry
}

// setRegionPath has an endpoint of another region share the samples of that region.
func (p *Placer) setRegionPath(e *endpointState) {
	if e.Region == p.config.Region || e.Region == "" {
		e.regionPath = nil
		return
	}
	if p.regionPaths[e.Region] == nil {
		p.regionPaths[e.Region] = &regionPath{}
	}
	e.regionPath = p.regionPaths[e.Region]
}

// leavesAt returns when the caller of a request leaves without an event, 0 if that is unknown.
func (r *Request) leavesAt() boottime.Instant {
	if r.FirstEventBy != 0 && (r.Deadline == 0 || r.FirstEventBy < r.Deadline) {
		return r.FirstEventBy
	}
	return r.Deadline
}

// arrivesTooLate reports whether the first byte of a call that is sent now is predicted for
// after its caller has left, because of the path. firstByte is the prediction at the endpoint.
//
// Load pattern: a link between regions is filled for seconds. Calls wait on it for longer
// than their callers, and reach engines that then work for nobody.
func (e *endpointState) arrivesTooLate(now boottime.Instant, request *Request, firstByte func() time.Duration) bool {
	delay, leaves := e.callDelay(now), request.leavesAt()
	return delay > 0 && leaves != 0 && leaves.Before(now.Add(delay+firstByte()))
}

// tooFar reports whether a request would reach the endpoint too late if it were placed now.
func (e *endpointState) tooFar(now boottime.Instant, request *Request) bool {
	return e.arrivesTooLate(now, request, func() time.Duration { return e.predictFirstByte(now, request) })
}

// sentTooLate is tooFar for a call that is placed already and counts in the endpoint's load.
func (t *Ticket) sentTooLate(now boottime.Instant) bool {
	return t.endpoint.arrivesTooLate(now, &t.Request, func() time.Duration { return max(t.decision.Expected-t.decision.PathDelay, 0) })
}
