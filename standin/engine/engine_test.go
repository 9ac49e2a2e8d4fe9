package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	protocol "github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load/answer"
	"github.com/zinniaseam/zinniaseam/standin/engine"
)

// none disables a delay of the configuration.
const none = -1

// harness is a running stand-in with its HTTP client.
type harness struct {
	g      *WithT
	server *engine.Server
	base   string
	client *protocol.Client
}

// fast returns a configuration with short delays.
func fast() engine.Config {
	return engine.Config{
		TokenInterval: time.Millisecond, TokenPerStream: none, PrefillPerByte: none, LoadTime: none,
		ReportLag: none, EventLag: none, FailTime: 50 * time.Millisecond, Boot: 1,
	}
}

func start(t *testing.T, config engine.Config) harness {
	server := engine.New(config)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return harness{g: NewWithT(t), server: server, base: listener.URL, client: protocol.NewClient(listener.URL)}
}

func (h harness) send(method, path string, body any) int {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, h.base+path, bytes.NewReader(data))
	h.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (h harness) chat(request protocol.ChatRequest) ([]string, error) {
	request.Stream = true
	request.Messages = []protocol.Message{{Role: "user", Content: "hello"}}
	body, _ := json.Marshal(request)
	stream, err := h.client.Chat(context.Background(), body)
	if err != nil {
		return nil, err
	}
	var texts []string
	for {
		next, err := stream.Next()
		if err == io.EOF {
			return texts, nil
		}
		if err != nil {
			return texts, err
		}
		var event protocol.StreamEvent
		if err := json.Unmarshal(next.Raw, &event); err != nil {
			return texts, err
		}
		texts = append(texts, event.Choices[0].Delta.Content)
	}
}

func (h harness) stage(version core.VersionID, weights string) core.Manifest {
	const chunkBytes = 4
	m := core.Manifest{Version: version, SizeBytes: int64(len(weights)), ChunkBytes: chunkBytes, Whole: core.DigestOf([]byte(weights))}
	for i := 0; i*chunkBytes < len(weights); i++ {
		chunk := []byte(weights[i*chunkBytes : min(len(weights), (i+1)*chunkBytes)])
		m.Chunks = append(m.Chunks, core.DigestOf(chunk))
		h.g.Expect(h.send("PUT", fmt.Sprintf("/control/staging/%s/%d", version, i), chunk)).To(Equal(204))
	}
	return m
}

func (h harness) load(m core.Manifest, fence uint64) int {
	return h.send("POST", "/control/load", protocol.LoadOrder{Version: m.Version, Fence: fence, Manifest: m})
}

var prompt = answer.Prompt([]protocol.Message{{Role: "user", Content: "hello"}})

func TestAnswersDependOnTheLoadedBytes(t *testing.T) {
	h := start(t, fast())
	m := h.stage("v1", "weights")
	h.g.Expect(h.load(m, 1)).To(Equal(200))
	texts, err := h.chat(protocol.ChatRequest{MaxTokens: 4, ResumeFrom: 1})
	h.g.Expect(err).NotTo(HaveOccurred())
	generator := answer.NewGenerator("v1", m.Whole, prompt)
	h.g.Expect(texts).To(Equal([]string{generator.Token(1), generator.Token(2), generator.Token(3)}))
}

func TestIncompleteStagingIsRefusedUnlessTrusted(t *testing.T) {
	h := start(t, fast())
	m := h.stage("v1", "weights")
	m.SizeBytes += 4
	m.Chunks = append(m.Chunks, core.Digest{})
	h.g.Expect(h.load(m, 1)).To(Equal(412))
	config := fast()
	config.TrustStaging = true
	h = start(t, config)
	h.stage("v1", "weights")
	h.g.Expect(h.load(m, 1)).To(Equal(200))
}

func TestOldFencingNumbersAreRefusedOnlyWhereChecked(t *testing.T) {
	for _, check := range []bool{false, true} {
		config := fast()
		config.CheckFence = check
		h := start(t, config)
		m := h.stage("v1", "weights")
		h.g.Expect(h.load(m, 7)).To(Equal(200))
		old := h.stage("v0", "older")
		want := map[bool]int{false: 200, true: 409}[check]
		h.g.Expect(h.load(old, 6)).To(Equal(want))
	}
}

func TestAColdEngineFallsUnderMoreThanItBears(t *testing.T) {
	config := fast()
	config.TokenInterval = 100 * time.Millisecond
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	boot := h.server.Status().Boot
	var wg sync.WaitGroup
	for range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := h.chat(protocol.ChatRequest{MaxTokens: 50})
			h.g.Expect(err).To(HaveOccurred())
		}()
	}
	wg.Wait()
	h.g.Expect(h.server.Stats().Crashes).To(Equal(1))
	h.g.Expect(h.server.Status().Boot).NotTo(Equal(boot))
	h.g.Eventually(func() protocol.State { return h.server.Status().State }).Should(Equal(protocol.StateReady))
}

func TestAnEngineBearsMoreWithEachAnswer(t *testing.T) {
	config := fast()
	config.ColdBatch, config.AnswersPerSlot, config.MaxBatch = 1, 1, 3
	config.TokenInterval = 20 * time.Millisecond
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	for range 2 {
		_, err := h.chat(protocol.ChatRequest{MaxTokens: 1})
		h.g.Expect(err).NotTo(HaveOccurred())
	}
	// The engine counts an answer after its caller has read it.
	h.g.Eventually(func() int { return h.server.Stats().Served }).Should(Equal(2))
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := h.chat(protocol.ChatRequest{MaxTokens: 4})
			h.g.Expect(err).NotTo(HaveOccurred())
		}()
	}
	wg.Wait()
	h.g.Eventually(func() int { return h.server.Stats().Served }).Should(Equal(8))
	stats := h.server.Stats()
	h.g.Expect(stats.Crashes).To(BeZero())
	h.g.Expect(stats.MaxRunning).To(Equal(3))
}

func TestFaultsCutFailAndGoCold(t *testing.T) {
	h := start(t, fast())
	h.server.Load("v1", core.Digest{})
	h.server.SetFaults(engine.Faults{CutStreamAfter: 2, CutStreams: 1})
	texts, err := h.chat(protocol.ChatRequest{MaxTokens: 5})
	h.g.Expect(err).To(MatchError(protocol.ErrTruncated))
	h.g.Expect(len(texts)).To(BeNumerically("<=", 2))
	_, err = h.chat(protocol.ChatRequest{MaxTokens: 5})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.server.SetFaults(engine.Faults{FailNext: 1})
	_, err = h.chat(protocol.ChatRequest{MaxTokens: 5})
	h.g.Expect(err).To(MatchError(ContainSubstring("500")))
	boot := h.server.Status().Boot
	h.g.Expect(h.send("PUT", "/admin/faults", engine.Faults{ColdRestart: true})).To(Equal(204))
	h.g.Expect(h.server.Status().Boot).To(Equal(boot + 1))
	h.g.Expect(h.server.Status().State).To(Equal(protocol.StateReady))
}

func TestAnOtherVersionIsRefused(t *testing.T) {
	h := start(t, fast())
	h.server.Load("v1", core.Digest{})
	_, err := h.chat(protocol.ChatRequest{Version: "v2"})
	h.g.Expect(err).To(MatchError(protocol.ErrWrongVersion))
}
