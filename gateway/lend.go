package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
)

const (
	// lendTries is how many gateways are asked for a slot for one call.
	lendTries = 2
	// lendTimeout bounds one question: some round trips within a zone.
	lendTimeout = 25 * time.Millisecond
	// emptyTime is how long a gateway is not asked again that had nothing to lend,
	// silentTime the same for one that did not answer.
	emptyTime  = 50 * time.Millisecond
	silentTime = time.Second
	// giveBackTimeout bounds the message that ends a loan; without it the loan ends
	// by itself.
	giveBackTimeout = 500 * time.Millisecond
	// maxLoan is how long a slot is lent at the most: the longest answers take 4 s.
	maxLoan = 8 * time.Second
	// maxLoans bounds the loans of one process.
	maxLoans = 4096
)

var loans = expvar.NewMap("loans")

// loan is a slot of another gateway.
type loan struct {
	// peer is the lender's address, number the loan's name there.
	peer   string
	number uint64
}

// lender asks other gateways of the zone for slots and lends own ones.
type lender struct {
	peerpb.UnimplementedGatewayServer

	pool      *peers.Pool
	scheduler *scheduler
	log       *log.Logger
	self      string
	zone      core.ZoneID

	mu sync.Mutex
	// peers are the other gateways of the zone, with until when they are not asked.
	peers map[string]time.Time
	// lent are the slots that other gateways use.
	lent map[uint64]lentSlot
	last uint64
}

// lentSlot is an own slot that another gateway uses until it gives it back.
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

// setPeers takes the gateways that agents know.
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

// pick returns a gateway that may have slots to lend.
func (l *lender) pick(now time.Time) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var able []string
	for address, until := range l.peers {
		if !now.Before(until) {
			able = append(able, address)
		}
	}
	if len(able) == 0 {
		return "", false
	}
	return able[rand.IntN(len(able))], true
}

func (l *lender) avoid(address string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.peers[address]; known {
		l.peers[address] = time.Now().Add(wait)
	}
}

// borrow looks for a slot of another gateway for a request that has none, and
// reports whether the ticket was placed in one.
func (l *lender) borrow(ctx context.Context, ticket *placement.Ticket) bool {
	for range lendTries {
		address, ok := l.pick(time.Now())
		if !ok {
			return false
		}
		reply, err := l.ask(ctx, address, ticket.Request)
		switch {
		case err != nil:
			loans.Add("failed", 1)
			l.avoid(address, silentTime)
			l.log.Debug("A gateway did not answer.", "peer", address, "err", err)
			continue
		case reply.GetLoan() == 0:
			loans.Add("none", 1)
			l.avoid(address, emptyTime)
			continue
		}
		borrowed := loan{peer: address, number: reply.GetLoan()}
		expected := time.Duration(reply.GetExpectedMs()) * time.Millisecond
		if l.scheduler.borrowed(ticket, fleet.EndpointID(reply.GetEngine()), expected, borrowed) {
			loans.Add("borrowed", 1)
			return true
		}
		loans.Add("unused", 1)
		l.giveBack(borrowed)
		return false
	}
	return false
}

func (l *lender) ask(ctx context.Context, address string, request placement.Request) (*peerpb.LendReply, error) {
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
		conn.Progress()
	}
	return reply, err
}

// giveBack ends a loan; the lender ends it by itself when the message is lost.
func (l *lender) giveBack(borrowed loan) {
	go func() {
		conn, err := l.pool.Get(borrowed.peer)
		if err != nil {
			l.log.Debug("A slot can't be given back.", "peer", borrowed.peer, "err", err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
		defer cancel()
		callCtx, end := conn.Begin(ctx)
		defer end()
		if _, err := conn.Gateway().GiveBack(callCtx, &peerpb.GiveBackRequest{Loan: borrowed.number}); err != nil {
			l.log.Debug("A slot was not given back.", "peer", borrowed.peer, "err", err)
			return
		}
		conn.Progress()
	}()
}

// Lend implements peerpb.GatewayServer.
func (l *lender) Lend(_ context.Context, message *peerpb.LendRequest) (*peerpb.LendReply, error) {
	request := placement.Request{
		Service: core.ServiceID(message.GetService()), PromptTokens: int(message.GetPromptTokens()), OutputTokens: int(message.GetOutputTokens()),
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
	if len(l.lent) >= maxLoans {
		go l.scheduler.ended(ticket, placement.OutcomeCanceled)
		return &peerpb.LendReply{}, nil
	}
	l.last++
	l.lent[l.last] = lentSlot{ticket: ticket, until: l.scheduler.now().Add(maxLoan)}
	loans.Add("lent", 1)
	decision := ticket.Decision()
	return &peerpb.LendReply{Loan: l.last, Engine: string(decision.Endpoint.ID), ExpectedMs: uint32(decision.Expected.Milliseconds())}, nil
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

// expire ends the loans of gateways that did not give their slots back.
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
		loans.Add("expired", 1)
		l.scheduler.ended(ticket, placement.OutcomeCanceled)
	}
}
