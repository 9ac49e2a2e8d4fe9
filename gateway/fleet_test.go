package gateway_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/gateway"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// liveStore is a metadata store in memory whose content may change.
type liveStore struct {
	mu       sync.Mutex
	items    map[string]metastore.Change
	history  []metastore.Change
	revision uint64
	changed  chan struct{}
}

func newLiveStore() *liveStore {
	return &liveStore{items: map[string]metastore.Change{}, changed: make(chan struct{})}
}

func (s *liveStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	created := s.items[key].Created
	if created == 0 {
		created = s.revision + 1
	}
	s.write(metastore.Change{Key: key, Value: value, Created: created})
	s.items[key] = s.history[len(s.history)-1]
}

func (s *liveStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; exists {
		delete(s.items, key)
		s.write(metastore.Change{Key: key, Deleted: true})
	}
}

// write appends a change to the history. The caller must hold s.mu.
func (s *liveStore) write(change metastore.Change) {
	s.revision++
	change.Revision = s.revision
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements metastore.Store.
func (s *liveStore) Read(context.Context, string) (metastore.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := metastore.Snapshot{Revision: s.revision}
	for _, item := range s.items {
		snapshot.Items = append(snapshot.Items, item)
	}
	return snapshot, nil
}

// Revision implements metastore.Store.
func (s *liveStore) Revision(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, nil
}

// Watch implements metastore.Store.
func (s *liveStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	s.mu.Lock()
	changed := s.changed
	if s.revision > after {
		defer s.mu.Unlock()
		return append([]metastore.Change(nil), s.history[after:]...), s.revision, nil
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	case <-changed:
		return s.Watch(ctx, "", after, wait)
	}
}

// chunkOrigin serves generated chunks.
type chunkOrigin struct{}

func (chunkOrigin) SetAddress(string) {}

func chunkOf(version core.VersionID, index int) []byte {
	data := make([]byte, chunkBytes)
	copy(data, fmt.Sprintf("%s %d", version, index))
	return data
}

func (chunkOrigin) Manifest(_ context.Context, version core.VersionID) (*core.Manifest, error) {
	manifest := &core.Manifest{Version: version, SizeBytes: engineChunks * chunkBytes, ChunkBytes: chunkBytes, Whole: core.DigestOf([]byte(version))}
	for i := range engineChunks {
		manifest.Chunks = append(manifest.Chunks, core.DigestOf(chunkOf(version, i)))
	}
	return manifest, nil
}

func (chunkOrigin) ReadRange(_ context.Context, version core.VersionID, offset int64, buf []byte, progress func(n int) error) error {
	copy(buf, chunkOf(version, int(offset/chunkBytes)))
	return progress(len(buf))
}

// engineDeclaration declares one streaming route to the stand-in engines.
const engineDeclaration = `{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"streaming","timeout-ms":4000,"goal-ms":500,
	"service":"s","max-attempts":2,"resumable":true}],"tenants":[{"name":"team","api-keys":["key"]}],
	"services":[{"name":"s","engine":{"capacity":8,"kv-cache-tokens":100000,"stride":10,"step_ms":4,"read_per_s":16000,"chunk":512,
	"layers":1,"chunks":4,"chunk-bytes":1024,"usual":{"prompt":650,"answer":100},"models":[{"name":"m","warm-s":0.2}]}}]}`

const (
	gatewayCount = 3
	engineCount  = 8
)

// fleetConfig configures a testFleet.
type fleetConfig struct {
	declaration       string
	engines, gateways int
	// coldOver and coldSlack bound the calls to cold engines.
	coldOver, coldSlack float64
	contention          bool
	// restarted is set if all processes have just been killed and started again.
	restarted bool
	// downTime is how long an engine is away after a crash, 0 for less than a second.
	downTime time.Duration
}

var usualFleet = fleetConfig{declaration: engineDeclaration, engines: engineCount, gateways: gatewayCount}

// testFleet is a deployment of stand-in engines with real gateways and agents.
type testFleet struct {
	config   fleetConfig
	port     int
	store    *liveStore
	engines  []*standInEngine
	gateways []string
	record   *engineRecord
	// processes are the gateways and agents, which run until ctx ends.
	ctx       context.Context
	processes sync.WaitGroup
}

func startFleet(t *testing.T) *testFleet {
	t.Helper()
	return startFleetOf(t, usualFleet)
}

func startFleetOf(t *testing.T, config fleetConfig) *testFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &testFleet{config: config, port: freePorts(t), store: newLiveStore(), record: newEngineRecord(), ctx: ctx}
	t.Cleanup(func() {
		cancel()
		f.processes.Wait()
	})
	f.store.put("op/config", []byte(config.declaration))
	f.store.put("op/version/"+engineModel, fmt.Appendf(nil, `{"model":%q,"version":%d}`, engineModel, engineVersion))
	for i := range config.engines {
		f.startEngine(t, i, engineVersion)
	}
	for i := range config.gateways {
		f.startGateway(t, i)
	}
	return f
}

