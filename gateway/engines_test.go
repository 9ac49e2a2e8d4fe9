package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/agent"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/platform"
	"github.com/zinniaseam/zinniaseam/transfer"
)

// Times and sizes of a stand-in engine. engineDeclaration declares the same.
const (
	engineSlots   = 8
	engineQueue   = 2
	prefillTime   = 40 * time.Millisecond
	eventInterval = 40 * time.Millisecond
	answerEvents  = 10
	loadTime      = 200 * time.Millisecond
	engineModel   = "m"
	engineVersion = 1
	engineChunks  = 4
	chunkBytes    = 1 << 10
	// harmfulPart crashes an engine crashDelay after the begin of an answer.
	harmfulPart = "bad0bad0"
	crashDelay  = 60 * time.Millisecond
	// blockBytes is how much an endless answer writes at once.
	blockBytes = 16 << 10
)

// shape is how a stand-in engine writes the answer to a call.
type shape int32

const (
	shapeChunked shape = iota
	// shapeUntilClose has neither a length nor chunks and ends with its connection.
	shapeUntilClose
	// shapeCutInEvent is like shapeUntilClose, but ends inside an event.
	shapeCutInEvent
	// shapeEndlessHead and shapeEndlessBody go on until the caller closes.
	shapeEndlessHead
	shapeEndlessBody
)

// standInEngine is a model engine with the VM's staging area. Each answer to a call with
// harmfulPart crashes it. It starts again without weights.
type standInEngine struct {
	*transfer.MemoryStaging
	t             *testing.T
	name, address string
	crashes       crashBehavior
	store         *liveStore
	record        *engineRecord
	// shape is the shape of the answers that begin from now on.
	shape atomic.Int32
	// leaving is set while the engine tells its agent that it is about to stop.
	leaving atomic.Bool

	mu sync.Mutex
	// run is nil while the engine is down.
	run     *engineRun
	starts  int
	stopped bool
}

// crashBehavior is how an engine crashes and returns.
type crashBehavior struct {
	downTime time.Duration
	// keepsID is set if the engine has the same ID when it starts again, and resets if its
	// connections are reset and not closed.
	keepsID, resets bool
}

// newStandInEngine starts an engine on an address with its weights loaded and staged.
func newStandInEngine(t *testing.T, name, address string, store *liveStore, record *engineRecord, crashes crashBehavior) *standInEngine {
	t.Helper()
	return newStandInEngineOf(t, name, address, engineVersion, store, record, crashes)
}

// newStandInEngineOf starts an engine with staged weights that has loaded a version, 0 for
// none.
func newStandInEngineOf(t *testing.T, name, address string, loaded int64, store *liveStore, record *engineRecord, crashes crashBehavior) *standInEngine {
	t.Helper()
	g := NewWithT(t)
	e := &standInEngine{
		t: t, MemoryStaging: transfer.NewMemoryStaging(1), name: name, address: address,
		crashes: crashes, store: store, record: record,
	}
	version := platform.VersionID(engineModel, engineVersion)
	for chunk := range engineChunks {
		g.Expect(e.Put(context.Background(), version, chunk, chunkOf(version, chunk))).To(Succeed())
	}
	e.start(loaded)
	t.Cleanup(e.stop)
	return e
}

// engineRun is the time from a start of the engine to its end.
type engineRun struct {
	engine   *standInEngine
	id       string
	born     int64
	server   *http.Server
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int32
	ended    chan struct{}

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	version int64
	loading bool
}

var errEngineDown = errors.New("connection refused")

// start starts the engine with the weights of a version, 0 for none.
func (e *standInEngine) start(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		e.t.Errorf("engine %s does not start: %v", e.name, err)
		return
	}
	e.store.remove("servers/" + e.id())
	if !e.crashes.keepsID {
		e.starts++
	}
	run := &engineRun{
		engine: e, id: e.id(), born: time.Now().UnixMilli(), listener: listener, version: version,
		slots: make(chan struct{}, engineSlots), ended: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	run.server = &http.Server{Handler: http.HandlerFunc(run.serve), ConnState: run.trackConn}
	go func() { _ = run.server.Serve(listener) }()
	e.run = run
	run.register()
}

// id is the ID under which the engine is registered. The caller must hold e.mu.
func (e *standInEngine) id() string { return e.name + "-" + strconv.Itoa(e.starts) }

// stop ends the engine for good.
func (e *standInEngine) stop() {
	e.mu.Lock()
	run := e.run
	e.run, e.stopped = nil, true
	e.mu.Unlock()
	if run != nil {
		run.end()
	}
}

// crash ends the present run, if there is one.
func (e *standInEngine) crash() {
	if run := e.present(); run != nil {
		run.crash()
	}
}

func (e *standInEngine) present() *engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.run
}

// crash ends the run, unless it has ended, and starts the engine again after its down time.
func (r *engineRun) crash() {
	e := r.engine
	e.mu.Lock()
	present := e.run == r
	if present {
		e.run = nil
	}
	e.mu.Unlock()
	if !present {
		return
	}
	e.record.crashed()
	r.end()
	time.AfterFunc(e.crashes.downTime, func() { e.start(0) })
}

