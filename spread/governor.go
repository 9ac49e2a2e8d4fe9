package spread

import "time"

// Defaults of GovernorConfig.
const (
	defaultGovernorShare     = 0.8
	defaultGovernorTolerance = 1.1
	defaultGovernorPause     = 2.0
	defaultGovernorGrowth    = 0.05
	defaultGovernorPeriod    = time.Second
	governorCut              = 0.7
	governorPauseSlack       = 4
	// governorFloorShare is the least share of the link that is tried after a pause.
	governorFloorShare = 0.05
	// governorForget is how fast the base latency follows a lasting rise.
	governorForget = 0.001
)

// GovernorConfig configures a Governor.
type GovernorConfig struct {
	// LinkRate is the rate of the link between two regions, in bytes a second.
	LinkRate int64
	// MaxShare is the most of it that weights may take; 0 means 0.8.
	MaxShare float64
	// Tolerance is how much the latency of live requests may exceed its base
	// before weights slow down; 0 means 1.1.
	Tolerance float64
	// Slack is a rise of the latency over its base that never counts as excess; at
	// governorPauseSlack times of it weights may stop. 0 means none.
	Slack time.Duration
	// Pause is the excess at which weights stop; 0 means 2.
	Pause float64
	// StartShare is the share of MaxShare at which the rate starts; it doubles until the
	// first excess, so that the base is learned while the link is not yet full. 0
	// means the whole.
	StartShare float64
	// Period is how often the rate changes at most; 0 means one second.
	Period time.Duration
}

// Governor sets the rate of weights on region links, so that live requests
// keep their latency: it grows slowly, halves when the latency rises and stops
// when it rises far. It performs no I/O and is not safe for concurrent use.
type Governor struct {
	config GovernorConfig
	rate   float64
	base   time.Duration
	next   time.Time
	// met says that the latency once exceeded its base.
	met bool
}

// NewGovernor returns a governor that starts at its start share.
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

// Rate returns the rate in force, in bytes a second; 0 is a pause.
func (g *Governor) Rate() int64 { return int64(g.rate) }

// Observe takes the latency that messages have across regions now and returns
// the rate to set. The lowest latency seen is the base;
// it rises slowly when the latency stays higher.
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
	g.base += time.Duration(governorForget * float64(latency-g.base))
	g.adjust(excess)
	return g.Rate()
}

// excess is the latency in units of its base, less what Slack forgives.
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
	most := g.config.MaxShare * float64(g.config.LinkRate)
	least := governorFloorShare * float64(g.config.LinkRate)
	g.met = g.met || excess > g.config.Tolerance
	switch {
	case !g.met:
		g.rate = min(2*g.rate, most)
	case excess >= g.config.Pause:
		g.rate = 0
	case excess > g.config.Tolerance:
		g.rate = max(g.rate*governorCut, least)
	default:
		g.rate = min(max(g.rate, least)+defaultGovernorGrowth*float64(g.config.LinkRate), most)
	}
}
