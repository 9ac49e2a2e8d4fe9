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

const none = -1

type bench struct {
	g      *WithT
	server *engine.Server
	base   string
	client *protocol.Client
}

func fast() engine.Config {
	return engine.Config{
		TokenInterval: time.Millisecond, TokenPerStream: none, PrefillPerByte: none, LoadTime: none,
		ReportLag: none, EventLag: none, FailTime: 50 * time.Millisecond, Boot: 1,
	}
}

func start(t *testing.T, config engine.Config) bench {
	server := engine.New(config)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return bench{g: NewWithT(t), server: server, base: listener.URL, client: protocol.NewClient(listener.URL)}
}

func (b bench) send(method, path string, body any) int {
	data, ok := body.([]byte)
	if !ok {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, b.base+path, bytes.NewReader(data))
	b.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (b bench) chat(request protocol.ChatRequest) ([]string, error) {
	request.Stream = true
	request.Messages = []protocol.Message{{Role: "user", Content: "hello"}}
	body, _ := json.Marshal(request)
	stream, err := b.client.Chat(context.Background(), body)
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

func (b bench) stage(version core.VersionID, weights string) core.Manifest {
	const chunkBytes = 4
	m := core.Manifest{Version: version, SizeBytes: int64(len(weights)), ChunkBytes: chunkBytes, Whole: core.DigestOf([]byte(weights))}
	for i := 0; i*chunkBytes < len(weights); i++ {
		chunk := []byte(weights[i*chunkBytes : min(len(weights), (i+1)*chunkBytes)])
		m.Chunks = append(m.Chunks, core.DigestOf(chunk))
		b.g.Expect(b.send("PUT", fmt.Sprintf("/control/staging/%s/%d", version, i), chunk)).To(Equal(204))
	}
	return m
}

func (b bench) load(m core.Manifest, fence uint64) int {
	return b.send("POST", "/control/load", protocol.LoadOrder{Version: m.Version, Fence: fence, Manifest: m})
}

var prompt = answer.Prompt([]protocol.Message{{Role: "user", Content: "hello"}})

func TestAnswersDependOnTheLoadedBytes(t *testing.T) {
	b := start(t, fast())
	m := b.stage("v1", "weights")
	b.g.Expect(b.load(m, 1)).To(Equal(200))
	texts, err := b.chat(protocol.ChatRequest{MaxTokens: 4, ResumeFrom: 1})
	b.g.Expect(err).NotTo(HaveOccurred())
	script := answer.NewGenerator("v1", m.Whole, prompt)
	b.g.Expect(texts).To(Equal([]string{script.Token(1), script.Token(2), script.Token(3)}))
}

func TestIncompleteStagingIsRefusedUnlessTrusted(t *testing.T) {
	b := start(t, fast())
	m := b.stage("v1", "weights")
	m.SizeBytes += 4
	m.Chunks = append(m.Chunks, core.Digest{})
	b.g.Expect(b.load(m, 1)).To(Equal(412))
	config := fast()
	config.TrustStaging = true
	b = start(t, config)
	b.stage("v1", "weights")
	b.g.Expect(b.load(m, 1)).To(Equal(200))
}

func TestOldFencingNumbersAreRefusedOnlyWhereChecked(t *testing.T) {
	for _, check := range []bool{false, true} {
		config := fast()
		config.CheckFence = check
		b := start(t, config)
		m := b.stage("v1", "weights")
		b.g.Expect(b.load(m, 7)).To(Equal(200))
		old := b.stage("v0", "older")
		want := map[bool]int{false: 200, true: 409}[check]
		b.g.Expect(b.load(old, 6)).To(Equal(want))
	}
}

func TestAColdEngineFallsUnderMoreThanItBears(t *testing.T) {
	config := fast()
	config.TokenInterval = 100 * time.Millisecond
	b := start(t, config)
	b.server.Load("v1", core.Digest{})
	boot := b.server.Status().Boot
	var wg sync.WaitGroup
	for range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := b.chat(protocol.ChatRequest{MaxTokens: 50})
			b.g.Expect(err).To(HaveOccurred())
		}()
	}
	wg.Wait()
	b.g.Expect(b.server.Stats().Crashes).To(Equal(1))
	b.g.Expect(b.server.Status().Boot).NotTo(Equal(boot))
	b.g.Eventually(func() protocol.State { return b.server.Status().State }).Should(Equal(protocol.StateReady))
}

func TestAnEngineBearsMoreWithEachAnswer(t *testing.T) {
	config := fast()
	config.ColdBatch, config.AnswersPerSlot, config.MaxBatch = 1, 1, 3
	config.TokenInterval = 20 * time.Millisecond
	b := start(t, config)
	b.server.Load("v1", core.Digest{})
	for range 2 {
		_, err := b.chat(protocol.ChatRequest{MaxTokens: 1})
		b.g.Expect(err).NotTo(HaveOccurred())
	}
	// The engine counts an answer after its caller has read it.
	b.g.Eventually(func() int { return b.server.Stats().Served }).Should(Equal(2))
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := b.chat(protocol.ChatRequest{MaxTokens: 4})
			b.g.Expect(err).NotTo(HaveOccurred())
		}()
	}
	wg.Wait()
	b.g.Eventually(func() int { return b.server.Stats().Served }).Should(Equal(8))
	stats := b.server.Stats()
	b.g.Expect(stats.Crashes).To(BeZero())
	b.g.Expect(stats.MaxRunning).To(Equal(3))
}

func TestFaultsCutFailAndGoCold(t *testing.T) {
	b := start(t, fast())
	b.server.Load("v1", core.Digest{})
	b.server.SetFaults(engine.Faults{CutStreamAfter: 2, CutStreams: 1})
	texts, err := b.chat(protocol.ChatRequest{MaxTokens: 5})
	b.g.Expect(err).To(MatchError(protocol.ErrTruncated))
	b.g.Expect(len(texts)).To(BeNumerically("<=", 2))
	_, err = b.chat(protocol.ChatRequest{MaxTokens: 5})
	b.g.Expect(err).NotTo(HaveOccurred())
	b.server.SetFaults(engine.Faults{FailNext: 1})
	_, err = b.chat(protocol.ChatRequest{MaxTokens: 5})
	b.g.Expect(err).To(MatchError(ContainSubstring("500")))
	boot := b.server.Status().Boot
	b.g.Expect(b.send("PUT", "/admin/faults", engine.Faults{ColdRestart: true})).To(Equal(204))
	b.g.Expect(b.server.Status().Boot).To(Equal(boot + 1))
	b.g.Expect(b.server.Status().State).To(Equal(protocol.StateReady))
}

func TestAnOtherVersionIsRefused(t *testing.T) {
	b := start(t, fast())
	b.server.Load("v1", core.Digest{})
	_, err := b.chat(protocol.ChatRequest{Version: "v2"})
	b.g.Expect(err).To(MatchError(protocol.ErrWrongVersion))
}
