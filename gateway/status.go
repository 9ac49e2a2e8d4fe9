package gateway

import (
	"expvar"
	"time"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

func (s *scheduler) updateEngine(status *peerpb.EngineNews) {
	s.update(func(p *placement.Placer, now boottime.Instant) {
		p.UpdatePermit(status.GetEngine(), startPermit(now, status))
		if status.GetLeaving() && p.EngineLeaving(now, status.GetEngine(), status.GetBoot()) {
			endpointNotices.Add("leaving_by_agent", 1)
		}
		lost := p.UpdateEngine(placement.EngineStatus{
			Address: status.GetEngine(), Boot: status.GetBoot(), Running: int(status.GetRunning()), Waiting: int(status.GetWaiting()),
			Loading: status.GetLoading(), Version: status.GetVersion(), Unreachable: status.GetUnreachable(), At: now,
			Granted: grantedSlots(status), ClosesAt: closesAt(now, status), Path: pathSample(now, status), Pace: float64(status.GetPace()),
		})
		for _, ticket := range lost {
			if cancel, open := s.open[ticket]; open {
				cancel(errEndpointLost)
			}
		}
	})
}

// updateGateways records the number of gateways and reports whether that changed with which
// engines this process keeps in touch.
func (s *scheduler) updateGateways(count int) (changed bool) {
	s.update(func(p *placement.Placer, _ boottime.Instant) { changed = p.UpdateGateways(count) })
	return changed
}

// inTouch reports whether this process keeps in touch with the agent of an engine.
func (s *scheduler) inTouch(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.InTouch(engine)
}

// endPermit ends the permit for the calls to an engine when its agent can't be heard any more.
func (s *scheduler) endPermit(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.UpdatePermit(engine, startquota.Permit{})
}

// startsSent returns the number of calls that were sent to an engine in the last second.
func (s *scheduler) startsSent(engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.StartsSent(s.now(), engine)
}

// maxStarts returns how many calls an endpoint of a service may receive within a second, 0
// if that is not limited.
func (s *scheduler) maxStarts(service core.ServiceID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.MaxStarts(service)
}

// paced reports whether agents limit the slots that they divide after their engine has
// started or recovered.
func (s *scheduler) paced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Paced()
}

// startPermit returns the permit by the lease in a status. It ends LeaseTime after this
// process sent the message that the agent had received last, so that the agent never gives a
// lease away before its end. An engine that has never responded, or that responds and has no
// weights, is leased to nobody.
func startPermit(now boottime.Instant, status *peerpb.EngineNews) startquota.Permit {
	withoutWeights := !status.GetUnreachable() && status.GetVersion() == 0
	sent, valid := echoed(now, status)
	if !valid || status.GetBoot() == 0 || withoutWeights {
		return startquota.Permit{}
	}
	return startquota.Permit{Starts: int(status.GetStarts()), Boot: status.GetBoot(), Until: sent.Add(startquota.LeaseTime)}
}

// learnDeclarations applies the ages of declarations that an agent has sent.
func (s *scheduler) learnDeclarations(encoded []*peerpb.DeclarationAge) {
	if len(encoded) == 0 {
		return
	}
	s.update(func(p *placement.Placer, now boottime.Instant) {
		for model, ages := range peers.DecodeAges(encoded) {
			p.LearnDeclarations(now, model, ages)
		}
	})
}

// declarationAges returns the ages of a model's recent declarations.
func (s *scheduler) declarationAges(model string) []*peerpb.DeclarationAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	return peers.EncodeAges(model, s.placer.DeclarationAges(s.now(), model))
}

// grantedSlots returns the number of slots that an agent permits this process to fill,
// negative if the agent has not divided them.
func grantedSlots(status *peerpb.EngineNews) int {
	if !status.GetDivided() {
		return -1
	}
	return int(status.GetGranted())
}

// malformedEchoes counts times in statuses at which this process cannot have sent a message.
var malformedEchoes = expvar.NewInt("malformed_echoes")

// echoed returns when this process sent the last message that the agent has received. It is not
// valid if there was none, or if it is in the future: a lease would never end, and a sample of the path would
// count as newer than all that follow, for the whole region.
func echoed(now boottime.Instant, status *peerpb.EngineNews) (sent boottime.Instant, valid bool) {
	if status.GetEchoMs() == 0 {
		return 0, false
	}
	if status.GetEchoMs() > uint64(time.Duration(now).Milliseconds()) {
		malformedEchoes.Add(1)
		return 0, false
	}
	return boottime.Instant(time.Duration(status.GetEchoMs()) * time.Millisecond), true
}

// pathSample returns the round trip of the last message that the agent has received.
func pathSample(now boottime.Instant, status *peerpb.EngineNews) placement.PathSample {
	sent, valid := echoed(now, status)
	if !valid {
		return placement.PathSample{}
	}
	held := time.Duration(status.GetEchoHeldMs()) * time.Millisecond
	return placement.PathSample{SentAt: sent, RoundTrip: max(now.Sub(sent)-held, 0)}
}

// closesAt returns when an engine is going to load other weights, 0 if no load is
// planned.
func closesAt(now boottime.Instant, status *peerpb.EngineNews) boottime.Instant {
	if status.GetClosesInMs() == 0 {
		return 0
	}
	return now.Add(time.Duration(status.GetClosesInMs()) * time.Millisecond)
}
