package startquota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/startquota"
)

const (
	limit = 30
	slots = 12
)

var start = boottime.Instant(time.Hour)

func newQuota() *startquota.Quota {
	q := startquota.New(start)
	q.SetUnprecedented()
	q.SetLimit(limit, slots)
	return q
}

// evenly gives each of n gateways the same number of slots, the rest to the first ones.
func evenly(n int) func(string) int {
	return func(gateway string) int {
		index := 0
		if _, err := fmt.Sscanf(gateway, "g%d", &index); err != nil {
			panic(err)
		}
		share := slots / n
		if index < slots%n {
			share++
		}
		return share
	}
}

func total(q *startquota.Quota, gateways int) int {
	sum := 0
	for i := range gateways {
		sum += q.Lease(fmt.Sprint("g", i)).Starts
	}
	return sum
}

func TestManyGatewaysShareTheLimitOfOneEndpoint(t *testing.T) {
	for _, gateways := range []int{1, 7, 38, 340} {
		g := NewWithT(t)
		q := newQuota()
		for i := range gateways {
			q.Seen(start, fmt.Sprint("g", i), startquota.Report{Process: 1})
		}
		q.Divide(start, evenly(gateways))
		g.Expect(total(q, gateways)).To(BeNumerically("<=", limit))
		g.Expect(total(q, gateways)).To(BeNumerically(">=", slots), "each slot can be filled")
	}
}

// An endpoint that bears fewer calls a second than it runs at once.
func TestALimitBelowTheSlotsIsNotExceededByOneStartForEachGateway(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.SetLimit(5, slots)
	for i := range 38 {
		q.Seen(start, fmt.Sprint("g", i), startquota.Report{Process: 1})
	}
	q.Divide(start, evenly(38))
	g.Expect(total(q, 38)).To(BeNumerically("<=", 5))
	g.Expect(total(q, 38)).To(BeNumerically(">=", 3))
}

func TestAGatewayWithoutAMessageHasNoLease(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.Divide(start, evenly(1))
	g.Expect(q.Lease("g0")).To(BeZero())
}

func TestStartsMoveWhenTheFirstGatewayHasConfirmedItsLowerLease(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.Seen(start, "g0", startquota.Report{Process: 1})
	q.Seen(start, "g1", startquota.Report{Process: 1})
	all := func(gateway string) int {
		if gateway == "g0" {
			return slots
		}
		return 0
	}
	q.Divide(start, all)
	before := q.Lease("g0").Starts
	g.Expect(before).To(BeNumerically(">=", slots))
	now := start.Add(100 * time.Millisecond)
	other := func(gateway string) int { return slots - all(gateway) }
	q.Divide(now, other)
	g.Expect(q.Lease("g0").Starts).To(BeZero())
	g.Expect(q.Lease("g1").Starts).To(BeNumerically("<=", limit-before), "g0 may not have heard of it")
	q.Seen(now, "g0", startquota.Report{Process: 1, Number: q.Lease("g0").Number, Sent: before})
	q.Divide(now, other)
	g.Expect(q.Lease("g1").Starts).To(BeNumerically("<=", limit-before), "its calls were sent within the last second")
	later := now.Add(startquota.Window + startquota.MaxSendDelay)
	q.Divide(later, other)
	g.Expect(q.Lease("g1").Starts).To(Equal(before))
}

func TestStartsThatWereNotUsedMoveAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.Seen(start, "g0", startquota.Report{Process: 1})
	q.Divide(start, evenly(1))
	before := q.Lease("g0").Starts
	q.Seen(start, "g1", startquota.Report{Process: 1})
	q.Divide(start, evenly(2))
	q.Seen(start, "g0", startquota.Report{Process: 1, Number: q.Lease("g0").Number})
	q.Divide(start, evenly(2))
	g.Expect(q.Lease("g0").Starts).To(Equal(before / 2))
	g.Expect(q.Lease("g1").Starts).To(Equal(before / 2))
}

