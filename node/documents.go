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

// applyConfig decodes a configuration document from a peer, offers it to the holder
// and, if it is the newest, announces it. It drops a malformed document. It reports
// whether the configuration changed.
func (n *Node) applyConfig(config *peerpb.Config) bool {
	if config == nil {
		return false
	}
	n.mu.Lock()
	current := n.state.Config()
	n.mu.Unlock()
	doc, err := n.decodeConfig(current, config)
	// The fetch must not end before the document is stored. Otherwise the document
	// would be requested from another peer again.
	defer func() {
		n.mu.Lock()
		n.configFetch.Done(err == nil)
		n.mu.Unlock()
	}()
	if err != nil {
		n.Log.Warn("Dropped a configuration from a peer that cannot be decoded.", "revision", config.GetRevision(), "err", err)
		return false
	}
	return n.Holder.Offer(doc) && n.announceConfig(doc)
}

// decodeConfig decodes a configuration from a peer, which is a full document or a
// delta against current.
func (n *Node) decodeConfig(current membership.Document, config *peerpb.Config) (*configsync.Document, error) {
	text, err := membership.ResolveBody(current, config.GetJson(), config.GetChange())
	if err != nil {
		return nil, err
	}
	return configsync.Decode(text)
}

// announceConfig stores a document accepted by the holder in the merged state, from
// which it is sent to peers. If the holder already has a newer one, it does
// nothing: the goroutine that offered the newer one announces it. It returns false if the
// document can't be encoded.
func (n *Node) announceConfig(doc *configsync.Document) bool {
	text, err := doc.Encode()
	if err != nil {
		n.Log.Error("The configuration cannot be encoded; it is not sent to peers.", "revision", doc.Revision, "err", err)
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

// WatchDocuments publishes the configuration documents that the platform duty puts
// into the holder, until ctx is done.
func (n *Node) WatchDocuments(ctx context.Context) error {
	documents := n.Holder.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-documents:
			doc := n.Holder.Current()
			if doc.Revision != n.View().ConfigRevision && n.announceConfig(doc) {
				n.publish()
				n.Trigger()
			}
		}
	}
}

// resolveVMs decodes a VM list from a peer, which is a full list or a delta. It
// returns the full list and its elements, or nil for a malformed one.
func (n *Node) resolveVMs(list *peerpb.VMList) (*peerpb.VMList, []core.VM) {
	if list == nil {
		return nil, nil
	}
	n.mu.Lock()
	current := n.state.VMs()
	n.mu.Unlock()
	text, err := membership.ResolveBody(current, list.GetJson(), list.GetChange())
	var rows []core.VM
	if err == nil {
		rows, err = decodeVMs(text)
	}
	if err != nil {
		n.Log.Warn("Dropped a VM list from a peer that cannot be decoded.", "revision", list.GetRevision(), "err", err)
		n.mu.Lock()
		n.vmsFetch.Done(false)
		n.mu.Unlock()
		return nil, nil
	}
	return &peerpb.VMList{Revision: list.GetRevision(), Json: text}, rows
}

// requestDocuments adds requests to message for the documents of which the sender of
// received has a newer revision. Each kind is requested from one peer at a time,
// unless force is set. It reports whether message requests anything. n.mu must be
// locked.
func (n *Node) requestDocuments(message, received *peerpb.Knowledge, force bool) bool {
	now := time.Now()
	if received.GetProtocol() < membership.ProtocolOnRequest {
		return false
	}
	if received.GetConfigRevision() > n.state.Config().Revision && (n.configFetch.Claim(now) || force) {
		message.WantsConfig, message.ConfigBase = true, n.configFetch.Base(n.state.Config())
	}
	if received.GetVmsRevision() > n.state.VMs().Revision && (n.vmsFetch.Claim(now) || force) {
		message.WantsVms, message.VmsBase = true, n.vmsFetch.Base(n.state.VMs())
	}
	return message.GetWantsConfig() || message.GetWantsVms()
}

// followUp returns the message to send after a reply, or nil if there is nothing to
// send. It contains the documents that the peer requested or, at protocol 0, does
// not have, the full endpoint states that it is missing, and a request for what this
// process is missing.
func (n *Node) followUp(reply *peerpb.Knowledge, force bool) *peerpb.Knowledge {
	n.mu.Lock()
	defer n.mu.Unlock()
	message := n.state.Build(membership.Receiver{
		ID: core.VMID(reply.GetFrom()), Unknown: reply.GetUnknown(),
		ConfigRevision: reply.GetConfigRevision(), VMsRevision: reply.GetVmsRevision(),
		Protocol: reply.GetProtocol(), Requested: membership.RequestOf(reply),
	}).Message
	requests := n.requestDocuments(message, reply, force) || len(message.GetUnknown()) > 0
	sends := message.GetConfig() != nil || message.GetVms() != nil || len(message.GetEndpoints()) > 0
	if !requests && !sends {
		return nil
	}
	return message
}

// UpdateVMs merges a VM list from the platform. An older revision than the current
// one is ignored.
func (n *Node) UpdateVMs(list platform.VMListReply) {
	rows, err := json.Marshal(list.VMs)
	if err != nil {
		n.Log.Error("The VM list cannot be encoded; it is not applied.", "revision", list.Revision, "err", err)
		return
	}
	n.update(func(s *membership.State) bool {
		return s.OfferVMs(membership.Document{Revision: list.Revision, JSON: rows})
	})
}

// ZoneOrders returns the stored volatile zone orders.
func (n *Node) ZoneOrders() []configsync.ZoneOrder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return zoneOrders(n.state.ZoneOrders())
}

// OfferZoneOrder stores a volatile zone order from an operator and sends it to
// peers. It returns false if the order is not stored.
func (n *Node) OfferZoneOrder(order configsync.ZoneOrder) bool {
	message := &peerpb.ZoneOrder{Zone: string(order.Zone), Out: order.Out, Stamp: uint64(order.Stamp), Author: order.Author}
	return n.update(func(s *membership.State) bool { return s.OfferZoneOrder(message) })
}

// dropSuperseded removes the volatile zone orders that the configuration supersedes.
func (n *Node) dropSuperseded() {
	doc := n.Holder.Current()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, order := range n.state.ZoneOrders() {
		if configsync.Superseded(doc, zoneOrder(order)) {
			n.state.DropZoneOrder(core.ZoneID(order.GetZone()))
		}
	}
}
