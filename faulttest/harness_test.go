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

// binDir holds the programs, built once for all tests.
var binDir string

// programs are the packages of the programs that the tests run.
var programs = []string{
	"../cmd/zsentry", "../cmd/zsendpoint",
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

// nextIP numbers the loopback addresses; each VM of each test has its own.
var nextIP atomic.Uint32

func newIP() string {
	n := nextIP.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, n/250, 1+n%250)
}

// Ports of the processes on every address.
const (
	portPlatform = 7100
	portStore    = 7200
	portEngine   = 7300
	portService  = 7400
	portPeer     = 7500
	portCaller   = 7600
	portOperator = 7700
)

// peerKey is the key that the processes of a test deployment share.
const peerKey = "a-peer-key-for-tests-only"

// operatorKey is the key of the tests' operator.
const operatorKey = "tests:a-key-for-tests-only"

// cluster is one deployment of a test.
type cluster struct {
	t        *testing.T
	dir      string
	procs    []*proc
	platform string
	store    string
	vms      []core.VM
	entries  []*entryVM
	engines  []*endpointVM
	services []*endpointVM
	set      catalogue.Set
	// relayed puts a relay before every peer listener and one before the
	// platform and the origin for each availability zone.
	relayed     bool
	peerRelays  map[core.VMID]*relay
	zoneRelays  map[core.ZoneID][]*relay
	platformFor map[core.ZoneID]string
	storeFor    map[core.ZoneID]string
	// authority signs the certificates of all processes; nil for none.
	authority *authority.Authority
	// operatorClient calls the operators' listeners with TLS; nil for without.
	operatorClient *http.Client
	// certDirs holds the directory with the certificate of each IP number.
	certDirs map[string]string
	// zoneOf maps the IP number of each VM to its zone.
	zoneOf map[string]core.ZoneID
}

// entryVM is one entry VM.
type entryVM struct {
	vm       core.VM
	proc     *proc
	caller   string
	operator string
}

// endpointVM is one endpoint VM with its back end.
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
		certDirs: map[string]string{}, platformFor: map[core.ZoneID]string{}, storeFor: map[core.ZoneID]string{}, zoneOf: map[string]core.ZoneID{},
	}
	t.Cleanup(c.stop)
	ip := newIP()
	c.platform = fmt.Sprintf("http://%s:%d", ip, portPlatform)
	c.store = fmt.Sprintf("http://%s:%d", ip, portStore)
	c.start("platform", "standin-platform", "-listen", c.platform[7:], "-list-lag", "100ms")
	c.start("origin", "standin-origin", "-listen", c.store[7:], "-rate", fmt.Sprint(256<<20))
	c.waitHTTP(c.platform + "/admin/stats")
	c.waitHTTP(c.store + "/admin/stats")
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

// checkLogs fails the test when a process reported a data race or a panic, and
// prints all logs of a failed test when asked to.
func (c *cluster) checkLogs() {
	logs, _ := filepath.Glob(c.dir + "/*.log")
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		if bytes.Contains(text, []byte("WARNING: DATA RACE")) || bytes.Contains(text, []byte("panic: ")) {
			c.t.Errorf("%s reports:\n%s", filepath.Base(path), text)
		} else if c.t.Failed() && os.Getenv("FAULTTEST_LOGS") != "" {
			c.t.Logf("== %s\n%s", filepath.Base(path), text)
		}
	}
}

// seeds lists the peer addresses of all entries.
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
	args := append(c.common(&e.vm), "-caller-listen", e.caller, "-operator-listen", e.operator, "-operator-keys", operatorKey, "-ready-grace", "300ms")
	if seeds := c.seeds(); seeds != "" {
		args = append(args, "-seeds", seeds)
	}
	e.proc = c.start(string(e.vm.ID), "zsentry", append(args, extra...)...)
	c.vms = append(c.vms, e.vm)
	c.entries = append(c.entries, e)
	return e
}

func regionOf(zone core.ZoneID) core.RegionID { return core.RegionID("region-of-" + zone) }

// originRegion is the region of the first entry, where the origin stands.
func (c *cluster) originRegion() core.RegionID { return c.entries[0].vm.Region }

// addEngine starts an endpoint VM with a model engine.
func (c *cluster) addEngine(zone core.ZoneID, pool core.PoolID, engineArgs ...string) *endpointVM {
	e := c.newEndpoint(zone, portEngine)
	e.vm.Pool = pool
	e.backend = c.start(string(e.vm.ID)+"-engine", "standin-engine", append([]string{"-listen", e.url[7:], "-load-time", "50ms"}, engineArgs...)...)
	args := append(c.common(&e.vm), "-pool", string(pool), "-engine-url", e.url, "-store-url", c.storeURL(zone),
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
	args := append(c.common(&e.vm), "-service", string(service), "-service-url", e.url, "-seeds", c.seeds())
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

// declareVMs sets the platform's VM list.
func (c *cluster) declareVMs() {
	c.t.Helper()
	c.put(c.platform+"/admin/vms", c.vms)
}

// faults sets the faults of a stand-in.
func (c *cluster) faults(base string, faults map[string]any) {
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

// addVersion makes weights of size bytes, filled from seed, known to the origin.
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
	c.put(fmt.Sprintf("%s/admin/versions/%s?path=%s&chunk_bytes=%d", c.store, version, path, 256<<10), nil)
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

// eventually waits until done holds.
func (c *cluster) eventually(within time.Duration, what string, done func() bool) {
	c.t.Helper()
	end := time.Now().Add(within)
	for !done() {
		if time.Now().After(end) {
			c.t.Fatalf("no %s within %s", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// publish makes the cluster's set the configuration in force, by any entry that takes it.
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

// operator sends an operator's request to one entry.
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
