package gateway

import (
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// sendUpdates sends changes until the stream ends. The receiving side reports the
// error.
func (a *agents) sendUpdates(stream grpc.BidiStreamingClient[peerpb.GatewayNews, peerpb.EngineNews], link *agentLink) {
	sent := &sentNews{GatewayNews: &peerpb.GatewayNews{}}
	for {
		message, changed := a.nextMessage(link, sent)
		if message != nil && stream.Send(message) != nil {
			return
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return
		}
	}
}

// nextMessage returns the values that have not been sent to an agent, nil if there are
// none, and a channel that is closed at the next change. The returned values are
// recorded in sent. Each message also carries the ages of recent declarations and a clock
// that the agent returns; a message with these alone is sent after demandRepeat.
func (a *agents) nextMessage(link *agentLink, sent *sentNews) (*peerpb.GatewayNews, <-chan struct{}) {
	var parts partNews
	if a.sendsParts(link) {
		parts = a.gateway.quarantine.news(sent.lastCut)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	news := link.newsSince(sent, a.gateway.relay)
	news.records = len(parts.records) > 0 && (parts.version != sent.records || now.Sub(sent.recordsAt) >= recordRepeat)
	news.cuts = len(parts.cuts) > 0
	sentMs := uint64(time.Duration(a.scheduler.now()).Milliseconds())
	if news == (unsent{}) && link.lease == sent.LeaseNumber && sentMs-sent.SentMs < uint64(demandRepeat.Milliseconds()) {
		return nil, link.changed
	}
	message := &peerpb.GatewayNews{}
	if news.name {
		message.Gateway, message.Region, message.Process = a.name, string(a.gateway.config.Relay.Region), a.process
		sent.Gateway = a.name
	}
	if news.fleet {
		message.Fleet, sent.Fleet = link.fleet, link.fleet
	}
	if news.members {
		message.Members, sent.Members = link.engines, link.engines
	}
	if news.demand {
		message.Want, sent.Want = link.demand, link.demand
	}
	if news.relay {
		message.Relay = &peerpb.RelayState{Member: a.gateway.relay.member(link.fleet)}
		sent.Relay = message.Relay
	}
	if news.manifest {
		message.Manifest = a.gateway.relay.manifestOf(link.fleet)
		sent.Manifest = message.Manifest
	}
	if news.records {
		message.PromptParts, sent.records, sent.recordsAt = peers.EncodeRecords(parts.records), parts.version, now
	}
	if news.cuts {
		message.EndedParts, sent.lastCut = peers.EncodeCuts(parts.cuts), parts.lastCut
	}
	message.MemoryMs = uint32(parts.memory.Milliseconds())
	message.LeaseNumber, sent.LeaseNumber = link.lease, link.lease
	message.StartsSent = uint32(a.scheduler.startsSent(link.address))
	message.Declarations = a.scheduler.declarationAges(link.fleet.GetModel())
	message.SentMs, sent.SentMs = sentMs, sentMs
	return message, link.changed
}

// unsent are the values that have not been sent to an agent.
type unsent struct{ name, fleet, members, demand, relay, manifest, records, cuts bool }

// newsSince returns the values other than records and cuts that differ from those sent on a stream.
// The caller must hold agents.mu.
func (link *agentLink) newsSince(sent *sentNews, relay *relay) unsent {
	return unsent{
		name: sent.Gateway == "", fleet: link.fleet != sent.Fleet, demand: link.demand != sent.Want,
		members:  link.sendsMembers && link.engines != sent.Members,
		relay:    sent.Relay == nil || relay.fits(link.fleet) != (sent.Relay.GetMember() != nil),
		manifest: link.sameRegion && relay.manifestVersion(link.fleet) != sent.Manifest.GetVersion(),
	}
}

// sendsMembersTo reports whether this process is one of the memberSenders gateways of its
// region that send an agent the list of machines serving the same model. They are
// chosen by rendezvous hashing, so that not every gateway sends the list. The caller must
// hold a.mu.
func (a *agents) sendsMembersTo(link *agentLink) bool {
	if !link.sameRegion {
		return false
	}
	before := 0
	own := xxh3.HashString(a.gateway.config.Relay.Listen + link.address)
	for _, m := range a.relays {
		if m.GetRegion() == string(a.gateway.config.Relay.Region) && xxh3.HashString(m.GetAddress()+link.address) < own {
			before++
		}
	}
	return before < memberSenders
}
