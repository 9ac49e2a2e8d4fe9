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
	needed   []int
	inFlight int
	retryAt  time.Time
}

func newOriginOnly(start Start) Policy {
	p := &originOnly{}
	for chunk, stored := range start.Stored {
		if !stored {
			p.needed = append(p.needed, chunk)
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
		p.needed = append(p.needed, e.Chunk)
	case FetchFailed:
		p.inFlight--
		p.needed = append(p.needed, e.Chunk)
		p.retryAt = now.Add(originOnlyRetry)
		return nil
	}
	if now.Before(p.retryAt) {
		return nil
	}
	p.retryAt = time.Time{}
	var fetches []Fetch
	for p.inFlight < originOnlyWindow && len(p.needed) > 0 {
		fetches = append(fetches, Fetch{Chunk: p.needed[0], Timeout: originOnlyTimeout})
		p.needed = p.needed[1:]
		p.inFlight++
	}
	return fetches
}

// NextTick implements Policy.
func (p *originOnly) NextTick() time.Time { return p.retryAt }
