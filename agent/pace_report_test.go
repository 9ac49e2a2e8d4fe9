package agent

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a pace that no engine can have reaching the gateways, and against a message for
// each small change.
func TestAnImplausiblePaceIsReported(t *testing.T) {
	g := NewWithT(t)
	for _, pace := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		g.Expect(reportedPace(pace)).To(BeZero(), "%v", pace)
	}
	g.Expect(reportedPace(1.04)).To(BeEquivalentTo(1))
	g.Expect(reportedPace(2.5)).To(BeEquivalentTo(2.5))
	g.Expect(reportedPace(0.01)).To(BeEquivalentTo(0.25))
}
