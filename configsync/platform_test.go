package configsync_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	standin "github.com/zinniaseam/zinniaseam/standin/platform"
)

const (
	processes      = 4
	gossipInterval = 100 * time.Millisecond
	activeWithin   = 6 * time.Second
)

// fleet runs several processes against the platform stand-in over HTTP. The
// first two processes watch; the others receive documents by gossip.
type fleet struct {
	server  *standin.Server
	url     string
	syncers []*configsync.Syncer
	// regressions counts documents older than the preceding one of a subscriber.
	mu          sync.Mutex
	regressions int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{server: standin.New(standin.Config{Faults: standin.Faults{Seed: 7}})}
	web := httptest.NewServer(f.server)
	f.url = web.URL
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range processes {
		s := f.newProcess(t, i < configsync.WatchersPerZone, uint64(i))
		f.syncers = append(f.syncers, s)
		running.Go(func() { _ = s.Run(ctx) })
		running.Go(func() { f.checkOrder(ctx, s) })
	}
	running.Go(func() { f.exchange(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); web.Close(); f.server.Close() })
	return f
}

func (f *fleet) newProcess(t *testing.T, watches bool, seed uint64) *configsync.Syncer {
	client := platform.New(f.url, platform.Options{Timeout: 500 * time.Millisecond, CallsPerSecond: 100})
	t.Cleanup(client.Close)
	return configsync.New(configsync.Config{
		Client: client, Self: "e", Zone: "a", Clock: hlc.New(time.Now), WatchWait: 500 * time.Millisecond,
		ShouldWatch: func() bool { return watches }, Random: rand.New(rand.NewPCG(seed, 1)),
	})
}

// checkOrder counts regressions in the documents that a subscriber receives.
func (f *fleet) checkOrder(ctx context.Context, s *configsync.Syncer) {
	var last *configsync.Document
	changes := s.Holder().Subscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case doc := <-changes:
			f.mu.Lock()
			if configsync.Compare(doc, last) < 0 {
				f.regressions++
			}
			f.mu.Unlock()
			last = doc
		}
	}
}

func (f *fleet) regressionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regressions
}

// exchange simulates gossip: it offers the document of each process to all others.
func (f *fleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		for _, from := range f.syncers {
			for _, to := range f.syncers {
				to.Holder().Offer(from.Holder().Current())
			}
		}
		time.Sleep(gossipInterval)
	}
}

// reached reports whether every process has the given revision or a later one.
func (f *fleet) reached(revision uint64) bool {
	for _, s := range f.syncers {
		if doc := s.Holder().Current(); doc == nil || doc.Revision < revision {
			return false
		}
	}
	return true
}

// publishUntilKnown repeats a publish until its outcome is final.
func publishUntilKnown(t *testing.T, s *configsync.Syncer, base uint64, set *catalogue.Set, author string) configsync.Outcome {
	for {
		outcome := s.Publisher().Publish(t.Context(), base, set, author)
		if outcome.Kind != configsync.Unknown && outcome.Cause != configsync.CausePlatformDown {
			return outcome
		}
	}
}

func setWithWeight(weight int) *catalogue.Set {
	set := twoZones()
	set.Teams = []catalogue.Team{{Name: "t", Weight: weight}}
	return set
}

func TestRacingOperatorsOverLostAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.server.SetFaults(standin.Faults{LoseAnswerRate: 0.3, Seed: 7})
	const rounds = 12
	var times []time.Duration
	for round := range rounds {
		g.Eventually(func() bool { return f.reached(uint64(round)) || round == 0 }, activeWithin).Should(BeTrue())
		outcomes := make([]configsync.Outcome, processes)
		start := time.Now()
		var racing sync.WaitGroup
		for i, s := range f.syncers {
			racing.Go(func() {
				outcomes[i] = publishUntilKnown(t, s, uint64(round), setWithWeight(1+round*processes+i), "operator")
			})
		}
		racing.Wait()
		g.Eventually(func() bool { return f.reached(uint64(round + 1)) }, activeWithin, time.Millisecond).Should(BeTrue())
		times = append(times, time.Since(start))
		f.expectOneWinner(g, round, outcomes)
	}
	slices.Sort(times)
	t.Logf("time from publish until active in %d processes: median %s, worst %s, lost responses %d", processes, times[rounds/2], times[rounds-1], f.server.Stats().LostAnswers)
	g.Expect(f.regressionCount()).To(BeZero())
}

