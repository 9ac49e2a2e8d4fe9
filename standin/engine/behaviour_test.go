package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	protocol "github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/engine"
)

func (h harness) get(path string, target any) {
	response, err := http.Get(h.base + path)
	h.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	h.g.Expect(json.NewDecoder(response.Body).Decode(target)).To(Succeed())
}

// open starts a stream and returns a channel that receives its final error.
func (h harness) open(request protocol.ChatRequest) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := h.chat(request)
		ended <- err
	}()
	return ended
}

func (h harness) awaitLoad(running, queued int) {
	h.g.Eventually(func() protocol.Load {
		load := h.server.Status().Load
		load.AgeMS = 0
		return load
	}, "2s", "1ms").Should(Equal(protocol.Load{Running: running, Queued: queued}))
}

func TestTheQueueServesTheFirstClassFirst(t *testing.T) {
	config := fast()
	config.MaxBatch, config.ColdBatch = 1, 1
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	first := h.open(protocol.ChatRequest{ID: "first", MaxTokens: 200})
	h.awaitLoad(1, 0)
	late := h.open(protocol.ChatRequest{ID: "summary", MaxTokens: 200, Priority: 2})
	h.awaitLoad(1, 1)
	soon := h.open(protocol.ChatRequest{ID: "dispatch", MaxTokens: 1, Priority: 0})
	h.awaitLoad(1, 2)
	h.g.Expect(<-first).To(Succeed())
	h.g.Eventually(soon, "2s").Should(Receive(BeNil()))
	h.g.Consistently(late, "20ms").ShouldNot(Receive())
	h.g.Expect(<-late).To(Succeed())
}

func TestACancelEndsTheStreamWithoutItsLastEvent(t *testing.T) {
	h := start(t, fast())
	h.server.Load("v1", core.Digest{})
	ended := h.open(protocol.ChatRequest{ID: "one", MaxTokens: 10_000})
	h.awaitLoad(1, 0)
	h.g.Expect(h.send("POST", "/v1/cancel/one", nil)).To(Equal(204))
	h.g.Eventually(ended, "2s").Should(Receive(MatchError(protocol.ErrTruncated)))
	h.awaitLoad(0, 0)
	h.g.Expect(h.send("POST", "/v1/cancel/one", nil)).To(Equal(404))
}

func TestALoadUnderRunningStreamsMixesTheirAnswers(t *testing.T) {
	config := fast()
	config.TokenInterval = 5 * time.Millisecond
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	texts := make(chan []string, 1)
	go func() {
		got, _ := h.chat(protocol.ChatRequest{MaxTokens: 100})
		texts <- got
	}()
	h.awaitLoad(1, 0)
	time.Sleep(20 * time.Millisecond)
	h.g.Expect(h.load(h.stage("v2", "weights"), 1)).To(Equal(200))
	joined := strings.Join(<-texts, "")
	h.g.Expect(joined).To(ContainSubstring("v1/0/"))
	h.g.Expect(joined).To(ContainSubstring("v2/99/"))
	h.g.Expect(h.server.Stats().Orders[0].Running).To(Equal(1))
}

func TestTheStagingAreaIsBounded(t *testing.T) {
	config := fast()
	config.StagingBytes = 10
	h := start(t, config)
	h.g.Expect(h.send("PUT", "/control/staging/v1/0", []byte("12345678"))).To(Equal(204))
	h.g.Expect(h.send("PUT", "/control/staging/v1/1", []byte("123"))).To(Equal(507))
	h.g.Expect(h.send("PUT", "/control/staging/v1/0", []byte("1"))).To(Equal(204))
	var staged protocol.Staged
	h.get("/control/staging/v1", &staged)
	h.g.Expect(staged.Chunks).To(Equal([]int{0}))
	h.g.Expect(h.send("DELETE", "/control/staging/v1", nil)).To(Equal(204))
	h.g.Expect(h.send("PUT", "/control/staging/v2/0", []byte("1234567890"))).To(Equal(204))
}

func (h harness) ask(content string) {
	body, _ := json.Marshal(protocol.ChatRequest{MaxTokens: 1, Stream: true, Messages: []protocol.Message{{Role: "user", Content: content}}})
	stream, err := h.client.Chat(context.Background(), body)
	h.g.Expect(err).NotTo(HaveOccurred())
	for {
		if _, err = stream.Next(); err != nil {
			h.g.Expect(err).To(MatchError(io.EOF))
			return
		}
	}
}

func TestCachedPrefixesAreNotReadAgain(t *testing.T) {
	config := fast()
	config.CacheBlocks = 2
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	shared := strings.Repeat("a", 2*engine.PrefixBlockBytes)
	h.ask(shared + "one")
	h.ask(shared + "two")
	h.g.Expect(h.server.Stats().CachedBytes).To(Equal(2 * engine.PrefixBlockBytes))
	h.ask(strings.Repeat("b", 2*engine.PrefixBlockBytes))
	var page protocol.CacheEvents
	h.get("/control/cache-events?after=2", &page)
	h.g.Expect(page.Events).To(HaveLen(4))
	evicted := 0
	for _, event := range page.Events {
		if event.Evicted {
			evicted++
		}
	}
	h.g.Expect(evicted).To(Equal(2))
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	config := fast()
	config.EventLag = 50 * time.Millisecond
	config.EventGapRate = 0.5
	config.Seed = 3
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	for i := range 20 {
		h.ask(fmt.Sprint(i) + strings.Repeat("=", 2*engine.PrefixBlockBytes))
	}
	var page protocol.CacheEvents
	h.g.Eventually(func() int {
		h.get("/control/cache-events?after=0", &page)
		return len(page.Events)
	}, "2s").Should(BeNumerically(">", 5))
	time.Sleep(60 * time.Millisecond)
	h.get("/control/cache-events", &page)
	h.g.Expect(len(page.Events)).To(BeNumerically("<", 40))
}

func TestLoadReportsLag(t *testing.T) {
	config := fast()
	config.ReportLag = 100 * time.Millisecond
	h := start(t, config)
	h.server.Load("v1", core.Digest{})
	ended := h.open(protocol.ChatRequest{ID: "one", MaxTokens: 400})
	h.g.Eventually(func() int { return h.server.Stats().Tokens }, "2s", "1ms").Should(BeNumerically(">", 0))
	h.g.Expect(h.server.Status().Load).To(Equal(protocol.Load{AgeMS: 100}))
	h.awaitLoad(1, 0)
	h.g.Expect(<-ended).To(Succeed())
	h.awaitLoad(0, 0)
}

func TestAFrozenEngineSaysNothing(t *testing.T) {
	h := start(t, fast())
	h.server.SetFaults(engine.Faults{FreezeMS: 100})
	began := time.Now()
	var status protocol.Status
	h.get("/control/status", &status)
	h.g.Expect(time.Since(began)).To(BeNumerically(">=", 90*time.Millisecond))
}

func TestAnAnswerThatIsNotStreamed(t *testing.T) {
	h := start(t, fast())
	h.server.Load("v1", core.Digest{})
	response, err := http.Post(h.base+"/v1/chat/completions", "application/json", strings.NewReader(`{"max_tokens":2,"messages":[]}`))
	h.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var completion engine.Completion
	h.g.Expect(json.NewDecoder(response.Body).Decode(&completion)).To(Succeed())
	h.g.Expect(completion.SystemFingerprint).To(Equal(core.VersionID("v1")))
	h.g.Expect(completion.Choices[0].Message.Content).To(MatchRegexp(`^v1/0/\S+ v1/1/\S+ $`))
}
