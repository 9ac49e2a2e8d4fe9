package transfer

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/spread"
)

// TestPacerNeverGivesMoreThanItsRate checks that at any time at most one burst
// plus the rate times the elapsed time has passed.
func TestPacerNeverGivesMoreThanItsRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 8 << 20
	p := newPacer(rate, burstParts*partBytes)
	started := time.Now()
	sent := 0
	for time.Since(started) < 200*time.Millisecond {
		g.Expect(p.wait(context.Background(), partBytes)).To(Succeed())
		sent += partBytes
		g.Expect(float64(sent)).To(BeNumerically("<=", rate*time.Since(started).Seconds()+burstParts*partBytes))
	}
	g.Expect(float64(sent)).To(BeNumerically(">", rate*0.1))
}

func TestPausedPacerWaitsForTheContext(t *testing.T) {
	p := newPacer(1<<30, burstParts*partBytes)
	p.setRate(0)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	NewWithT(t).Expect(p.wait(ctx, 1)).To(MatchError(context.DeadlineExceeded))
}

// TestRegionSharesAddUpToTheBudget checks that the shares of all machines of a
// region add up to the budget of each link after the members and the rate changed.
func TestRegionSharesAddUpToTheBudget(t *testing.T) {
	const budget = 1 << 20
	for _, machines := range []int{1, 3, 31, 32, 33, 200} {
		var members []spread.Member
		for i := range machines {
			members = append(members, spread.Member{ID: core.VMID([]byte{'a' + byte(i%26), 'a' + byte(i/26)}), Zone: "z", Region: "r0"})
		}
		local := members
		members = append(members, spread.Member{ID: "far", Zone: "y", Region: "r1"}, spread.Member{ID: "farther", Zone: "x", Region: "r2"})
		for _, region := range []core.RegionID{"r1", "r2"} {
			total, gateways := 0.0, 0
			for _, self := range local {
				r := newRegionPacers(3, burstParts*partBytes)
				r.setMembers("v1", self, members[1:])
				link, _ := r.get(region)
				r.setMembers("v1", self, members)
				r.setRate(budget)
				if link == nil {
					link, _ = r.get(region)
				}
				if link != nil && link.gatewayCount > 0 {
					gateways++
					total += float64(link.pacer.limiter.Limit())
				}
			}
			NewWithT(t).Expect(total).To(BeNumerically("~", budget, 1))
			NewWithT(t).Expect(gateways).To(BeNumerically("<=", spread.GatewaysPerLink(3)))
		}
	}
}

func TestCacheKeepsItsBudget(t *testing.T) {
	g := NewWithT(t)
	c := newChunkCache(10)
	for i := range 20 {
		c.add(core.DigestOf([]byte{byte(i)}), make([]byte, 4))
		g.Expect(c.bytes).To(BeNumerically("<=", 10))
	}
	g.Expect(c.lru.Len()).To(Equal(2))
	c.add(core.DigestOf([]byte("large")), make([]byte, 11))
	g.Expect(c.lru.Len()).To(Equal(2))
}

// TestSlotsAreGivenInTheOrderOfAsking also checks that a request cancelled in the
// queue is skipped, and that one cancelled after its grant frees the slot.
func TestSlotsAreGivenInTheOrderOfAsking(t *testing.T) {
	g := NewWithT(t)
	q := newSlotQueue(1)
	first, second, third := q.enqueue(), q.enqueue(), q.enqueue()
	g.Expect(first).To(BeClosed())
	q.cancel(second)
	q.release()
	g.Expect(third).To(BeClosed())
	q.cancel(third)
	g.Expect(q.enqueue()).To(BeClosed())
}
