package node

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/hlc"
	"github.com/zinniaseam/zinniaseam/membership"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// maxFollowUps bounds the messages after an exchange. They may be the delta of a
// document, the full document if the delta does not apply, the other kind of
// document, and full endpoint states.
const maxFollowUps = 4

// exchangeWith sends state to a peer and merges its reply. Newer documents of the
// peer are fetched by one exchange at a time, unless force is set.
func (n *Node) exchangeWith(ctx context.Context, t target, force bool) {
	conn, err := n.Pool.Get(t.addr)
	if err != nil {
		n.Log.Error("A connection to a peer cannot be created; the exchange is skipped.", "peer", t.addr, "err", err)
		return
	}
	ctx, end := conn.Begin(ctx)
	defer end()
	n.mu.Lock()
	delivery := n.state.Build(membership.Receiver{
		ID: t.id, ConfigRevision: n.state.Config().Revision, VMsRevision: n.state.VMs().Revision,
		WantsEndpoints: true, Zone: t.zone, Protocol: n.state.ProtocolOf(t.id, t.zone), Now: time.Now(),
	})
	n.mu.Unlock()
	n.setSender(delivery.Message)
	delivery.Message.Second = t.secondary
	shortCtx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	reply, err := conn.Peer().Exchange(shortCtx, delivery.Message)
	n.recordReport(t.id, err == nil)
	if err != nil {
		n.Pool.RecordTimeout(conn)
		return
	}
	conn.RecordProgress()
	n.mu.Lock()
	n.state.Delivered(delivery)
	n.mu.Unlock()
	n.merge(reply)
	longCtx, cancelLong := context.WithTimeout(ctx, membership.FetchTimeout)
	defer cancelLong()
	n.followUps(longCtx, conn, reply, t, force)
}

// recordReport records whether a report of an endpoint process reached an entry.
func (n *Node) recordReport(id core.VMID, reached bool) {
	if n.Role != core.RoleEndpoint {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.failedReports, id)
	if !reached && len(n.failedReports) < membership.MaxPeers {
		n.failedReports[id] = true
	}
}

// reportFailed reports whether the last report to an entry failed.
func (n *Node) reportFailed(id core.VMID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failedReports[id]
}

// followUps sends follow-up messages after a reply until neither side requests
// anything, at most maxFollowUps.
func (n *Node) followUps(ctx context.Context, conn *peers.Conn, reply *peerpb.Knowledge, t target, force bool) {
	for range maxFollowUps {
		message := n.followUp(reply, force)
		if message == nil {
			return
		}
		n.setSender(message)
		message.Second = t.secondary
		var options []grpc.CallOption
		if message.GetConfig() != nil || message.GetVms() != nil {
			options = append(options, grpc.UseCompressor(gzip.Name))
		}
		var err error
		if reply, err = conn.Peer().Exchange(ctx, message, options...); err != nil {
			return
		}
		n.merge(reply)
	}
}

// setSender fills in the fields that describe the sender.
func (n *Node) setSender(message *peerpb.Knowledge) {
	message.Clock = uint64(n.Recorder.Clock().Now())
	message.Zone = string(n.Zone)
	message.FromEntry = n.Role == core.RoleEntry
	message.Incarnation = n.Incarnation
	message.WantsPool = n.requestsPool.Load()
	message.Joining = message.FromEntry && !n.Settled()
}

// Exchange implements peerpb.PeerServer. It merges the message of a peer and returns
// the state that the peer lacks.
func (n *Node) Exchange(ctx context.Context, received *peerpb.Knowledge) (*peerpb.Knowledge, error) {
	n.merge(received)
	// Entries of the same zone exchange endpoint states in both directions.
	sameZone := received.GetFromEntry() && received.GetProtocol() >= membership.ProtocolKeepalives && core.ZoneID(received.GetZone()) == n.Zone
	n.mu.Lock()
	reply := n.state.Build(membership.Receiver{
		ID: core.VMID(received.GetFrom()), ConfigRevision: received.GetConfigRevision(), VMsRevision: received.GetVmsRevision(),
		WantsEndpoints: received.GetJoining() || sameZone, Joining: received.GetJoining(), Pool: n.requestedPool(received), Zone: core.ZoneID(received.GetZone()),
		Protocol: received.GetProtocol(), Requested: membership.RequestOf(received), Unknown: received.GetUnknown(), Now: time.Now(),
	}).Message
	n.requestDocuments(reply, received, false)
	n.mu.Unlock()
	n.setSender(reply)
	if reply.GetConfig() != nil || reply.GetVms() != nil {
		// If the compressor can't be set, the documents are sent uncompressed.
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	return reply, nil
}

// requestedPool returns the pool whose states an endpoint process requests, or the
// empty ID. n.mu must be locked.
func (n *Node) requestedPool(received *peerpb.Knowledge) core.PoolID {
	if !received.GetWantsPool() {
		return ""
	}
	return n.state.PoolOf(core.VMID(received.GetFrom()))
}

// Timeline implements peerpb.PeerServer. It returns the newest matching events, one
// JSON object per line.
func (n *Node) Timeline(_ context.Context, request *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	events := n.Recorder.Events(timeline.Filter{
		Request: core.RequestID(request.GetRequest()),
		Object:  request.GetObject(),
		Zone:    core.ZoneID(request.GetZone()),
		Kind:    timeline.Kind(request.GetKind()),
		Since:   hlc.Stamp(request.GetSince()),
	})
	if len(events) > MaxTimelineReply {
		events = events[len(events)-MaxTimelineReply:]
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return nil, err
		}
	}
	return &peerpb.TimelineReply{Json: lines.Bytes()}, nil
}
