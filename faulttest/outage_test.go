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

// zoneNotes returns how many entries say that the zone is out, and how many of
// these say so provisionally.
func (c *cluster) zoneNotes(zone core.ZoneID) (out, provisional int) {
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

func TestAVolatileZoneOrderIsObeyedInAnOutageAndEndsInTheConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := threeZones(t)
	report, stop := background(4, c.balancer(), chatOnce)
	c.faults(c.platform, map[string]any{"outage": true})
	status, text := c.operator(c.entries[1], "/v1/zones/a/out", nil)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), text)
	status, text = c.operator(c.entries[1], "/v1/zones/a/out?volatile=true", nil)
	given := time.Now()
	g.Expect(status).To(Equal(http.StatusAccepted), text)
	g.Expect(text).To(ContainSubstring(configsync.ProvisionalText))
	c.eventually(zoneLimit, "provisional order at every entry", func() bool {
		out, provisional := c.zoneNotes("a")
		return out == 3 && provisional == 3
	})
	t.Logf("every entry obeyed the volatile order after %s", time.Since(given).Round(time.Millisecond))
	time.Sleep(time.Until(given.Add(zoneLimit)))
	before := c.started("a")
	for _, e := range c.engines {
		if e.vm.Zone == "a" {
			g.Expect(refusalAtGate(t, e)).To(Equal(string(core.ReasonZoneOut)))
		}
	}
	time.Sleep(2 * time.Second)
	g.Expect(c.started("a")).To(Equal(before), "new work in a zone that is out")
	c.faults(c.platform, map[string]any{})
	c.eventually(2*configLimit, "order in the configuration", func() bool {
		out, provisional := c.zoneNotes("a")
		return out == 3 && provisional == 0
	})
	g.Expect(c.stored().Set.Zones[0].State).To(Equal(catalogue.ZoneOut))
	g.Expect(c.stored().Author).To(HavePrefix(configsync.FoldAuthor))
	stop()
	report.needClean(t)
}

// refusalAtGate sends a call straight to an endpoint process, as an entry that
// missed the order would, and returns the reason of its refusal.
func refusalAtGate(t *testing.T, e *endpointVM) string {
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
		t.Fatalf("the gate answered %v", event)
	}
	return event.GetRefused().GetReason()
}

func TestAnEndpointStartedInAnOutageIsConfiguredByPeers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	_, outcome := c.apply(c.entries[0], 0, weighted(c.set, 40))
	seen := newHistory()
	seen.await(c, outcome.Revision, time.Now(), configLimit)
	c.faults(c.platform, map[string]any{"outage": true})
	born := time.Now()
	c.addEntry("c")
	c.addService("b", "desk")
	took := seen.await(c, outcome.Revision, born, configLimit)
	t.Logf("a joining entry and a joining endpoint process had revision %d after %s", outcome.Revision, took.Round(time.Millisecond))
	c.faults(c.platform, map[string]any{})
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		seen.look(c, outcome.Revision)
	}
	g.Expect(seen.reverts).To(BeEmpty())
}

func TestAPublishWhoseFateIsNotKnownIsToldOnAskingAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	base := c.stored().Revision
	c.faults(c.platform, map[string]any{"loseAnswers": 1})
	type told struct {
		status  int
		outcome configsync.Outcome
	}
	answered := make(chan told, 1)
	go func() {
		status, outcome := c.apply(c.entries[0], base, weighted(c.set, 50))
		answered <- told{status, outcome}
	}()
	c.eventually(configLimit, "lost answer", func() bool {
		var stats struct{ LostAnswers int }
		c.getJSON(c.platform+"/admin/stats", &stats)
		return stats.LostAnswers == 1
	})
	c.faults(c.platform, map[string]any{"outage": true})
	var first told
	g.Eventually(answered, publishLimit).Should(Receive(&first))
	g.Expect(first.status).To(Equal(http.StatusGatewayTimeout), "%+v", first.outcome)
	g.Expect(first.outcome.Kind).To(Equal(configsync.Unknown))
	c.faults(c.platform, map[string]any{})
	var again configsync.Outcome
	c.eventually(configLimit, "fate of the publish", func() bool {
		_, again = c.apply(c.entries[1], base, weighted(c.set, 50))
		return again.Kind == configsync.Accepted
	})
	g.Expect(again.Already).To(BeTrue(), "%+v", again)
	g.Expect(c.stored().Revision).To(Equal(base + 1))
	g.Expect(weightOf(c.stored())).To(Equal(50))
	_, other := c.apply(c.entries[2], base, weighted(c.set, 51))
	g.Expect(other.Cause).To(Equal(configsync.CauseConflict), "%+v", other)
}

func TestAChangeIsInForceEverywhereWithinSixSecondsOfASlowPlatform(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := desks(t)
	c.faults(c.platform, map[string]any{"delayMs": 1000})
	seen := newHistory()
	for i := range 3 {
		start := time.Now()
		status, outcome := c.apply(c.entries[i], 0, weighted(c.set, 60+i))
		g.Expect(status).To(Equal(http.StatusOK), "%+v", outcome)
		answered := time.Since(start)
		took := seen.await(c, outcome.Revision, start, configLimit)
		t.Logf("every call to the platform takes 1 s: accepted after %s, in force everywhere after %s",
			answered.Round(time.Millisecond), took.Round(time.Millisecond))
	}
	g.Expect(seen.reverts).To(BeEmpty())
}
