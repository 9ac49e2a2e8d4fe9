package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/authority"
)

// binDir is the directory with the program binaries, which TestMain builds once.
var binDir string

// programs lists the packages of the programs that the tests run.
var programs = []string{
	"../cmd/zsentry", "../cmd/zsendpoint", "../cmd/zsgateway", "../cmd/zsagent",
	"../cmd/standin-platform", "../cmd/standin-origin", "../cmd/standin-engine", "../cmd/standin-service",
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		panic(err)
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("FAULTTEST_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, programs...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// ipCount is the number of loopback addresses handed out; each VM of each test has
// its own.
var ipCount atomic.Uint32

func newIP() string {
	n := ipCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, n/250, 1+n%250)
}

// Ports of the processes, the same on every address.
const (
	portPlatform = 7100
	portOrigin   = 7200
	portEngine   = 7300
	portService  = 7400
	portPeer     = 7500
	portCaller   = 7600
	portOperator = 7700
)

// peerKey is the peer key shared by the processes of a test deployment.
const peerKey = "a-peer-key-for-tests-only"

// operatorKey is the name and key of the operator in the tests.
const operatorKey = "tests:a-key-for-tests-only"

// cluster is the deployment of one test.
type cluster struct {
	t        *testing.T
	dir      string
	procs    []*proc
	platform string
	origin   string
	vms      []core.VM
	entries  []*entryVM
	engines  []*endpointVM
	services []*endpointVM
	set      catalogue.Set
	// relayed places a relay in front of every peer listener, and for each
	// availability zone one in front of the platform and one in front of the origin.
	relayed     bool
	peerRelays  map[core.VMID]*relay
	zoneRelays  map[core.ZoneID][]*relay
	platformFor map[core.ZoneID]string
	originFor   map[core.ZoneID]string
	// authority signs the certificates of all processes; nil disables TLS.
	authority *authority.Authority
	// operatorClient calls the operator listeners over TLS; nil selects plain HTTP.
	operatorClient *http.Client
	// certDirs maps an IP address to the directory with its certificate.
	certDirs map[string]string
	// zoneOf maps the IP address of each VM to its zone.
	zoneOf map[string]core.ZoneID
}

// entryVM is one entry VM.
type entryVM struct {
	vm       core.VM
	proc     *proc
	caller   string
	operator string
}

// endpointVM is one endpoint VM with its back end: a model engine or a plain
// service.
type endpointVM struct {
	vm      core.VM
	proc    *proc
	backend *proc
	url     string
}

var client = &http.Client{Timeout: 20 * time.Second}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), peerRelays: map[core.VMID]*relay{}, zoneRelays: map[core.ZoneID][]*relay{},
		certDirs: map[string]string{}, platformFor: map[core.ZoneID]string{}, originFor: map[core.ZoneID]string{}, zoneOf: map[string]core.ZoneID{},
	}
	t.Cleanup(c.stop)
	ip := newIP()
	c.platform = fmt.Sprintf("http://%s:%d", ip, portPlatform)
	c.origin = fmt.Sprintf("http://%s:%d", ip, portOrigin)
	c.start("platform", "standin-platform", "-listen", c.platform[7:], "-list-lag", "100ms")
	c.start("origin", "standin-origin", "-listen", c.origin[7:], "-rate", fmt.Sprint(256<<20))
	c.waitHTTP(c.platform + "/admin/stats")
	c.waitHTTP(c.origin + "/admin/stats")
	return c
}

func (c *cluster) stop() {
	for _, p := range c.procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.procs {
		<-p.done
	}
	for _, r := range c.peerRelays {
		r.close()
	}
	for _, relays := range c.zoneRelays {
		for _, r := range relays {
			r.close()
		}
	}
	c.checkLogs()
}

// checkLogs fails the test if a process reported a data race or a panic. If
// FAULTTEST_LOGS is set, it prints all logs of a failed test.
func (c *cluster) checkLogs() {
	logs, _ := filepath.Glob(c.dir + "/*.log")
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("panic: ")) {
			c.t.Errorf("%s reports a data race or a panic:\n%s", filepath.Base(path), text)
		} else if c.t.Failed() && os.Getenv("FAULTTEST_LOGS") != "" {
			c.t.Logf("== %s\n%s", filepath.Base(path), text)
		}
	}
}

// seeds returns the peer addresses of all entries, separated by commas.
func (c *cluster) seeds() string {
	var addrs []string
	for _, e := range c.entries {
		addrs = append(addrs, e.vm.PeerAddr)
	}
	return strings.Join(addrs, ",")
}

// addEntry starts an entry VM.
func (c *cluster) addEntry(zone core.ZoneID, extra ...string) *entryVM {
	ip := newIP()
	e := &entryVM{
		vm: core.VM{ID: core.VMID(fmt.Sprintf("entry-%d", len(c.vms)+1)), Role: core.RoleEntry, Zone: zone,
			Region: regionOf(zone), PeerAddr: fmt.Sprintf("%s:%d", ip, portPeer), State: core.VMLive},
		caller:   fmt.Sprintf("%s:%d", ip, portCaller),
		operator: fmt.Sprintf("%s:%d", ip, portOperator),
	}
	args := append(c.commonFlags(&e.vm), "-caller-listen", e.caller, "-operator-listen", e.operator, "-operator-keys", operatorKey, "-ready-grace", "300ms")
	if seeds := c.seeds(); seeds != "" {
		args = append(args, "-seeds", seeds)
	}
	e.proc = c.start(string(e.vm.ID), "zsentry", append(args, extra...)...)
	c.vms = append(c.vms, e.vm)
	c.entries = append(c.entries, e)
	return e
}

