package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	protocol "github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin/platform"
)

type caller struct {
	g    *WithT
	base string
}

func start(t *testing.T, config platform.Config) (*platform.Server, caller) {
	server := platform.New(config)
	listener := httptest.NewServer(server)
	t.Cleanup(func() { listener.Close(); server.Close() })
	return server, caller{g: NewWithT(t), base: listener.URL}
}

func (c caller) try(method, path, body string) (int, string, error) {
	request, err := http.NewRequest(method, c.base+path, strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

func (c caller) do(method, path, body string) (int, string) {
	status, text, err := c.try(method, path, body)
	c.g.Expect(err).NotTo(HaveOccurred())
	return status, text
}

func (c caller) lease(ttl string) string {
	_, body := c.do("POST", "/leases?ttl_ms="+ttl, "")
	var reply protocol.LeaseReply
	c.g.Expect(json.Unmarshal([]byte(body), &reply)).To(Succeed())
	return reply.ID
}

func TestCompareAndSwapTellsTheLoserThePresentRevision(t *testing.T) {
	_, c := start(t, platform.Config{})
	status, body := c.do("PUT", "/kv/a/b?previous=0", "one")
	c.g.Expect(status).To(Equal(200))
	c.g.Expect(body).To(MatchJSON(`{"revision":1}`))
	status, body = c.do("PUT", "/kv/a/b?previous=0", "two")
	c.g.Expect(status).To(Equal(409))
	c.g.Expect(body).To(MatchJSON(`{"revision":1}`))
	_, body = c.do("GET", "/kv/a/b", "")
	c.g.Expect(body).To(Equal("one"))
}

func TestKeysVanishWhenTheirLeaseLapses(t *testing.T) {
	_, c := start(t, platform.Config{})
	id := c.lease("80")
	c.do("PUT", "/kv/home?previous=0&lease="+id, "x")
	status, _ := c.do("GET", "/watch?key=home&after=1&wait_ms=5000", "")
	c.g.Expect(status).To(Equal(404))
	status, _ = c.do("PUT", "/leases/"+id, "")
	c.g.Expect(status).To(Equal(404))
	status, _ = c.do("PUT", "/kv/home?previous=0&lease="+id, "x")
	c.g.Expect(status).To(Equal(404))
}

func TestWatchAnswersOnChangeOrAfterItsTime(t *testing.T) {
	_, c := start(t, platform.Config{})
	status, _ := c.do("GET", "/watch?key=k&after=0&wait_ms=20", "")
	c.g.Expect(status).To(Equal(204))
	answered := make(chan string)
	go func() {
		_, body, _ := c.try("GET", "/watch?key=k&after=0&wait_ms=5000", "")
		answered <- body
	}()
	c.do("PUT", "/kv/other?previous=0", "x")
	c.do("PUT", "/kv/k?previous=0", "new")
	c.g.Eventually(answered).Should(Receive(Equal("new")))
}

func TestCallsOverTheRateAreRefused(t *testing.T) {
	_, c := start(t, platform.Config{WritesPerSecond: 2})
	var statuses []int
	for range 3 {
		status, _ := c.do("PUT", "/kv/k?previous=99", "")
		statuses = append(statuses, status)
	}
	c.g.Expect(statuses).To(Equal([]int{409, 429, 429}))
}

func TestOutageReachesWaitingWatches(t *testing.T) {
	server, c := start(t, platform.Config{})
	answered := make(chan int)
	go func() {
		status, _, _ := c.try("GET", "/watch?key=k&after=0&wait_ms=5000", "")
		answered <- status
	}()
	c.g.Eventually(func() int { return server.Stats().Waiting }).Should(Equal(1))
	c.do("PUT", "/admin/faults", `{"outage":true}`)
	c.g.Eventually(answered).Should(Receive(Equal(503)))
	status, _ := c.do("GET", "/kv/k", "")
	c.g.Expect(status).To(Equal(503))
}

func TestALostAnswerKeepsItsEffect(t *testing.T) {
	server, c := start(t, platform.Config{})
	server.SetFaults(platform.Faults{LoseAnswers: 1})
	_, _, err := c.try("PUT", "/kv/k?previous=0", "kept")
	c.g.Expect(err).To(HaveOccurred())
	_, body := c.do("GET", "/kv/k", "")
	c.g.Expect(body).To(Equal("kept"))
}

func TestRollbackReturnsOldDataAndRevision(t *testing.T) {
	server, c := start(t, platform.Config{})
	c.do("PUT", "/kv/k?previous=0", "old")
	server.Snapshot()
	c.do("PUT", "/kv/k?previous=1", "new")
	c.g.Expect(server.Rollback()).To(Succeed())
	_, body := c.do("GET", "/kv/k", "")
	c.g.Expect(body).To(Equal("old"))
	c.g.Expect(server.Stats().Revision).To(Equal(uint64(1)))
}

func TestTheVMListLags(t *testing.T) {
	server, c := start(t, platform.Config{ListLag: 50 * time.Millisecond})
	server.SetVMs([]core.VM{{ID: "vm-1", State: core.VMLive}})
	_, body := c.do("GET", "/vms?after=0&wait_ms=0", "")
	c.g.Expect(body).To(MatchJSON(`{"revision":0,"vms":[]}`))
	_, body = c.do("GET", "/vms?after=0&wait_ms=5000", "")
	c.g.Expect(body).To(ContainSubstring("vm-1"))
	status, _ := c.do("PATCH", "/admin/vms/vm-1", `{"state":"leaving"}`)
	c.g.Expect(status).To(Equal(204))
	_, body = c.do("GET", "/vms?after=1&wait_ms=5000", "")
	c.g.Expect(body).To(ContainSubstring("leaving"))
}

func TestAKnownValueIsNotSentAndALongOneIsCompressed(t *testing.T) {
	_, c := start(t, platform.Config{})
	value := strings.Repeat("long ", 1000)
	c.do("PUT", "/kv/k?previous=0", value)
	known, err := http.NewRequest("GET", c.base+"/kv/k", nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	known.Header.Set("If-None-Match", protocol.EntityTag(core.DigestOf([]byte(value))))
	response, err := http.DefaultClient.Do(known)
	c.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	c.g.Expect(response.StatusCode).To(Equal(http.StatusNotModified))
	c.g.Expect(response.Header.Get(protocol.HeaderRevision)).To(Equal("1"))
	response, err = http.Get(c.base + "/kv/k")
	c.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(response.Uncompressed).To(BeTrue(), "the standard library's client decompressed the body")
	c.g.Expect(string(body)).To(Equal(value))
}
