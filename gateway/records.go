package gateway

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/quarantine"
)

const (
	// recordHubs is how many agents a gateway sends its records of prompt parts to.
	recordHubs = 3
	// recordRepeat is how often unchanged records are sent to an agent, since agents and
	// gateways ignore records that may have waited while they were suspended.
	recordRepeat = time.Second
)

// sentNews is what has been sent on one stream.
type sentNews struct {
	*peerpb.GatewayNews
	// records is the version of the quarantine's records.
	records   uint64
	recordsAt time.Time
	// lastCut is the number of the last of the quarantine's cuts.
	lastCut uint64
}

// sendsParts reports whether an agent is one of the recordHubs agents to which this
// process sends records and cuts of prompt parts. Each agent passes records on to all gateways.
// All gateways choose the same agents, by rendezvous hashing, so that parts are counted there.
func (a *agents) sendsParts(link *agentLink) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := 0
	own := xxh3.HashString(link.address)
	for address, other := range a.current {
		if other.connected && xxh3.HashString(address) < own {
			before++
		}
	}
	return before < recordHubs
}

// mayTry reports whether it is the turn of this process to send a trial of a prompt part that
// has been due for some time. The gateways that agents know take turns, in an order of rendezvous
// hashing.
func (a *agents) mayTry(part core.PromptPart, dueFor time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.gateway.config.Relay.Listen
	own := xxh3.HashString(string(part) + self)
	rank, known := 0, len(a.relays) == 0
	for _, m := range a.relays {
		switch {
		case m.GetAddress() == self:
			known = true
		case xxh3.HashString(string(part)+m.GetAddress()) < own:
			rank++
		}
	}
	turn, open := quarantine.Turn(dueFor, max(len(a.relays), 1))
	return known && open && turn == rank
}