func regionOf(zone core.ZoneID) core.RegionID { return core.RegionID("region-of-" + zone) }

// originRegion returns the region of the origin, which is that of the first entry.
func (c *cluster) originRegion() core.RegionID { return c.entries[0].vm.Region }

// addEngine starts an endpoint VM with a model engine.
func (c *cluster) addEngine(zone core.ZoneID, pool core.PoolID, engineArgs ...string) *endpointVM {
	e := c.newEndpoint(zone, portEngine)
	e.vm.Pool = pool
	e.backend = c.start(string(e.vm.ID)+"-engine", "standin-engine", append([]string{"-listen", e.url[7:], "-load-time", "50ms"}, engineArgs...)...)
	args := append(c.commonFlags(&e.vm), "-pool", string(pool), "-engine-url", e.url, "-store-url", c.originURL(zone),
		"-origin-region", string(c.originRegion()), "-seeds", c.seeds())
	e.proc = c.start(string(e.vm.ID), "zsendpoint", args...)
	c.vms = append(c.vms, e.vm)
	c.engines = append(c.engines, e)
	return e
}

// addService starts an endpoint VM with a plain service.
func (c *cluster) addService(zone core.ZoneID, service core.ServiceID, extra ...string) *endpointVM {
	e := c.newEndpoint(zone, portService)
	e.vm.Service = service
	e.backend = c.start(string(e.vm.ID)+"-service", "standin-service", "-listen", e.url[7:], "-name", string(service))
	args := append(c.commonFlags(&e.vm), "-service", string(service), "-service-url", e.url, "-seeds", c.seeds())
	e.proc = c.start(string(e.vm.ID), "zsendpoint", append(args, extra...)...)
	c.vms = append(c.vms, e.vm)
	c.services = append(c.services, e)
	return e
}

func (c *cluster) newEndpoint(zone core.ZoneID, port int) *endpointVM {
	ip := newIP()
	return &endpointVM{
		vm: core.VM{ID: core.VMID(fmt.Sprintf("endpoint-%d", len(c.vms)+1)), Role: core.RoleEndpoint, Zone: zone,
			Region: regionOf(zone), PeerAddr: fmt.Sprintf("%s:%d", ip, portPeer), State: core.VMLive},
		url: fmt.Sprintf("http://%s:%d", ip, port),
	}
}

// declareVMs sets the VM list of the stand-in platform.
func (c *cluster) declareVMs() {
	c.t.Helper()
	c.put(c.platform+"/admin/vms", c.vms)
}

// setFaults replaces the injected faults of the stand-in at base.
func (c *cluster) setFaults(base string, faults map[string]any) {
	c.t.Helper()
	c.put(base+"/admin/faults", faults)
}

func (c *cluster) put(url string, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	response, err := client.Do(request)
	if err != nil {
		c.t.Fatalf("PUT %s: %v", url, err)
	}
	text, _ := io.ReadAll(response.Body)
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("PUT %s: %d %s", url, response.StatusCode, text)
	}
}

func (c *cluster) getJSON(url string, into any) {
	c.t.Helper()
	response, err := client.Get(url)
	if err != nil {
		c.t.Fatalf("GET %s: %v", url, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		c.t.Fatalf("GET %s: %v", url, err)
	}
}

// addVersion generates weights of size bytes from seed and registers them with the
// origin.
func (c *cluster) addVersion(version core.VersionID, size int, seed byte) catalogue.Version {
	c.t.Helper()
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i>>8) ^ byte(i) ^ seed
	}
	path := filepath.Join(c.dir, string(version)+".weights")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.put(fmt.Sprintf("%s/admin/versions/%s?path=%s&chunk_bytes=%d", c.origin, version, path, 256<<10), nil)
	return catalogue.Version{Name: version, Model: "assistant", Digest: core.DigestOf(data).String(), SizeBytes: int64(size)}
}

func (c *cluster) waitHTTP(url string) {
	c.t.Helper()
	c.eventually(10*time.Second, "answer from "+url, func() bool {
		response, err := client.Get(url)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually polls condition until it is true and fails the test after within.
func (c *cluster) eventually(within time.Duration, what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(within)
	for !condition() {
		if time.Now().After(end) {
			c.t.Fatalf("no %s within %s", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// publish applies the cluster's configuration set through the first entry that
// accepts it.
func (c *cluster) publish() {
	c.t.Helper()
	body, err := json.Marshal(c.set)
	if err != nil {
		c.t.Fatal(err)
	}
	c.eventually(15*time.Second, "accepted configuration", func() bool {
		for _, e := range c.entries {
			if status, _ := c.operator(e, "/v1/config/apply", body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// operator posts an operator request to one entry. The status is 0 if the request
// failed.
func (c *cluster) operator(e *entryVM, path string, body []byte) (status int, text string) {
	scheme, caller := "http://", client
	if c.operatorClient != nil {
		scheme, caller = "https://", c.operatorClient
	}
	request, err := http.NewRequest(http.MethodPost, scheme+e.operator+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_, key, _ := strings.Cut(operatorKey, ":")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := caller.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}
