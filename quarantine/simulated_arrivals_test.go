package quarantine_test

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// arrivals issues calls at random times; harm is the harmful part, -1 for none.
func (s *simulation) arrivals(harm int, perSecond float64) {
	s.clock.After(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !s.restarting() {
			s.arrive(harm)
		}
		s.arrivals(harm, perSecond)
	})
}

// clumps issues several calls with a harmful part at one moment, again and again.
func (s *simulation) clumps(harm int) {
	for range s.harms[harm].clump {
		if !s.restarting() {
			s.arrive(harm)
		}
	}
	s.clock.After(s.harms[harm].interval, func() { s.clumps(harm) })
}

func harmfulPart(i int) core.PromptPart { return core.PromptPart(fmt.Sprint("harmful-", i)) }

func routePart(i int) core.PromptPart { return core.PromptPart(fmt.Sprint("route-", i)) }

// arrive issues one call. Harmful calls belong to the first route; few calls share a
// document.
func (s *simulation) arrive(harm int) {
	route := s.random.IntN(routeCount)
	if harm >= 0 {
		route = 0
	}
	customer := int(float64(customerCount) * s.random.Float64() * s.random.Float64())
	document := int(float64(documentCount) * s.random.Float64() * s.random.Float64())
	parts := []core.PromptPart{routePart(route), core.PromptPart(fmt.Sprint("customer-", customer)), core.PromptPart(fmt.Sprint("document-", document))}
	c := &call{gateway: s.gateway[s.random.IntN(len(s.gateway))], harm: harm, sentAt: s.now()}
	if harm >= 0 {
		parts[1+s.random.IntN(2)] = harmfulPart(harm)
		c.lethal = s.now() >= s.harms[harm].harmfulFrom
	}
	for range s.ownParts {
		parts = append(parts, core.PromptPart(fmt.Sprintf("%016x", s.random.Uint64())))
	}
	if s.sharedPart {
		parts = append([]core.PromptPart{sharedPart}, parts...)
	}
	c.parts = parts
	s.offer(c)
}
