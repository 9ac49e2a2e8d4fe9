package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/slotshare"
)

const (
	// maxLendAttempts is how many gateways are asked for a slot for one call.
	maxLendAttempts = 2
	// lendTimeout bounds one request for a slot: a few round trips within a zone.
	lendTimeout = 25 * time.Millisecond
	// emptyBackoff is how long a gateway that had no slot to lend is skipped,
	// unresponsiveBackoff how long one is skipped that did not answer.
	emptyBackoff        = 50 * time.Millisecond
	unresponsiveBackoff = time.Second
	// releaseTimeout bounds the request that releases a slot lease. Without it the lease
	// expires.
	releaseTimeout = 500 * time.Millisecond
	// maxLeaseDuration bounds a slot lease. The longest answers take 4 s.
	maxLeaseDuration = 8 * time.Second
	// maxLeases bounds the slot leases granted by one process.
	maxLeases = 4096
)

var leaseCounts = expvar.NewMap("loans")

// slotLease is a slot borrowed from another gateway.
type slotLease struct {
	// peer is the lender's address, number identifies the lease there.
	peer   string
	number uint64
}

// lender borrows slots from other gateways of the zone and lends own ones.
type lender struct {
	peerpb.UnimplementedGatewayServer

	pool      *peers.Pool
	scheduler *scheduler
	log       *log.Logger
	self      string
	zone      core.ZoneID
	// ranked is set where calls compete by rank.
	ranked bool

	mu sync.Mutex
	// peers are the other gateways of the zone, with the time until which each is
	// skipped.
	peers map[string]time.Time
	// lent are the own slots used by other gateways.
	lent map[uint64]lentSlot
	last uint64
}

// lentSlot is an own slot that another gateway uses until it releases it or the lease
// expires.
type lentSlot struct {
	ticket *placement.Ticket
	until  boottime.Instant
}

func newLender(config RelayConfig, pool *peers.Pool, scheduler *scheduler, logger *log.Logger) *lender {
	return &lender{
		pool: pool, scheduler: scheduler, log: logger.WithPrefix("loans"), self: config.Listen, zone: config.Zone,
		peers: map[string]time.Time{}, lent: map[uint64]lentSlot{},
	}
}

// setPeers replaces the peers by the members in this zone other than this process.
func (l *lender) setPeers(members []*peerpb.FleetMember) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[string]time.Time{}
	for _, m := range members {
		if m.GetAddress() != l.self && m.GetZone() == string(l.zone) {
			next[m.GetAddress()] = l.peers[m.GetAddress()]
		}
	}
	l.peers = next
}

// pick returns a random gateway that may have slots to lend.
func (l *lender) pick(now time.Time) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var available []string
	for address, until := range l.peers {
		if !now.Before(until) {
			available = append(available, address)
		}
	}
	if len(available) == 0 {
		return "", false
	}
	return available[rand.IntN(len(available))], true
}

func (l *lender) avoid(address string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.peers[address]; known {
		l.peers[address] = time.Now().Add(wait)
	}
}

// placeFunc places a ticket, or one that goes before it, in a borrowed slot. It returns the
// ticket that was placed, nil if none was.
type placeFunc func(ticket *placement.Ticket, id fleet.EndpointID, expected time.Duration, sendBy boottime.Instant, from slotLease) *placement.Ticket

// borrow asks other gateways for a slot and reports whether the ticket was placed in
// one.
func (l *lender) borrow(ctx context.Context, ticket *placement.Ticket, place placeFunc) bool {
	for range maxLendAttempts {
		address, ok := l.pick(time.Now())
		if !ok {
			return false
		}
		requestedAt := l.scheduler.now()
		reply, err := l.requestSlot(ctx, address, ticket.Request)
		switch {
		case err != nil && ctx.Err() != nil:
			return false // the caller has left, which tells nothing about the other gateway
		case err != nil:
			leaseCounts.Add("failed", 1)
			l.avoid(address, unresponsiveBackoff)
			l.log.Debug("No answer to a slot request; trying another gateway.", "peer", address, "err", err)
			continue
		case reply.GetLoan() == 0:
			leaseCounts.Add("none", 1)
			l.avoid(address, emptyBackoff)
			continue
		}
		borrowed := slotLease{peer: address, number: reply.GetLoan()}
		expected := time.Duration(reply.GetExpectedMs()) * time.Millisecond
		sendBy := requestedAt.Add(time.Duration(reply.GetStartWithinMs()) * time.Millisecond)
		if reply.GetStartWithinMs() > 0 {
			if placed := place(ticket, fleet.EndpointID(reply.GetEngine()), expected, sendBy, borrowed); placed != nil {
				leaseCounts.Add("borrowed", 1)
				return placed == ticket
			}
		}
		leaseCounts.Add("unused", 1)
		l.release(borrowed)
		return false
	}
	return false
}

