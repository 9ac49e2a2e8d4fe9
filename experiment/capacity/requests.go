package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/entry"
	"github.com/zinniaseam/zinniaseam/experiment"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/logging"
	"github.com/zinniaseam/zinniaseam/node"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/routing"
)

// Requests is the cost of streamed chats through an entry to an endpoint process that
// only sends prepared events.
type Requests struct {
	// Endpoints is the number of endpoints of the pool in the entry's view.
	Endpoints int `json:"endpoints"`
	Tokens    int `json:"tokens"`
	Requests  int `json:"requests"`
	// Micros is the total processor time of caller, entry and endpoint for a request.
	// The parts of the caller and the endpoint do not depend on Endpoints.
	Micros float64 `json:"microseconds"`
	// BackendBytes is the number of bytes on the connection between entry and endpoint
	// for a request.
	BackendBytes float64 `json:"backendBytes"`
}

const (
	requestCount   = 1600
	requestWorkers = 4
	refreshEvery   = time.Second
	promptBytes    = 1024
)

func measureRequests(ctx context.Context, options experiment.Options) ([]Requests, error) {
	rows := []Requests{
		{Endpoints: 10, Tokens: 16}, {Endpoints: 164, Tokens: 16}, {Endpoints: 1000, Tokens: 16}, {Endpoints: 2300, Tokens: 16},
		{Endpoints: 10, Tokens: 128}, {Endpoints: 10, Tokens: 512},
	}
	count := requestCount
	if options.Quick {
		count /= quickWorkDivisor
		rows = []Requests{rows[0], rows[1], rows[4]}
	}
	for i := range rows {
		rows[i].Requests = count
		if err := rows[i].measure(ctx); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// tokenEndpoint answers every call with the same number of tokens.
type tokenEndpoint struct {
	peerpb.UnimplementedEndpointServer
	tokens int
}

// Call implements peerpb.EndpointServer.
func (e *tokenEndpoint) Call(_ *peerpb.CallRequest, stream grpc.ServerStreamingServer[peerpb.CallEvent]) error {
	head := &peerpb.CallEvent{Head: &peerpb.CallHead{Status: http.StatusOK, Version: versionName}}
	if err := stream.Send(head); err != nil {
		return err
	}
	for i := range e.tokens {
		if err := stream.Send(tokenEvent(i)); err != nil {
			return err
		}
	}
	load := &peerpb.EndpointLoad{InFlight: 1, Limit: largeLimit}
	return stream.Send(&peerpb.CallEvent{End: &peerpb.CallEnd{Load: load}})
}

// tokenEvent returns the event of one token in an engine's format.
func tokenEvent(offset int) *peerpb.CallEvent {
	body := fmt.Sprintf(`{"id":"00000000-0000-0000-0000-000000000000","object":"chat.completion.chunk","created":1764800000,"model":%q,"system_fingerprint":%q,"choices":[{"index":0,"delta":{"content":" load"}}]}`, modelName, versionName)
	return &peerpb.CallEvent{Data: &peerpb.CallData{Body: []byte(body), TokenOffset: uint32(offset)}}
}

// measure starts an entry and an endpoint, sends the requests and fills in Micros and
// BackendBytes.
func (r *Requests) measure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wire atomic.Int64
	endpointAddr, stopEndpoint, err := serveTokens(r.Tokens, &wire)
	if err != nil {
		return err
	}
	defer stopEndpoint()
	n, err := newEntryNode(ctx)
	if err != nil {
		return err
	}
	picker, err := routing.Pickers.New(routing.DefaultPicker)
	if err != nil {
		return err
	}
	handler := entry.NewCallerAPI(n, entry.NewDispatcher(n, entry.NewEndpointTable(n, picker, routing.HedgeConfig{}, true))).Handler()
	url, stopEntry, err := serveHTTP(handler)
	if err != nil {
		return err
	}
	defer stopEntry()
	go refreshEndpoints(ctx, n, r.Endpoints, endpointAddr)
	if err := kernel.Sleep(ctx, refreshEvery/2); err != nil {
		return err
	}
	body, err := chatBody()
	if err != nil {
		return err
	}
	if err := send(ctx, url, body, requestWorkers); err != nil {
		return err
	}
	wire.Store(0)
	before := processorTime()
	if err := send(ctx, url, body, r.Requests); err != nil {
		return err
	}
	r.Micros = float64((processorTime() - before).Microseconds()) / float64(r.Requests)
	r.BackendBytes = float64(wire.Load()) / float64(r.Requests)
	return nil
}

func serveTokens(tokens int, wire *atomic.Int64) (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("capacity: %w", err)
	}
	server := grpc.NewServer()
	peerpb.RegisterEndpointServer(server, &tokenEndpoint{tokens: tokens})
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: wire}) }()
	return listener.Addr().String(), server.Stop, nil
}

func serveHTTP(handler http.Handler) (url string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("capacity: %w", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), func() { _ = server.Close() }, nil
}

// newEntryNode returns the node of an entry with a configuration.
func newEntryNode(ctx context.Context) (*node.Node, error) {
	doc, err := documentWithHistory(catalogueOf(catalogueObjects / 10))
	if err != nil {
		return nil, err
	}
	data, err := doc.Encode()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	identity := node.Identity{VM: receiver, Role: core.RoleEntry, Zone: zoneName(1), Region: regionName(1), LocalAddr: "127.0.0.1:0", Incarnation: firstIncarnation}
	n := node.New(identity, logging.Discard())
	go func() { _ = n.Pool.Run(ctx) }()
	_, err = n.Exchange(ctx, &peerpb.Knowledge{From: sender, Config: &peerpb.Config{Revision: doc.Revision, Json: data}})
	return n, err
}

// refreshEndpoints reports the endpoints to the node every refreshEvery, like exchanges.
func refreshEndpoints(ctx context.Context, n *node.Node, endpoints int, addr string) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		_, _ = n.Exchange(ctx, &peerpb.Knowledge{From: sender, Incarnation: firstIncarnation, Endpoints: endpointStates(endpoints, addr, sequence)})
		_ = kernel.Sleep(ctx, refreshEvery)
	}
}

func chatBody() ([]byte, error) {
	return json.Marshal(engine.ChatRequest{
		Model: modelName, Stream: true, Messages: []engine.Message{{Role: "user", Content: string(bytes.Repeat([]byte("a"), promptBytes))}},
	})
}

// send sends count requests from requestWorkers concurrent callers and reads the
// answers.
func send(ctx context.Context, url string, body []byte, count int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requestWorkers}}
	defer client.CloseIdleConnections()
	failures := make(chan error, requestWorkers)
	var callers sync.WaitGroup
	for range requestWorkers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range count / requestWorkers {
				if err := sendOne(ctx, client, url, body); err != nil {
					failures <- err
					return
				}
			}
		}()
	}
	callers.Wait()
	close(failures)
	return <-failures
}

func sendOne(ctx context.Context, client *http.Client, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("capacity: request: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("capacity: answer: %w", err)
	}
	if response.StatusCode != http.StatusOK || !bytes.Contains(answer, []byte("[DONE]")) {
		return fmt.Errorf("capacity: status %d: %.200s", response.StatusCode, answer)
	}
	return nil
}
