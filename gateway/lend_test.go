package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
)

// lendingView returns a view of one engine.
func lendingView() *fleet.View {
	view := fleet.NewView()
	view.Deployment = &catalogue.Deployment{Services: map[core.ServiceID]catalogue.Backend{"s": {Name: "s", Engine: &catalogue.EngineProfile{
		BatchSlots: 4, Step: time.Millisecond, StepsPerPass: 1, PromptTokensPerSecond: 1e6, Layers: 1,
	}}}}
	view.Endpoints["e"] = &fleet.Endpoint{
		ID: "e", Service: "s", Address: "10.0.0.1:80", Zone: "z", Region: "r", Slots: 4, Boot: 1,
		Weights: []fleet.LoadedLayers{{Model: "m", Version: 1, To: 1}},
	}
	return view
}

// lendingGateway returns the part of a gateway that places calls and lends slots, with
// one engine, and its address.
func lendingGateway(t *testing.T, granted int) (*scheduler, string) {
	t.Helper()
	g := NewWithT(t)
	view := lendingView()
	placer := placement.New(placement.Config{Zone: "z", Region: "r", VersionSwitch: time.Minute, Random: rand.New(rand.NewPCG(1, 1))})
	s := newScheduler(placer, boottime.Now)
	s.setView(view)
	s.update(func(p *placement.Placer, now boottime.Instant) {
		p.UpdateEngine(placement.EngineStatus{Address: "10.0.0.1:80", Boot: 1, Version: 1, Granted: granted, At: now})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	s.lender = newLender(RelayConfig{Listen: address, Zone: "z"}, peers.NewPool("", peers.Security{}), s, logging.Discard())
	server := peers.NewServer(peers.Security{}, logging.Discard())
	peerpb.RegisterGatewayServer(server, s.lender)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return s, address
}

func setPeers(s *scheduler, addresses ...string) {
	var members []*peerpb.FleetMember
	for _, address := range addresses {
		members = append(members, &peerpb.FleetMember{Address: address, Zone: "z", Region: "r"})
	}
	s.lender.setPeers(members)
}

func waitingCall() placement.Request {
	now := boottime.Now()
	return placement.Request{Service: "s", PromptTokens: 10, OutputTokens: 10, Deadline: now.Add(2 * time.Second)}
}

func TestACallRunsInASlotThatAnotherGatewaySpares(t *testing.T) {
	g := NewWithT(t)
	short, _ := lendingGateway(t, 0)
	long, address := lendingGateway(t, 2)
	setPeers(short, address)
	ctx := context.Background()
	// The first request opens the connection and may exceed the time-out.
	g.Eventually(func() placement.Verdict {
		ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		ticket, decision := short.place(ctx, waitingCall())
		short.ended(ticket, placement.OutcomeAnswered)
		return decision.Verdict
	}, 5*time.Second, 10*time.Millisecond).Should(Equal(placement.Place))
	g.Eventually(func() int { return lentBy(long) }, time.Second, time.Millisecond).Should(BeZero(), "it was released")
	ticket, decision := short.place(ctx, waitingCall())
	g.Expect(decision.Verdict).To(Equal(placement.Place))
	g.Expect(decision.Endpoint.ID).To(BeEquivalentTo("e"))
	g.Expect(lentBy(long)).To(Equal(1))
	short.ended(ticket, placement.OutcomeAnswered)
	g.Eventually(func() int { return lentBy(long) }, time.Second, time.Millisecond).Should(BeZero())
}

// Load pattern: a call waits at one gateway, and a slot of another becomes free a moment later.
// Guards against a call that waits beside that slot, since it asked for one on its arrival only.
func TestACallThatWaitsMissesASlotThatBecomesFreeElsewhere(t *testing.T) {
	g := NewWithT(t)
	short, _ := lendingGateway(t, 0)
	short.placer = contendedPlacer(0)
	long, address := lendingGateway(t, 1)
	setPeers(short, address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = short.run(ctx) }()
	busy, decision := long.place(ctx, waitingCall())
	g.Expect(decision.Verdict).To(Equal(placement.Place))
	placed := make(chan placement.Decision, 1)
	go func() {
		_, decision := short.place(ctx, waitingCall())
		placed <- decision
	}()
	g.Consistently(placed, 200*time.Millisecond).ShouldNot(Receive())
	long.ended(busy, placement.OutcomeAnswered)
	g.Eventually(placed, 2*time.Second).Should(Receive(HaveField("Verdict", placement.Place)))
}

// Guards against a slot that stays in use by a call whose caller left while it was requested.
func TestASlotIsBorrowedForACallerWhoHasLeft(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingGateway(t, 0)
	s.placer = contendedPlacer(0)
	left, wake := s.submit(waitingCall())
	g.Expect(wake).NotTo(BeNil())
	delete(s.waiting, left)
	s.placer.Cancel(left)
	g.Expect(s.placeWaiting(left, "e", time.Millisecond, boottime.Now().Add(time.Second), slotLease{number: 1})).To(BeNil())
	next, wake := s.submit(waitingCall())
	g.Expect(s.placeWaiting(left, "e", time.Millisecond, boottime.Now().Add(time.Second), slotLease{number: 2})).To(Equal(next))
	g.Expect(wake).To(BeClosed())
}

// contendedPlacer returns a placer of a deployment with contention, with slots of one engine.
func contendedPlacer(granted int) *placement.Placer {
	placer := placement.New(placement.Config{Zone: "z", Region: "r", VersionSwitch: time.Minute, Contention: true, Random: rand.New(rand.NewPCG(1, 1))})
	placer.SetView(boottime.Now(), lendingView())
	placer.UpdateEngine(placement.EngineStatus{Address: "10.0.0.1:80", Boot: 1, Version: 1, Granted: granted, At: boottime.Now()})
	return placer
}

func TestNoSlotIsLentThatOwnCallsNeed(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingGateway(t, 2)
	first, _ := s.place(context.Background(), waitingCall())
	second, decision := s.place(context.Background(), waitingCall())
	g.Expect(decision.Verdict).To(Equal(placement.Place))
	g.Expect(s.lend(waitingCall())).To(BeNil())
	own, wake := s.submit(waitingCall())
	g.Expect(wake).NotTo(BeNil())
	s.ended(first, placement.OutcomeAnswered)
	g.Eventually(wake).Should(BeClosed(), "the slot goes to the own call that waits")
	g.Expect(s.lend(waitingCall())).To(BeNil())
	s.ended(second, placement.OutcomeAnswered)
	g.Expect(s.lend(waitingCall())).NotTo(BeNil(), "no own call waits")
	s.ended(own, placement.OutcomeAnswered)
}

func TestALoanThatIsNotGivenBackEnds(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingGateway(t, 2)
	reply, err := s.lender.Lend(context.Background(), &peerpb.LendRequest{Service: "s", PromptTokens: 10, OutputTokens: 10})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.GetLoan()).NotTo(BeZero())
	s.now = func() boottime.Instant { return boottime.Now().Add(maxLeaseDuration + time.Second) }
	s.lender.expire()
	g.Expect(lentBy(s)).To(BeZero())
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Expect(s.placer.SlotDemand(s.now())["10.0.0.1:80"].Open).To(BeZero())
}

func TestAGatewayThatDoesNotAnswerDelaysACallLittle(t *testing.T) {
	g := NewWithT(t)
	s, _ := lendingGateway(t, 0)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer unresponsive.Close()
	setPeers(s, unresponsive.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, wake := s.submit(waitingCall())
	g.Expect(wake).NotTo(BeNil())
	ticket, _ := s.submit(waitingCall())
	g.Expect(s.lender.borrow(ctx, ticket, s.placeBorrowed)).To(BeFalse())
	g.Expect(time.Since(began)).To(BeNumerically("<", 250*time.Millisecond))
	_, available := s.lender.pick(time.Now())
	g.Expect(available).To(BeFalse(), "it is in backoff")
}

func lentBy(s *scheduler) int {
	s.lender.mu.Lock()
	defer s.lender.mu.Unlock()
	return len(s.lender.lent)
}
