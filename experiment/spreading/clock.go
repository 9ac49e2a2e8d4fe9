package spreading

import (
	"time"

	"github.com/zinniaseam/zinniaseam/virtualtime"
)

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// clock is a virtual clock with times relative to its start.
type clock struct{ *virtualtime.Clock }

func newClock() clock { return clock{virtualtime.New(epoch)} }

// now returns the time since the start.
func (c clock) now() time.Duration { return c.Now().Sub(epoch) }

// at schedules do for a time since the start.
func (c clock) at(when time.Duration, do func()) { c.At(epoch.Add(when), do) }
