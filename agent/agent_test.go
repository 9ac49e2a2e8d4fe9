package agent_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/transfer"
)

const (
	chunks     = 4
	chunkBytes = 1 << 10
	slots      = 8
)

func versionID(model string, version int64) core.VersionID {
	return core.VersionID(model + "/" + strconv.FormatInt(version, 10))
}

// fakeEngine executes load orders, each in loadTime.
type fakeEngine struct {
	*transfer.MemoryStaging
	loadTime time.Duration

	mu       sync.Mutex
	version  int64
	loading  bool
	running  int
	loadedAt time.Time
}

func (f *fakeEngine) Report(context.Context) (agent.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := agent.EngineReport{Boot: 7, Running: f.running, Loading: f.loading, Pace: 1}
	if f.version > 0 {
		report.Weights = []fleet.LoadedLayers{{Model: "m", Version: f.version, From: 0, To: 1}}
	}
	return report, nil
}

func (f *fakeEngine) SetManifest(*core.Manifest) {}

func (f *fakeEngine) Load(_ context.Context, order *engine.LoadOrder) (*engine.LoadReply, error) {
	f.mu.Lock()
	f.loading = true
	f.mu.Unlock()
	time.Sleep(f.loadTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	var version int64
	if _, err := fmt.Sscanf(string(order.Version), "m/%d", &version); err != nil {
		return nil, err
	}
	f.version, f.loading, f.loadedAt = version, false, time.Now()
	return &engine.LoadReply{Version: order.Version, Boot: 7}, nil
}

func (f *fakeEngine) setRunning(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = calls
}

// fakeOrigin serves generated chunks for any version.
type fakeOrigin struct{}

func (fakeOrigin) SetAddress(string) {}

func chunkOf(version core.VersionID, index int) []byte {
	data := make([]byte, chunkBytes)
	copy(data, fmt.Sprintf("%s %d", version, index))
	return data
}

func (fakeOrigin) Manifest(_ context.Context, version core.VersionID) (*core.Manifest, error) {
	manifest := &core.Manifest{Version: version, SizeBytes: chunks * chunkBytes, ChunkBytes: chunkBytes, Whole: core.DigestOf([]byte(version))}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, core.DigestOf(chunkOf(version, i)))
	}
	return manifest, nil
}

func (fakeOrigin) ReadRange(_ context.Context, version core.VersionID, offset int64, buf []byte, progress func(n int) error) error {
	copy(buf, chunkOf(version, int(offset/chunkBytes)))
	return progress(len(buf))
}

// start runs an agent for an engine and returns the agent's address.
func start(t *testing.T, e *fakeEngine) string {
	t.Helper()
	e.MemoryStaging = transfer.NewMemoryStaging(2)
	return startFor(t, e)
}

// engineClient is all that an agent uses of its engine.
type engineClient interface {
	agent.Engine
	agent.Staging
	agent.Loader
}

func startFor(t *testing.T, e engineClient) string {
	t.Helper()
	return startFrom(t, e, fakeOrigin{})
}

func startFrom(t *testing.T, e engineClient, origin transfer.WeightSource) string {
	t.Helper()
	return startAfter(t, e, origin, 0)
}

// startAfter runs an agent that lets calls of a former agent process settle first.
func startAfter(t *testing.T, e engineClient, origin transfer.WeightSource, settle time.Duration) string {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, port, err := net.SplitHostPort(address)
	g.Expect(err).NotTo(HaveOccurred())
	peerPort, err := strconv.Atoi(port)
	g.Expect(err).NotTo(HaveOccurred())
	a, err := agent.New(agent.Config{
		EngineAddress: address, Zone: "z", Region: "r", Listen: address, PeerPort: peerPort, SwitchTime: 2 * time.Second,
		StopTimeout: time.Second, StartSettle: settle, MetricsListen: "127.0.0.1:0", Version: versionID,
	}, e, e, e, origin, peers.NewPool("", peers.Security{}), logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})
	return address
}

// gateway follows an agent and records the statuses that it receives.
type gateway struct {
	stream grpc.BidiStreamingClient[peerpb.GatewayNews, peerpb.EngineNews]

	mu       sync.Mutex
	statuses []*peerpb.EngineNews
}

