package transfer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

const (
	// probeCheckInterval is the interval at which links in use are checked for
	// due probes. All gateways of a link together make one round trip per
	// linkProbeInterval.
	probeCheckInterval = 125 * time.Millisecond
	linkProbeInterval  = 62500 * time.Microsecond
	// probeTimeout limits one round trip. A lost one is no sample of the link,
	// since the other machine may be down.
	probeTimeout = 3 * time.Second
	// governPeriod is the minimum time between two adjustments of the rate of a
	// link. With many gateways, the rate is adjusted once per governProbes round
	// trips.
	governPeriod = 500 * time.Millisecond
	governProbes = 2
	// governStartShare is the share of the budget at which a link starts.
	governStartShare = 0.25
)

// linkGovernor sets the rate of one region link from round-trip times over it.
type linkGovernor struct {
	governor *spread.Governor
	mu       sync.Mutex
	samples  []time.Duration
	probing  bool
	// interval is the time between two round trips.
	interval time.Duration
	// probeAt and adjustAt are when the next round trip and the next adjustment
	// are due.
	probeAt, adjustAt time.Time
}

// Govern reduces the budget of each region link in use while round trips over
// it take longer than before, until ctx ends. The round trips carry small
// messages on their own connections, like live requests, and so see the delay
// that live requests see.
func (s *Spreader) Govern(ctx context.Context) error {
	if s.config.Probe == nil || s.config.RegionSlack <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	links := map[core.RegionID]*linkGovernor{}
	probes, periods := time.NewTicker(probeCheckInterval), time.NewTicker(governPeriod)
	defer probes.Stop()
	defer periods.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-probes.C:
			for region, use := range s.regions.inUse() {
				link := s.linkGovernor(links, region)
				if link.begin(now, use.gatewayCount) {
					running.Go(func() { link.probe(ctx, s.config.Probe, use.receiver) })
				}
			}
		case now := <-periods.C:
			for region, link := range links {
				s.adjust(now, region, link)
			}
		}
	}
}

func (s *Spreader) linkGovernor(links map[core.RegionID]*linkGovernor, region core.RegionID) *linkGovernor {
	link, ok := links[region]
	if !ok {
		link = &linkGovernor{governor: spread.NewGovernor(spread.GovernorConfig{
			LinkRate: s.config.RegionRate, MaxShare: 1, StartShare: governStartShare, Slack: s.config.RegionSlack, Period: governPeriod / 2,
		})}
		links[region] = link
		s.regions.setGovernedRate(region, link.governor.Rate())
	}
	return link
}

// adjust sets the rate of a link from the round-trip times of one period.
func (s *Spreader) adjust(now time.Time, region core.RegionID, link *linkGovernor) {
	latency, ok := link.take(now)
	if !ok {
		return
	}
	before := link.governor.Rate()
	rate := link.governor.Observe(now, latency)
	s.log.Debug("Round-trip time of a region link evaluated.", "region", region, "roundTrip", latency, "rate", rate)
	s.regions.setGovernedRate(region, rate)
	if rate < before {
		metrics.Add("region_slowed", 1)
	}
	if rate == 0 && before > 0 {
		s.log.Warn("Round trips to a region are slow; pausing weight transfers to it.", "region", region, "roundTrip", latency)
	}
}

// begin reports whether a probe is due; at most one is in progress.
func (l *linkGovernor) begin(now time.Time, gatewayCount int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || now.Before(l.probeAt) {
		return false
	}
	l.probing = true
	l.interval = time.Duration(gatewayCount) * linkProbeInterval
	l.probeAt = now.Add(l.interval - probeCheckInterval/2)
	return true
}

func (l *linkGovernor) probe(ctx context.Context, probe func(context.Context, core.VMID) error, receiver core.VMID) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	err := probe(ctx, receiver)
	elapsed := time.Since(started)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	if err == nil {
		l.samples = append(l.samples, elapsed)
	}
}

// take returns the lower median of the samples since the last call; false when
// there are none or the next adjustment is not due.
func (l *linkGovernor) take(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 || now.Before(l.adjustAt) {
		return 0, false
	}
	slices.Sort(l.samples)
	median := l.samples[(len(l.samples)-1)/2]
	l.samples = l.samples[:0]
	l.adjustAt = now.Add(governProbes*l.interval - probeCheckInterval)
	return median, true
}
