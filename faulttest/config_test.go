package faulttest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/operatorapi"
)

const (
	// configLimit is how long a process may take to have a published configuration in force.
	configLimit = 6 * time.Second
	// configChanges is how many changes are timed.
	configChanges = 10
	// publishLimit is how long one publish may take to be answered.
	publishLimit = 16 * time.Second
)

// get sends an operator's read to one entry.
func (c *cluster) get(e *entryVM, path string) (status int, body []byte) {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.operator+path, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_, key, _ := strings.Cut(operatorKey, ":")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}

// status reads the operators' status of one entry; false says that it did not answer.
func (c *cluster) status(e *entryVM) (status operatorapi.Status, ok bool) {
	code, body := c.get(e, "/v1/status")
	return status, code == http.StatusOK && json.Unmarshal(body, &status) == nil
}

// apply publishes a set on a base by one entry; base 0 takes the revision in force.
func (c *cluster) apply(e *entryVM, base uint64, set catalogue.Set) (int, configsync.Outcome) {
	body, err := json.Marshal(set)
	if err != nil {
		c.t.Fatal(err)
	}
	path := "/v1/config/apply"
	if base > 0 {
		path += fmt.Sprintf("?base=%d", base)
	}
	status, text := c.operator(e, path, body)
	var outcome configsync.Outcome
	_ = json.Unmarshal([]byte(text), &outcome)
	return status, outcome
}

// stored reads the document in the platform's key-value service.
func (c *cluster) stored() *configsync.Document {
	c.t.Helper()
	response, err := client.Get(c.platform + "/kv/" + configsync.Key)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	doc, err := configsync.Decode(data)
	if err != nil {
		c.t.Fatalf("stored document: %v: %s", err, data)
	}
	return doc
}

// admin posts to a test route of the platform.
func (c *cluster) admin(path string) {
	c.t.Helper()
	response, err := client.Post(c.platform+path, "", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		c.t.Fatalf("POST %s: %d", path, response.StatusCode)
	}
}

// revisions returns the revision in force by process: of each entry as it says
// itself, of each endpoint as the entries have heard. Processes that tell
// nothing are left out.
func (c *cluster) revisions() map[core.VMID]uint64 {
	found := map[core.VMID]uint64{}
	for _, e := range c.entries {
		status, ok := c.status(e)
		if !ok {
			continue
		}
		found[e.vm.ID] = status.ConfigRevision
		for _, endpoint := range status.Endpoints {
			found[endpoint.VM] = max(found[endpoint.VM], endpoint.ConfigRevision)
		}
	}
	return found
}

// history follows the revisions in force and notes those that went back.
type history struct {
	newest  map[core.VMID]uint64
	reverts []string
}

func newHistory() *history { return &history{newest: map[core.VMID]uint64{}} }

// look takes the present revisions; all reports whether every process has at least revision.
func (h *history) look(c *cluster, revision uint64) (all bool) {
	found := c.revisions()
	all = len(found) == len(c.entries)+len(c.services)+len(c.engines)
	for id, now := range found {
		if now < h.newest[id] {
			h.reverts = append(h.reverts, fmt.Sprintf("%s went from %d to %d", id, h.newest[id], now))
		}
		h.newest[id] = max(h.newest[id], now)
		all = all && now >= revision
	}
	return all
}

