package agent_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// excusedRot is how long before an order was accepted a staged chunk may have turned bad.
const excusedRot = 3 * time.Second

var errOrder = errors.New("order failed")

// singleCopyEngine stages one copy of a model without checking it, and loads what is staged
// at the moment at which it accepts an order. It records each accepted order for which
// that was not the complete ordered version.
type singleCopyEngine struct {
	// onOrder decides on the order with the given number, from 1 on. It returns after how
	// long the order is accepted, and the error that its sender gets at once, nil to wait
	// for the load. An order with refused set is never accepted.
	onOrder func(number int) (acceptAfter time.Duration, refused bool, err error)
	// writeTime is the duration of a write of a version's chunk. A write that its caller
	// abandons is carried out all the same.
	writeTime func(version core.VersionID, index int) time.Duration
	// listTime is how long List takes after its read.
	listTime time.Duration

	mu       sync.Mutex
	staged   map[int][]byte
	spoiltAt map[int]time.Time
	version  int64
	loading  bool
	orders   int
	accepted []core.VersionID
	broken   []string
	// superseded counts orders that were not accepted since another one had been.
	superseded int
	// chosen is the version of the last SetManifest.
	chosen core.VersionID
	// notAfter is the latest permitted time of the last order.
	notAfter boottime.Instant
}

func (e *singleCopyEngine) Report(context.Context) (agent.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := agent.EngineReport{Boot: 7, Running: 1, Loading: e.loading, Pace: 1, Orders: int64(len(e.accepted))}
	if e.version > 0 {
		report.Weights = []fleet.LoadedLayers{{Model: "m", Version: e.version, From: 0, To: 1}}
	}
	return report, nil
}

func (e *singleCopyEngine) SetManifest(manifest *core.Manifest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chosen = manifest.Version
}

func (e *singleCopyEngine) Put(ctx context.Context, version core.VersionID, index int, data []byte) error {
	done := make(chan struct{})
	apply := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged[index] = data
		delete(e.spoiltAt, index)
		close(done)
	}
	took := time.Duration(0)
	if e.writeTime != nil {
		took = e.writeTime(version, index)
	}
	time.AfterFunc(took, apply)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *singleCopyEngine) Get(_ context.Context, _ core.VersionID, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.staged[index]
	if !ok {
		return nil, transfer.ErrNotStaged
	}
	return data, nil
}

func (e *singleCopyEngine) List(_ context.Context, version core.VersionID) ([]int, error) {
	indices := e.list(version)
	time.Sleep(e.listTime)
	return indices, nil
}

func (e *singleCopyEngine) list(version core.VersionID) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var indices []int
	for index, data := range e.staged {
		if bytes.Equal(data, chunkOf(version, index)) {
			indices = append(indices, index)
		}
	}
	return indices
}

func (e *singleCopyEngine) Drop(context.Context, core.VersionID) error { return nil }

func (e *singleCopyEngine) Load(ctx context.Context, order *engine.LoadOrder) (*engine.LoadReply, error) {
	e.mu.Lock()
	e.orders++
	number := e.orders
	e.notAfter = order.NotAfter
	e.mu.Unlock()
	var acceptAfter time.Duration
	var refused bool
	var err error
	if e.onOrder != nil {
		acceptAfter, refused, err = e.onOrder(number)
	}
	served := make(chan struct{})
	if !refused {
		time.AfterFunc(acceptAfter, func() { e.accept(order, served) })
	}
	if err != nil {
		return nil, err
	}
	select {
	case <-served:
		return &engine.LoadReply{Version: order.Version, Boot: 7}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// accept takes what is staged and serves it after a while. It does nothing if the engine
// has accepted another order since its sender saw the number of orders.
func (e *singleCopyEngine) accept(order *engine.LoadOrder, served chan<- struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := order.Version
	if order.EngineOrders != int64(len(e.accepted)) {
		e.superseded++
		return
	}
	e.accepted = append(e.accepted, version)
	for index := range chunks {
		excused := !e.spoiltAt[index].IsZero() && time.Since(e.spoiltAt[index]) <= excusedRot
		if !bytes.Equal(e.staged[index], chunkOf(version, index)) && !excused {
			e.broken = append(e.broken, fmt.Sprintf("%s accepted with chunk %d holding %q", version, index, bytes.TrimRight(e.staged[index], "\x00")))
		}
	}
	e.loading = true
	time.AfterFunc(50*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = false
		if _, err := fmt.Sscanf(string(version), "m/%d", &e.version); err != nil {
			panic(err)
		}
		close(served)
	})
}

// spoil makes a staged chunk bad.
func (e *singleCopyEngine) spoil(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = []byte("bad")
	e.spoiltAt[index] = time.Now()
}

func (e *singleCopyEngine) serves() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *singleCopyEngine) ordered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func (e *singleCopyEngine) acceptedOrders() []core.VersionID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]core.VersionID(nil), e.accepted...)
}

func (e *singleCopyEngine) brokenLoads() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.broken...)
}

func newSingleCopyEngine() *singleCopyEngine {
	return &singleCopyEngine{staged: map[int][]byte{}, spoiltAt: map[int]time.Time{}}
}