func follow(t *testing.T, address, name, region string) *gateway {
	t.Helper()
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool := peers.NewPool("", peers.Security{})
	var stream grpc.BidiStreamingClient[peerpb.GatewayNews, peerpb.EngineNews]
	g.Eventually(func() error {
		conn, err := pool.Get(address)
		if err != nil {
			return err
		}
		stream, err = conn.Agent().Follow(ctx)
		if err != nil {
			return err
		}
		return stream.Send(&peerpb.GatewayNews{Gateway: name, Region: region, Relay: &peerpb.RelayState{}})
	}, 5*time.Second, 20*time.Millisecond).Should(Succeed())
	f := &gateway{stream: stream}
	go func() {
		for {
			status, err := stream.Recv()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.statuses = append(f.statuses, status)
			f.mu.Unlock()
		}
	}()
	return f
}

func (f *gateway) declare(t *testing.T, version int64, engines ...string) {
	t.Helper()
	members := &peerpb.FleetMembers{}
	for _, address := range engines {
		members.Members = append(members.Members, &peerpb.FleetMember{Address: address, Zone: "z", Region: "r"})
	}
	NewWithT(t).Expect(f.stream.Send(&peerpb.GatewayNews{
		Fleet:   &peerpb.FleetNews{Model: "m", Version: version, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes, OriginRegion: "r", Slots: slots},
		Members: members,
	})).To(Succeed())
}

func (f *gateway) received() []*peerpb.EngineNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*peerpb.EngineNews(nil), f.statuses...)
}

func (f *gateway) last() *peerpb.EngineNews {
	received := f.received()
	if len(received) == 0 {
		return &peerpb.EngineNews{}
	}
	return received[len(received)-1]
}

func TestAnEmptyEngineGetsTheDeclaredWeightsAtOnce(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{loadTime: 20 * time.Millisecond}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 3, address)
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	for index := range chunks {
		staged, err := e.Get(context.Background(), "m/3", index)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(staged).To(Equal(chunkOf("m/3", index)))
	}
}

func TestAnEngineThatServesChangesAtItsTurnAndGatewaysAreToldBefore(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{loadTime: 300 * time.Millisecond, version: 1, running: 2}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 1, address)
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(1))
	declared := time.Now()
	gw.declare(t, 2, address)
	g.Eventually(func() uint32 { return gw.last().GetClosesInMs() }, 5*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.loadedAt.Sub(declared)).To(BeNumerically(">=", 900*time.Millisecond), "0.3 of the switch time and the load")
	g.Eventually(func() uint32 { return gw.last().GetClosesInMs() }, 5*time.Second, 5*time.Millisecond).Should(BeZero())
	closing, loading := -1, -1
	for i, status := range gw.received() {
		if closing < 0 && status.GetClosesInMs() > 0 {
			closing = i
		}
		if loading < 0 && status.GetLoading() {
			loading = i
		}
	}
	g.Expect(closing).To(BeNumerically(">=", 0))
	g.Expect(loading).To(BeNumerically(">", closing))
}

// ages returns the message that tells the age of one version.
func ages(version int64, age time.Duration) []*peerpb.DeclarationAge {
	return []*peerpb.DeclarationAge{{Model: "m", Version: version, AgeMs: uint32(age.Milliseconds())}}
}

// The gateways were suspended or cut off when the version was declared, so that they
// tell the agent of it late.
func TestAnEngineChangesByTheAgeOfTheDeclarationAndNotByItsArrival(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{loadTime: 20 * time.Millisecond, version: 1, running: 2}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 1, address)
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(1))
	arrived := time.Now()
	gw.declare(t, 2, address)
	g.Expect(gw.stream.Send(&peerpb.GatewayNews{Declarations: ages(2, 1500*time.Millisecond)})).To(Succeed())
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.loadedAt.Sub(arrived)).To(BeNumerically("<", 600*time.Millisecond), "0.3 of the switch time, from the arrival")
}