// await waits until revision is in force in every process and returns how long that took.
func (h *history) await(c *cluster, revision uint64, since time.Time, within time.Duration) time.Duration {
	c.t.Helper()
	end := since.Add(within)
	for !h.look(c, revision) {
		if time.Now().After(end) {
			c.t.Fatalf("revision %d is not everywhere within %s: %v", revision, within, c.revisions())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(since)
}

// desks has a service in each of three zones, three entries in the first zone
// and one in each other; one entry of the first zone does not watch the platform.
func desks(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	zones := []core.ZoneID{"a", "b", "c"}
	for _, zone := range append(zones, "a", "a") {
		c.addEntry(zone)
	}
	for _, zone := range zones {
		c.addService(zone, "desk")
	}
	c.set = catalogue.Set{
		Services: []catalogue.Service{{Name: "desk", Zones: zones, Calls: deskCalls}},
		Routes:   []catalogue.Route{{Name: "desk", Service: "desk"}},
		Teams:    []catalogue.Team{{Name: "ploughs", Weight: 1}},
	}
	for _, zone := range zones {
		c.set.Zones = append(c.set.Zones, catalogue.Zone{Name: zone, Region: regionOf(zone)})
	}
	c.declareVMs()
	c.publish()
	newHistory().await(c, 1, time.Now(), 2*configLimit)
	return c
}

// weighted returns the set with another weight of its team.
func weighted(set catalogue.Set, weight int) catalogue.Set {
	set.Teams = []catalogue.Team{{Name: "ploughs", Weight: weight}}
	return set
}

func weightOf(doc *configsync.Document) int { return doc.Set.Teams[0].Weight }

func TestAChangeIsInForceEverywhereWithinSixSeconds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	seen := newHistory()
	var took []time.Duration
	for i := range configChanges {
		start := time.Now()
		status, outcome := c.apply(c.entries[i%len(c.entries)], 0, weighted(c.set, 10+i))
		g.Expect(status).To(Equal(http.StatusOK), "%+v", outcome)
		took = append(took, seen.await(c, outcome.Revision, start, configLimit))
	}
	g.Expect(seen.reverts).To(BeEmpty())
	slices.Sort(took)
	t.Logf("in force in 5 entries and 3 endpoint processes, from before the publish until reported: median %s, worst %s of %d changes",
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
}

func TestOneOfTwoRacingOperatorsIsAcceptedAndTheOtherToldWhatChanged(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	seen := newHistory()
	for round := range configChanges {
		base := c.stored().Revision
		seen.await(c, base, time.Now(), configLimit)
		statuses, outcomes := race(c, base, 100+2*round)
		g.Expect(statuses).To(ConsistOf(http.StatusOK, http.StatusConflict), "%+v", outcomes)
		winner := slices.Index(statuses, http.StatusOK)
		g.Expect(weightOf(c.stored())).To(Equal(100 + 2*round + winner))
		loser := outcomes[1-winner]
		g.Expect(loser.Cause).To(Equal(configsync.CauseConflict))
		g.Expect(loser.Revision).To(Equal(outcomes[winner].Revision))
		g.Expect(loser.Author).To(Equal("tests"))
		g.Expect(loser.Changes).To(HaveLen(1))
		g.Expect(loser.Changes[0].Object).To(Equal("team/ploughs"))
	}
	g.Expect(seen.reverts).To(BeEmpty())
}

// race publishes two sets on the same base over two entries at once.
func race(c *cluster, base uint64, weight int) (statuses []int, outcomes []configsync.Outcome) {
	statuses, outcomes = make([]int, 2), make([]configsync.Outcome, 2)
	var running sync.WaitGroup
	for i := range 2 {
		running.Add(1)
		go func() {
			defer running.Done()
			statuses[i], outcomes[i] = c.apply(c.entries[i+1], base, weighted(c.set, weight+i))
		}()
	}
	running.Wait()
	return statuses, outcomes
}

func TestOutcomesOfPublishesAreTrueWhenTheStoresAnswersAreLost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	c.faults(c.platform, map[string]any{"loseAnswerRate": 0.5, "seed": 11})
	told := map[configsync.OutcomeKind]int{}
	for round := range configChanges {
		base := c.stored().Revision
		weight := 200 + 2*round
		statuses, outcomes := race(c, base, weight)
		doc := c.stored()
		accepted := 0
		for i, outcome := range outcomes {
			told[outcome.Kind]++
			inStore := doc.Revision == base+1 && weightOf(doc) == weight+i
			switch outcome.Kind {
			case configsync.Accepted:
				accepted++
				g.Expect(statuses[i]).To(Equal(http.StatusOK))
				g.Expect(inStore).To(BeTrue(), "accepted and not in the store: %+v", outcome)
			case configsync.Rejected:
				g.Expect(inStore).To(BeFalse(), "refused and in the store: %+v", outcome)
			case configsync.Unknown:
				status, again := c.apply(c.entries[0], base, weighted(c.set, weight+i))
				g.Expect(again.Kind == configsync.Accepted).To(Equal(inStore), "%d %+v", status, again)
			default:
				t.Fatalf("no outcome: %d %+v", statuses[i], outcome)
			}
		}
		g.Expect(accepted).To(BeNumerically("<=", 1))
	}
	var stats struct{ LostAnswers int }
	c.getJSON(c.platform+"/admin/stats", &stats)
	g.Expect(stats.LostAnswers).To(BeNumerically(">", 0))
	t.Logf("%d answers of the store lost; outcomes told: %v", stats.LostAnswers, told)
}

func TestNoProcessRevertsWhenTheStoreComesBackWithOldData(t *testing.T) {
	t.Parallel()
	for _, duringOutage := range []bool{false, true} {
		t.Run(fmt.Sprintf("during-outage-%v", duringOutage), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			c := desks(t)
			c.admin("/admin/snapshot")
			seen := newHistory()
			var newest uint64
			for i := range 3 {
				_, outcome := c.apply(c.entries[i], 0, weighted(c.set, 20+i))
				g.Expect(outcome.Kind).To(Equal(configsync.Accepted), "%+v", outcome)
				newest = outcome.Revision
				seen.await(c, newest, time.Now(), configLimit)
			}
			if duringOutage {
				c.faults(c.platform, map[string]any{"outage": true})
			}
			c.admin("/admin/rollback")
			born := time.Now()
			joining := c.addEntry("b")
			if duringOutage {
				c.needNewest(joining, newest, born)
				c.faults(c.platform, map[string]any{})
			}
			c.needNewest(joining, newest, born)
			seen.await(c, newest, born, 2*configLimit)
			c.eventually(configLimit, "restored store", func() bool { return c.stored().Revision == newest })
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				seen.look(c, newest)
			}
			g.Expect(seen.reverts).To(BeEmpty())
			g.Expect(weightOf(c.stored())).To(Equal(22))
		})
	}
}

