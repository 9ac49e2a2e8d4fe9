package gateway

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/startquota"
)

// Guards against a lease of starts that never ends because its agent echoes a time of the future.
func TestALeaseOfStartsFromTheFutureIsNone(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Instant(time.Hour)
	status := &peerpb.EngineNews{EchoMs: 3_600_000, Boot: 7, Version: 1, Starts: 3}
	g.Expect(startPermit(now, status)).To(Equal(startquota.Permit{Starts: 3, Boot: 7, Until: now.Add(startquota.LeaseTime)}))
	status.EchoMs = math.MaxUint64
	g.Expect(startPermit(now, status)).To(Equal(startquota.Permit{}))
}

// Guards against one agent with a wrong clock that ends the samples of its whole region: a sample
// from the future is newer than all later ones.
func TestASampleOfAPathComesFromTheFuture(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Instant(time.Hour)
	for _, echo := range []uint64{3_600_001, math.MaxUint64 / 1_000_000, math.MaxUint64} {
		g.Expect(pathSample(now, &peerpb.EngineNews{EchoMs: echo})).To(Equal(placement.PathSample{}), "%d", echo)
	}
	g.Expect(pathSample(now, &peerpb.EngineNews{EchoMs: 3_600_000})).To(Equal(placement.PathSample{SentAt: now}))
	g.Expect(pathSample(now, &peerpb.EngineNews{EchoMs: 3_599_900, EchoHeldMs: 40})).To(Equal(placement.PathSample{SentAt: now.Add(-100 * time.Millisecond), RoundTrip: 60 * time.Millisecond}))
}
