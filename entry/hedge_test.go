package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/routing"
)

// fakeEndpoint answers calls with behave.
type fakeEndpoint struct {
	peerpb.UnimplementedEndpointServer
	behave func(request *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error
	mu     sync.Mutex
	calls  []*peerpb.CallRequest
	// canceled receives a value for each call canceled by the entry.
	canceled chan struct{}
}

func (f *fakeEndpoint) Call(request *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
	f.mu.Lock()
	f.calls = append(f.calls, request)
	f.mu.Unlock()
	return f.behave(request, stream)
}

func (f *fakeEndpoint) received() []*peerpb.CallRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// stall blocks until the call is canceled.
func (f *fakeEndpoint) stall(_ *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
	<-stream.Context().Done()
	f.canceled <- struct{}{}
	return stream.Context().Err()
}

// answerTwo sends two tokens and the end.
func answerTwo(_ *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
	_ = stream.Send(&peerpb.CallEvent{Head: &peerpb.CallHead{Status: 200, Version: "v1"}})
	for i := range uint32(2) {
		_ = stream.Send(&peerpb.CallEvent{Data: &peerpb.CallData{Body: []byte{'a' + byte(i)}, TokenOffset: i}})
	}
	return stream.Send(&peerpb.CallEvent{End: &peerpb.CallEnd{}})
}

func rejectOverloaded(_ *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
	refused := &peerpb.CallRefused{Outcome: uint32(core.OutcomeNotRun), Reason: string(core.ReasonOverloaded), RetryAfterMs: 1}
	return stream.Send(&peerpb.CallEvent{Refused: refused})
}

// recordingSink is a Sink that records the answer.
type recordingSink struct {
	heads int
	body  []byte
}

func (s *recordingSink) Head(*peerpb.CallHead) error { s.heads++; return nil }
func (s *recordingSink) Data(data *peerpb.CallData) error {
	s.body = append(s.body, data.GetBody()...)
	return nil
}
func (s *recordingSink) Restart() bool { s.heads, s.body = 0, nil; return true }

// hedgeFixture is an entry with two endpoints. Its picker prefers the first one.
type hedgeFixture struct {
	dispatcher    *Dispatcher
	first, second *fakeEndpoint
}

// firstPicker picks the first candidate.
type firstPicker struct{ routing.Picker }

func (firstPicker) Pick(routing.Query, []routing.Candidate) int { return 0 }

func newHedgeFixture(t *testing.T, hedging routing.HedgeConfig) *hedgeFixture {
	t.Helper()
	n := newNodeWithEndpoints(t, 0)
	fixture := &hedgeFixture{first: &fakeEndpoint{canceled: make(chan struct{}, 9)}, second: &fakeEndpoint{canceled: make(chan struct{}, 9)}}
	gossip := &peerpb.Knowledge{From: "entry-2", FromEntry: true}
	for i, f := range []*fakeEndpoint{fixture.first, fixture.second} {
		state := endpointState(i, 1)
		state.PeerAddr = serve(t, n, f)
		gossip.Endpoints = append(gossip.Endpoints, state)
	}
	if _, err := n.Exchange(t.Context(), gossip); err != nil {
		t.Fatal(err)
	}
	table := newTable(t, n)
	table.picker, table.hedging = firstPicker{table.picker}, hedging
	for range 40 {
		table.answered(modelCall(), "vm-1", time.Millisecond, &peerpb.CallEnd{})
	}
	fixture.dispatcher = NewDispatcher(n, table)
	return fixture
}

func serve(t *testing.T, n *node.Node, f *fakeEndpoint) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peers.NewServer(n.Security, logging.Discard())
	peerpb.RegisterEndpointServer(server, f)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func modelCall() *Call {
	return &Call{ID: "r", Pool: "main", Idempotent: true, Deadline: time.Now().Add(3 * time.Second)}
}

func TestTheSecondAttemptAnswersAndTheStalledOneIsCancelled(t *testing.T) {
	g := NewWithT(t)
	fixture := newHedgeFixture(t, routing.HedgeConfig{})
	fixture.first.behave, fixture.second.behave = fixture.first.stall, answerTwo
	sink := &recordingSink{}
	start := time.Now()
	g.Expect(fixture.dispatcher.Do(context.Background(), modelCall(), sink)).To(BeNil())
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	g.Expect(sink.heads).To(Equal(1))
	g.Expect(string(sink.body)).To(Equal("ab"))
	g.Eventually(fixture.first.canceled).Should(Receive())
	second := fixture.second.received()
	g.Expect(second).To(HaveLen(1))
	g.Expect(second[0].GetAttempt()).To(Equal(uint32(2)))
	g.Expect(second[0].GetVersion()).To(Equal("v1"))
	g.Expect(fixture.dispatcher.endpoints.usage["vm-0"].outstanding).To(BeZero())
	g.Expect(fixture.dispatcher.endpoints.usage["vm-0"].failedAt.IsZero()).To(BeTrue())
}

func TestARefusedSecondAttemptLeavesTheFirstAlone(t *testing.T) {
	g := NewWithT(t)
	fixture := newHedgeFixture(t, routing.HedgeConfig{})
	fixture.second.behave = rejectOverloaded
	fixture.first.behave = func(request *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
		time.Sleep(300 * time.Millisecond)
		return answerTwo(request, stream)
	}
	sink := &recordingSink{}
	g.Expect(fixture.dispatcher.Do(context.Background(), modelCall(), sink)).To(BeNil())
	g.Expect(string(sink.body)).To(Equal("ab"))
	g.Expect(fixture.second.received()).To(HaveLen(1))
	g.Expect(fixture.first.received()).To(HaveLen(1))
}

func TestARequestOfWhichOneAttemptMayHaveRunEndsAsUnknown(t *testing.T) {
	g := NewWithT(t)
	fixture := newHedgeFixture(t, routing.HedgeConfig{})
	fixture.first.behave, fixture.second.behave = fixture.first.stall, rejectOverloaded
	call := modelCall()
	call.Deadline = time.Now().Add(500 * time.Millisecond)
	refusal := fixture.dispatcher.Do(context.Background(), call, &recordingSink{})
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown))
	g.Expect(fixture.second.received()).NotTo(BeEmpty())
}

func TestNoSecondAttemptForCallsThatMayNotBeRepeatedOrWhenOff(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		hedging    routing.HedgeConfig
		idempotent bool
	}{{routing.HedgeConfig{Off: true}, true}, {routing.HedgeConfig{}, false}} {
		fixture := newHedgeFixture(t, c.hedging)
		fixture.first.behave, fixture.second.behave = fixture.first.stall, answerTwo
		call := modelCall()
		call.Idempotent = c.idempotent
		call.Deadline = time.Now().Add(300 * time.Millisecond)
		refusal := fixture.dispatcher.Do(context.Background(), call, &recordingSink{})
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(refusal.Kind).To(Equal(core.OutcomeUnknown))
		g.Expect(fixture.second.received()).To(BeEmpty())
	}
}
