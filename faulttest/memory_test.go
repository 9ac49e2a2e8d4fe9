package faulttest

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The machine of the gateway under test and its crowd of callers. The limits are lower than those
// of real machines, so that a small crowd exceeds them if nothing bounds what it may hold.
const (
	machineMemoryMiB = 96
	machineMaxFDs    = 500
	// machineBodyBytes is the declared max-body-bytes.
	machineBodyBytes = 1 << 20
	// crowdCallers callers that hold a body of machineBodyBytes each exceed the machine's memory,
	// and crowdConnections connections its descriptors.
	crowdCallers     = 120
	crowdConnections = 700
	// crowdAnswers answers of crowdAnswerBytes exceed the machine's memory although the kernel
	// takes the first 2.5 MiB of each.
	crowdAnswers     = 40
	crowdAnswerBytes = 6 << 20
	// crowdTime bounds how long a caller of the crowd sends, so that a test stays short.
	crowdTime = 3 * time.Second
	// usualTimeout bounds the wait for the ordinary request to be answered. Rejections until
	// then are allowed.
	usualTimeout = 30 * time.Second
)

// Ports of the gateway under test.
const (
	portGatewayCaller = 7810
	portGatewayReady  = 7811
	portGatewayPeers  = 7820
)

// gatewayMachine is a gateway with a store and an endpoint in the test's own process.
type gatewayMachine struct {
	proc    *proc
	callers string
	// maxFDs is the largest number of descriptors that was seen open.
	maxFDs atomic.Int64
}

// serveStore answers the reads of a store with fixed content.
func serveStore(items map[string]string) http.HandlerFunc {
	const revision = 100
	var encoded []map[string]any
	for key, value := range items {
		encoded = append(encoded, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(value)), "revision": revision, "created": revision})
	}
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		page := map[string]any{"store-revision": revision}
		switch {
		case strings.HasSuffix(r.URL.Path, "range"):
			page["items"] = encoded
		case strings.HasSuffix(r.URL.Path, "watch"):
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
			page["events"] = []any{}
		}
		_ = json.NewEncoder(w).Encode(page)
	}
}

// serveEndpoint answers with the number of received bytes, and on the path /large with
// crowdAnswerBytes.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	if r.URL.Path == "/large" {
		w.Header().Set("Content-Length", strconv.Itoa(crowdAnswerBytes))
		_, _ = w.Write(make([]byte, crowdAnswerBytes))
		return
	}
	fmt.Fprint(w, n)
}

func serveIn(t *testing.T, address string, handler http.HandlerFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// startGateway starts a gateway on a machine with the limits of the tests.
func startGateway(t *testing.T) *gatewayMachine {
	t.Helper()
	return startGatewayOn(t, machineMemoryMiB, machineBodyBytes)
}

// startGatewayOn starts a gateway with the given memory and declared max-body-bytes.
func startGatewayOn(t *testing.T, memoryMiB, maxBodyBytes int) *gatewayMachine {
	t.Helper()
	ip := newIP()
	store, endpoint := fmt.Sprintf("%s:%d", ip, portPlatform), fmt.Sprintf("%s:%d", ip, portService)
	serveIn(t, endpoint, serveEndpoint)
	serveIn(t, store, serveStore(map[string]string{
		"op/config": fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","timeout-ms":8000,"goal-ms":400,
			"service":"s","max-attempts":2,"anonymous":true}],"services":[{"name":"s","max-conns":200}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, maxBodyBytes),
		"servers/e": fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":100,"state":"ready"}`, endpoint),
	}))
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(c.stop)
	m := &gatewayMachine{callers: fmt.Sprintf("%s:%d", ip, portGatewayCaller)}
	ready := fmt.Sprintf("%s:%d", ip, portGatewayReady)
	settings := filepath.Join(c.dir, "settings.conf")
	lines := []string{
		"node=gateway-1", "zone=z", "region=r", "zones.z=r", "ip=" + ip, fmt.Sprintf("port-range=%d,%d", portGatewayPeers, portGatewayPeers+9),
		"listen.front=" + m.callers, "listen.ready=" + ready, "platform.address=" + store,
		fmt.Sprintf("limits.memory-mb=%d", memoryMiB), fmt.Sprintf("limits.max-fds=%d", machineMaxFDs), "limits.link-mbps=1000",
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	m.proc = c.start("gateway", "zsgateway", "-settings-file", settings)
	c.waitHTTP("http://" + ready + "/")
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go m.countFDs(ended)
	return m
}

// countFDs samples the number of open descriptors until ended is closed.
func (m *gatewayMachine) countFDs(ended <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/fd", m.proc.cmd.Process.Pid)
	for {
		if entries, err := os.ReadDir(path); err == nil {
			m.maxFDs.Store(max(m.maxFDs.Load(), int64(len(entries))))
		}
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// memoryMiB returns a field of the process's status in MiB.
func (m *gatewayMachine) memoryMiB(t *testing.T, field string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.proc.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib >> 10
		}
	}
	t.Fatalf("no %s in the status of a process that has ended", field)
	return 0
}

// head returns the head of a request with the given framing header.
func head(framing string) string {
	return "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Timeout-Ms: 60000\r\n" + framing + "\r\n\r\n"
}

const chunked = "Transfer-Encoding: chunked"

