package gate_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/gate"
)

var _ = Describe("Queue", func() {
	start := time.Unix(1_000_000, 0)

	It("serves waiting teams by weight inside a class", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			teams := rapid.IntRange(2, 5).Draw(t, "teams")
			weights := map[core.TeamID]int{}
			total := 0
			for i := range teams {
				weight := rapid.IntRange(1, 5).Draw(t, "weight")
				weights[teamName(i)] = weight
				total += weight
			}
			q := gate.NewQueue(1000)
			q.SetTeams(weights)
			id := uint64(0)
			push := func(team core.TeamID) {
				id++
				q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Team: team}}, 1000)
			}
			for i := range teams {
				for range 5 {
					push(teamName(i))
				}
			}
			served := map[core.TeamID]int{}
			for pops := 1; pops <= 200; pops++ {
				ticket, _ := q.Pop()
				served[ticket.Team]++
				push(ticket.Team)
				for team, weight := range weights {
					share := float64(pops*weight) / float64(total)
					if diff := float64(served[team]) - share; diff > float64(teams) || diff < -float64(teams) {
						t.Fatalf("after %d calls team %s was served %d, its share is %.1f", pops, team, served[team], share)
					}
				}
			}
		})
	})

	It("serves a team that was idle soon, without a gathered credit", func() {
		q := gate.NewQueue(100)
		for id := uint64(1); id <= 60; id++ {
			q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Team: "busy"}}, 1000)
		}
		for range 30 {
			q.Pop()
		}
		for id := uint64(101); id <= 120; id++ {
			q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Team: "idle"}}, 1000)
		}
		served := map[core.TeamID]int{}
		for range 20 {
			ticket, _ := q.Pop()
			served[ticket.Team]++
		}
		Expect(served["idle"]).To(BeNumerically("~", 10, 1))
	})

	It("lets at most one call in LowerEvery of a lower class go before a waiting higher one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := gate.NewQueue(1000)
			waiting := map[core.Priority]int{}
			id := uint64(0)
			sinceLower := map[core.Priority]int{}
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				if q.Len() == 0 || rapid.Bool().Draw(t, "push") {
					id++
					priority := core.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
					team := teamName(rapid.IntRange(0, 3).Draw(t, "team"))
					q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Priority: priority, Team: team}}, 1000)
					waiting[priority]++
					continue
				}
				ticket, _ := q.Pop()
				for higher := core.Priority(0); higher < ticket.Priority; higher++ {
					if waiting[higher] == 0 {
						continue
					}
					if sinceLower[higher] < gate.LowerClassInterval-1 {
						t.Fatalf("class %s was served before class %s after %d calls", ticket.Priority, higher, sinceLower[higher])
					}
				}
				for class := range core.PriorityCount {
					switch {
					case class < ticket.Priority || class == ticket.Priority && lowerWaiting(waiting, class) == 0:
						sinceLower[class] = 0
					case class == ticket.Priority:
						sinceLower[class]++
					}
				}
				waiting[ticket.Priority]--
			}
		})
	})

	It("sheds the bursting team first while another holds less than its share", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := rapid.IntRange(12, 64).Draw(t, "capacity")
			q := gate.NewQueue(capacity)
			id := uint64(0)
			push := func(team core.TeamID, priority core.Priority) (gate.Ticket, bool) {
				id++
				return q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Team: team, Priority: priority}}, 1)
			}
			class := core.Priority(rapid.IntRange(1, 2).Draw(t, "class"))
			q.Charge(start, gate.Ticket{Request: gate.Request{Team: "calm"}})
			burst := 0
			for range 2 * capacity {
				if shed, full := push("burst", class); full && shed.Team == "burst" {
					continue
				}
				burst++
			}
			for calm := 1; calm < burst/3; calm++ {
				shed, full := push("calm", class)
				if full && shed.Team != "burst" {
					t.Fatalf("shed a call of team %q with %d waiting calls, the bursting team has %d", shed.Team, calm, burst)
				}
			}
		})
	})

	It("keeps room for higher classes, so that these do not push out what waits", func() {
		q := gate.NewQueue(16)
		id := uint64(0)
		for class := core.PriorityCount; class > 0; class-- {
			for range 16 {
				id++
				shed, full := q.Push(start, gate.Ticket{ID: id, Request: gate.Request{Team: teamName(int(id % 4)), Priority: class - 1}}, 1)
				Expect(!full || shed.Priority >= class-1).To(BeTrue())
				if full && q.Len() < 16 {
					Expect(shed.ID).To(Equal(id))
				}
			}
		}
		Expect(q.Len()).To(Equal(16))
	})

	It("serves one team's calls by deadline", func() {
		q := gate.NewQueue(0)
		for id, seconds := range []int{5, 2, 9, 2} {
			deadline := start.Add(time.Duration(seconds) * time.Second)
			q.Push(start, gate.Ticket{ID: uint64(id), Request: gate.Request{Deadline: deadline}}, 1000)
		}
		q.Push(start, gate.Ticket{ID: 9}, 1000)
		var order []uint64
		for q.Len() > 0 {
			ticket, _ := q.Pop()
			order = append(order, ticket.ID)
		}
		Expect(order).To(Equal([]uint64{1, 3, 0, 2, 9}))
	})
})

func teamName(i int) core.TeamID { return core.TeamID(fmt.Sprintf("team-%d", i)) }

func lowerWaiting(waiting map[core.Priority]int, class core.Priority) int {
	count := 0
	for lower := class + 1; lower < core.PriorityCount; lower++ {
		count += waiting[lower]
	}
	return count
}
