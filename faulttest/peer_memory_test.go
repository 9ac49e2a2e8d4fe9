package faulttest

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

// The crowd of clients of a peer listener. What the clients of each case send exceeds
// machineMemoryMiB if nothing bounds what a process holds for them.
const (
	// peerMessages clients leave a message of peerMessageBytes unfinished.
	peerMessages     = 120
	peerMessageBytes = 1 << 20
	// peerSmallFrames clients send peerFrames frames of one byte each.
	peerSmallFrames = 120
	peerFrames      = 200_000
	// peerCallers clients open peerCalls calls with peerMetadataBytes of metadata each.
	peerCallers       = 40
	peerCalls         = 300
	peerMetadataBytes = 15_000
)

// Frame types and flags of HTTP/2 (RFC 9113, 6).
const (
	frameData       = 0x0
	frameHeaders    = 0x1
	frameSettings   = 0x4
	flagEndHeaders  = 0x4
	maxFramePayload = 16 << 10
)

// appendFrame appends an HTTP/2 frame.
func appendFrame(out []byte, kind, flags byte, stream uint32, payload []byte) []byte {
	out = append(out, byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)), kind, flags)
	return append(binary.BigEndian.AppendUint32(out, stream), payload...)
}

// appendField appends a header field as a literal without indexing (RFC 7541, 6.2.2).
func appendField(out []byte, name, value string) []byte {
	for _, text := range []string{name, value} {
		if text == name {
			out = append(out, 0)
		}
		if rest := len(text) - 127; rest < 0 {
			out = append(out, byte(len(text)))
		} else {
			out = append(out, 127)
			for ; rest >= 128; rest >>= 7 {
				out = append(out, byte(rest&127|128))
			}
			out = append(out, byte(rest))
		}
		out = append(out, text...)
	}
	return out
}

// callFrames returns the frames that open a call of the connection probe.
func callFrames(stream uint32, metadata string) []byte {
	var block []byte
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", peerpb.Peer_Timeline_FullMethodName}, {":authority", "h"},
		{"content-type", "application/grpc"}, {"te", "trailers"}, {"x-metadata", metadata},
	} {
		block = appendField(block, field[0], field[1])
	}
	return appendFrame(nil, frameHeaders, flagEndHeaders, stream, block)
}