// The engine refuses orders for a while, and a chunk turns bad meanwhile.
func TestARefusedOrderIsNotRepeatedOnChunksThatTurnedBad(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	until := time.Time{}
	var once sync.Once
	e.onOrder = func(int) (time.Duration, bool, error) {
		once.Do(func() { until = time.Now().Add(excusedRot + 500*time.Millisecond); e.spoil(2) })
		if time.Now().Before(until) {
			return 0, true, errOrder
		}
		return 0, false, nil
	}
	address := startFor(t, e)
	follow(t, address, "gw", "r").declare(t, 2, address)
	g.Eventually(e.serves, 10*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

func TestAnOrderExpiresWithItsVerification(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.listTime = 300 * time.Millisecond
	address := startFor(t, e)
	began := boottime.Now()
	follow(t, address, "gw", "r").declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	e.mu.Lock()
	defer e.mu.Unlock()
	g.Expect(e.notAfter).To(And(BeNumerically(">", began), BeNumerically("<=", boottime.Now().Add(excusedRot-time.Second-e.listTime))))
}

// A newer version is declared while the order waits for a connection.
func TestNoChunkIsWrittenBeforeTheEngineHasAcceptedAnOrder(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.onOrder = func(number int) (time.Duration, bool, error) {
		if number == 1 {
			return time.Second, false, nil
		}
		return 0, false, nil
	}
	address := startFor(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	gw.declare(t, 3, address)
	g.Eventually(e.serves, 10*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// An agent that stages another version meanwhile waits for its own gate.
func TestNoOtherVersionIsChosenBeforeTheEngineHasAcceptedAnOrder(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.onOrder = func(int) (time.Duration, bool, error) { return time.Second, false, nil }
	address := startFor(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	chosen := func() core.VersionID { e.mu.Lock(); defer e.mu.Unlock(); return e.chosen }
	gw.declare(t, 3, address)
	g.Consistently(chosen, 700*time.Millisecond, 10*time.Millisecond).Should(Equal(core.VersionID("m/2")))
	g.Eventually(chosen, 5*time.Second, 10*time.Millisecond).Should(Equal(core.VersionID("m/3")))
}

// The answer to the order is lost, the engine accepts it a little later, and a newer version
// is declared meanwhile.
func TestNoChunkIsWrittenWhileTheFateOfAnOrderIsUnknown(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.onOrder = func(number int) (time.Duration, bool, error) {
		if number == 1 {
			return 600 * time.Millisecond, false, errOrder
		}
		return 0, false, nil
	}
	address := startFor(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	gw.declare(t, 3, address)
	g.Eventually(e.acceptedOrders, 10*time.Second, 10*time.Millisecond).Should(ContainElements(core.VersionID("m/2"), core.VersionID("m/3")))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// A version is abandoned for a newer one while one of its chunks is being written, and the
// engine carries the write out after it has received the newer chunk.
func TestAnAbandonedWriteDoesNotReplaceAVerifiedChunk(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	writing := make(chan struct{})
	var once sync.Once
	e.writeTime = func(version core.VersionID, index int) time.Duration {
		if version != "m/2" || index != 1 {
			return 0
		}
		once.Do(func() { close(writing) })
		return 700 * time.Millisecond
	}
	// An engine with much to do takes a while to accept an order.
	e.onOrder = func(int) (time.Duration, bool, error) { return 800 * time.Millisecond, false, nil }
	address := startFor(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 2, address)
	g.Eventually(writing, 5*time.Second).Should(BeClosed())
	gw.declare(t, 3, address)
	g.Eventually(e.serves, 15*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// incompleteOrigin serves manifests without their last chunk, a number of times.
type incompleteOrigin struct {
	fakeOrigin
	remaining atomic.Int32
}

func (o *incompleteOrigin) Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error) {
	manifest, err := o.fakeOrigin.Manifest(ctx, version)
	if o.remaining.Add(-1) >= 0 {
		manifest.Chunks = manifest.Chunks[:chunks-1]
		manifest.SizeBytes -= chunkBytes
	}
	return manifest, err
}

func TestWeightsWithFewerChunksThanDeclaredAreNotLoaded(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	origin := &incompleteOrigin{}
	origin.remaining.Store(2)
	address := startFrom(t, e, origin)
	follow(t, address, "gw", "r").declare(t, 2, address)
	g.Eventually(e.serves, 10*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// slowOrigin answers requests for manifests after those of gateways have arrived.
type slowOrigin struct{ fakeOrigin }

func (o slowOrigin) Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error) {
	time.Sleep(300 * time.Millisecond)
	return o.fakeOrigin.Manifest(ctx, version)
}

func TestAnIncompleteManifestOfAGatewayIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	address := startFrom(t, e, slowOrigin{})
	gw := follow(t, address, "gw", "r")
	origin := &incompleteOrigin{}
	origin.remaining.Store(1)
	manifest, err := origin.Manifest(context.Background(), "m/2")
	g.Expect(err).NotTo(HaveOccurred())
	gw.declare(t, 2, address)
	g.Expect(gw.stream.Send(&peerpb.GatewayNews{Manifest: &peerpb.DeclaredManifest{
		Version: "m/2", Whole: manifest.Whole[:], Manifest: transfer.EncodeManifest(manifest),
	}})).To(Succeed())
	g.Eventually(e.serves, 10*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(2))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// The engine begins to handle an order whose answer was lost only when it has accepted
// an order for a newer version.
func TestALostOrderIsNotAcceptedAfterANewerOne(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.onOrder = func(number int) (time.Duration, bool, error) {
		if number == 1 {
			return 3 * time.Second, false, errOrder
		}
		return 0, false, nil
	}
	address := startFor(t, e)
	gw := follow(t, address, "gw", "r")
	gw.declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	gw.declare(t, 3, address)
	g.Eventually(e.serves, 10*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	g.Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return e.superseded + len(e.broken) }, 5*time.Second, 10*time.Millisecond).Should(BeNumerically(">=", 1))
	g.Expect(e.brokenLoads()).To(BeEmpty())
	g.Expect(e.serves()).To(BeEquivalentTo(3))
}
