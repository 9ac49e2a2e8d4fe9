package faulttest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// teamShare is the lowest accepted part of its fair share that a team gets answered.
const teamShare = 0.8

// teamLoad is the relative load of the teams. All have the same weight; one sends a
// burst.
var teamLoad = map[string]int{"ploughs": 1, "airports": 1, "archive": 4}

// Guards against a burst of one team that takes capacity from the other teams.
func TestABurstOfOneTeamShedsThatTeamFirst(t *testing.T) {
	g := NewWithT(t)
	c := fourEngines(t, loadEngineArgs...)
	type count struct {
		all, answered int
		refused       map[string]int
	}
	var mu sync.Mutex
	counts := map[string]*count{}
	var order []string
	for team, parts := range teamLoad {
		counts[team] = &count{refused: map[string]int{}}
		for range parts {
			order = append(order, team)
		}
	}
	ticker := time.NewTicker(time.Second / (2 * clusterRate))
	defer ticker.Stop()
	var running sync.WaitGroup
	for n := range 2 * clusterRate * int(loadTime.Seconds()) {
		<-ticker.C
		running.Add(1)
		go func() {
			defer running.Done()
			team := order[n%len(order)]
			a := chat(c.entries[n/len(order)%2], fmt.Sprintf("Team %d.", n), loadTokens,
				"X-Priority", "briefing", "X-Team", team, "X-Deadline-Ms", loadDeadline)
			mu.Lock()
			defer mu.Unlock()
			counts[team].all++
			if a.complete {
				counts[team].answered++
				return
			}
			counts[team].refused[fmt.Sprintf("%s: %s", a.reason, a.detail)]++
		}()
	}
	running.Wait()
	total := 0
	for team, result := range counts {
		t.Logf("%-8s %d of %d answered, rejected %v", team, result.answered, result.all, result.refused)
		total += result.answered
	}
	g.Expect(c.collapses()).To(BeZero())
	for team, result := range counts {
		share := float64(total) / float64(len(counts))
		g.Expect(float64(result.answered)).To(BeNumerically(">=", teamShare*min(share, float64(result.all))), team)
	}
	archive, ploughs := counts["archive"], counts["ploughs"]
	g.Expect(float64(archive.answered) / float64(archive.all)).To(BeNumerically("<", float64(ploughs.answered)/float64(ploughs.all)))
}
