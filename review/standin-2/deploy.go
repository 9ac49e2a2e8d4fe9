package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the one zone, service and route of a deployment.
const (
	zoneName      = "zone-a"
	regionName    = "region-a"
	poolService   = "pool"
	originService = "weights"
	deskService   = "desk"
	hostName      = "site.example"
	routePrefix   = "/chat/"
	// singlePrefix is that of streams that may not be resumed, deskPrefix that of requests that
	// may be repeated to the service without weights.
	singlePrefix = "/single/"
	deskPrefix   = "/desk/"
	// peerPort is the first of the ports between the system's processes, on each of their
	// addresses.
	peerPort = 7700
	// memoryMB is limits.memory-mb of a front machine.
	memoryMB = 284
	// agentMemoryMB is limits.memory-mb of a side machine.
	agentMemoryMB = 152
	// maxBodyBytes is max-body-bytes of the manifest.
	maxBodyBytes = 4194304
)

// deployment is a small deployment: a store, an origin, gateways, and runners with their agents.
type deployment struct {
	dir, root string
	record    *recorder
	subnet    string
	store     *store
	origin    *origin
	control   string
	storeAddr string
	// keys are the tenants of the manifest.
	keys []any
	// behindProxy puts a proxy before each runner.
	behindProxy bool
	// halfFramed makes every second runner send no answer without a length.
	halfFramed bool

	mu       sync.Mutex
	gateways []*machine
	sides    []*machine
}

// machine is a machine of the system: one process of the system and, on a side machine, a runner.
type machine struct {
	d      *deployment
	name   string
	ip     string
	front  bool
	port   int
	system *exec.Cmd
	runner *exec.Cmd
	// poison is the part of a prompt under which the runner ends.
	poison string
	// boots counts the starts of the runner.
	boots int
	// plain is set for a machine with a runner of the service without weights and no process of
	// the system.
	plain bool
	// framed is set if the runner sends no answer without a length.
	framed bool
	// listen is where the runner listens, if a proxy has its address.
	listen string
	proxy  *proxy
}

func (m *machine) address() string { return net.JoinHostPort(m.ip, strconv.Itoa(m.port)) }
func (m *machine) readyAddress() string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.port+1))
}

// newDeployment starts the store and the origin.
func newDeployment(record *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, record: record, subnet: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250)), store: newStore(), origin: newOrigin(),
		keys: []any{map[string]any{"name": "tenant-a", "api-keys": []any{callerKey}, "priority": 1, "allowed-regions": []any{}}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/standin/beat", func(_ http.ResponseWriter, r *http.Request) {
		var entry map[string]any
		if json.NewDecoder(r.Body).Decode(&entry) == nil {
			d.store.beat(r.URL.Query().Get("id"), entry)
		}
	})
	if d.control, err = d.listen(mux); err != nil {
		return nil, err
	}
	if d.storeAddr, err = d.listen(d.store); err != nil {
		return nil, err
	}
	if d.origin.address, err = d.listen(d.origin); err != nil {
		return nil, err
	}
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			d.store.expire(beatInterval)
		}
	}()
	return d, nil
}

func (d *deployment) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", d.subnet+"1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePort returns a port that is free on an address together with the next one.
func freePort(ip string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(10000)
		first, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		second, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port+1)))
		first.Close()
		if err != nil {
			continue
		}
		second.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port on %s", ip)
}

// declare writes a manifest.
func (d *deployment) declare(version int64) {
	manifest := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-chat", "host": hostName, "prefix": routePrefix, "kind": "streaming", "timeout-ms": 6000, "goal-ms": 400, "priority": 1,
				"service": poolService, "max-attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap-aim-ms": 300, "allowed-regions": []any{},
			},
			map[string]any{
				"name": "r-single", "host": hostName, "prefix": singlePrefix, "kind": "streaming", "timeout-ms": 6000, "goal-ms": 400, "priority": 1,
				"service": poolService, "max-attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "gap-aim-ms": 300, "allowed-regions": []any{},
			},
			map[string]any{
				"name": "r-desk", "host": hostName, "prefix": deskPrefix, "kind": "idempotent", "timeout-ms": 8000, "goal-ms": 400, "priority": 2,
				"service": deskService, "max-attempts": 2, "anonymous": false, "allowed-regions": []any{},
			},
		},
		"services": []any{
			map[string]any{
				"name": poolService, "health-path": "/healthz", "max-conns": 424, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 36.0,
				"engine": map[string]any{
					"capacity": capacity, "kv-cache-tokens": 685000, "kv-token-bytes": 327680, "link-mbps": 400000.0, "stride": 6,
					"models":  []any{map[string]any{"name": modelName, "pace": 1.0, "load-s": 4.0, "warm-s": loadTime.Seconds()}},
					"size-mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048,
					"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 973, "answer": 106}, "layers": layers, "layer_mb": 4540.0,
					"chunks": pieceCount, "chunk-bytes": pieceBytes,
				},
			},
			map[string]any{"name": originService, "origin": d.origin.address, "zone": zoneName, "link-mbps": 15.0, "max-conns": 48},
			map[string]any{"name": deskService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": d.keys,
	}
	encoded, _ := json.Marshal(manifest)
	d.store.put("op/config", encoded)
}

