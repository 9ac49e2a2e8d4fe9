package gateway_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/rollout"
)

// versionSwitch is how long older weights may start work after a declaration.
const versionSwitch = 8 * time.Second

// declaringStore is a store in which versions are declared while a watch is open. The
// process is suspended for a part of that watch.
type declaringStore struct {
	declared  []int64
	waits     time.Duration
	suspended time.Duration
	// skipped is the total time of suspension, which only the boot clock counts.
	skipped atomic.Int64
	from    time.Time
}

func (s *declaringStore) now() boottime.Instant {
	return boottime.Instant(time.Hour + time.Since(s.from)).Add(time.Duration(s.skipped.Load()))
}

func (s *declaringStore) Read(context.Context, string) (metastore.Snapshot, error) {
	config := `{"version":1,"routes":[],"services":[{"name":"s","engine":{"capacity":4,"stride":1,"step_ms":1,"read_per_s":1000000,"layers":1,"models":[{"name":"m"}]}}]}`
	engine := `{"service":"s","address":"10.0.0.1:80","zone":"z","capacity":4,"state":"ready","born":1,"models":[{"name":"m","version":1}],"layers":{"from":0,"to":1,"version":1}}`
	return metastore.Snapshot{Revision: 2, Items: []metastore.Change{
		{Key: "op/config", Value: []byte(config), Revision: 1}, {Key: "servers/e", Value: []byte(engine), Revision: 2},
	}}, nil
}

func (s *declaringStore) Revision(context.Context) (uint64, error) { return 2, nil }

func (s *declaringStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]metastore.Change, uint64, error) {
	if after > 2 {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	time.Sleep(s.waits)
	s.skipped.Add(int64(s.suspended))
	var changes []metastore.Change
	for _, version := range s.declared {
		after++
		value, err := json.Marshal(map[string]any{"model": "m", "version": version})
		if err != nil {
			return nil, 0, err
		}
		changes = append(changes, metastore.Change{Key: "op/version/m", Value: value, Revision: after})
	}
	return changes, after, nil
}

// followDeclarations lets a gateway's follower of the store run until the versions are
// known, and returns its placer.
func followDeclarations(t *testing.T, store *declaringStore) *placement.Placer {
	t.Helper()
	store.from = time.Now()
	tracker := fleet.NewTracker(fleet.RenewalInterval(renewalInterval), &platform.Decoder{Regions: map[core.ZoneID]core.RegionID{"z": "r"}}, store.now, logging.Discard())
	placer := placement.New(placement.Config{Zone: "z", Region: "r", VersionSwitch: versionSwitch, Random: rand.New(rand.NewPCG(1, 1))})
	tracker.OnChange(func(view *fleet.View) { placer.SetView(store.now(), view) })
	ctx, cancel := context.WithCancel(t.Context())
	follower := metastore.Follower{Store: store, Sink: tracker, Now: store.now, Wait: store.waits}
	done := make(chan struct{})
	go func() { defer close(done); _ = follower.Run(ctx) }()
	time.Sleep(store.waits + time.Millisecond)
	cancel()
	<-done
	NewWithT(t).Expect(tracker.View().Versions).To(HaveKeyWithValue("m", store.declared[len(store.declared)-1]))
	return placer
}

func placedAt(placer *placement.Placer, now boottime.Instant) bool {
	ticket := placer.Submit(now, placement.Request{Service: "s", PromptTokens: 10, OutputTokens: 10, Deadline: now.Add(2 * time.Second)})
	return ticket.Decision().Verdict == placement.Place
}

// A process that was suspended while versions were declared reads them late. They may
// have been declared at any time since the store last confirmed its view.
func TestAGatewayThatWasSuspendedStartsNoCallOnWeightsWhosePeriodMayBeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &declaringStore{declared: []int64{2, 3}, waits: 2 * time.Second, suspended: 7500 * time.Millisecond}
		placer := followDeclarations(t, store)
		NewWithT(t).Expect(placedAt(placer, store.now())).To(BeFalse())
	})
}

func TestAGatewayThatReadsADeclarationAtOnceGoesOnWithOlderWeightsForTheirPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &declaringStore{declared: []int64{2}, waits: 2 * time.Second}
		placer := followDeclarations(t, store)
		g.Expect(placedAt(placer, store.now().Add(versionSwitch-3*time.Second))).To(BeTrue())
		g.Expect(placedAt(placer, store.now().Add(versionSwitch-time.Second/2))).To(BeFalse())
	})
}

// Other processes read the declaration in time. Old weights may be used for as long as
// they allow, which is longer than the suspended process knows by itself.
func TestAGatewayThatWasSuspendedGoesOnWithOlderWeightsWhenItLearnsTheAgeOfTheDeclaration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &declaringStore{declared: []int64{2, 3}, waits: 2 * time.Second, suspended: 7500 * time.Millisecond}
		placer := followDeclarations(t, store)
		now := store.now()
		placer.LearnDeclarations(now, "m", []rollout.Age{{Version: 2, Age: 5 * time.Second}, {Version: 3, Age: 4 * time.Second}})
		g.Expect(placedAt(placer, now)).To(BeTrue())
		g.Expect(placedAt(placer, now.Add(2500*time.Millisecond))).To(BeFalse())
	})
}

// The declarations reach a gateway that the store turns away through agents.
func TestAGatewayWithoutTheStoreLearnsOfADeclarationFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &declaringStore{declared: []int64{1}, waits: time.Second}
		placer := followDeclarations(t, store)
		g.Expect(placedAt(placer, store.now().Add(time.Hour))).To(BeTrue())
		placer.LearnDeclarations(store.now(), "m", []rollout.Age{{Version: 2, Age: 7500 * time.Millisecond}})
		g.Expect(placedAt(placer, store.now())).To(BeFalse())
	})
}
