package spread

import "time"

// Defaults of GovernorConfig, and parameters of the Governor.
const (
	defaultGovernorShare     = 0.8
	defaultGovernorTolerance = 1.1
	defaultGovernorPause     = 2.0
	// governorGrowth is the share of the link by which the rate grows at each change
	// after the first excess.
	governorGrowth        = 0.05
	defaultGovernorPeriod = time.Second
	// governorDecrease is the factor by which the rate is cut at each change.
	governorDecrease = 0.7
	// governorPauseSlack is the rise of the latency, in units of Slack, below
	// which weights are not paused.
	governorPauseSlack = 4
	// governorFloorShare is the smallest non-zero share of the link, used when
	// transfers resume after a pause.
	governorFloorShare = 0.05
	// governorBaseDecay is the fraction of the difference by which the base
	// latency follows a lasting rise at each change.
	governorBaseDecay = 0.001
)

// GovernorConfig configures a Governor.
type GovernorConfig struct {
	// LinkRate is the rate of the link between two regions, in bytes per second.
	LinkRate int64
	// MaxShare is the largest share of LinkRate that weights may use; 0 means
	// 0.8.
	MaxShare float64
	// Tolerance is the ratio of the latency of live requests to its base above
	// which the rate of weights is cut; 0 means 1.1.
	Tolerance float64
	// Slack is a rise of the latency over its base that is never treated as
	// excess. Below 4 times Slack weights may be slowed but not paused. 0 means
	// none.
	Slack time.Duration
	// Pause is the ratio of the latency to its base at which weights are paused;
	// 0 means 2.
	Pause float64
	// StartShare is the share of MaxShare at which the rate starts. The rate
	// doubles until the first excess, so that the base latency is measured before
	// the link is full. 0 means all of MaxShare.
	StartShare float64
	// Period is the minimum time between two changes of the rate; 0 means one
	// second.
	Period time.Duration
}

// Governor sets the rate of weight transfers on region links so that live
// requests keep their latency. The rate grows slowly, is multiplied by 0.7 when the
// latency rises, and is 0 when the latency rises far. Governor performs no I/O
// and is not safe for concurrent use.
type Governor struct {
	config GovernorConfig
	rate   float64
	base   time.Duration
	next   time.Time
	// exceeded is set once the latency has exceeded its base by more than
	// Tolerance.
	exceeded bool
}

// NewGovernor returns a Governor that starts at its start share.
func NewGovernor(config GovernorConfig) *Governor {
	if config.MaxShare <= 0 {
		config.MaxShare = defaultGovernorShare
	}
	if config.Tolerance <= 0 {
		config.Tolerance = defaultGovernorTolerance
	}
	if config.Pause <= 0 {
		config.Pause = defaultGovernorPause
	}
	if config.Period <= 0 {
		config.Period = defaultGovernorPeriod
	}
	if config.StartShare <= 0 {
		config.StartShare = 1
	}
	return &Governor{config: config, rate: config.StartShare * config.MaxShare * float64(config.LinkRate)}
}

// Rate returns the current rate in bytes per second; 0 is a pause.
func (g *Governor) Rate() int64 { return int64(g.rate) }

// Observe takes the current latency of messages across regions and returns the
// rate to set, in bytes per second. The base is the lowest latency seen; it
// rises slowly while the latency stays higher.
func (g *Governor) Observe(now time.Time, latency time.Duration) int64 {
	if latency <= 0 {
		return g.Rate()
	}
	if g.base == 0 || latency < g.base {
		g.base = latency
	}
	if now.Before(g.next) {
		return g.Rate()
	}
	g.next = now.Add(g.config.Period)
	excess := g.excess(latency)
	g.base += time.Duration(governorBaseDecay * float64(latency-g.base))
	g.adjust(excess)
	return g.Rate()
}

// excess returns the ratio of the latency to its base, limited by what Slack
// allows for.
func (g *Governor) excess(latency time.Duration) float64 {
	rise := latency - g.base
	ratio := float64(latency) / float64(g.base)
	switch {
	case g.config.Slack > 0 && rise <= g.config.Slack:
		return 1
	case g.config.Slack > 0 && rise < governorPauseSlack*g.config.Slack:
		return min(ratio, g.config.Pause*(1-governorFloorShare))
	default:
		return ratio
	}
}

func (g *Governor) adjust(excess float64) {
	maxRate := g.config.MaxShare * float64(g.config.LinkRate)
	minRate := governorFloorShare * float64(g.config.LinkRate)
	g.exceeded = g.exceeded || excess > g.config.Tolerance
	switch {
	case !g.exceeded:
		g.rate = min(2*g.rate, maxRate)
	case excess >= g.config.Pause:
		g.rate = 0
	case excess > g.config.Tolerance:
		g.rate = max(g.rate*governorDecrease, minRate)
	default:
		g.rate = min(max(g.rate, minRate)+governorGrowth*float64(g.config.LinkRate), maxRate)
	}
}
