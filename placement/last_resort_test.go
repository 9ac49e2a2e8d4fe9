package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// The only engine is declared unreachable by its agent, whose polls of it time out, or calls
// to it were overdue. It is used as long as no other engine is eligible, and its agent
// divides its slots and starts all the while.
func TestTheOnlyEngineIsStillUsedSecondsAfterItBecameSuspect(t *testing.T) {
	for name, suspect := range map[string]func(p *placement.Placer, address string){
		"unreachable": func(p *placement.Placer, address string) {
			p.UpdateEngine(placement.EngineStatus{Address: address, Unreachable: true, At: start})
		},
		"overdue": func(p *placement.Placer, _ string) {
			for range 3 {
				ticket := p.Submit(start, call(start))
				p.MayStart(start, ticket)
				p.Ended(start, ticket, placement.OutcomeOverdue)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view := fleetView(1, 1)
			p := newPlacer(view)
			address := view.Endpoints["e0"].Address
			suspect(p, address)
			divider := slotshare.NewDivider(address)
			divider.SetSlots(slots)
			quota := startquota.New(start)
			quota.SetUnprecedented()
			quota.SetLimit(p.MaxStarts(engines), slots)
			divider.SetDemand(start, "g", slotshare.Demand{Calls: 1})
			placedAt := map[time.Duration]bool{}
			for after := time.Duration(0); after <= 6*time.Second; after += 200 * time.Millisecond {
				now := start.Add(after)
				if demand, known := p.SlotDemand(now)[address]; known {
					divider.SetDemand(now, "g", demand)
				}
				quota.Seen(now, "g", startquota.Report{Process: 1, Number: quota.Lease("g").Number, Sent: p.StartsSent(now, address)})
				divider.Divide(now)
				quota.Divide(now, func(gateway string) int {
					granted, _ := divider.Granted(gateway)
					return granted
				})
				p.UpdatePermit(address, startquota.Permit{Starts: quota.Lease("g").Starts, Boot: 1, Until: now.Add(startquota.LeaseTime)})
				ticket := p.Submit(now, call(now))
				if ticket.Decision().Verdict != placement.Place {
					p.Cancel(ticket)
					continue
				}
				placedAt[after.Truncate(time.Second)] = true
				p.MayStart(now, ticket)
				p.Ended(now, ticket, placement.OutcomeCanceled)
			}
			g.Expect(placedAt).To(HaveKey(time.Second))
			g.Expect(placedAt).To(HaveKey(4*time.Second), "placed in the seconds %v", placedAt)
		})
	}
}
