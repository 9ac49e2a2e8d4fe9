package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// gateRefusals is the number of refusals that are examined while the back end of a
// gate is down.
const gateRefusals = 40

// callGate sends an idempotent call directly to an endpoint process and returns the
// first event and the time to it.
func callGate(t *testing.T, e *endpointVM, conn *peers.Conn, id string) (*peerpb.CallEvent, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	started := time.Now()
	events, err := conn.Endpoint().Call(ctx, &peerpb.CallRequest{
		RequestId: id, Service: string(e.vm.Service), Method: "GET", Path: "/stock/" + id, RemainingMs: 3000, Idempotent: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	event, err := events.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return event, time.Since(started)
}

// Guards against slow rejections while a service is down, and against a gate that
// stays closed after the service has restarted.
func TestTheGateOfAnAwayServiceRefusesAtOnceAndOpensAgain(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	c.addEntry("a")
	desk := c.addService("a", "desk")
	c.deploy(c.addVersion("v1", 1<<20, 1), "a")
	conn, err := peers.NewPool("", peers.Security{Key: peerKey}).Get(desk.vm.PeerAddr)
	g.Expect(err).NotTo(HaveOccurred())
	c.eventually(10*time.Second, "answer through the gate", func() bool {
		event, _ := callGate(t, desk, conn, "before")
		return event.GetHead() != nil
	})
	desk.backend.kill()
	breakerRefusals := 0
	var times []time.Duration
	for n := range gateRefusals {
		event, took := callGate(t, desk, conn, fmt.Sprint("away-", n))
		refused := event.GetRefused()
		g.Expect(refused.GetOutcome()).To(Equal(uint32(core.OutcomeNotRun)))
		g.Expect(refused.GetReason()).To(Equal(string(core.ReasonBackendFailed)))
		g.Expect(refused.GetRetryAfterMs()).To(BeNumerically(">", 0))
		if refused.GetDetail() == "the endpoint can't be reached" {
			breakerRefusals++
		}
		times = append(times, took)
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d of %d rejected by the closed gate, median %s", breakerRefusals, gateRefusals, median(times).Round(10*time.Microsecond))
	g.Expect(breakerRefusals).To(BeNumerically(">=", gateRefusals*3/4))
	g.Expect(median(times)).To(BeNumerically("<", refusalLimit))
	desk.backend.run()
	restarted := time.Now()
	c.eventually(5*time.Second, "answer from the restarted service", func() bool {
		event, _ := callGate(t, desk, conn, "after")
		return event.GetHead() != nil
	})
	t.Logf("answered again %s after the restart", time.Since(restarted).Round(time.Millisecond))
}
