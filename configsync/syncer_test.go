package configsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
)

// fakePlatform is an in-memory implementation of configsync.Client with one key.
type fakePlatform struct {
	mu       sync.Mutex
	value    []byte
	revision uint64
	down     bool
	loseNext bool
	calls    int
	// sent counts the conditional reads that returned a value.
	sent int
	list platform.VMListReply
}

func (f *fakePlatform) Get(context.Context, string) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return nil, 0, platform.ErrOutage
	}
	return f.value, f.revision, nil
}

func (f *fakePlatform) GetIfChanged(ctx context.Context, key string, known core.Digest) ([]byte, uint64, bool, error) {
	value, revision, err := f.Get(ctx, key)
	if err != nil || revision > 0 && core.DigestOf(value) == known {
		return nil, revision, false, err
	}
	f.set(func() { f.sent++ })
	return value, revision, true, nil
}

func (f *fakePlatform) CompareAndSwap(_ context.Context, _ string, value []byte, previous uint64) (uint64, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return 0, false, platform.ErrOutage
	}
	if previous != f.revision {
		return f.revision, false, nil
	}
	f.value, f.revision = value, f.revision+1
	if f.loseNext {
		f.loseNext = false
		return 0, false, fmt.Errorf("put: %w", platform.ErrOutcomeUnknown)
	}
	return f.revision, true, nil
}

func (f *fakePlatform) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]byte, uint64, bool, error) {
	end := time.Now().Add(wait)
	f.count()
	for {
		f.mu.Lock()
		value, revision, down := f.value, f.revision, f.down
		f.mu.Unlock()
		if down {
			return nil, 0, false, platform.ErrOutage
		}
		if revision != after {
			return value, revision, true, nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return nil, after, false, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fakePlatform) VMs(ctx context.Context, after uint64, wait time.Duration) (platform.VMListReply, bool, error) {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	if list.Revision > after {
		return list, true, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return platform.VMListReply{}, false, nil
}

func (f *fakePlatform) count() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func newSyncer(client configsync.Client, adjust func(*configsync.Config)) *configsync.Syncer {
	config := configsync.Config{Client: client, Self: "e1", Zone: "a", Clock: hlc.New(time.Now), Random: rand.New(rand.NewPCG(1, 1))}
	if adjust != nil {
		adjust(&config)
	}
	return configsync.New(config)
}

func run(t *testing.T, syncers ...*configsync.Syncer) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, s := range syncers {
		running.Go(func() { _ = s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
}

func TestALostAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{loseNext: true}
		s := newSyncer(fake, nil)
		outcome := s.Publisher().Publish(t.Context(), 0, twoZones(), "operator")
		g.Expect(outcome.Kind).To(Equal(configsync.Accepted))
		g.Expect(outcome.Revision).To(BeEquivalentTo(1))
		g.Expect(fake.revision).To(BeEquivalentTo(1), "written once")
		again := s.Publisher().Publish(t.Context(), 0, twoZones(), "operator")
		g.Expect(again.Already).To(BeTrue())
	})
}

func TestAnOutageRefusesAPublishAndAJoiningOneIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		down := newSyncer(&fakePlatform{down: true}, nil)
		g.Expect(down.Publisher().Publish(t.Context(), 0, twoZones(), "o").Cause).To(Equal(configsync.CausePlatformDown))
		joining := newSyncer(&fakePlatform{}, func(c *configsync.Config) { c.Ready = func() bool { return false } })
		g.Expect(joining.Publisher().Publish(t.Context(), 0, twoZones(), "o").Cause).To(Equal(configsync.CauseNotReady))
	})
}

func TestAnInvalidSetIsRefusedWithoutACall(t *testing.T) {
	g := NewWithT(t)
	fake := &fakePlatform{}
	set := &catalogue.Set{Zones: []catalogue.Zone{{Name: "a"}, {Name: ""}}}
	outcome := newSyncer(fake, nil).Publisher().Publish(t.Context(), 0, set, "o")
	g.Expect(outcome.Cause).To(Equal(configsync.CauseInvalid))
	g.Expect(outcome.Problems).To(HaveLen(3))
	g.Expect(fake.calls).To(BeZero())
}

func TestAWatcherTakesAPublishAndRestoresALostOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{}
		publisher, watcher := newSyncer(fake, nil), newSyncer(fake, nil)
		run(t, watcher)
		first := publisher.Publisher().Publish(t.Context(), 0, twoZones(), "o")
		saved, savedRevision := fake.value, fake.revision
		second := publisher.Publisher().SetZone(t.Context(), "b", catalogue.ZoneOut, "o")
		g.Expect([]configsync.OutcomeKind{first.Kind, second.Kind}).To(HaveEach(configsync.Accepted))
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(watcher.Holder().Current().Revision).To(BeEquivalentTo(2))
		fake.set(func() { fake.value, fake.revision = saved, savedRevision })
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(watcher.Holder().Current().Revision).To(BeEquivalentTo(2))
		restored, err := configsync.Decode(fake.value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(restored.ID).To(Equal(watcher.Holder().Current().ID))
	})
}

func TestAVolatileOrderIsTakenInAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{}
		var mu sync.Mutex
		orders := configsync.NewZoneOrders()
		s := newSyncer(fake, func(c *configsync.Config) {
			c.Orders = func() []configsync.ZoneOrder { mu.Lock(); defer mu.Unlock(); return orders.List() }
		})
		g.Expect(s.Publisher().Publish(t.Context(), 0, twoZones(), "o").Kind).To(Equal(configsync.Accepted))
		fake.set(func() { fake.down = true })
		run(t, s)
		mu.Lock()
		orders.Merge(configsync.ZoneOrder{Zone: "a", Out: true, Stamp: hlc.FromTime(time.Now()) + 99, Author: "night"})
		mu.Unlock()
		time.Sleep(20 * time.Second)
		g.Expect(s.Holder().Current().Revision).To(BeEquivalentTo(1))
		fake.set(func() { fake.down = false })
		time.Sleep(6 * time.Second)
		g.Expect(s.Holder().Current().Set.Zones[0].State).To(Equal(catalogue.ZoneOut))
		g.Expect(s.Holder().Current().Author).To(Equal("zone-orders of night"))
	})
}

func TestAnEntryThatDoesNotWatchCallsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{list: platform.VMListReply{Revision: 3, VMs: []core.VM{{ID: "x"}}}}
		changed := 0
		s := newSyncer(fake, func(c *configsync.Config) {
			c.ShouldWatch = func() bool { return false }
			c.VMsChanged = func() { changed++ }
		})
		run(t, s)
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		g.Expect(fake.calls).To(BeNumerically("<=", 21))
		g.Expect(s.Holder().VMs().VMs).To(HaveLen(1))
		g.Expect(changed).To(Equal(1))
	})
}

func TestAPublishThroughAProcessThatIsBehindBringsNoZoneBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{}
		ahead, behind := newSyncer(fake, nil), newSyncer(fake, nil)
		g.Expect(ahead.Publisher().Publish(t.Context(), 0, twoZones(), "o").Kind).To(Equal(configsync.Accepted))
		g.Expect(ahead.Publisher().SetZone(t.Context(), "a", catalogue.ZoneOut, "o").Kind).To(Equal(configsync.Accepted))
		set := twoZones()
		set.Teams = []catalogue.Team{{Name: "t", Weight: 1}}
		g.Expect(behind.Publisher().Publish(t.Context(), 2, set, "o").Kind).To(Equal(configsync.Accepted))
		g.Expect(behind.Holder().Current().Set.Zones[0].State).To(Equal(catalogue.ZoneOut))
		other := newSyncer(fake, nil)
		again := other.Publisher().Publish(t.Context(), 2, set, "o")
		g.Expect(again.Already).To(BeTrue(), "the same publish repeated through another process")
	})
}

func TestTheLastZoneOfAServiceIsSeenInTheStoresRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{}
		ahead, behind := newSyncer(fake, nil), newSyncer(fake, nil)
		g.Expect(ahead.Publisher().Publish(t.Context(), 0, twoZones(), "o").Kind).To(Equal(configsync.Accepted))
		g.Expect(ahead.Publisher().SetZone(t.Context(), "a", catalogue.ZoneOut, "o").Kind).To(Equal(configsync.Accepted))
		set := twoZones()
		set.Services = []catalogue.Service{{Name: "s", Zones: []core.ZoneID{"a"}}}
		outcome := behind.Publisher().Publish(t.Context(), 2, set, "o")
		g.Expect(outcome.Cause).To(Equal(configsync.CauseInvalid))
		g.Expect(outcome.Problems).To(HaveLen(1))
	})
}

func TestAPollIsNotSentADocumentThatPeersTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := &fakePlatform{}
		publisher := newSyncer(fake, nil)
		poller := newSyncer(fake, func(c *configsync.Config) { c.ShouldWatch = func() bool { return false } })
		for base := range uint64(8) {
			set := twoZones()
			set.Teams = []catalogue.Team{{Name: "t", Weight: int(base) + 1}}
			g.Expect(publisher.Publisher().Publish(t.Context(), base, set, "o").Kind).To(Equal(configsync.Accepted))
			poller.Holder().Offer(publisher.Holder().Current())
			if base == 0 {
				run(t, poller)
			}
			time.Sleep(time.Minute)
		}
		synctest.Wait()
		g.Expect(fake.sent).To(BeZero())
		set := twoZones()
		set.Teams = []catalogue.Team{{Name: "t", Weight: 99}}
		g.Expect(publisher.Publisher().Publish(t.Context(), 8, set, "o").Kind).To(Equal(configsync.Accepted))
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(fake.sent).To(Equal(1), "the last document was not received from a peer")
		g.Expect(poller.Holder().Current().Revision).To(BeEquivalentTo(9))
	})
}
