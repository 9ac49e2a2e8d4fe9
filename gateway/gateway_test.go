package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/gateway"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/metastore"
	"github.com/zinniaseam/zinniaseam/placement"
	"github.com/zinniaseam/zinniaseam/platform"
)

// store is a metadata store with fixed content. While away is set, it is unavailable.
// Once revoked is set, watches return a declaration without keys. While quiet is set, a
// watch that may wait does so for long, and while silent is set nothing is answered.
type store struct {
	items         []metastore.Change
	away          atomic.Bool
	revoked       atomic.Bool
	quiet, silent atomic.Bool
}

// withoutKeys is the first item with a later version and another key.
func (s *store) withoutKeys() metastore.Change {
	value := strings.Replace(string(s.items[0].Value), `"version":1`, `"version":2`, 1)
	return metastore.Change{Key: s.items[0].Key, Value: []byte(strings.Replace(value, `["key"]`, `["other"]`, 1)), Revision: 2}
}

func (s *store) Read(context.Context, string) (metastore.Snapshot, error) {
	if s.away.Load() {
		return metastore.Snapshot{}, metastore.ErrUnavailable
	}
	return metastore.Snapshot{Items: s.items, Revision: 1}, nil
}

func (s *store) Revision(ctx context.Context) (uint64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, nil
}

func (s *store) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]metastore.Change, uint64, error) {
	if s.away.Load() {
		return nil, 0, metastore.ErrUnavailable
	}
	if s.silent.Load() || s.quiet.Load() && wait > 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if s.revoked.Load() && after < 2 {
		return []metastore.Change{s.withoutKeys()}, 2, nil
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(20 * time.Millisecond):
		return nil, after, nil
	}
}

// backend answers with a function and counts the requests that it ran.
type backend struct {
	address  string
	listener net.Listener
	mu       sync.Mutex
	ran      map[string]int
}

func (b *backend) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

// calls returns the number of calls that it ran.
func (b *backend) calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ran)
}

