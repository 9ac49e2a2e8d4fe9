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
	// configLimit is the time within which a published configuration must be active
	// in every process.
	configLimit = 6 * time.Second
	// configChanges is the number of changes that are timed.
	configChanges = 10
	// publishLimit is the time within which a publish must be answered.
	publishLimit = 16 * time.Second
)

// getOperator sends an operator's GET request to one entry. The status is 0 if the
// request failed.
func (c *cluster) getOperator(e *entryVM, path string) (status int, body []byte) {
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

// status reads the operator status of one entry. ok is false if the entry did not
// answer.
func (c *cluster) status(e *entryVM) (status operatorapi.Status, ok bool) {
	code, body := c.getOperator(e, "/v1/status")
	return status, code == http.StatusOK && json.Unmarshal(body, &status) == nil
}

// applyConfig publishes a set through one entry, based on revision base. Base 0
// selects the active revision.
func (c *cluster) applyConfig(e *entryVM, base uint64, set catalogue.Set) (int, configsync.Outcome) {
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

// storedDocument reads the configuration document from the platform's key-value
// service.
func (c *cluster) storedDocument() *configsync.Document {
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

// postAdmin posts to an admin route of the stand-in platform.
func (c *cluster) postAdmin(path string) {
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

// revisions returns the active revision of each process. An entry reports its own;
// that of an endpoint is the highest one that an entry reports for it. Processes
// without a report are left out.
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

// revisionHistory tracks the active revisions and records those that decreased.
type revisionHistory struct {
	newest      map[core.VMID]uint64
	regressions []string
}

func newRevisionHistory() *revisionHistory { return &revisionHistory{newest: map[core.VMID]uint64{}} }

// observe records the current revisions and reports whether every process has at
// least revision.
func (h *revisionHistory) observe(c *cluster, revision uint64) (all bool) {
	found := c.revisions()
	all = len(found) == len(c.entries)+len(c.services)+len(c.engines)
	for id, now := range found {
		if now < h.newest[id] {
			h.regressions = append(h.regressions, fmt.Sprintf("%s went from %d to %d", id, h.newest[id], now))
		}
		h.newest[id] = max(h.newest[id], now)
		all = all && now >= revision
	}
	return all
}

// await waits until revision is active in every process and returns the time since
// the given start.
func (h *revisionHistory) await(c *cluster, revision uint64, since time.Time, within time.Duration) time.Duration {
	c.t.Helper()
	end := since.Add(within)
	for !h.observe(c, revision) {
		if time.Now().After(end) {
			c.t.Fatalf("revision %d not active in every process within %s: %v", revision, within, c.revisions())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(since)
}

// threeZoneServices starts a service in each of three zones, three entries in the
// first zone and one in each of the others. One entry of the first zone does not
// watch the platform.
func threeZoneServices(t *testing.T) *cluster {
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
	newRevisionHistory().await(c, 1, time.Now(), 2*configLimit)
	return c
}

// withTeamWeight returns the set with the given weight for its team.
func withTeamWeight(set catalogue.Set, weight int) catalogue.Set {
	set.Teams = []catalogue.Team{{Name: "ploughs", Weight: weight}}
	return set
}

func weightOf(doc *configsync.Document) int { return doc.Set.Teams[0].Weight }

func TestAChangeIsInForceEverywhereWithinSixSeconds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	history := newRevisionHistory()
	var took []time.Duration
	for i := range configChanges {
		start := time.Now()
		status, outcome := c.applyConfig(c.entries[i%len(c.entries)], 0, withTeamWeight(c.set, 10+i))
		g.Expect(status).To(Equal(http.StatusOK), "%+v", outcome)
		took = append(took, history.await(c, outcome.Revision, start, configLimit))
	}
	g.Expect(history.regressions).To(BeEmpty())
	slices.Sort(took)
	t.Logf("active in 5 entries and 3 endpoint processes, from before the publish until reported: median %s, worst %s of %d changes",
		took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
}

func TestOneOfTwoRacingOperatorsIsAcceptedAndTheOtherToldWhatChanged(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	history := newRevisionHistory()
	for round := range configChanges {
		base := c.storedDocument().Revision
		history.await(c, base, time.Now(), configLimit)
		statuses, outcomes := publishConcurrently(c, base, 100+2*round)
		g.Expect(statuses).To(ConsistOf(http.StatusOK, http.StatusConflict), "%+v", outcomes)
		winner := slices.Index(statuses, http.StatusOK)
		g.Expect(weightOf(c.storedDocument())).To(Equal(100 + 2*round + winner))
		loser := outcomes[1-winner]
		g.Expect(loser.Cause).To(Equal(configsync.CauseConflict))
		g.Expect(loser.Revision).To(Equal(outcomes[winner].Revision))
		g.Expect(loser.Author).To(Equal("tests"))
		g.Expect(loser.Changes).To(HaveLen(1))
		g.Expect(loser.Changes[0].Object).To(Equal("team/ploughs"))
	}
	g.Expect(history.regressions).To(BeEmpty())
}

// publishConcurrently publishes two sets with the same base through two entries at
// once.
func publishConcurrently(c *cluster, base uint64, weight int) (statuses []int, outcomes []configsync.Outcome) {
	statuses, outcomes = make([]int, 2), make([]configsync.Outcome, 2)
	var running sync.WaitGroup
	for i := range 2 {
		running.Add(1)
		go func() {
			defer running.Done()
			statuses[i], outcomes[i] = c.applyConfig(c.entries[i+1], base, withTeamWeight(c.set, weight+i))
		}()
	}
	running.Wait()
	return statuses, outcomes
}

func TestOutcomesOfPublishesAreTrueWhenTheStoresAnswersAreLost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	c.setFaults(c.platform, map[string]any{"loseAnswerRate": 0.5, "seed": 11})
	kinds := map[configsync.OutcomeKind]int{}
	for round := range configChanges {
		base := c.storedDocument().Revision
		weight := 200 + 2*round
		statuses, outcomes := publishConcurrently(c, base, weight)
		doc := c.storedDocument()
		accepted := 0
		for i, outcome := range outcomes {
			kinds[outcome.Kind]++
			inStore := doc.Revision == base+1 && weightOf(doc) == weight+i
			switch outcome.Kind {
			case configsync.Accepted:
				accepted++
				g.Expect(statuses[i]).To(Equal(http.StatusOK))
				g.Expect(inStore).To(BeTrue(), "accepted but not in the store: %+v", outcome)
			case configsync.Rejected:
				g.Expect(inStore).To(BeFalse(), "rejected but in the store: %+v", outcome)
			case configsync.Unknown:
				status, again := c.applyConfig(c.entries[0], base, withTeamWeight(c.set, weight+i))
				g.Expect(again.Kind == configsync.Accepted).To(Equal(inStore), "%d %+v", status, again)
			default:
				t.Fatalf("publish without an outcome: status %d, %+v", statuses[i], outcome)
			}
		}
		g.Expect(accepted).To(BeNumerically("<=", 1))
	}
	var stats struct{ LostAnswers int }
	c.getJSON(c.platform+"/admin/stats", &stats)
	g.Expect(stats.LostAnswers).To(BeNumerically(">", 0))
	t.Logf("%d answers of the store lost; outcomes: %v", stats.LostAnswers, kinds)
}

func TestNoProcessRevertsWhenTheStoreComesBackWithOldData(t *testing.T) {
	t.Parallel()
	for _, duringOutage := range []bool{false, true} {
		t.Run(fmt.Sprintf("during-outage-%v", duringOutage), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			c := threeZoneServices(t)
			c.postAdmin("/admin/snapshot")
			history := newRevisionHistory()
			var newest uint64
			for i := range 3 {
				_, outcome := c.applyConfig(c.entries[i], 0, withTeamWeight(c.set, 20+i))
				g.Expect(outcome.Kind).To(Equal(configsync.Accepted), "%+v", outcome)
				newest = outcome.Revision
				history.await(c, newest, time.Now(), configLimit)
			}
			if duringOutage {
				c.setFaults(c.platform, map[string]any{"outage": true})
			}
			c.postAdmin("/admin/rollback")
			startedAt := time.Now()
			joining := c.addEntry("b")
			if duringOutage {
				c.requireNewestWhenReady(joining, newest, startedAt)
				c.setFaults(c.platform, map[string]any{})
			}
			c.requireNewestWhenReady(joining, newest, startedAt)
			history.await(c, newest, startedAt, 2*configLimit)
			c.eventually(configLimit, "restored store", func() bool { return c.storedDocument().Revision == newest })
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				history.observe(c, newest)
			}
			g.Expect(history.regressions).To(BeEmpty())
			g.Expect(weightOf(c.storedDocument())).To(Equal(22))
		})
	}
}

// requireNewestWhenReady waits until the entry is ready and fails the test if its
// revision is not newest.
func (c *cluster) requireNewestWhenReady(e *entryVM, newest uint64, startedAt time.Time) {
	c.t.Helper()
	for {
		response, err := client.Get("http://" + e.caller + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			break
		}
		if time.Since(startedAt) > configLimit {
			c.t.Fatalf("joining entry not ready within %s", configLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if status, _ := c.status(e); status.ConfigRevision != newest {
		c.t.Fatalf("joining entry ready with revision %d, want %d", status.ConfigRevision, newest)
	}
	c.t.Logf("the joining entry is ready with revision %d after %s", newest, time.Since(startedAt).Round(time.Millisecond))
}

func TestAPublishInAPlatformOutageIsRefusedClearly(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	before := c.storedDocument().Revision
	c.setFaults(c.platform, map[string]any{"outage": true})
	start := time.Now()
	status, outcome := c.applyConfig(c.entries[0], 0, withTeamWeight(c.set, 30))
	g.Expect(time.Since(start)).To(BeNumerically("<", publishLimit))
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(outcome.Kind).To(Equal(configsync.Rejected))
	g.Expect(outcome.Cause).To(Equal(configsync.CausePlatformDown))
	c.setFaults(c.platform, map[string]any{})
	g.Expect(c.storedDocument().Revision).To(Equal(before))
	c.eventually(configLimit, "accepted publish", func() bool {
		_, outcome = c.applyConfig(c.entries[0], before, withTeamWeight(c.set, 30))
		return outcome.Kind == configsync.Accepted
	})
	g.Expect(c.storedDocument().Revision).To(Equal(before + 1))
}