func TestAnAgentTellsEachGatewayTheLargestAgeThatItHeard(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{version: 1}
	address := start(t, e)
	prompt, late := follow(t, address, "prompt", "r"), follow(t, address, "late", "r2")
	g.Expect(late.stream.Send(&peerpb.GatewayNews{Declarations: ages(2, 0)})).To(Succeed())
	g.Expect(prompt.stream.Send(&peerpb.GatewayNews{Declarations: ages(2, 1500*time.Millisecond)})).To(Succeed())
	g.Eventually(func() []*peerpb.DeclarationAge { return late.last().GetDeclarations() }, time.Second, 10*time.Millisecond).Should(ConsistOf(
		HaveField("GetAgeMs()", BeNumerically(">=", 1500))))
}

// Gateways measure the delay of their path to the engine by it.
func TestAnAgentReturnsTheClockOfAGateway(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{version: 1}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	g.Expect(gw.stream.Send(&peerpb.GatewayNews{SentMs: 1234, Declarations: ages(2, 0)})).To(Succeed())
	g.Eventually(func() uint64 { return gw.last().GetEchoMs() }, time.Second, 10*time.Millisecond).Should(BeEquivalentTo(1234))
	first := gw.last().GetEchoHeldMs()
	g.Eventually(func() uint32 { return gw.last().GetEchoHeldMs() }, 2*time.Second, 10*time.Millisecond).Should(BeNumerically(">=", first+300))
}