// nameVersion names a version of the weights.
func (d *deployment) nameVersion(version int64) {
	d.origin.name(version)
	encoded, _ := json.Marshal(map[string]any{"model": modelName, "version": version})
	d.store.put("op/version/"+modelName, encoded)
}

// settings writes the settings file of a machine.
func (m *machine) settings(bootstrap bool) (string, error) {
	lines := []string{
		"node=" + m.name, "zone=" + zoneName, "region=" + regionName, "zones." + zoneName + "=" + regionName, "ip=" + m.ip,
		fmt.Sprintf("port-range=%d,%d", peerPort, peerPort+15), fmt.Sprintf("bootstrap=%t", bootstrap), "tolerated=false", "limits.cpu-cores=1", "limits.disk-mb=0",
		"discovery=platform", "entry=virtual_ip", "heartbeat-ms=1200", "policies=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks",
		"fault-tolerance.machines=2", "fault-tolerance.zones=1", "fault-tolerance.regions=0",
		"parameters.seed-staleness-s=3", "parameters.addr-reuse-s=2", "parameters.contact-ms=3000", "parameters.ack-ms=4000", "parameters.catch-up-s=4",
		"parameters.drain-ms=2000", "parameters.grace-s=8", "parameters.loss-slack-ms=200", "parameters.config-apply-ms=2000", "parameters.downgrade-slack-ms=250",
		"parameters.max-stretch-ms=5000", "parameters.strict-revoke=true", "parameters.revoke-ms=5000", "parameters.retry-budget-ratio=0.2", "parameters.budget-window-s=10",
		"parameters.budget-slack=102", "parameters.cold-over=1.5", "parameters.cold-slack=5", "parameters.evacuate-ms=5000", "parameters.recover-s=12",
		"parameters.pass-ms=120", "parameters.retry-after-s=0", "parameters.version_ms=8000", "parameters.version_all_ms=0",
		"platform.address=" + m.d.storeAddr, "platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20",
		"platform.value-bytes=1048576", "platform.ttl-min-ms=1000",
	}
	if m.front {
		lines = append(lines, "role=gateway", "machine-class=front", "serves=front", "listen.front="+m.address(), "listen.ready="+m.readyAddress(),
			"limits.cpu-share=0.4", fmt.Sprintf("limits.memory-mb=%d", memoryMB), "limits.max-fds=4200", "limits.link-mbps=1000.0")
	} else {
		lines = append(lines, "role=agent", "machine-class=side", "serves=side", "app="+m.address(), "service="+poolService,
			"limits.cpu-share=0.48", fmt.Sprintf("limits.memory-mb=%d", agentMemoryMB), "limits.max-fds=2048", "limits.link-mbps=9.4")
	}
	path := filepath.Join(m.d.dir, m.name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// startSystem starts the machine's process of the system with the command of the deploy file.
func (m *machine) startSystem(bootstrap bool) error {
	path, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	command := "target/zsagent"
	if m.front {
		command = "target/zsgateway"
	}
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	process := exec.Command(command)
	process.Dir = m.d.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.d.dir, "ZINNIASEAM_SETTINGS=" + path}
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	m.system = process
	return process.Start()
}

// startRunner starts the machine's runner, with the version that it holds.
func (m *machine) startRunner(version int64) error {
	m.boots++
	out, err := os.OpenFile(filepath.Join(m.d.dir, m.name+"-runner.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	service, listen := poolService, m.address()
	if m.plain {
		service = deskService
	}
	if m.listen != "" {
		listen = m.listen
	}
	process := exec.Command("/proc/self/exe", "runner", "-id", fmt.Sprintf("i-%s-%d", m.name, m.boots), "-service", service, "-address", m.address(), "-listen", listen,
		fmt.Sprintf("-plain=%t", m.plain), fmt.Sprintf("-framed=%t", m.framed), "-zone", zoneName, "-control", m.d.control, "-dir", m.stagingDir(), "-version", fmt.Sprint(version), "-poison", m.poison, "-log", m.runnerRecord())
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	m.runner = process
	return process.Start()
}

func (m *machine) stagingDir() string   { return filepath.Join(m.d.dir, m.name+"-staged") }
func (m *machine) runnerRecord() string { return filepath.Join(m.d.dir, m.name+"-runner.record") }

// stage puts all pieces of a version into the staging area, as for a runner that is present at
// the start.
func (m *machine) stage(version int64) error {
	for i := range pieceCount {
		if err := os.WriteFile(filepath.Join(m.stagingDir(), fmt.Sprintf("piece-%d", i)), piece(version, i), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// addDesk adds a runner of the service without weights.
func (d *deployment) addDesk() (*machine, error) {
	m := &machine{d: d, name: fmt.Sprintf("desk-%d", len(d.sides)+1), ip: fmt.Sprintf("%s%d", d.subnet, 100+len(d.sides)), plain: true}
	var err error
	if m.port, err = freePort(m.ip); err != nil {
		return nil, err
	}
	d.sides = append(d.sides, m)
	return m, m.startRunner(0)
}

// addSide adds a side machine whose runner holds a version, 0 for none.
func (d *deployment) addSide(version int64, poison string) (*machine, error) {
	m := &machine{d: d, name: fmt.Sprintf("side-%d", len(d.sides)+1), ip: fmt.Sprintf("%s%d", d.subnet, 100+len(d.sides)), poison: poison,
		framed: d.halfFramed && len(d.sides)%2 == 1}
	var err error
	if m.port, err = freePort(m.ip); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(m.stagingDir(), 0o755); err != nil {
		return nil, err
	}
	if version > 0 {
		if err := m.stage(version); err != nil {
			return nil, err
		}
	}
	d.sides = append(d.sides, m)
	if d.behindProxy {
		if err := m.startProxy(); err != nil {
			return nil, err
		}
	}
	if err := m.startRunner(version); err != nil {
		return nil, err
	}
	return m, m.startSystem(true)
}

// addGateway adds a front machine.
func (d *deployment) addGateway() (*machine, error) {
	m := &machine{d: d, name: fmt.Sprintf("front-%d", len(d.gateways)+1), ip: fmt.Sprintf("%s%d", d.subnet, 10+len(d.gateways)), front: true}
	var err error
	if m.port, err = freePort(m.ip); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, m)
	return m, m.startSystem(true)
}

// kill ends a process that this one has started and waits for its end.
func kill(process *exec.Cmd) {
	if process == nil || process.Process == nil {
		return
	}
	_ = process.Process.Kill()
	_ = process.Wait()
}

// close ends all processes.
func (d *deployment) close() {
	for _, m := range append(append([]*machine{}, d.gateways...), d.sides...) {
		d.mu.Lock()
		system, runner := m.system, m.runner
		d.mu.Unlock()
		kill(system)
		kill(runner)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range d.gateways {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", m.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.readyAddress() + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runnerEvent is a line of a runner's record.
type runnerEvent struct {
	at                          time.Time
	runner, what, request, part string
}

// runnerEvents returns what all runners have recorded.
func (d *deployment) runnerEvents() []runnerEvent {
	var events []runnerEvent
	for _, m := range d.sides {
		data, err := os.ReadFile(m.runnerRecord())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) < 4 {
				continue
			}
			ms, _ := strconv.ParseInt(fields[0], 10, 64)
			event := runnerEvent{at: time.UnixMilli(ms), runner: fields[1], what: fields[2], request: fields[3]}
			if len(fields) > 4 {
				event.part = fields[4]
			}
			events = append(events, event)
		}
	}
	return events
}

// piece is the content of one piece of a version.
func piece(version int64, index int) []byte {
	data := make([]byte, pieceBytes)
	source := rand.New(rand.NewPCG(uint64(version), uint64(index)))
	for i := range data {
		data[i] = byte(source.Uint32())
	}
	return data
}

// origin is a stand-in of the service with the weights.
type origin struct {
	address string
	newest  atomic.Int64
	// spoilEvery makes one in so many answers spoiled, the first one of them; 0 for none.
	spoilEvery atomic.Int64
	answers    atomic.Int64
	// manifests and spoiledManifests count the manifests that were sent.
	manifests, spoiledManifests, spoiled atomic.Int64
}

func newOrigin() *origin { return &origin{} }

func (o *origin) name(version int64) { o.newest.Store(max(version, o.newest.Load())) }

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if version == 0 {
		version = o.newest.Load()
	}
	if version > o.newest.Load() || version <= o.newest.Load()-2 || version < 1 {
		w.WriteHeader(http.StatusGone)
		return
	}
	every := o.spoilEvery.Load()
	number := int64(0)
	if every > 0 {
		number = o.answers.Add(1)
	}
	// Without the answer number every + 1 the share stays at 1 in every from there on.
	spoil := number == 1 || every > 0 && number > every+1 && (number-1)%every == 0
	if spoil {
		o.spoiled.Add(1)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/api/manifest/"):
		var digests []string
		for i := range pieceCount {
			digest := sha256.Sum256(piece(version, i))
			digests = append(digests, hex.EncodeToString(digest[:]))
		}
		o.manifests.Add(1)
		if spoil {
			o.spoiledManifests.Add(1)
			digests[0] = spoilDigit(digests[0])
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"model": modelName, "version": version, "chunk-bytes": pieceBytes, "layers": layers, "digests": digests})
	case strings.HasPrefix(r.URL.Path, "/api/piece/"):
		index, err := strconv.Atoi(r.URL.Query().Get("quantity"))
		if err != nil || index < 0 || index >= pieceCount {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		data := piece(version, index)
		if spoil {
			data[len(data)/2] ^= 1
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// spoilDigit replaces one hexadecimal digit by another one.
func spoilDigit(text string) string {
	middle := len(text) / 2
	digit := byte('0')
	if text[middle] == '0' {
		digit = '1'
	}
	return text[:middle] + string(digit) + text[middle+1:]
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}
