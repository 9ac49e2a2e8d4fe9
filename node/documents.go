package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/configsync"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// takeConfig offers a document from a peer to the holder; a malformed one is dropped.
func (n *Node) takeConfig(config *peerpb.Config) bool {
	if config == nil {
		return false
	}
	n.mu.Lock()
	held := n.state.Config()
	n.mu.Unlock()
	doc, err := n.readConfig(held, config)
	// The claim ends when the document is in place, so that no peer sends it again.
	defer func() {
		n.mu.Lock()
		n.configFetch.Done(err == nil)
		n.mu.Unlock()
	}()
	if err != nil {
		n.Log.Warn("A peer sent a configuration that can't be read.", "err", err)
		return false
	}
	return n.Holder.Offer(doc) && n.spreadDocument(doc)
}

func (n *Node) readConfig(held membership.Document, config *peerpb.Config) (*configsync.Document, error) {
	text, err := membership.ResolveBody(held, config.GetJson(), config.GetChange())
	if err != nil {
		return nil, err
	}
	return configsync.Decode(text)
}

// spreadDocument makes a document that the holder took known to peers, unless
// the holder has a newer one by now, which whoever brought it makes known.
func (n *Node) spreadDocument(doc *configsync.Document) bool {
	text, err := doc.Encode()
	if err != nil {
		n.Log.Error("The configuration can't be encoded.", "err", err)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Holder.Current() != doc {
		return true
	}
	n.state.SetConfig(membership.Document{Revision: doc.Revision, JSON: text})
	return true
}

// WatchDocuments publishes the documents that the platform duty put into the
// holder, until ctx ends.
func (n *Node) WatchDocuments(ctx context.Context) error {
	documents := n.Holder.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-documents:
			doc := n.Holder.Current()
			if doc.Revision != n.View().ConfigRevision && n.spreadDocument(doc) {
				n.publish()
				n.Trigger()
			}
		}
	}
}

// readableVMs returns a VM list from a peer as a whole, and its rows; it drops
// a malformed one.
func (n *Node) readableVMs(list *peerpb.VMList) (*peerpb.VMList, []core.VM) {
	if list == nil {
		return nil, nil
	}
	n.mu.Lock()
	held := n.state.VMs()
	n.mu.Unlock()
	text, err := membership.ResolveBody(held, list.GetJson(), list.GetChange())
	var rows []core.VM
	if err == nil {
		rows, err = decodeVMs(text)
	}
	if err != nil {
		n.Log.Warn("A peer sent a VM list that can't be read.", "err", err)
		n.mu.Lock()
		n.vmsFetch.Done(false)
		n.mu.Unlock()
		return nil, nil
	}
	return &peerpb.VMList{Revision: list.GetRevision(), Json: text}, rows
}

// askFor makes message ask for the documents that are newer at the peer that
// said told. Each kind is asked of one peer at a time, but for force. It
// reports whether the message asks for anything; n.mu is held.
func (n *Node) askFor(message, told *peerpb.Knowledge, force bool) bool {
	now := time.Now()
	if told.GetProtocol() < membership.ProtocolOnRequest {
		return false
	}
	if told.GetConfigRevision() > n.state.Config().Revision && (n.configFetch.Claim(now) || force) {
		message.WantsConfig, message.ConfigBase = true, n.configFetch.Base(n.state.Config())
	}
	if told.GetVmsRevision() > n.state.VMs().Revision && (n.vmsFetch.Claim(now) || force) {
		message.WantsVms, message.VmsBase = true, n.vmsFetch.Base(n.state.VMs())
	}
	return message.GetWantsConfig() || message.GetWantsVms()
}

// followUp returns what is to be said after a reply: documents that the peer
// asked for or, at protocol 0, lacks, whole states that it lacks, and a request
// for what this process lacks. Nil says that there is nothing.
func (n *Node) followUp(reply *peerpb.Knowledge, force bool) *peerpb.Knowledge {
	n.mu.Lock()
	defer n.mu.Unlock()
	message := n.state.Build(membership.Receiver{
		ID: core.VMID(reply.GetFrom()), Unknown: reply.GetUnknown(),
		ConfigRevision: reply.GetConfigRevision(), VMsRevision: reply.GetVmsRevision(),
		Protocol: reply.GetProtocol(), Requested: membership.RequestOf(reply),
	}).Message
	asks := n.askFor(message, reply, force) || len(message.GetUnknown()) > 0
	tells := message.GetConfig() != nil || message.GetVms() != nil || len(message.GetEndpoints()) > 0
	if !asks && !tells {
		return nil
	}
	return message
}

// UpdateVMs takes the newest VM list that the platform duty holds.
func (n *Node) UpdateVMs(list platform.VMListReply) {
	rows, err := json.Marshal(list.VMs)
	if err != nil {
		n.Log.Error("The VM list can't be encoded.", "err", err)
		return
	}
	n.update(func(s *membership.State) bool {
		return s.OfferVMs(membership.Document{Revision: list.Revision, JSON: rows})
	})
}

// ZoneOrders lists the volatile zone orders held.
func (n *Node) ZoneOrders() []configsync.ZoneOrder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return zoneOrders(n.state.ZoneOrders())
}

// OfferZoneOrder takes a volatile zone order from an operator.
func (n *Node) OfferZoneOrder(order configsync.ZoneOrder) bool {
	message := &peerpb.ZoneOrder{Zone: string(order.Zone), Out: order.Out, Stamp: uint64(order.Stamp), Author: order.Author}
	return n.update(func(s *membership.State) bool { return s.OfferZoneOrder(message) })
}

// dropDecided forgets volatile orders that the configuration has decided.
func (n *Node) dropDecided() {
	doc := n.Holder.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, order := range n.state.ZoneOrders() {
		if configsync.Superseded(doc, zoneOrder(order)) {
			n.state.DropZoneOrder(core.ZoneID(order.GetZone()))
		}
	}
}
