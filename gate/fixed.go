package gate

import "time"

// FixedLimit is the limit of the "fixed" limiter.
const FixedLimit = 16

// unlimited is the limit of the "none" limiter.
const unlimited = 1 << 20

func init() {
	Limiters.Register("none", func() Limiter { return &fixed{limit: unlimited} })
	Limiters.Register("fixed", func() Limiter { return &fixed{limit: FixedLimit} })
}

var _ Limiter = (*fixed)(nil)

// fixed is a limiter with a constant limit. It serves as a baseline in comparisons.
type fixed struct{ limit int }

func (f *fixed) Limit(time.Time) int    { return f.limit }
func (f *fixed) Started(time.Time)      {}
func (f *fixed) Done(time.Time, Result) {}
func (f *fixed) Cold(time.Time)         {}
