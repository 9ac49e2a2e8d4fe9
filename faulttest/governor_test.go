package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
)

// Rates and sizes for the test of live requests during a spread.
const (
	// regionLinkRate is the rate of the link between the two regions, in bytes per
	// second in each direction: 25 Mb/s.
	regionLinkRate = 25_000_000 / 8
	// regionWeightRateKiB is the limit for weights on that link, in KiB per second:
	// 90% of its rate.
	regionWeightRateKiB = 2746
	// livePromptBytes, liveCallers and liveTokens result in live requests that
	// need about a tenth of the link.
	livePromptBytes = 20 << 10
	liveCallers     = 6
	liveTokens      = 30
	livePhase       = 2 * time.Second
	// bulkBytes is the size of the weights that are spread during live requests.
	bulkBytes = 10 << 20
)

// limitRegionLinks makes all traffic from one region to another share one
// rate-limited link.
func (c *cluster) limitRegionLinks(bytesPerSecond int) {
	links := map[[2]core.RegionID]*rate.Limiter{}
	var mu sync.Mutex
	for id, r := range c.peerRelays {
		target := regionOf(c.vmZone(id))
		r.limiterFor = func(source string, towardsTarget bool) *rate.Limiter {
			direction := [2]core.RegionID{regionOf(c.zoneOf[source]), target}
			if direction[0] == direction[1] {
				return nil
			}
			if !towardsTarget {
				direction[0], direction[1] = direction[1], direction[0]
			}
			mu.Lock()
			defer mu.Unlock()
			if links[direction] == nil {
				links[direction] = rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst)
			}
			return links[direction]
		}
	}
}

// liveLatencies collects the latencies of live requests by phase.
type liveLatencies struct {
	mu    sync.Mutex
	phase string
	took  map[string][]time.Duration
}

func (l *liveLatencies) begin(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phase
}

func (l *liveLatencies) add(phase string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if phase == l.phase && phase != "" {
		l.took[phase] = append(l.took[phase], took)
	}
}

func (l *liveLatencies) current() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// quantile returns a latency quantile of a phase and its number of requests.
func (l *liveLatencies) quantile(phase string, share float64) (time.Duration, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := slices.Sorted(slices.Values(l.took[phase]))
	if len(times) == 0 {
		return 0, 0
	}
	return times[int(share*float64(len(times)-1))], len(times)
}

// twoRegions starts a cluster with engines for live requests in the second region,
// and engines in both regions that bulk will be spread to. An entry of the first
// region sends the live requests.
func twoRegions(t *testing.T, slack string) (c *cluster, bulk catalogue.Version) {
	t.Helper()
	c = newCluster(t)
	c.relayed = true
	c.addEntry("a")
	c.addEntry("b")
	limits := []string{"-region-rate", fmt.Sprint(regionWeightRateKiB), "-region-slack", slack}
	for range 3 {
		c.addEngine("b", "live", "-warm", "-token-interval", "8ms")
	}
	for range 2 {
		c.addSpreadEngine("a", append(limits, "-upload-rate", "0", "-download-rate", "0")...)
		c.addSpreadEngine("b", append(limits, "-upload-rate", "0", "-download-rate", "0")...)
	}
	c.limitRegionLinks(regionLinkRate)
	live := c.addVersion("live", 256<<10, 1)
	bulk = c.addVersion("bulk", bulkBytes, 2)
	c.set = catalogue.Set{
		Zones:    []catalogue.Zone{{Name: "a", Region: regionOf("a")}, {Name: "b", Region: regionOf("b")}},
		Models:   []catalogue.Model{{Name: "assistant"}, {Name: "other"}},
		Versions: []catalogue.Version{live},
		Pools:    []catalogue.Pool{{Name: "live", Model: "assistant", Version: "live", Zones: []core.ZoneID{"b"}}},
		Routes:   []catalogue.Route{{Name: "assistant", Model: "assistant", Pool: "live"}},
	}
	bulk.Model = "other"
	c.declareVMs()
	c.publish()
	c.waitAnswering(c.entries[0], "live")
	return c, bulk
}

// measureLiveDuringSpread returns the latencies of live requests without and with a
// spread, and the duration of the spread.
func measureLiveDuringSpread(t *testing.T, slack string) (*liveLatencies, time.Duration) {
	c, bulk := twoRegions(t, slack)
	times := &liveLatencies{took: map[string][]time.Duration{}}
	report, stop := background(liveCallers, func(int) *entryVM { return c.entries[0] }, func(e *entryVM, n int) answer {
		phase := times.current()
		a := chat(e, strings.Repeat(fmt.Sprintf("%07d ", n), livePromptBytes/8), liveTokens)
		if a.complete {
			times.add(phase, a.elapsed)
		}
		return a
	})
	time.Sleep(livePhase) // The gates raise their limits.
	times.begin("alone")
	time.Sleep(livePhase)
	times.begin("spread")
	c.set.Versions = append(c.set.Versions, bulk)
	c.set.Pools = append(c.set.Pools, catalogue.Pool{Name: "main", Model: "other", Version: bulk.Name, Zones: []core.ZoneID{"a", "b"}})
	began := time.Now()
	c.publish()
	spread := c.engines[3:]
	c.eventually(spreadLimit, "spread", func() bool {
		spreadReplicas := replicas{at: map[core.VMID]time.Time{}}
		engines := c.engines
		c.engines = spread
		defer func() { c.engines = engines }()
		return spreadReplicas.observe(c, bulk.Name)
	})
	took := time.Since(began)
	times.begin("")
	stop()
	report.requireNoBrokenAnswers(t)
	return times, took
}

// TestLiveRequestsBesideASpreadOverARegionLink logs how the region link governor
// changes the latencies of live requests. On a busy machine the ratios vary too much
// to assert more than that the spread ends and that answers are complete.
func TestLiveRequestsBesideASpreadOverARegionLink(t *testing.T) {
	for _, slack := range []string{"0", "10"} {
		t.Run("slack-"+slack, func(t *testing.T) {
			g := NewWithT(t)
			times, took := measureLiveDuringSpread(t, slack)
			for _, share := range []float64{0.5, 0.9, 0.99} {
				baseline, n := times.quantile("alone", share)
				during, m := times.quantile("spread", share)
				g.Expect(n).To(BeNumerically(">", 0))
				g.Expect(m).To(BeNumerically(">", 0))
				t.Logf("slack %s ms, quantile %.2f of live requests: %s alone (%d), %s during the spread (%d), ratio %.2f; spread took %s",
					slack, share, baseline.Round(time.Millisecond), n, during.Round(time.Millisecond), m, float64(during)/float64(baseline), took.Round(10*time.Millisecond))
			}
		})
	}
}
