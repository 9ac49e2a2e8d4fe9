package startquota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/startquota"
)

// The process beside the endpoint is restarted. A gateway that does not hear of it uses its
// lease for up to LeaseTime, while the new process leases to another one.
func TestLeasesOfAFormerProcessAndOfItsSuccessorStayWithinTheLimitTogether(t *testing.T) {
	g := NewWithT(t)
	former := newQuota()
	former.Seen(start, "g0", startquota.Report{Process: 1})
	former.Divide(start, evenly(1))
	restarted := start.Add(500 * time.Millisecond)
	successor := startquota.New(restarted)
	successor.SetLimit(limit, slots)
	successor.Seen(restarted, "g1", startquota.Report{Process: 1})
	successor.Divide(restarted, func(string) int { return slots })
	held, leased := former.Lease("g0").Starts, successor.Lease("g1").Starts
	g.Expect(held+leased).To(BeNumerically("<=", limit), "%d still held and %d leased anew", held, leased)
}

// A message of a gateway's former process arrives after its successor has a lease, as the
// kernel sends the data of a killed process on. The successor holds its lease all the while.
func TestALateMessageOfAFormerProcessDoesNotReleaseTheLeaseOfItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	q := newQuota()
	now := start
	q.Seen(now, "g0", startquota.Report{Process: 1})
	q.Divide(now, evenly(1))
	now = now.Add(100 * time.Millisecond)
	q.Seen(now, "g0", startquota.Report{Process: 2})
	now = now.Add(startquota.Window + startquota.MaxSendDelay + 50*time.Millisecond)
	q.Seen(now, "g0", startquota.Report{Process: 2})
	q.Divide(now, evenly(1))
	lease := q.Lease("g0")
	sent := now // the successor's permit ends LeaseTime after this message
	g.Expect(lease.Starts).To(BeNumerically(">=", slots))
	now = now.Add(10 * time.Millisecond)
	q.Seen(now, "g0", startquota.Report{Process: 2, Number: lease.Number})
	now = now.Add(10 * time.Millisecond)
	q.Seen(now, "g0", startquota.Report{Process: 1})
	now = now.Add(startquota.Window + startquota.MaxSendDelay + 50*time.Millisecond)
	q.Seen(now, "g1", startquota.Report{Process: 1})
	q.Divide(now, func(gateway string) int {
		if gateway == "g1" {
			return slots
		}
		return 0
	})
	g.Expect(now.Before(sent.Add(startquota.LeaseTime))).To(BeTrue())
	g.Expect(lease.Starts+q.Lease("g1").Starts).To(BeNumerically("<=", limit), "g0 still holds %d", lease.Starts)
}