func newBackend(t *testing.T, answer http.HandlerFunc) *backend {
	t.Helper()
	b := &backend{ran: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	b.address, b.listener = listener.Addr().String(), listener
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		b.mu.Lock()
		b.ran[id]++
		b.mu.Unlock()
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Seal", "seal")
		answer(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return b
}

// start runs a gateway in front of the backends and returns its address. Its route is
// resumable.
func start(t *testing.T, kind string, backends ...*backend) (string, *store) {
	t.Helper()
	return startRoute(t, kind, true, backends...)
}

func startRoute(t *testing.T, kind string, resumable bool, backends ...*backend) (string, *store) {
	t.Helper()
	g := NewWithT(t)
	declared := fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":%q,"timeout-ms":2000,"goal-ms":100,
		"service":"s","max-attempts":2,"resumable":%t}],"services":[{"name":"s"}],"tenants":[{"name":"team","api-keys":["key"]}]}`, kind, resumable)
	s := &store{items: []metastore.Change{{Key: "op/config", Value: []byte(declared), Revision: 1}}}
	for i, b := range backends {
		entry, err := json.Marshal(map[string]any{"service": "s", "address": b.address, "zone": "z", "capacity": 4, "state": "ready"})
		g.Expect(err).NotTo(HaveOccurred())
		s.items = append(s.items, metastore.Change{Key: "servers/b" + strconv.Itoa(i), Value: entry, Revision: 1})
	}
	return startOn(t, s), s
}

// renewalInterval is the time between two renewals of an endpoint's entry.
const renewalInterval = 1200 * time.Millisecond

// startOn runs a gateway that follows a store and returns its address.
func startOn(t *testing.T, s metastore.Store) string {
	t.Helper()
	address, _ := startStoppable(t, s)
	return address
}

// startStoppable is startOn with a function that begins the gateway's planned stop, and returns
// a channel that is closed when the gateway has stopped.
func startStoppable(t *testing.T, s metastore.Store) (address string, stop func() <-chan struct{}) {
	t.Helper()
	g := NewWithT(t)
	callers, ready := freeAddress(t), freeAddress(t)
	decoder := &platform.Decoder{Regions: map[core.ZoneID]core.RegionID{"z": "r"}}
	tracker := fleet.NewTracker(fleet.RenewalInterval(renewalInterval), decoder, boottime.Now, logging.Discard())
	placer := placement.New(placement.Config{Zone: "z", Region: "r", Random: rand.New(rand.NewPCG(1, 1))})
	gw, err := gateway.New(gateway.Config{
		CallerListen: callers, ReadyListen: ready, MaxKeyAge: 300 * time.Millisecond, MaxDeclarationAge: 300 * time.Millisecond,
		RetryRatio: 0.2, RetrySlack: 10, Gateways: 1, StopTimeout: 5 * time.Second, WatchWait: 50 * time.Millisecond, MetricsListen: freeAddress(t),
		Relay: gateway.RelayConfig{Listen: freeAddress(t), Zone: "z", Region: "r", Version: platform.VersionID},
	}, platform.Dialect{}, s, platform.NewOrigin(), tracker, placer, boottime.Now, logging.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	stopped := make(chan struct{})
	go func() {
		done <- gw.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		g.Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})
	g.Eventually(func() int { return status(http.Get("http://" + ready + "/")) }, 5*time.Second, 10*time.Millisecond).Should(Equal(http.StatusOK))
	return callers, func() <-chan struct{} {
		cancel()
		return stopped
	}
}

func status(response *http.Response, err error) int {
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts sync.Map

// freeAddress returns an address that no other process takes: the port is below the range of
// ephemeral ports, the IP address this process's.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := freePorts(t)
		if _, given := givenPorts.LoadOrStore(port, true); !given {
			return address(1, port)
		}
	}
}

// ask sends one request with a key.
func ask(g *WithT, address, id string) (*http.Response, string, error) {
	return askWith(g, address, id, nil)
}

// askWith sends one request with a key and further headers.
func askWith(g *WithT, address, id string, header map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/x", strings.NewReader("body"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", "2000")
	request.Header.Set("Authorization", "Bearer key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return conn, buffer
}

func cut(w http.ResponseWriter, _ *http.Request) {
	conn, _ := hijack(w)
	conn.Close()
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "%s %s", r.Header.Get("X-Tenant"), body)
}

func TestACallIsAnsweredByItsEndpoint(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "non_idempotent", newBackend(t, echo))
	response, body, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Header.Get("X-Response-Seal")).To(Equal("seal"))
	g.Expect(body).To(Equal("team body"))
}

func TestACallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	first, second := newBackend(t, cut), newBackend(t, cut)
	address, _ := start(t, "non_idempotent", first, second)
	response, _, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway)) // does not imply that the call has not run
	g.Expect(first.runs("1") + second.runs("1")).To(Equal(1))
}

func TestAnIdempotentCallIsSentToAnotherEndpoint(t *testing.T) {
	g := NewWithT(t)
	var number atomic.Int32
	answer := func(w http.ResponseWriter, r *http.Request) {
		if number.Add(1) == 1 {
			cut(w, r)
			return
		}
		echo(w, r)
	}
	address, _ := start(t, "idempotent", newBackend(t, answer), newBackend(t, answer))
	response, _, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func TestARefusalOfEveryEndpointIsPassedOnAsNotRun(t *testing.T) {
	g := NewWithT(t)
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	address, _ := start(t, "non_idempotent", newBackend(t, full), newBackend(t, full))
	response, _, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(strconv.ParseFloat(response.Header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
}

func TestAnUnconfirmedRefusalPromisesNothing(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "non_idempotent", newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	response, _, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
}

// events writes numbered events and closes the connection after cutAfter of them.
func events(w http.ResponseWriter, r *http.Request, upTo, cutAfter int) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for i := from + 1; i <= upTo; i++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		w.(http.Flusher).Flush()
		if i == cutAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

func TestABrokenStreamGoesOnAtAnotherEndpointWithoutAGap(t *testing.T) {
	g := NewWithT(t)
	var number atomic.Int32
	answer := func(w http.ResponseWriter, r *http.Request) {
		cutAfter := 0
		if number.Add(1) == 1 {
			cutAfter = 3
		}
		events(w, r, 6, cutAfter)
	}
	address, _ := start(t, "streaming", newBackend(t, answer), newBackend(t, answer))
	_, body, err := ask(g, address, "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\nid: 6\ndata: x\n\n"))
}

func TestAStreamThatCannotGoOnDoesNotLookWhole(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "streaming", newBackend(t, func(w http.ResponseWriter, r *http.Request) { events(w, r, 6, 3) }))
	_, _, err := ask(g, address, "1")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

func TestNoKeyIsTakenOnAnOldDeclaration(t *testing.T) {
	g := NewWithT(t)
	address, s := start(t, "idempotent", newBackend(t, echo))
	s.away.Store(true)
	g.Eventually(func() int {
		response, _, err := ask(g, address, "1")
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	s.away.Store(false)
	g.Eventually(func() int {
		response, _, err := ask(g, address, "1")
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}

func TestTheEndpointsWorkEndsWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	arrived := make(chan struct{})
	address, _ := start(t, "streaming", newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	}))
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	fmt.Fprint(conn, "GET /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Timeout-Ms: 2000\r\nAuthorization: Bearer key\r\n\r\n")
	<-arrived
	conn.Close()
	g.Eventually(ended, 500*time.Millisecond).Should(BeClosed())
}

func TestUnknownRoutesAndKeysAreDenied(t *testing.T) {
	g := NewWithT(t)
	address, _ := start(t, "idempotent", newBackend(t, echo))
	get := func(host, path, key string) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Host = host
		request.Header.Set("Authorization", "Bearer "+key)
		return status(http.DefaultClient.Do(request))
	}
	g.Expect(get("h", "/b/", "key")).To(Equal(http.StatusNotFound))
	g.Expect(get("other", "/a/", "key")).To(Equal(http.StatusNotFound))
	g.Expect(get("h", "/a/", "wrong")).To(Equal(http.StatusUnauthorized))
}

// The body of a request may arrive long after its head. What counts is the declaration
// when the call is admitted.
func TestAKeyThatIsTakenAwayWhileTheBodyArrivesIsDenied(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, echo)
	address, s := start(t, "idempotent", b)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Timeout-Ms: 2000\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\nbo")
	time.Sleep(100 * time.Millisecond)
	s.revoked.Store(true)
	g.Eventually(func() int {
		response, _, err := ask(g, address, "2")
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}, 5*time.Second, 20*time.Millisecond).Should(Equal(http.StatusUnauthorized))
	fmt.Fprint(conn, "dy")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	g.Expect(b.runs("1")).To(BeZero())
}
