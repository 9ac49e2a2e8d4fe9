package gate

import "time"

const (
	// maxCurveUnits is the maximum weight of the samples on one side of the curve.
	maxCurveUnits = 200
	// minCurveUnits is the minimum weight on each side for a comparison.
	minCurveUnits = 8
	// minGrowth is the minimum relative difference in work in flight for a comparison.
	minGrowth = 0.1
)

// curve compares the throughput while the work in flight is near the limit with the
// throughput while it is not. This shows the effect of bursts on an endpoint whose mean
// work in flight stays below the limit. low and high are the two sides.
type curve struct {
	low  curveSide
	high curveSide
}

// curveSide holds weighted means of the work in flight, of the part of it that is not
// overdue for its first token, and of the time between tokens in seconds.
type curveSide struct {
	units      float64
	inFlight   float64
	productive float64
	gap        float64
}

// add adds a sample of tokens with the given weight and time between them.
func (s *curveSide) add(units float64, inFlight, overdue int, gap time.Duration) {
	s.units = min(maxCurveUnits, s.units+units)
	share := min(1, units/s.units)
	s.inFlight += share * (float64(inFlight) - s.inFlight)
	s.productive += share * (float64(inFlight-overdue) - s.productive)
	s.gap += share * (gap.Seconds() - s.gap)
}

// throughput returns a value proportional to tokens per second.
func (s *curveSide) throughput() float64 { return s.productive / s.gap }

// add adds a sample taken with inFlight calls at the given limit.
func (c *curve) add(units float64, inFlight, overdue, limit int, gap time.Duration) {
	if float64(inFlight) >= nearLimitShare*float64(limit) {
		c.high.add(units, inFlight, overdue, gap)
		return
	}
	c.low.add(units, inFlight, overdue, gap)
}

// compare returns the relative difference in work in flight and in throughput between
// the high side and the low side. It reports false if there are too few samples.
func (c *curve) compare() (growth, gain float64, known bool) {
	if c.low.units < minCurveUnits || c.high.units < minCurveUnits || c.low.gap <= 0 || c.high.gap <= 0 || c.low.productive <= 0 {
		return 0, 0, false
	}
	growth = c.high.inFlight/c.low.inFlight - 1
	gain = c.high.throughput()/c.low.throughput() - 1
	return growth, gain, growth >= minGrowth
}
