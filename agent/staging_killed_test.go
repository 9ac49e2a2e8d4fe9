package agent_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/core"
)

// mortalClient is the engine client of an agent process that is killed: it starts no call
// after that, and the engine carries out those that it has received.
type mortalClient struct {
	*singleCopyEngine
	killed atomic.Bool
}

var errKilled = errors.New("process killed")

func (c *mortalClient) Report(ctx context.Context) (agent.EngineReport, error) {
	if c.killed.Load() {
		return agent.EngineReport{}, errKilled
	}
	return c.singleCopyEngine.Report(ctx)
}

func (c *mortalClient) Put(ctx context.Context, version core.VersionID, index int, data []byte) error {
	if c.killed.Load() {
		return errKilled
	}
	return c.singleCopyEngine.Put(ctx, version, index, data)
}

func (c *mortalClient) Load(ctx context.Context, order *engine.LoadOrder) (*engine.LoadReply, error) {
	if c.killed.Load() {
		return nil, errKilled
	}
	return c.singleCopyEngine.Load(ctx, order)
}

// The agent is killed while a chunk is being written, and the engine carries the write out
// after it has received the chunk of a newer version from the next agent process.
func TestAWriteOfAKilledAgentDoesNotReplaceAVerifiedChunk(t *testing.T) {
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
	e.onOrder = func(int) (time.Duration, bool, error) { return 800 * time.Millisecond, false, nil }
	former := &mortalClient{singleCopyEngine: e}
	address := startFor(t, former)
	follow(t, address, "gw", "r").declare(t, 2, address)
	g.Eventually(writing, 5*time.Second).Should(BeClosed())
	former.killed.Store(true)
	address = startAfter(t, e, fakeOrigin{}, time.Second)
	follow(t, address, "gw", "r").declare(t, 3, address)
	g.Eventually(e.serves, 15*time.Second, 10*time.Millisecond).Should(BeEquivalentTo(3))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}

// The agent is killed when it has sent an order, and the engine accepts it after the next
// agent process has been told of a newer version.
func TestNoChunkIsWrittenWhileTheEngineMayAcceptAnOrderOfAKilledAgent(t *testing.T) {
	g := NewWithT(t)
	e := newSingleCopyEngine()
	e.onOrder = func(number int) (time.Duration, bool, error) {
		if number == 1 {
			return 900 * time.Millisecond, false, nil
		}
		return 0, false, nil
	}
	former := &mortalClient{singleCopyEngine: e}
	address := startFor(t, former)
	follow(t, address, "gw", "r").declare(t, 2, address)
	g.Eventually(e.ordered, 5*time.Second, time.Millisecond).Should(Equal(1))
	former.killed.Store(true)
	address = startAfter(t, e, fakeOrigin{}, time.Second)
	follow(t, address, "gw", "r").declare(t, 3, address)
	g.Eventually(e.acceptedOrders, 15*time.Second, 10*time.Millisecond).Should(ContainElements(core.VersionID("m/2"), core.VersionID("m/3")))
	g.Expect(e.brokenLoads()).To(BeEmpty())
}