// end closes the listener and cuts all connections.
func (r *engineRun) end() {
	r.listener.Close()
	close(r.ended)
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && r.engine.crashes.resets {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (r *engineRun) trackConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = struct{}{}
	case http.StateClosed:
		delete(r.conns, conn)
	}
}

// register writes the engine's entry to the store.
func (r *engineRun) register() {
	entry := map[string]any{
		"service": "s", "address": r.engine.address, "zone": "z", "capacity": engineSlots, "state": "ready", "born": r.born,
	}
	if version := r.serving(); version > 0 {
		entry["models"] = []any{map[string]any{"name": engineModel, "version": version}}
		entry["layers"] = map[string]any{"from": 0, "to": 1, "version": version}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.engine.store.put("servers/"+r.id, value)
}

func (r *engineRun) serving() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *engineRun) setWeights(version int64, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.loading = version, loading
}

// Report implements agent.Engine.
func (e *standInEngine) Report(context.Context) (agent.EngineReport, error) {
	run := e.present()
	if run == nil {
		return agent.EngineReport{}, errEngineDown
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	report := agent.EngineReport{Boot: run.born, Running: len(run.slots), Waiting: int(run.waiting.Load()), Loading: run.loading, Pace: 1, Leaving: e.leaving.Load()}
	if run.version > 0 {
		report.Weights = []fleet.LoadedLayers{{Model: engineModel, Version: run.version, From: 0, To: 1}}
	}
	return report, nil
}

// SetManifest implements agent.Staging.
func (e *standInEngine) SetManifest(*core.Manifest) {}

// Load implements agent.Loader.
func (e *standInEngine) Load(_ context.Context, order *engine.LoadOrder) (*engine.LoadReply, error) {
	run := e.present()
	if run == nil {
		return nil, errEngineDown
	}
	run.setWeights(run.serving(), true)
	select {
	case <-run.ended:
		return nil, fmt.Errorf("%w: %w", engine.ErrLoadUnconfirmed, errEngineDown)
	case <-time.After(loadTime):
	}
	run.setWeights(engineVersion, false)
	run.register()
	return &engine.LoadReply{Version: order.Version, Boot: uint64(run.born)}, nil
}

// ask sends a call straight to the engine and returns the answer with at most 1 MiB of
// its body as arrives.
func (e *standInEngine) ask(g *WithT, id, prefix string) (response *http.Response, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.address+"/a/x", strings.NewReader("body"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Prompt-Prefix", prefix)
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 20}
	response, err = transport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response, string(read), err
}

func (e *standInEngine) running(g *WithT) int {
	report, err := e.Report(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	return report.Running
}

func TestStandInEngineFramesItsAnswersAsSet(t *testing.T) {
	g := NewWithT(t)
	e := newStandInEngine(t, "e", address(1, freePorts(t)), newLiveStore(), newEngineRecord(), crashBehavior{})
	whole := wholeAnswer()
	for want, body := range map[shape]string{shapeChunked: whole, shapeUntilClose: whole, shapeCutInEvent: whole + "id: 11\nda"} {
		e.shape.Store(int32(want))
		response, read, err := e.ask(g, "1", "a:1,"+harmfulPart+":1") // the last part crashes no engine
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(body))
		g.Expect(response.Header.Get("X-Request-Id")).To(Equal("1"))
		g.Expect(response.ContentLength).To(BeEquivalentTo(-1))
		g.Expect(len(response.TransferEncoding) > 0).To(Equal(want == shapeChunked), "in chunks")
	}
	e.shape.Store(int32(shapeEndlessBody))
	_, read, err := e.ask(g, "1", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(HaveLen(1 << 20))
	e.shape.Store(int32(shapeEndlessHead))
	_, _, err = e.ask(g, "1", "")
	g.Expect(err).To(MatchError(ContainSubstring("headers exceeded")))
	g.Eventually(func() int { return e.running(g) }, time.Second, time.Millisecond).Should(BeZero(), "the caller has left")
}

func TestStandInEngineCrashesOnAHarmfulPart(t *testing.T) {
	for _, resets := range []bool{false, true} {
		g := NewWithT(t)
		store, record := newLiveStore(), newEngineRecord()
		e := newStandInEngine(t, "e", address(1, freePorts(t)), store, record, crashBehavior{downTime: 200 * time.Millisecond, resets: resets})
		_, body, err := e.ask(g, "1", "a:1,"+harmfulPart+":1,b:1")
		g.Expect(err).To(HaveOccurred())
		g.Expect(body).NotTo(BeEmpty())
		_, _, err = e.ask(g, "2", "")
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
		_, err = e.Report(context.Background())
		g.Expect(err).To(HaveOccurred())
		g.Eventually(func() string { return registered(store) }, time.Second, time.Millisecond).Should(ContainSubstring("servers/e-2"))
		report, err := e.Report(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(report.Weights).To(BeEmpty())
		g.Expect(record.happened().crashes).To(HaveLen(1))
		g.Expect(record.happened().harmful).To(HaveLen(1))
	}
}

// registered lists the keys of a store.
func registered(store *liveStore) string {
	snapshot, _ := store.Read(context.Background(), "")
	var keys []string
	for _, item := range snapshot.Items {
		keys = append(keys, item.Key)
	}
	return strings.Join(keys, " ")
}
