package faulttest

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// zoneOutCounts returns how many entries report that the zone is out, and how many
// of them report this as provisional.
func (c *cluster) zoneOutCounts(zone core.ZoneID) (out, provisional int) {
	for _, e := range c.entries {
		status, _ := c.status(e)
		for _, row := range status.Zones {
			if row.Name == zone && row.Out {
				out++
				if row.Note != "" {
					provisional++
				}
			}
		}
	}
	return out, provisional
}

// Guards against a zone order given during a platform outage that is not applied, or
// that is missing from the configuration after the outage.
func TestAVolatileZoneOrderIsObeyedInAnOutageAndEndsInTheConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZones(t)
	report, stop := background(4, c.loadBalancer(), shortChat)
	c.setFaults(c.platform, map[string]any{"outage": true})
	status, text := c.operator(c.entries[1], "/v1/zones/a/out", nil)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), text)
	status, text = c.operator(c.entries[1], "/v1/zones/a/out?volatile=true", nil)
	accepted := time.Now()
	g.Expect(status).To(Equal(http.StatusAccepted), text)
	g.Expect(text).To(ContainSubstring(configsync.ProvisionalText))
	c.eventually(zoneLimit, "provisional order at every entry", func() bool {
		out, provisional := c.zoneOutCounts("a")
		return out == 3 && provisional == 3
	})
	t.Logf("every entry applied the volatile order after %s", time.Since(accepted).Round(time.Millisecond))
	time.Sleep(time.Until(accepted.Add(zoneLimit)))
	before := c.servedInZone("a")
	for _, e := range c.engines {
		if e.vm.Zone == "a" {
			g.Expect(gateRefusalReason(t, e)).To(Equal(string(core.ReasonZoneOut)))
		}
	}
	time.Sleep(2 * time.Second)
	g.Expect(c.servedInZone("a")).To(Equal(before), "new requests in a zone that is out")
	c.setFaults(c.platform, map[string]any{})
	c.eventually(2*configLimit, "order in the configuration", func() bool {
		out, provisional := c.zoneOutCounts("a")
		return out == 3 && provisional == 0
	})
	g.Expect(c.storedDocument().Set.Zones[0].State).To(Equal(catalogue.ZoneOut))
	g.Expect(c.storedDocument().Author).To(HavePrefix(configsync.FoldAuthor))
	stop()
	report.requireNoBrokenAnswers(t)
}

// gateRefusalReason sends a call directly to an endpoint process, as an entry that
// missed the zone order would, and returns the reason of the refusal.
func gateRefusalReason(t *testing.T, e *endpointVM) string {
	t.Helper()
	conn, err := peers.NewPool("", peers.Security{Key: peerKey}).Get(e.vm.PeerAddr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	body := []byte(`{"model":"assistant","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"late"}]}`)
	events, err := conn.Endpoint().Call(ctx, &peerpb.CallRequest{
		RequestId: "late-order", Pool: string(e.vm.Pool), Body: body, RemainingMs: 3000, Idempotent: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	event, err := events.Recv()
	if err != nil {
		t.Fatal(err)
	}
	if event.GetRefused().GetOutcome() != uint32(core.OutcomeNotRun) {
		t.Fatalf("gate sent %v, want a refusal with outcome not_run", event)
	}
	return event.GetRefused().GetReason()
}

func TestAnEndpointStartedInAnOutageIsConfiguredByPeers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	_, outcome := c.applyConfig(c.entries[0], 0, withTeamWeight(c.set, 40))
	history := newRevisionHistory()
	history.await(c, outcome.Revision, time.Now(), configLimit)
	c.setFaults(c.platform, map[string]any{"outage": true})
	startedAt := time.Now()
	c.addEntry("c")
	c.addService("b", "desk")
	took := history.await(c, outcome.Revision, startedAt, configLimit)
	t.Logf("a joining entry and a joining endpoint process had revision %d after %s", outcome.Revision, took.Round(time.Millisecond))
	c.setFaults(c.platform, map[string]any{})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		history.observe(c, outcome.Revision)
	}
	g.Expect(history.regressions).To(BeEmpty())
}

// Guards against a publish with an unknown outcome, caused by a lost answer of the
// store, that is applied twice or reported wrongly when the operator retries it.
func TestAPublishWhoseFateIsNotKnownIsToldOnAskingAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	base := c.storedDocument().Revision
	c.setFaults(c.platform, map[string]any{"loseAnswers": 1})
	type publishResult struct {
		status  int
		outcome configsync.Outcome
	}
	answered := make(chan publishResult, 1)
	go func() {
		status, outcome := c.applyConfig(c.entries[0], base, withTeamWeight(c.set, 50))
		answered <- publishResult{status, outcome}
	}()
	c.eventually(configLimit, "lost answer", func() bool {
		var stats struct{ LostAnswers int }
		c.getJSON(c.platform+"/admin/stats", &stats)
		return stats.LostAnswers == 1
	})
	c.setFaults(c.platform, map[string]any{"outage": true})
	var first publishResult
	g.Eventually(answered, publishLimit).Should(Receive(&first))
	g.Expect(first.status).To(Equal(http.StatusGatewayTimeout), "%+v", first.outcome)
	g.Expect(first.outcome.Kind).To(Equal(configsync.Unknown))
	c.setFaults(c.platform, map[string]any{})
	var again configsync.Outcome
	c.eventually(configLimit, "outcome of the publish", func() bool {
		_, again = c.applyConfig(c.entries[1], base, withTeamWeight(c.set, 50))
		return again.Kind == configsync.Accepted
	})
	g.Expect(again.Already).To(BeTrue(), "%+v", again)
	g.Expect(c.storedDocument().Revision).To(Equal(base + 1))
	g.Expect(weightOf(c.storedDocument())).To(Equal(50))
	_, other := c.applyConfig(c.entries[2], base, withTeamWeight(c.set, 51))
	g.Expect(other.Cause).To(Equal(configsync.CauseConflict), "%+v", other)
}

func TestAChangeIsInForceEverywhereWithinSixSecondsOfASlowPlatform(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZoneServices(t)
	c.setFaults(c.platform, map[string]any{"delayMs": 1000})
	history := newRevisionHistory()
	for i := range 3 {
		start := time.Now()
		status, outcome := c.applyConfig(c.entries[i], 0, withTeamWeight(c.set, 60+i))
		g.Expect(status).To(Equal(http.StatusOK), "%+v", outcome)
		answered := time.Since(start)
		took := history.await(c, outcome.Revision, start, configLimit)
		t.Logf("every call to the platform takes 1 s: accepted after %s, active in all processes after %s",
			answered.Round(time.Millisecond), took.Round(time.Millisecond))
	}
	g.Expect(history.regressions).To(BeEmpty())
}
