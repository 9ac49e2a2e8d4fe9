package faulttest

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/core"
)

// changeVersion publishes another target version for the pool.
func (c *cluster) changeVersion(version core.VersionID, size int, seed byte) {
	c.t.Helper()
	c.set.Versions = append(c.set.Versions, c.addVersion(version, size, seed))
	c.set.Pools[0].Version = version
	c.publish()
}

// expectedText returns the answer that complete weights of version give to a prompt.
func (c *cluster) expectedText(e *entryVM, version core.VersionID, prompt string, tokens int) string {
	c.t.Helper()
	var text string
	c.eventually(10*time.Second, "complete answer of "+string(version), func() bool {
		a := chat(e, prompt, tokens)
		text = a.body
		return a.complete && a.version == version
	})
	return text
}

// Guards against answers that mix two versions, and against lost requests, while a
// pool changes its version under load.
func TestAVersionChangesUnderLoadWithoutMixedAnswers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	c.addEntry("a")
	c.addEntry("a")
	for range 4 {
		c.addEngine("a", "main", "-warm")
	}
	c.deploy(c.addVersion("v1", 2<<20, 1), "a")
	c.waitServing("v1", 20*time.Second)
	for _, e := range c.entries {
		c.waitAnswering(e, "v1")
	}
	c.warmUpGates()
	report, stop := background(4, c.loadBalancer(), shortChat)
	time.Sleep(time.Second)
	c.changeVersion("v2", 2<<20, 2)
	c.waitServing("v2", 60*time.Second)
	time.Sleep(time.Second)
	stop()
	report.requireNoBrokenAnswers(t)
	report.requireAnsweredShare(t, 0.99)
	g.Expect(report.versions).To(HaveLen(2))
}

// Guards against answers of corrupt or incomplete weights when engines restart cold,
// load orders are lost and the origin sends corrupt chunks, for engines with and
// without fencing.
func TestColdEnginesLostOrdersAndCorruptChunksEndInWholeWeights(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fence-%v", checks), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t)
			c.addEntry("a")
			for range 3 {
				c.addEngine("a", "main", "-warm", "-trust-staging", "-lose-weights", "-lose-staging", fmt.Sprintf("-check-fence=%v", checks))
			}
			c.deploy(c.addVersion("v1", 4<<20, 1), "a")
			c.waitServing("v1", 20*time.Second)
			c.warmUpGates()
			text := c.expectedText(c.entries[0], "v1", "Same prompt.", 20)
			c.setFaults(c.origin, map[string]any{"corruptRate": 0.2, "seed": 3})
			report, stop := background(4, func(int) *entryVM { return c.entries[0] }, func(e *entryVM, _ int) answer {
				a := chat(e, "Same prompt.", 20)
				if a.complete && a.version == "v1" && a.body != text {
					a.problem, a.complete = "answer of different weights: "+a.body, false
				}
				return a
			})
			for _, e := range c.engines {
				c.setFaults(e.url, map[string]any{"goCold": true, "loseOrders": 1})
				time.Sleep(1500 * time.Millisecond)
			}
			c.waitServing("v1", 30*time.Second)
			c.changeVersion("v2", 4<<20, 2)
			c.waitServing("v2", 60*time.Second)
			stop()
			report.requireNoBrokenAnswers(t)
			c.expectedText(c.entries[0], "v2", "Same prompt.", 20)
			g.Expect(report.versions).To(HaveKey(core.VersionID("v2")))
		})
	}
}

// Guards against a frozen endpoint process that loads an old version after it resumes,
// though its successor has loaded a newer one.
func TestAFrozenEndpointProcessDoesNotUndoItsSuccessorsOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fence-%v", checks), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t)
			c.addEntry("a")
			e := c.addEngine("a", "main", "-warm", fmt.Sprintf("-check-fence=%v", checks))
			c.deploy(c.addVersion("v1", 1<<20, 1), "a")
			c.waitServing("v1", 20*time.Second)
			// The first process freezes just before it begins to load v2.
			c.changeVersion("v2", 1<<20, 2)
			time.Sleep(3500 * time.Millisecond)
			e.proc.freeze()
			successor := c.replaceEndpoint(e)
			c.waitServing("v2", 30*time.Second)
			c.changeVersion("v3", 1<<20, 3)
			c.waitServing("v3", 30*time.Second)
			e.proc.unfreeze()
			for range 30 {
				time.Sleep(200 * time.Millisecond)
				a := chat(c.entries[0], "After the thaw.", 3)
				g.Expect(a.problem).To(BeEmpty())
				g.Expect(a.complete && a.version == "v3" || a.outcome != "").To(BeTrue(), "%+v", a)
			}
			c.waitServing("v3", 10*time.Second)
			g.Expect(successor).NotTo(BeNil())
		})
	}
}

// replaceEndpoint starts a second endpoint process for the VM, with a listener of its
// own.
func (c *cluster) replaceEndpoint(e *endpointVM) *proc {
	c.t.Helper()
	addr := net.JoinHostPort(newIP(), fmt.Sprint(portPeer))
	for i := range c.vms {
		if c.vms[i].ID == e.vm.ID {
			c.vms[i].PeerAddr = addr
		}
	}
	var args []string
	for _, arg := range e.proc.args[1:] {
		if arg == e.vm.PeerAddr {
			arg = addr
		}
		args = append(args, arg)
	}
	p := c.start(string(e.vm.ID)+"-successor", e.proc.args[0], args...)
	c.declareVMs()
	return p
}
