package gateway_test

import (
	"expvar"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// paceChanges returns how often agents of this process changed a limit for a reason.
func paceChanges(reason string) int64 {
	count, _ := expvar.Get("engine_pace").(*expvar.Map).Get(reason).(*expvar.Int)
	if count == nil {
		return 0
	}
	return count.Value()
}

// Failure: agents limit the slots of engines in deployments that do not ask for it, or do not
// limit them in those that do.
func TestAgentsLimitTheSlotsOfStartedEnginesUnderContentionOnly(t *testing.T) {
	for name, contention := range map[string]bool{"contention": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			before := paceChanges("start")
			config := usualFleet
			config.engines, config.gateways, config.contention = 2, 2, contention
			f := startFleetOf(t, config)
			c := newCallers(t, f)
			from := time.Now()
			c.send(2*time.Second, false)
			sent, complete := c.count(false, from, time.Now().Add(-time.Second))
			t.Logf("%d calls sent, %d answered completely", sent, complete)
			g.Expect(complete).To(BeNumerically(">", 0))
			started := 0
			if contention {
				started = config.engines
			}
			g.Expect(paceChanges("start") - before).To(BeEquivalentTo(started))
		})
	}
}
