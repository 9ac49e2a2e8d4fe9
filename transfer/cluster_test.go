package transfer_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/zinniaseam/zinniaseam/adapters/origin"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/spread"
	"github.com/zinniaseam/zinniaseam/transfer"
)

const testChunkBytes = 96 << 10

// weights returns reproducible weights and their manifest.
func weights(version core.VersionID, chunks int, seed uint64) ([]byte, *core.Manifest) {
	data := make([]byte, chunks*testChunkBytes-1000)
	random := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s%d", version, seed)))
	_, _ = random.Read(data)
	m := &core.Manifest{Version: version, SizeBytes: int64(len(data)), ChunkBytes: testChunkBytes, Whole: core.DigestOf(data)}
	for i := range chunks {
		m.Chunks = append(m.Chunks, core.DigestOf(data[i*testChunkBytes:min((i+1)*testChunkBytes, len(data))]))
	}
	return data, m
}

// memoryStaging is a Staging in memory that counts reads.
type memoryStaging struct {
	mu     sync.Mutex
	chunks map[core.VersionID]map[int][]byte
	gets   atomic.Int64
}

var _ transfer.Staging = (*memoryStaging)(nil)

func newMemoryStaging() *memoryStaging {
	return &memoryStaging{chunks: map[core.VersionID]map[int][]byte{}}
}

func (m *memoryStaging) Put(_ context.Context, version core.VersionID, index int, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.chunks[version] == nil {
		m.chunks[version] = map[int][]byte{}
	}
	m.chunks[version][index] = append([]byte(nil), data...)
	return nil
}

func (m *memoryStaging) Get(_ context.Context, version core.VersionID, index int) ([]byte, error) {
	m.gets.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.chunks[version][index]
	if !ok {
		return nil, transfer.ErrNotStaged
	}
	return append([]byte(nil), data...), nil
}

func (m *memoryStaging) List(_ context.Context, version core.VersionID) ([]int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var stored []int
	for index := range m.chunks[version] {
		stored = append(stored, index)
	}
	return stored, nil
}

func (m *memoryStaging) Drop(_ context.Context, version core.VersionID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.chunks, version)
	return nil
}

func (m *memoryStaging) corruptChunk(version core.VersionID, index int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chunks[version][index][0] ^= 1
}

// fakeOrigin serves versions over HTTP, each read after delay, and counts the bytes
// sent.
type fakeOrigin struct {
	server   *httptest.Server
	versions map[string][]byte
	manifest map[string]*core.Manifest
	sent     atomic.Int64
	delay    time.Duration
}

func newFakeOrigin(t testing.TB) *fakeOrigin {
	o := &fakeOrigin{versions: map[string][]byte{}, manifest: map[string]*core.Manifest{}}
	o.server = httptest.NewServer(o)
	t.Cleanup(o.server.Close)
	return o
}

func (o *fakeOrigin) add(data []byte, m *core.Manifest) {
	o.versions[string(m.Version)] = data
	o.manifest[string(m.Version)] = m
}

func (o *fakeOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if version, ok := strings.CutPrefix(r.URL.Path, "/store/versions/"); ok {
		if m := o.manifest[version]; m != nil {
			_ = json.NewEncoder(w).Encode(m)
			return
		}
		http.NotFound(w, r)
		return
	}
	data := o.versions[strings.TrimPrefix(r.URL.Path, "/origin/")]
	var from, to int64
	if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &from, &to); err != nil || data == nil {
		http.NotFound(w, r)
		return
	}
	time.Sleep(o.delay)
	o.sent.Add(to + 1 - from)
	w.WriteHeader(http.StatusPartialContent)
	_, _ = w.Write(data[from : to+1])
}

// node is one machine: a spreader behind a gRPC server. If corrupt is set, it sends
// corrupt chunks.
type node struct {
	peerpb.UnimplementedEndpointServer
	spreader *transfer.Spreader
	staging  *memoryStaging
	corrupt  atomic.Bool
	client   peerpb.EndpointClient
}

// corruptStream corrupts the parts that a node sends.
type corruptStream struct {
	peerpb.Endpoint_FetchChunkServer
}

func (c corruptStream) Send(part *peerpb.ChunkPart) error {
	if len(part.Data) > 0 {
		part.Data = append([]byte(nil), part.Data...)
		part.Data[0] ^= 1
	}
	return c.Endpoint_FetchChunkServer.Send(part)
}

func (n *node) FetchChunk(req *peerpb.ChunkRequest, stream peerpb.Endpoint_FetchChunkServer) error {
	if n.corrupt.Load() {
		stream = corruptStream{stream}
	}
	return n.spreader.ServeChunk(req, stream)
}

type cluster struct {
	members []spread.Member
	nodes   map[core.VMID]*node
	origin  *fakeOrigin
}

// member returns a machine whose ID contains its region, zone and index, such as
// "r0-z1-m2".
func member(region, zone, index int) spread.Member {
	r := fmt.Sprintf("r%d", region)
	z := fmt.Sprintf("%s-z%d", r, zone)
	return spread.Member{ID: core.VMID(fmt.Sprintf("%s-m%d", z, index)), Zone: core.ZoneID(z), Region: core.RegionID(r)}
}

// startCluster starts one node per member, connected in memory. change, if not nil,
// adjusts the configuration of each node.
func startCluster(t testing.TB, members []spread.Member, change func(*transfer.Config)) *cluster {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{members: members, nodes: map[core.VMID]*node{}, origin: newFakeOrigin(t)}
	dial := func(vm core.VMID) (peerpb.EndpointClient, error) {
		if n := c.nodes[vm]; n != nil {
			return n.client, nil
		}
		return nil, fmt.Errorf("no machine %s", vm)
	}
	var running sync.WaitGroup
	for _, m := range members {
		n := &node{staging: newMemoryStaging()}
		config := transfer.Config{
			Self: m, OriginRegion: "r0", Staging: n.staging, Dial: dial, Seed: 7,
			Origin: origin.New(origin.Config{StoreURL: c.origin.server.URL}), RegionRate: 1 << 30,
		}
		if change != nil {
			change(&config)
		}
		spreader, err := transfer.New(config)
		g.Expect(err).NotTo(HaveOccurred())
		n.spreader = spreader
		n.client = serve(t, n)
		c.nodes[m.ID] = n
	}
	for _, n := range c.nodes {
		running.Go(func() { _ = n.spreader.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return c
}

func serve(t testing.TB, n *node) peerpb.EndpointClient {
	listener := bufconn.Listen(1 << 20)
	server := grpc.NewServer()
	peerpb.RegisterEndpointServer(server, n)
	go func() { _ = server.Serve(listener) }()
	conn, err := grpc.NewClient("passthrough:///node",
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return listener.Dial() }),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close(); server.Stop() })
	return peerpb.NewEndpointClient(conn)
}

func (c *cluster) setTarget(t *testing.T, m *core.Manifest) {
	for _, n := range c.nodes {
		NewWithT(t).Expect(n.spreader.SetTarget(context.Background(), m, c.members)).To(Succeed())
	}
}

// awaitAll waits until every machine has stored the complete version.
func (c *cluster) awaitAll(t *testing.T, version core.VersionID) {
	t.Helper()
	g := NewWithT(t)
	for id, n := range c.nodes {
		g.Eventually(func() bool {
			progress, _ := n.spreader.Progress(version)
			return progress.Done
		}, 20*time.Second, 5*time.Millisecond).Should(BeTrue(), string(id))
	}
}