// connectionPreface begins an HTTP/2 connection of a client.
func connectionPreface() []byte {
	return appendFrame([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frameSettings, 0, 0, nil)
}

// messagePrefix announces a gRPC message of size bytes.
func messagePrefix(size int) []byte {
	return binary.BigEndian.AppendUint32([]byte{0}, uint32(size))
}

// startAgent starts an agent on a machine with the limits of the tests. Its engine does not answer.
func startAgent(t *testing.T) *gatewayMachine {
	t.Helper()
	ip := newIP()
	store := fmt.Sprintf("%s:%d", ip, portPlatform)
	serveIn(t, store, serveStore(nil))
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(c.stop)
	settings := filepath.Join(c.dir, "settings.conf")
	lines := []string{
		"node=agent-1", "zone=z", "region=r", "zones.z=r", "ip=" + ip, fmt.Sprintf("port-range=%d,%d", portGatewayPeers, portGatewayPeers+9),
		fmt.Sprintf("app=%s:%d", ip, portEngine), "service=s", "platform.address=" + store,
		fmt.Sprintf("limits.memory-mb=%d", machineMemoryMiB), fmt.Sprintf("limits.max-fds=%d", machineMaxFDs), "limits.link-mbps=1000",
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	m := &gatewayMachine{callers: fmt.Sprintf("%s:%d", ip, portGatewayPeers)}
	m.proc = c.start("agent", "zsagent", "-settings-file", settings)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go m.countFDs(ended)
	return m
}

// probe reports whether the peer listener at address answers the probe of a connection.
func probe(address string) bool {
	pool := peers.NewPool("", peers.Security{})
	conn, err := pool.Get(address)
	if err != nil {
		return false
	}
	defer pool.Discard(conn)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = conn.Peer().Timeline(ctx, &peerpb.TimelineRequest{Kind: peers.ProbeKind})
	return err == nil
}

// settle waits until the peak of the process's memory has not risen for a second, while the process
// reads what it has received.
func (m *gatewayMachine) settle(t *testing.T) {
	t.Helper()
	const polls = 4
	for unchanged, peak := 0, 0; unchanged < polls; unchanged++ {
		if next := m.memoryMiB(t, "VmHWM"); next > peak {
			unchanged, peak = 0, next
		}
		time.Sleep(time.Second / polls)
	}
}

// Guards against clients of a peer listener that use up the memory or the descriptors of a
// machine: calls between processes carry no key in every deployment.
func TestACrowdOfPeersDoesNotUseUpAMachine(t *testing.T) {
	cases := []struct {
		name    string
		clients int
		send    func(conn net.Conn)
	}{
		{"messages one byte short", peerMessages, func(conn net.Conn) {
			_, _ = conn.Write(append(connectionPreface(), callFrames(1, "m")...))
			message := append(messagePrefix(peerMessageBytes), make([]byte, peerMessageBytes-1)...)
			for part := range slices.Chunk(message, maxFramePayload) {
				if _, err := conn.Write(appendFrame(nil, frameData, 0, 1, part)); err != nil {
					return
				}
			}
		}},
		{"frames of one byte", peerSmallFrames, func(conn net.Conn) {
			_, _ = conn.Write(append(connectionPreface(), callFrames(1, "m")...))
			_, _ = conn.Write(appendFrame(nil, frameData, 0, 1, messagePrefix(peerMessageBytes)))
			var frames []byte
			for range 1000 {
				frames = appendFrame(frames, frameData, 0, 1, []byte("x"))
			}
			for range peerFrames / 1000 {
				if _, err := conn.Write(frames); err != nil {
					return
				}
			}
		}},
		{"calls with large metadata left open", peerCallers, func(conn net.Conn) {
			_, _ = conn.Write(connectionPreface())
			for call := range uint32(peerCalls) {
				if _, err := conn.Write(callFrames(2*call+1, strings.Repeat("m", peerMetadataBytes))); err != nil {
					return
				}
			}
		}},
		{"connections with a call left open", crowdConnections, func(conn net.Conn) {
			_, _ = conn.Write(append(connectionPreface(), callFrames(1, "m")...))
		}},
		{"connections left open", crowdConnections, func(conn net.Conn) { _, _ = conn.Write(connectionPreface()) }},
	}
	for _, c := range cases {
		for _, process := range []string{"gateway", "agent"} {
			t.Run(process+", "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				var m *gatewayMachine
				answered := func() bool { return probe(m.callers) }
				if process == "agent" {
					m = startAgent(t)
				} else {
					m = startGateway(t)
					callers := gatewayMachine{callers: m.callers}
					host, _, _ := net.SplitHostPort(m.callers)
					m.callers = fmt.Sprintf("%s:%d", host, portGatewayPeers)
					answered = func() bool { return probe(m.callers) && callers.usual(1000) }
				}
				g.Eventually(answered, usualTimeout, 100*time.Millisecond).Should(BeTrue(), "an ordinary request before")
				before := m.memoryMiB(t, "VmHWM")
				m.crowd(t, c.clients, 0, c.send)
				m.settle(t)
				peak, resident, fds := m.memoryMiB(t, "VmHWM"), m.memoryMiB(t, "VmRSS"), m.maxFDs.Load()
				t.Logf("peak %d MiB (%d MiB before), resident %d MiB of %d MiB, %d descriptors of %d", peak, before, resident, machineMemoryMiB, fds, machineMaxFDs)
				g.Expect(m.proc.done).NotTo(Receive(), "the process lives")
				g.Expect(peak).To(BeNumerically("<", machineMemoryMiB))
				g.Expect(resident).To(BeNumerically("<", machineMemoryMiB))
				g.Expect(fds).To(BeNumerically("<=", machineMaxFDs))
				g.Eventually(answered, usualTimeout, 100*time.Millisecond).Should(BeTrue(), "an ordinary request")
			})
		}
	}
}