// A gateway that is suspended or cut off keeps what it holds until its lease has ended.
func TestTheLeaseOfAGatewayThatSaysNothingIsNotGivenAwayBeforeItsEnd(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.Seen(start, "g0", startquota.Report{Process: 1})
	q.Divide(start, evenly(1))
	before := q.Lease("g0").Starts
	for at := time.Duration(0); at < startquota.LeaseTime+startquota.Window; at += 100 * time.Millisecond {
		now := start.Add(at)
		q.Seen(now, "g1", startquota.Report{Process: 1, Number: q.Lease("g1").Number})
		q.Divide(now, evenly(2))
		g.Expect(q.Lease("g1").Starts).To(BeNumerically("<=", limit-before))
	}
	now := start.Add(startquota.LeaseTime + startquota.Window + startquota.MaxSendDelay + time.Millisecond)
	q.Seen(now, "g1", startquota.Report{Process: 1})
	q.Divide(now, evenly(2))
	g.Expect(q.Lease("g1").Starts).To(Equal(before / 2))
	g.Expect(q.Lease("g0")).To(BeZero())
}

func TestCallsOfAFormerProcessOfAGatewayCountForAWindow(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	q.Seen(start, "g0", startquota.Report{Process: 1})
	q.Divide(start, evenly(1))
	before := q.Lease("g0").Starts
	q.Seen(start, "g0", startquota.Report{Process: 2})
	q.Divide(start, evenly(1))
	g.Expect(q.Lease("g0").Starts).To(BeNumerically("<=", limit-before))
	later := start.Add(startquota.Window + startquota.MaxSendDelay)
	q.Seen(later, "g0", startquota.Report{Process: 2})
	q.Divide(later, evenly(1))
	g.Expect(q.Lease("g0").Starts).To(Equal(before))
}

// A former process beside the endpoint may have leased calls that are still in use.
func TestAProcessThatMayHaveAPredecessorLeasesLessAtFirst(t *testing.T) {
	g := NewWithT(t)
	q := startquota.New(start)
	q.SetLimit(limit, slots)
	q.Seen(start, "g0", startquota.Report{Process: 1})
	q.Divide(start, evenly(1))
	g.Expect(q.Lease("g0").Starts).To(BeZero(), "the calls of the last second are not known")
	second := start.Add(startquota.Window + startquota.MaxSendDelay)
	q.Seen(second, "g0", startquota.Report{Process: 1})
	q.Divide(second, evenly(1))
	g.Expect(q.Lease("g0").Starts).To(BeNumerically("~", limit*2/5, 1))
	later := start.Add(startquota.LeaseTime + startquota.Window + startquota.MaxSendDelay)
	q.Seen(later, "g0", startquota.Report{Process: 1})
	q.Divide(later, evenly(1))
	g.Expect(q.Lease("g0").Starts).To(Equal(limit))
}

func TestAPermitEndsWithItsTimeAndWithTheStartOfTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	s := &startquota.Sender{}
	g.Expect(s.Limit(start, 1)).To(BeZero())
	s.SetPermit(startquota.Permit{Starts: 2, Boot: 1, Until: start.Add(time.Second)})
	g.Expect(s.Limit(start, 1)).To(Equal(2))
	g.Expect(s.Limit(start, 2)).To(BeZero())
	g.Expect(s.Limit(start.Add(time.Second), 1)).To(BeZero())
	s.Place()
	s.Place()
	g.Expect(s.Used(start)).To(Equal(2))
	g.Expect(s.Start(start, 1)).To(BeTrue())
	s.SetPermit(startquota.Permit{Starts: 1, Boot: 1, Until: start.Add(time.Second)})
	g.Expect(s.Start(start, 1)).To(BeFalse(), "the permit was lowered after the call was placed")
	s.Withdraw()
	g.Expect(s.Used(start)).To(Equal(1))
	g.Expect(s.Used(start.Add(startquota.Window))).To(BeZero())
}
