package entry

import (
	"time"

	"github.com/zinniaseam/zinniaseam/admission"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
	"github.com/zinniaseam/zinniaseam/node"
)

// serviceTimeWeight is the EWMA weight of the latest call in the service time.
const serviceTimeWeight = 0.1

// serviceTimes holds the EWMA of the service time per pool or service.
type serviceTimes map[target]time.Duration

func (s serviceTimes) add(to target, elapsed time.Duration) {
	before, known := s[to]
	if !known {
		s[to] = elapsed
		return
	}
	s[to] = before + time.Duration(serviceTimeWeight*float64(elapsed-before))
}

// target returns the pool or service of a call.
func (c *Call) target() target { return target{pool: c.Pool, service: c.Service} }

// admit applies the admission policy to a call. Each admitted call must be ended with
// release.
func (t *EndpointTable) admit(call *Call) *core.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	request := admission.Request{Team: call.Team, Priority: call.Priority, Deadline: call.Deadline}
	return t.admission.Offer(now, request, t.capacity(call, now)).Refusal
}

// capacity sums the load and the limits of the endpoints in this entry's subset.
func (t *EndpointTable) capacity(call *Call, now time.Time) admission.Capacity {
	capacity := admission.Capacity{ServiceTime: t.serviceTimes[call.target()]}
	g := t.group(call, now)
	if g == nil {
		return capacity
	}
	capacity.Endpoints = len(g.subset)
	for _, m := range g.subset {
		c := m.candidate()
		limit := max(c.ReportedLimit, 1)
		capacity.Limit += limit
		capacity.QueueCapacity += gate.DefaultQueueCapacity(limit)
		capacity.InFlight += c.ReportedInFlight + c.SentSinceReport
		capacity.Queued += c.ReportedQueued
	}
	return capacity
}

// release ends a call admitted by admit. Only completely answered calls update the
// service time.
func (t *EndpointTable) release(call *Call, started time.Time, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.Done(call.Team)
	if answered {
		t.serviceTimes.add(call.target(), time.Since(started))
	}
}

// setTeams applies the team weights of the current view.
func (t *EndpointTable) setTeams(view *node.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.SetTeams(view.TeamWeights())
}
