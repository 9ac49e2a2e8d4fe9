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

// maxFollowUps bounds the messages after one exchange: a change of a document,
// the whole when it does not fit, the other kind of document, whole states.
const maxFollowUps = 4

// exchangeWith tells one peer and merges its reply. Documents that are newer
// there are fetched by one such exchange at a time, but for force.
func (n *Node) exchangeWith(ctx context.Context, t target, force bool) {
	conn, err := n.Pool.Get(t.addr)
	if err != nil {
		n.Log.Error("A peer can't be dialled.", "peer", t.addr, "err", err)
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
	n.sign(delivery.Message)
	delivery.Message.Second = t.second
	shortCtx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	reply, err := conn.Peer().Exchange(shortCtx, delivery.Message)
	n.noteReached(t.id, err == nil)
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

// noteReached remembers whether an endpoint process reaches its entries.
func (n *Node) noteReached(id core.VMID, reached bool) {
	if n.Role != core.RoleEndpoint {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.failed, id)
	if !reached && len(n.failed) < membership.MaxPeers {
		n.failed[id] = true
	}
}

// unreached reports whether the last report to an entry failed.
func (n *Node) unreached(id core.VMID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed[id]
}

// followUps goes on after a reply until neither side asks for anything.
func (n *Node) followUps(ctx context.Context, conn *peers.Conn, reply *peerpb.Knowledge, t target, force bool) {
	for range maxFollowUps {
		message := n.followUp(reply, force)
		if message == nil {
			return
		}
		n.sign(message)
		message.Second = t.second
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

func (n *Node) sign(message *peerpb.Knowledge) {
	message.Clock = uint64(n.Recorder.Clock().Now())
	message.Zone = string(n.Zone)
	message.FromEntry = n.Role == core.RoleEntry
	message.Incarnation = n.Incarnation
	message.WantsPool = n.wantsPool.Load()
	message.Joining = message.FromEntry && !n.Settled()
}

// Exchange implements peerpb.PeerServer.
func (n *Node) Exchange(ctx context.Context, told *peerpb.Knowledge) (*peerpb.Knowledge, error) {
	n.merge(told)
	// Entries of one zone tell each other in both directions.
	inZone := told.GetFromEntry() && told.GetProtocol() >= membership.ProtocolKeepalives && core.ZoneID(told.GetZone()) == n.Zone
	n.mu.Lock()
	reply := n.state.Build(membership.Receiver{
		ID: core.VMID(told.GetFrom()), ConfigRevision: told.GetConfigRevision(), VMsRevision: told.GetVmsRevision(),
		WantsEndpoints: told.GetJoining() || inZone, Joining: told.GetJoining(), Pool: n.wantedPool(told), Zone: core.ZoneID(told.GetZone()),
		Protocol: told.GetProtocol(), Requested: membership.RequestOf(told), Unknown: told.GetUnknown(), Now: time.Now(),
	}).Message
	n.askFor(reply, told, false)
	n.mu.Unlock()
	n.sign(reply)
	if reply.GetConfig() != nil || reply.GetVms() != nil {
		// Without compression the documents go as they are.
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	return reply, nil
}

// wantedPool returns the pool whose states an endpoint process asks for; n.mu is held.
func (n *Node) wantedPool(told *peerpb.Knowledge) core.PoolID {
	if !told.GetWantsPool() {
		return ""
	}
	return n.state.PoolOf(core.VMID(told.GetFrom()))
}

// Timeline implements peerpb.PeerServer.
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