func TestTheSlotsAreDividedAmongGatewaysThatFollow(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{version: 1}
	address := start(t, e)
	one, two := follow(t, address, "one", "r"), follow(t, address, "two", "r")
	one.declare(t, 1, address)
	g.Expect(one.stream.Send(&peerpb.GatewayNews{Want: &peerpb.SlotWant{Calls: 3}})).To(Succeed())
	g.Expect(two.stream.Send(&peerpb.GatewayNews{Want: &peerpb.SlotWant{Calls: 1}})).To(Succeed())
	g.Eventually(func() []uint32 { return []uint32{one.last().GetGranted(), two.last().GetGranted()} }, 5*time.Second, 10*time.Millisecond).
		Should(Equal([]uint32{6, 2}))
	g.Expect(one.stream.CloseSend()).To(Succeed())
	g.Eventually(func() uint32 { return two.last().GetGranted() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(slots))
}

func TestRelaysAreToldToGatewaysOfTheRegionAlone(t *testing.T) {
	g := NewWithT(t)
	address := start(t, &fakeEngine{version: 1})
	near, far := follow(t, address, "near", "r"), follow(t, address, "far", "elsewhere")
	relay := &peerpb.FleetMember{Address: "10.0.0.1:1", Zone: "z", Region: "r"}
	g.Expect(near.stream.Send(&peerpb.GatewayNews{Relay: &peerpb.RelayState{Member: relay}})).To(Succeed())
	relaysOf := func(f *gateway) []string {
		var addresses []string
		for _, status := range f.received() {
			for _, m := range status.GetRelays().GetMembers() {
				addresses = append(addresses, m.GetAddress())
			}
		}
		return addresses
	}
	g.Eventually(func() []string { return relaysOf(near) }, 5*time.Second, 10*time.Millisecond).Should(ContainElement(relay.GetAddress()))
	g.Consistently(func() []string { return relaysOf(far) }, 600*time.Millisecond, 50*time.Millisecond).Should(BeEmpty())
}

func TestTheLoadIsToldRarelyToOtherRegions(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{version: 1}
	address := start(t, e)
	near, far := follow(t, address, "near", "r"), follow(t, address, "far", "elsewhere")
	g.Eventually(func() int64 { return far.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(1))
	before, beforeFar := len(near.received()), len(far.received())
	for calls := range 18 {
		e.setRunning(calls + 1)
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(len(near.received()) - before).To(BeNumerically(">=", 3))
	g.Expect(len(far.received()) - beforeFar).To(BeNumerically("<=", 2))
	g.Eventually(func() uint32 { return near.last().GetRunning() }, 2*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(18))
}

// The agent has just started. The engine's weights may start no more calls soon after
// version 2, so that a switch planned by the age of version 3 leaves the engine unused.
func TestAnEngineChangesByTheAgeOfTheOldestNewerDeclaration(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{loadTime: 20 * time.Millisecond, version: 1, running: 2}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	g.Expect(gw.stream.Send(&peerpb.GatewayNews{Declarations: append(ages(2, 2*time.Second), ages(3, 0)...)})).To(Succeed())
	arrived := time.Now()
	gw.declare(t, 3, address)
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	g.Expect(e.loadedAt.Sub(arrived)).To(BeNumerically("<", 600*time.Millisecond), "the switch time since version 2 is over")
}

// A message that shows the declaration to be older must not move the switch to a later
// time.
func TestACorrectedAgeDoesNotPostponeASwitch(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{loadTime: 20 * time.Millisecond, version: 1, running: 2}
	address := start(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 1, address)
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(1))
	arrived := time.Now()
	gw.declare(t, 2, address)
	for _, after := range []time.Duration{400, 640, 880} {
		time.Sleep(time.Until(arrived.Add(after * time.Millisecond)))
		older := time.Since(arrived) * 3 / 2
		g.Expect(gw.stream.Send(&peerpb.GatewayNews{Declarations: ages(2, older)})).To(Succeed())
	}
	g.Eventually(func() int64 { return gw.last().GetVersion() }, 5*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.loadedAt.Sub(arrived)).To(BeNumerically("<", 900*time.Millisecond), "0.3 of the switch time from the arrival, and the load")
}

// Any one gateway sees fewer ends of engines than there are.
func TestRecordsOfPromptPartsReachAllGateways(t *testing.T) {
	g := NewWithT(t)
	address := startFor(t, newSingleCopyEngine())
	first, second := follow(t, address, "first", "r"), follow(t, address, "second", "r2")
	end := func(endpoint string) *peerpb.PromptPartRecord {
		return &peerpb.PromptPartRecord{Service: "s", Part: "p", Ends: []*peerpb.EngineEnd{{Endpoint: endpoint, Boot: 1, AgeMs: 10}}}
	}
	endsKnownTo := func(gw *gateway) func() map[string]bool {
		return func() map[string]bool {
			known := map[string]bool{}
			for _, status := range gw.received() {
				for _, record := range status.GetPromptParts() {
					for _, e := range record.GetEnds() {
						known[e.GetEndpoint()] = true
					}
				}
			}
			return known
		}
	}
	g.Expect(first.stream.Send(&peerpb.GatewayNews{PromptParts: []*peerpb.PromptPartRecord{end("e1")}})).To(Succeed())
	g.Expect(second.stream.Send(&peerpb.GatewayNews{PromptParts: []*peerpb.PromptPartRecord{end("e2")}})).To(Succeed())
	both := And(HaveKey("e1"), HaveKey("e2"))
	g.Eventually(endsKnownTo(first), time.Second, 10*time.Millisecond).Should(both)
	g.Eventually(endsKnownTo(second), time.Second, 10*time.Millisecond).Should(both)
	late := follow(t, address, "late", "r")
	g.Eventually(endsKnownTo(late), time.Second, 10*time.Millisecond).Should(both, "a gateway that has just started")
}

// A part that each gateway saw at one crash among hundreds of others reached no other gateway.
func TestAPartOfLongPromptsThatTwoGatewaysReportReachesAllGateways(t *testing.T) {
	g := NewWithT(t)
	address := startFor(t, newSingleCopyEngine())
	first, second := follow(t, address, "first", "r"), follow(t, address, "second", "r2")
	report := func(gw *gateway, engine string) {
		var parts []string
		for i := range 500 {
			parts = append(parts, fmt.Sprintf("%s-%d", engine, i))
		}
		ended := &peerpb.EndedParts{Service: "s", End: &peerpb.EngineEnd{Endpoint: engine, Boot: 1, AgeMs: 10}, Parts: append(parts, "p")}
		g.Expect(gw.stream.Send(&peerpb.GatewayNews{EndedParts: []*peerpb.EndedParts{ended}})).To(Succeed())
	}
	report(first, "e1")
	report(second, "e2")
	for _, gw := range []*gateway{first, second} {
		g.Eventually(func() int {
			ends := 0
			for _, status := range gw.received() {
				for _, record := range status.GetPromptParts() {
					if record.GetPart() == "p" {
						ends = max(ends, len(record.GetEnds()))
					}
				}
			}
			return ends
		}, time.Second, 10*time.Millisecond).Should(Equal(2))
	}
}
