package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/rollout"
)

const limit = 8 * time.Second

var declared = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return declared.Add(time.Duration(seconds * float64(time.Second)))
}

// These cases replay versions that are declared faster than one spreads, in
// seconds after the first declaration.
func TestTheVersionThatCanBeHadIsStaged(t *testing.T) {
	former := func(share, last float64) rollout.Pending {
		return rollout.Pending{Version: 2, DeclaredAt: declared, StagedSince: declared, Share: share, FirstChunkAt: at(0.3), LastChunkAt: at(last)}
	}
	newest := func(declaredAt float64) rollout.Pending {
		return rollout.Pending{Version: 3, DeclaredAt: at(declaredAt)}
	}
	stalled := newest(2)
	stalled.StagedSince = at(2.1)
	coming := newest(4)
	coming.StagedSince, coming.FirstChunkAt, coming.LastChunkAt, coming.Share = at(4), at(4.3), at(5.9), 0.4
	cases := map[string]struct {
		now, turn float64
		pending   []rollout.Pending
		idle      bool
		want      int64
	}{
		"one version":                                    {now: 1, turn: 3, pending: []rollout.Pending{former(0.2, 0.9)}, want: 2},
		"the former is less than half there":             {now: 2, turn: 3, pending: []rollout.Pending{former(0.4, 1.9), newest(2)}, want: 3},
		"the former is more than half there":             {now: 2, turn: 3, pending: []rollout.Pending{former(0.6, 1.9), newest(2)}, want: 2},
		"the newest stalls, the origin being away":       {now: 3.2, turn: 3, pending: []rollout.Pending{former(0.4, 1.9), stalled}, want: 2},
		"the former is whole, its turn is to come":       {now: 4, turn: 5, pending: []rollout.Pending{former(1, 3.9), newest(4)}, want: 3},
		"the former is whole, its turn came before":      {now: 4, turn: 3, pending: []rollout.Pending{former(1, 3.9), newest(4)}, want: 2},
		"its turn came since, the newest comes in time":  {now: 6, turn: 5, pending: []rollout.Pending{former(1, 3.9), coming}, want: 3},
		"its turn came since, the newest stalls":         {now: 7, turn: 5, pending: []rollout.Pending{former(1, 3.9), coming}, want: 2},
		"nothing is served and the former is whole":      {now: 2.5, turn: 0, idle: true, pending: []rollout.Pending{former(1, 2.4), newest(2.4)}, want: 2},
		"nothing is served and the newest does not come": {now: 3.2, turn: 0, idle: true, pending: []rollout.Pending{former(1, 2), stalled}, want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			choice := rollout.Choice{Now: at(c.now), Limit: limit, Serving: !c.idle, TurnAt: at(c.turn), Pending: c.pending}
			NewWithT(t).Expect(choice.Stage()).To(Equal(c.want))
		})
	}
}

func TestTurnsAreEvenAndOneThatJustChangedGoesLast(t *testing.T) {
	g := NewWithT(t)
	var members []core.VMID
	for i := range 24 {
		members = append(members, core.VMID(fmt.Sprintf("vm%d", i)))
	}
	counts := map[time.Duration]int{}
	var last time.Duration
	for _, self := range members {
		turn := rollout.TurnAfter(rollout.Candidate{Self: self, Version: "m/2", Members: members, Limit: limit})
		counts[turn]++
		last = max(last, turn)
	}
	g.Expect(counts).To(HaveLen(3))
	for _, n := range counts {
		g.Expect(n).To(Equal(8))
	}
	g.Expect(last).To(BeNumerically("<", limit))
	for _, self := range members {
		turn := rollout.TurnAfter(rollout.Candidate{Self: self, Version: "m/2", Members: members, Limit: limit, Recent: true})
		g.Expect(turn).To(Equal(last))
	}
}