func (l *lender) requestSlot(ctx context.Context, address string, request placement.Request) (*peerpb.LendReply, error) {
	conn, err := l.pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	callCtx, end := conn.Begin(ctx)
	defer end()
	message := &peerpb.LendRequest{
		Service: string(request.Service), PromptTokens: uint32(request.PromptTokens), OutputTokens: uint32(request.OutputTokens),
	}
	if l.ranked {
		message.Rank = proto.Uint32(uint32(slotshare.Rank(request.Priority)))
	}
	for _, homes := range request.Homes {
		regions := &peerpb.Regions{}
		for _, region := range homes {
			regions.Names = append(regions.Names, string(region))
		}
		message.Homes = append(message.Homes, regions)
	}
	for _, id := range request.Tried {
		message.Tried = append(message.Tried, string(id))
	}
	reply, err := conn.Gateway().Lend(callCtx, message)
	if err == nil {
		conn.RecordProgress()
	}
	return reply, err
}

// release ends a slot lease. If the message is lost, the lease expires at the lender.
func (l *lender) release(borrowed slotLease) {
	go func() {
		conn, err := l.pool.Get(borrowed.peer)
		if err != nil {
			l.log.Debug("Cannot connect to release a slot; its lease will expire.", "peer", borrowed.peer, "err", err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		callCtx, end := conn.Begin(ctx)
		defer end()
		if _, err := conn.Gateway().GiveBack(callCtx, &peerpb.GiveBackRequest{Loan: borrowed.number}); err != nil {
			l.log.Debug("Releasing a slot failed; its lease will expire.", "peer", borrowed.peer, "err", err)
			return
		}
		conn.RecordProgress()
	}()
}

// Lend implements peerpb.GatewayServer.
func (l *lender) Lend(_ context.Context, message *peerpb.LendRequest) (*peerpb.LendReply, error) {
	request := placement.Request{
		Service: core.ServiceID(message.GetService()), PromptTokens: int(message.GetPromptTokens()), OutputTokens: int(message.GetOutputTokens()),
		Priority: slotshare.Ranks, // behind calls of all ranks, unless the message has one
	}
	if message.Rank != nil {
		request.Priority = slotshare.Rank(int(message.GetRank()))
	}
	for _, homes := range message.GetHomes() {
		var regions []core.RegionID
		for _, name := range homes.GetNames() {
			regions = append(regions, core.RegionID(name))
		}
		request.Homes = append(request.Homes, regions)
	}
	for _, id := range message.GetTried() {
		request.Tried = append(request.Tried, fleet.EndpointID(id))
	}
	ticket := l.scheduler.lend(request)
	if ticket == nil {
		return &peerpb.LendReply{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lent) >= maxLeases {
		go l.scheduler.ended(ticket, placement.OutcomeCanceled)
		return &peerpb.LendReply{}, nil
	}
	l.last++
	l.lent[l.last] = lentSlot{ticket: ticket, until: l.scheduler.now().Add(maxLeaseDuration)}
	leaseCounts.Add("lent", 1)
	decision := ticket.Decision()
	return &peerpb.LendReply{
		Loan: l.last, Engine: string(decision.Endpoint.ID), ExpectedMs: uint32(decision.Expected.Milliseconds()),
		StartWithinMs: uint32(decision.SendWithin.Milliseconds()),
	}, nil
}

// GiveBack implements peerpb.GatewayServer.
func (l *lender) GiveBack(_ context.Context, message *peerpb.GiveBackRequest) (*peerpb.GiveBackReply, error) {
	l.mu.Lock()
	slot, lent := l.lent[message.GetLoan()]
	delete(l.lent, message.GetLoan())
	l.mu.Unlock()
	if lent {
		l.scheduler.ended(slot.ticket, placement.OutcomeCanceled)
	}
	return &peerpb.GiveBackReply{}, nil
}

// expire ends the leases of gateways that did not release their slots in time.
func (l *lender) expire() {
	now := l.scheduler.now()
	var expired []*placement.Ticket
	l.mu.Lock()
	for number, slot := range l.lent {
		if now.Before(slot.until) {
			continue
		}
		expired = append(expired, slot.ticket)
		delete(l.lent, number)
	}
	l.mu.Unlock()
	for _, ticket := range expired {
		leaseCounts.Add("expired", 1)
		l.scheduler.ended(ticket, placement.OutcomeCanceled)
	}
}
