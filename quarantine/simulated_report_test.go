package quarantine_test

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// report is what was measured.
type report struct {
	// crashes is the number of ends caused by each harmful part; late the number of calls
	// with it that reached engines later than afterFifth after its fifth crash.
	crashes, late []int
	// calm is the share of sound calls of the first route that began at the first attempt
	// before any harm, during that share between the fifth crash and settled, and after the
	// share since then.
	calm, during, after share
	// victims are the sound calls that were cut before they began, and those of them that
	// were repeated.
	victims share
	// blockedRoutes is the longest time for which some gateway kept a route's first part
	// blocked.
	blockedRoutes time.Duration
	// blockedCalls is the number of sound calls that were blocked, total of all sound calls.
	blockedCalls, total int
	// stillBlocked is the number of sound parts that are blocked at the end.
	stillBlocked int
}

type share struct{ begun, sent int }

func (s share) value() float64 {
	if s.sent == 0 {
		return 1
	}
	return float64(s.begun) / float64(s.sent)
}

func (r report) String() string {
	return fmt.Sprintf("crashes %v late %v calm %.3f during %.3f after %.3f blocked routes %v blocked calls %d of %d still %d",
		r.crashes, r.late, r.calm.value(), r.during.value(), r.after.value(), r.blockedRoutes, r.blockedCalls, r.total, r.stillBlocked)
}

// shareOf returns the share to which a call counts, nil if to none.
func (s *simulation) shareOf(c *call) *share {
	if c.harm >= 0 || c.parts[0] != routePart(0) {
		return nil
	}
	if c.sentAt < s.firstBad-2*time.Second {
		return &s.report.calm
	}
	if len(s.fifthAt) == 0 || s.fifthAt[0] == 0 || c.sentAt > time.Duration(s.seconds)*time.Second-2*time.Second {
		return nil
	}
	if c.sentAt > s.fifthAt[0]+settled {
		return &s.report.after
	}
	return &s.report.during
}

func (s *simulation) countSent(c *call) {
	if c.harm < 0 {
		s.report.total++
	}
	if c.counted = s.shareOf(c); c.counted != nil {
		c.counted.sent++
	}
}

func (s *simulation) countBegun(c *call) {
	if c.counted != nil {
		c.counted.begun++
	}
}

// checkRoutes measures how long gateways keep the first part of a route blocked.
func (s *simulation) checkRoutes() {
	for _, g := range s.gateway[:min(len(s.gateway), 10)] {
		for i := range routeCount + 1 {
			part := routePart(i)
			if i == routeCount {
				part = sharedPart
			}
			since, known := g.blockedSince[part]
			_, blocked := g.tracker.Blocked(s.instant(g), simulatedService, []core.PromptPart{part})
			switch {
			case !blocked:
				delete(g.blockedSince, part)
			case !known:
				g.blockedSince[part] = s.now()
			default:
				s.report.blockedRoutes = max(s.report.blockedRoutes, s.now()-since)
			}
		}
	}
}

// countBlocked returns the number of sound parts that the first gateway blocks.
func (s *simulation) countBlocked() int {
	count := 0
	check := func(name string, n int) {
		for i := range n {
			part := core.PromptPart(fmt.Sprint(name, i))
			if _, blocked := s.gateway[0].tracker.Blocked(s.instant(s.gateway[0]), simulatedService, []core.PromptPart{part}); blocked {
				count++
			}
		}
	}
	check("route-", routeCount)
	if _, blocked := s.gateway[0].tracker.Blocked(s.instant(s.gateway[0]), simulatedService, []core.PromptPart{sharedPart}); blocked {
		count++
	}
	check("customer-", customerCount)
	check("document-", documentCount)
	return count
}