// loopbackIP returns a loopback address of this process. Engines start again on the port
// that they had, and agents share one, so no other process may take these ports.
func loopbackIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, host)
}

const (
	// firstPort to lastPort is below the range of ephemeral ports.
	firstPort = 10000
	lastPort  = 30000
	// portsPerHost is the largest number of ports that a process of the fleet listens on.
	portsPerHost = 4
)

// freePorts returns the first of portsPerHost free ports.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 100 {
		port := firstPort + portsPerHost*rand.IntN((lastPort-firstPort)/portsPerHost)
		if portsAreFree(port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsAreFree(first int) bool {
	for port := first; port < first+portsPerHost; port++ {
		listener, err := net.Listen("tcp", address(1, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func address(host, port int) string { return net.JoinHostPort(loopbackIP(host), strconv.Itoa(port)) }

// startEngine starts a stand-in engine with the weights of a version, 0 for none, and its
// agent.
func (f *testFleet) startEngine(t *testing.T, index int, version int64) *standInEngine {
	t.Helper()
	g := NewWithT(t)
	port := f.port
	host, agentPort := index+1, port+1
	e := newStandInEngineOf(t, "e"+strconv.Itoa(index), address(host, port), version, f.store, f.record, crashBehavior{
		downTime: cmp.Or(f.config.downTime, time.Duration(600+50*index)*time.Millisecond), keepsID: index%2 == 0, resets: index%4 < 2,
	})
	f.engines = append(f.engines, e)
	a, err := agent.New(agent.Config{
		EngineAddress: e.address, Zone: "z", Region: "r", Listen: address(host, agentPort), PeerPort: agentPort,
		SwitchTime: 2 * time.Second, StopTimeout: time.Second, MetricsListen: "127.0.0.1:0", Version: platform.VersionID,
	}, e, e, e, chunkOrigin{}, peers.NewPool("", peers.Security{}), logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	f.run(t, a.Run)
	return e
}

func (f *testFleet) startGateway(t *testing.T, index int) {
	t.Helper()
	g := NewWithT(t)
	port := f.port
	host := max(engineCount, f.config.engines) + index + 1
	callers, ready := address(host, port), address(host, port+1)
	regions := map[core.ZoneID]core.RegionID{"z": "r"}
	tracker := fleet.NewTracker(fleet.RenewalInterval(renewalInterval), &platform.Decoder{Regions: regions}, boottime.Now, logging.Discard())
	placer := placement.New(placement.Config{
		Name: address(host, port+3), Zone: "z", Region: "r", ColdOver: f.config.coldOver, ColdSlack: f.config.coldSlack,
		VersionSwitch: time.Minute, Contention: f.config.contention, Random: rand.New(rand.NewPCG(1, uint64(index))),
	})
	gw, err := gateway.New(gateway.Config{
		Name: core.VMID("gateway-" + strconv.Itoa(index)), CallerListen: callers, ReadyListen: ready, AgentPort: port + 1, Regions: regions,
		MaxKeyAge: 2 * time.Second, MaxDeclarationAge: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 10 * float64(f.config.gateways), Gateways: f.config.gateways,
		Restarted: f.config.restarted, StopTimeout: 5 * time.Second, WatchWait: 500 * time.Millisecond, MetricsListen: address(host, port+2),
		Relay: gateway.RelayConfig{
			Listen: address(host, port+3), Zone: "z", Region: "r",
			MemoryBytes: 1 << 20, UploadRate: 1 << 20, RegionRate: transfer.RecommendedRegionRate, Version: platform.VersionID,
		},
	}, platform.Dialect{}, f.store, chunkOrigin{}, tracker, placer, boottime.Now, logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	f.run(t, gw.Run)
	g.Eventually(func() int { return status(http.Get("http://" + ready + "/")) }, 5*time.Second, 10*time.Millisecond).Should(Equal(http.StatusOK))
	f.gateways = append(f.gateways, callers)
}

// run runs a process of the fleet until the test ends.
func (f *testFleet) run(t *testing.T, process func(ctx context.Context) error) {
	f.processes.Go(func() {
		if err := process(f.ctx); err != nil {
			t.Errorf("a process ended: %v", err)
		}
	})
}

// callResult is what a caller saw of its only attempt.
type callResult struct {
	id, gateway string
	sentAt      time.Time
	harmful     bool
	// status is 0 without an answer. complete is set for a signed answer with all events.
	status   int
	complete bool
}

// callers send calls at a steady rate.
type callers struct {
	fleet  *testFleet
	client *http.Client
	done   sync.WaitGroup
	// ownParts is the number of further parts of each prompt that no other one has.
	ownParts int

	mu      sync.Mutex
	results []callResult
}

const (
	callInterval = time.Second / 60
	// harmfulEvery is the share of harmful calls: one in so many.
	harmfulEvery = 10
)

func newCallers(t *testing.T, f *testFleet) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &callers{fleet: f, client: &http.Client{Transport: transport, Timeout: 5 * time.Second}}
}

// send sends calls for some time, one in harmfulEvery of them harmful if harmful is set. It
// does not wait for the last answers.
func (c *callers) send(duration time.Duration, harmful bool) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for number, end := 0, time.Now().Add(duration); time.Now().Before(end); number++ {
		bad := harmful && number%harmfulEvery == harmfulEvery-1
		target := c.fleet.gateways[rand.IntN(len(c.fleet.gateways))]
		c.done.Go(func() { c.call(target, bad) })
		<-ticker.C
	}
}

// prompt returns the parts of a prompt. All prompts share the first part, some the second,
// and none the last and ownParts before it. The harmful part is before or after the second part.
func prompt(harmful bool, ownParts int) string {
	parts := []string{"5c1e07a2:400", fmt.Sprintf("91bd3f0%d:150", rand.IntN(3))}
	if harmful {
		at := 1 + rand.IntN(2)
		parts = append(parts[:at], append([]string{harmfulPart + ":60"}, parts[at:]...)...)
	}
	for range ownParts {
		parts = append(parts, fmt.Sprintf("%08x:1", rand.Uint32()))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:40", rand.Uint32())), ",")
}

func (c *callers) call(target string, harmful bool) {
	result := callResult{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: target, sentAt: time.Now(), harmful: harmful}
	request, err := http.NewRequest(http.MethodPost, "http://"+target+"/a/x", strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	request.Host = "h"
	for name, value := range map[string]string{
		"X-Request-Id": result.id, "X-Timeout-Ms": "4000", "Authorization": "Bearer key",
		"X-Model": engineModel, "X-Token-Count": "650,100", "X-Prompt-Prefix": prompt(harmful, c.ownParts),
	} {
		request.Header.Set(name, value)
	}
	if response, err := c.client.Do(request); err == nil {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		result.status = response.StatusCode
		result.complete = err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Response-Seal") != "" && string(body) == wholeAnswer()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

// wholeAnswer is the body of a complete answer.
func wholeAnswer() string {
	var body strings.Builder
	for number := range answerEvents {
		fmt.Fprintf(&body, "id: %d\ndata: x\n\n", number+1)
	}
	return body.String()
}

// count returns how many of the sound or the harmful calls that were sent in a period were
// answered completely. It waits for the answers.
func (c *callers) count(harmful bool, from, to time.Time) (sent, answered int) {
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, result := range c.results {
		if result.harmful != harmful || result.sentAt.Before(from) || !result.sentAt.Before(to) {
			continue
		}
		sent++
		if result.complete {
			answered++
		}
	}
	return sent, answered
}