// crowd lets many callers send at once. Their connections stay open until the test ends.
func (m *gatewayMachine) crowd(t *testing.T, callers int, pause time.Duration, send func(conn net.Conn)) {
	t.Helper()
	var sending sync.WaitGroup
	dialer := net.Dialer{Timeout: crowdTime, Control: smallReceiveBuffer}
	for range callers {
		conn, err := dialer.Dial("tcp", m.callers)
		if err != nil {
			continue // refused
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTime))
		sending.Go(func() { send(conn) })
		time.Sleep(pause)
	}
	sending.Wait()
	time.Sleep(500 * time.Millisecond) // the gateway reads what it has received
}

// smallReceiveBuffer makes a caller that doesn't read take little from the gateway.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// usual sends an ordinary request with a body of size bytes and reports whether it was answered.
func (m *gatewayMachine) usual(size int) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.callers+"/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return false
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", "usual")
	request.Header.Set("X-Timeout-Ms", "5000")
	response, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == strconv.Itoa(size)
}

// repeat writes text until it has written total bytes or the connection fails.
func repeat(conn net.Conn, text string, total int) {
	for sent := 0; sent < total; sent += len(text) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// Guards against bounds that reject a single call inside the limits of the declaration, on the
// smallest machine of known deployments.
func TestTheLargestBodyIsServedOnASmallMachine(t *testing.T) {
	const (
		smallMachineMiB = 184
		largestBody     = 4 << 20
	)
	g := NewWithT(t)
	m := startGatewayOn(t, smallMachineMiB, largestBody)
	for range 20 {
		g.Eventually(func() bool { return m.usual(largestBody) }, usualTimeout, 100*time.Millisecond).Should(BeTrue())
	}
	g.Expect(m.memoryMiB(t, "VmHWM")).To(BeNumerically("<", smallMachineMiB))
}

// Guards against callers that use up the memory or the descriptors of a gateway's machine, after
// which the process is killed or serves nobody.
func TestACrowdDoesNotUseUpTheMachineOfAGateway(t *testing.T) {
	const block = 64 << 10
	largeChunk := fmt.Sprintf("%x\r\n%s\r\n", block, strings.Repeat("x", block))
	smallChunks := strings.Repeat("1\r\nx\r\n", 1000)
	text := strings.Repeat("x", block)
	cases := []struct {
		name    string
		callers int
		pause   time.Duration
		send    func(conn net.Conn)
	}{
		{"large chunks, ends missing", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked))
			repeat(conn, largeChunk, machineBodyBytes-block)
			_, _ = io.WriteString(conn, fmt.Sprintf("%x\r\n%s", block, text[1:]))
		}},
		{"one-byte chunks, ends missing", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked))
			repeat(conn, smallChunks, 256<<10)
		}},
		{"one byte short of the announced length", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(fmt.Sprint("Content-Length: ", machineBodyBytes)))
			repeat(conn, text, machineBodyBytes-block)
			_, _ = io.WriteString(conn, text[1:])
		}},
		{"announced lengths far over the limit", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head("Content-Length: 10000000000"))
			repeat(conn, text, machineBodyBytes-block)
		}},
		{"sent lengths far over the limit", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked))
			repeat(conn, largeChunk, 8*machineBodyBytes)
		}},
		{"chunk extensions without end", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked)+"1;")
			repeat(conn, text, machineBodyBytes)
		}},
		{"small chunks with extensions", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked))
			repeat(conn, "1;"+text[:1000]+"\r\nx\r\n", machineBodyBytes)
		}},
		{"trailers without end", crowdCallers, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, head(chunked)+"0\r\n")
			repeat(conn, "X-Trailer: "+text[:1000]+"\r\n", machineBodyBytes)
		}},
		{"slow heads", crowdConnections, 0, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\n")
			for range 20 {
				if _, err := io.WriteString(conn, "X-Part: "+text[:2000]+"\r\n"); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"connections left open", crowdConnections, 0, func(net.Conn) {}},
		{"answers not read", crowdAnswers, 50 * time.Millisecond, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nX-Timeout-Ms: 8000\r\n\r\n")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := startGateway(t)
			g.Eventually(func() bool { return m.usual(machineBodyBytes) }, usualTimeout, 100*time.Millisecond).Should(BeTrue(), "the largest request, alone")
			before := m.memoryMiB(t, "VmHWM")
			m.crowd(t, c.callers, c.pause, c.send)
			peak, resident, fds := m.memoryMiB(t, "VmHWM"), m.memoryMiB(t, "VmRSS"), m.maxFDs.Load()
			t.Logf("peak %d MiB (%d MiB before), resident %d MiB of %d MiB, %d descriptors of %d", peak, before, resident, machineMemoryMiB, fds, machineMaxFDs)
			g.Expect(m.proc.done).NotTo(Receive(), "the process lives")
			g.Expect(peak).To(BeNumerically("<", machineMemoryMiB))
			g.Expect(resident).To(BeNumerically("<", machineMemoryMiB))
			g.Expect(fds).To(BeNumerically("<=", machineMaxFDs))
			g.Eventually(func() bool { return m.usual(1000) }, usualTimeout, 100*time.Millisecond).Should(BeTrue(), "an ordinary request")
		})
	}
}
