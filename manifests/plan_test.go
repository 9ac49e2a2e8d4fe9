package manifests_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/manifests"
	"github.com/zinniaseam/zinniaseam/spread"
)

var start = time.UnixMilli(1_700_000_000_000)

func fleet(zones, machines int) []spread.Member {
	var members []spread.Member
	for z := range zones {
		for m := range machines {
			members = append(members, spread.Member{ID: core.VMID(fmt.Sprintf("vm-%d-%d", z, m)), Zone: core.ZoneID(fmt.Sprint(z))})
		}
	}
	return members
}

// outcome is the result of a simulated fleet that reads a manifest.
type outcome struct {
	storeCalls, peerCalls int
	// last is when the last machine got the manifest; complete holds the machines
	// that have it at the end.
	last     time.Duration
	complete map[core.VMID]struct{}
}

// simulate runs the plans of a fleet for span against a store that accepts rate
// calls per second, or none when rate is 0. holders have the manifest at the
// start.
func simulate(members []spread.Member, rate int, span time.Duration, seed uint64, holders ...core.VMID) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	o := outcome{complete: map[core.VMID]struct{}{}}
	for _, id := range holders {
		o.complete[id] = struct{}{}
	}
	hasManifest := func(id core.VMID) bool { _, found := o.complete[id]; return found }
	plans, due := map[core.VMID]*manifests.Plan{}, map[core.VMID]time.Duration{}
	for _, m := range members {
		plans[m.ID] = manifests.New(m.ID, m.Zone, members, "v1", false, start, rand.New(rand.NewPCG(random.Uint64(), 2)))
		due[m.ID] = time.Duration(random.Int64N(int64(100 * time.Millisecond)))
	}
	const tick = 10 * time.Millisecond
	tokens := float64(rate)
	for at := time.Duration(0); at < span; at += tick {
		tokens = min(float64(rate), tokens+float64(rate)*tick.Seconds())
		for _, m := range members {
			if hasManifest(m.ID) || due[m.ID] > at {
				continue
			}
			source, ok := plans[m.ID].Next(start.Add(at), false)
			due[m.ID] = at + plans[m.ID].Wait()
			if !ok {
				continue
			}
			answered := hasManifest(source.Peer)
			if source.IsStore() {
				o.storeCalls++
				answered = tokens >= 1
				tokens = max(tokens-1, 0)
			} else {
				o.peerCalls++
			}
			if answered {
				o.complete[m.ID] = struct{}{}
				o.last = at
			}
		}
	}
	return o
}

func TestAFleetReadsFromTheStoreAFewTimes(t *testing.T) {
	g := NewWithT(t)
	const storeRate = 50 // calls per second, the default of the stand-in
	members := fleet(14, 93)
	o := simulate(members, storeRate, 30*time.Second, 1)
	t.Logf("1,302 machines: %d store calls, %d peer calls, all complete after %s", o.storeCalls, o.peerCalls, o.last)
	g.Expect(o.complete).To(HaveLen(len(members)))
	g.Expect(o.storeCalls).To(BeNumerically("<=", 2*14))
	g.Expect(o.last).To(BeNumerically("<", 2*time.Second))
	naive := time.Duration(len(members)-storeRate) * time.Second / storeRate
	g.Expect(o.last).To(BeNumerically("<", naive/10), "compared with a fleet in which every machine asks the store")
}

func TestACutOffZoneReadsFromThePeersThatHoldIt(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(t)
		members := fleet(rapid.IntRange(1, 4).Draw(r, "zones"), rapid.IntRange(2, 12).Draw(r, "machines"))
		holder := rapid.SampledFrom(members).Draw(r, "holder").ID
		o := simulate(members, 0, 2*time.Minute, rapid.Uint64().Draw(r, "seed"), holder)
		g.Expect(o.complete).To(HaveLen(len(members)))
	})
}

func TestAJoiningMachineThatIsNotListedAsksItsZoneFirst(t *testing.T) {
	g := NewWithT(t)
	plan := manifests.New("joining", "2", nil, "v1", false, start, rand.New(rand.NewPCG(1, 1)))
	_, ok := plan.Next(start, true)
	g.Expect(ok).To(BeFalse(), "the member list has not arrived yet")
	plan.SetMembers(fleet(3, 2))
	var first core.VMID
	for first == "" {
		source, _ := plan.Next(start, true)
		first = source.Peer
	}
	g.Expect(string(first)).To(HavePrefix("vm-2-"))
}

func TestWithoutAnyHolderEveryMachineComesToTheStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 3))
		members := fleet(2, rapid.IntRange(1, 9).Draw(r, "machines"))
		self := rapid.SampledFrom(members).Draw(r, "self")
		storeOnly := rapid.Bool().Draw(r, "storeOnly")
		plan := manifests.New(self.ID, self.Zone, members, "v1", storeOnly, start, random)
		now := start
		for range 100 {
			silent, ok := plan.Next(now, true)
			g.Expect(ok && silent.IsStore()).To(BeFalse(), "a second read from the store while one is pending")
			g.Expect(ok).To(Equal(!storeOnly && len(members) > 1), "peers must be asked while the store does not respond")
			source, ok := plan.Next(now, false)
			if ok && source.IsStore() {
				return
			}
			g.Expect(source.Peer).NotTo(Equal(self.ID))
			wait := plan.Wait()
			g.Expect(wait).To(BeNumerically(">", 0))
			now = now.Add(wait)
		}
		t.Fatal("the store was not asked within 100 attempts")
	})
}