// expectOneWinner checks that exactly one publish was accepted, that its set is
// active, and that the others were rejected with a conflict.
func (f *fleet) expectOneWinner(g *WithT, round int, outcomes []configsync.Outcome) {
	activeWeight := f.syncers[0].Holder().Current().Set.Teams[0].Weight
	accepted := 0
	for i, outcome := range outcomes {
		if outcome.Kind == configsync.Accepted {
			accepted++
			g.Expect(activeWeight).To(Equal(1 + round*processes + i))
			continue
		}
		g.Expect(outcome.Cause).To(Equal(configsync.CauseConflict))
	}
	g.Expect(accepted).To(Equal(1))
}

func TestAStoreThatComesBackOldIsRestoredAlsoForAJoiningProcess(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	publisher := f.syncers[3]
	g.Expect(publishUntilKnown(t, publisher, 0, setWithWeight(1), "o").Kind).To(Equal(configsync.Accepted))
	f.server.Snapshot()
	g.Expect(publishUntilKnown(t, publisher, 1, setWithWeight(2), "o").Kind).To(Equal(configsync.Accepted))
	g.Eventually(func() bool { return f.reached(2) }, activeWithin).Should(BeTrue())
	f.server.SetFaults(standin.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	g.Expect(f.server.Rollback()).To(Succeed())
	f.server.SetFaults(standin.Faults{})
	start := time.Now()
	joining := f.newProcess(t, true, 99)
	joining.Holder().Offer(f.syncers[0].Holder().Current())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = joining.Run(ctx) })
	defer running.Wait()
	defer cancel()
	observer := platform.New(f.url, platform.Options{})
	g.Eventually(func() int {
		value, _, err := observer.Get(t.Context(), configsync.Key)
		if err != nil {
			return 0
		}
		doc, err := configsync.Decode(value)
		if err != nil {
			return 0
		}
		return doc.Set.Teams[0].Weight
	}, activeWithin, 20*time.Millisecond).Should(Equal(2))
	t.Logf("the store was restored after %s", time.Since(start))
	g.Expect(joining.Holder().Current().Revision).To(BeEquivalentTo(2))
	g.Expect(f.regressionCount()).To(BeZero())
	g.Expect(publishUntilKnown(t, publisher, 2, setWithWeight(3), "o").Kind).To(Equal(configsync.Accepted))
}

func TestAZoneOrderOfAnOutageIsInTheConfigurationAfterIt(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	order := configsync.ZoneOrder{Zone: "a", Out: true, Author: "night"}
	client := platform.New(f.url, platform.Options{Timeout: 500 * time.Millisecond})
	s := configsync.New(configsync.Config{
		Client: client, Self: "e", Zone: "a", ShouldWatch: func() bool { return true },
		Orders: func() []configsync.ZoneOrder { return []configsync.ZoneOrder{order} },
	})
	order.Stamp = hlc.FromTime(time.Now().Add(time.Second))
	g.Expect(publishUntilKnown(t, s, 0, setWithWeight(1), "o").Kind).To(Equal(configsync.Accepted))
	g.Eventually(func() bool { return f.reached(1) }, activeWithin).Should(BeTrue())
	f.server.SetFaults(standin.Faults{Outage: true})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	defer running.Wait()
	defer cancel()
	g.Expect(configsync.ZonesOut(s.Holder().Current(), []configsync.ZoneOrder{order})).To(HaveKey(core.ZoneID("a")))
	time.Sleep(300 * time.Millisecond)
	f.server.SetFaults(standin.Faults{})
	g.Eventually(func() catalogue.ZoneState { return f.syncers[2].Holder().Current().Set.Zones[0].State }, activeWithin).Should(Equal(catalogue.ZoneOut))
	g.Expect(configsync.Superseded(f.syncers[2].Holder().Current(), order)).To(BeTrue())
}
