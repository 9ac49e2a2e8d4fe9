package faulttest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/entry"
)

const (
	// entryMemoryMiB is the memory of the smallest machine in known deployments.
	entryMemoryMiB = 184
	// entryCrowd callers that hold a body of entry.MaxBodyBytes each exceed it.
	entryCrowd = 240
)

// Guards against callers that use up the memory of the product's own entry.
func TestACrowdDoesNotUseUpTheMachineOfAnEntry(t *testing.T) {
	const block = 64 << 10
	g := NewWithT(t)
	c := newCluster(t)
	e := c.addEntry("a")
	c.addEngine("a", "main")
	version := c.addVersion("v1", 1<<20, 1)
	c.deploy(version, "a")
	c.waitAnswering(e, "v1")
	m := &gatewayMachine{proc: e.proc, callers: e.caller}
	text := strings.Repeat("x", block)
	m.crowd(t, entryCrowd, 0, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		repeat(conn, fmt.Sprintf("%x\r\n%s\r\n", block, text), entry.MaxBodyBytes-block)
		_, _ = io.WriteString(conn, fmt.Sprintf("%x\r\n%s", block, text[1:]))
	})
	peak, resident := m.memoryMiB(t, "VmHWM"), m.memoryMiB(t, "VmRSS")
	t.Logf("peak %d MiB, resident %d MiB of %d MiB", peak, resident, entryMemoryMiB)
	g.Expect(e.proc.done).NotTo(Receive(), "the process lives")
	g.Expect(peak).To(BeNumerically("<", entryMemoryMiB))
	g.Expect(resident).To(BeNumerically("<", entryMemoryMiB))
	g.Eventually(func() bool { return chat(e, "an ordinary request", 2).complete }, usualTimeout, 100*time.Millisecond).Should(BeTrue())
}