// needNewest waits until the entry is ready; from then on it must hold newest.
func (c *cluster) needNewest(e *entryVM, newest uint64, born time.Time) {
	c.t.Helper()
	for {
		response, err := client.Get("http://" + e.caller + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			break
		}
		if time.Since(born) > configLimit {
			c.t.Fatalf("the joining entry is not ready within %s", configLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if status, _ := c.status(e); status.ConfigRevision != newest {
		c.t.Fatalf("the joining entry is ready with revision %d, want %d", status.ConfigRevision, newest)
	}
	c.t.Logf("the joining entry is ready with revision %d after %s", newest, time.Since(born).Round(time.Millisecond))
}

func TestAPublishInAPlatformOutageIsRefusedClearly(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	before := c.stored().Revision
	c.faults(c.platform, map[string]any{"outage": true})
	start := time.Now()
	status, outcome := c.apply(c.entries[0], 0, weighted(c.set, 30))
	g.Expect(time.Since(start)).To(BeNumerically("<", publishLimit))
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(outcome.Kind).To(Equal(configsync.Rejected))
	g.Expect(outcome.Cause).To(Equal(configsync.CausePlatformDown))
	c.faults(c.platform, map[string]any{})
	g.Expect(c.stored().Revision).To(Equal(before))
	c.eventually(configLimit, "accepted publish", func() bool {
		_, outcome = c.apply(c.entries[0], before, weighted(c.set, 30))
		return outcome.Kind == configsync.Accepted
	})
	g.Expect(c.stored().Revision).To(Equal(before + 1))
}
