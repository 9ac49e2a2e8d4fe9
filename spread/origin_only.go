package spread

import "time"

const (
	originOnlyWindow  = 4
	originOnlyTimeout = 30 * time.Second
	originOnlyRetry   = 200 * time.Millisecond
)

func init() {
	Policies.Register("origin_only", func() Constructor { return newOriginOnly })
}

var _ Policy = (*originOnly)(nil)

// originOnly fetches every chunk from the origin. It is a baseline.
type originOnly struct {
	wanted   []int
	inFlight int
	retryAt  time.Time
}

func newOriginOnly(start Start) Policy {
	p := &originOnly{}
	for chunk, held := range start.Stored {
		if !held {
			p.wanted = append(p.wanted, chunk)
		}
	}
	return p
}

// Step implements Policy.
func (p *originOnly) Step(now time.Time, event Event) []Fetch {
	switch e := event.(type) {
	case ChunkStored:
		p.inFlight--
	case ChunkLost:
		p.wanted = append(p.wanted, e.Chunk)
	case FetchFailed:
		p.inFlight--
		p.wanted = append(p.wanted, e.Chunk)
		p.retryAt = now.Add(originOnlyRetry)
		return nil
	}
	if now.Before(p.retryAt) {
		return nil
	}
	p.retryAt = time.Time{}
	var fetches []Fetch
	for p.inFlight < originOnlyWindow && len(p.wanted) > 0 {
		fetches = append(fetches, Fetch{Chunk: p.wanted[0], Timeout: originOnlyTimeout})
		p.wanted = p.wanted[1:]
		p.inFlight++
	}
	return fetches
}

// NextTick implements Policy.
func (p *originOnly) NextTick() time.Time { return p.retryAt }
