package platform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
)

// serve runs handler on a loopback port and returns a client of that server.
func serve(t *testing.T, options platform.Options, handler http.HandlerFunc) *platform.Client {
	server := httptest.NewServer(handler)
	client := platform.New(server.URL, options)
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	return client
}

func reply(status int, header map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func TestGetReturnsValueAndRevision(t *testing.T) {
	g := NewWithT(t)
	header := map[string]string{platform.HeaderRevision: "7", platform.HeaderStoreRevision: "9"}
	client := serve(t, platform.Options{}, reply(200, header, "v"))
	value, revision, err := client.Get(t.Context(), "config/current")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(value)).To(Equal("v"))
	g.Expect(revision).To(BeEquivalentTo(7))
	g.Expect(client.StoreRevision()).To(BeEquivalentTo(9))
}

func TestAMissingKeyHasRevisionZero(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, platform.Options{}, reply(404, nil, ""))
	_, revision, err := client.Get(t.Context(), "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(BeZero())
}

func TestCompareAndSwapReportsTheWinner(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, platform.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("previous") != "4" {
			w.WriteHeader(http.StatusConflict)
		}
		fmt.Fprint(w, `{"revision":5}`)
	})
	revision, swapped, err := client.CompareAndSwap(t.Context(), "a/b c", []byte("x"), 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(swapped).To(BeTrue())
	g.Expect(revision).To(BeEquivalentTo(5))
	_, swapped, err = client.CompareAndSwap(t.Context(), "a/b c", []byte("x"), 3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(swapped).To(BeFalse())
}

func TestALostAnswerToAWriteIsUnknownAndToAReadAnOutage(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, platform.Options{Timeout: 100 * time.Millisecond}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after it has read the body
		<-r.Context().Done()
	})
	_, _, err := client.CompareAndSwap(t.Context(), "k", []byte("x"), 0)
	g.Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
	_, _, err = client.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(platform.ErrOutage))
	g.Expect(err).NotTo(MatchError(platform.ErrOutcomeUnknown))
}

func TestAnUnreachablePlatformIsAnOutageAlsoForWrites(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := platform.New(server.URL, platform.Options{})
	_, _, err := client.CompareAndSwap(t.Context(), "k", nil, 0)
	g.Expect(err).To(MatchError(platform.ErrOutage))
	g.Expect(err).NotTo(MatchError(platform.ErrOutcomeUnknown))
}

func TestRefusalsAreTyped(t *testing.T) {
	g := NewWithT(t)
	limited := serve(t, platform.Options{}, reply(429, map[string]string{"Retry-After": "0.5"}, ""))
	_, _, err := limited.Get(t.Context(), "k")
	var typed *platform.RateLimitedError
	g.Expect(err).To(MatchError(platform.ErrRateLimited))
	g.Expect(errors.As(err, &typed)).To(BeTrue())
	g.Expect(typed.RetryAfter).To(Equal(500 * time.Millisecond))
	unavailable := serve(t, platform.Options{}, reply(503, nil, ""))
	_, _, err = unavailable.CompareAndSwap(t.Context(), "k", nil, 0)
	g.Expect(err).To(MatchError(platform.ErrOutage))
	failing := serve(t, platform.Options{}, reply(500, nil, ""))
	_, _, err = failing.CompareAndSwap(t.Context(), "k", nil, 0)
	g.Expect(err).To(MatchError(platform.ErrOutcomeUnknown))
}

func TestTheClientsOwnBucketRefusesWithoutACall(t *testing.T) {
	g := NewWithT(t)
	served := 0
	client := serve(t, platform.Options{CallsPerSecond: 0.001, Burst: 2}, func(w http.ResponseWriter, _ *http.Request) {
		served++
		w.WriteHeader(404)
	})
	for range 2 {
		_, _, err := client.Get(t.Context(), "k")
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, _, err := client.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(platform.ErrRateLimited))
	g.Expect(served).To(Equal(2))
}

func TestAnswersAndKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	header := map[string]string{platform.HeaderRevision: "1"}
	client := serve(t, platform.Options{}, reply(200, header, strings.Repeat("x", platform.MaxValueBytes+1)))
	_, _, err := client.Get(t.Context(), "k")
	g.Expect(err).To(MatchError(platform.ErrTooLarge))
	_, _, err = client.Get(t.Context(), "a/../b")
	g.Expect(err).To(MatchError(platform.ErrBadKey))
	_, _, err = client.CompareAndSwap(t.Context(), "k", make([]byte, platform.MaxValueBytes+1), 0)
	g.Expect(err).To(MatchError(platform.ErrTooLarge))
}

func TestWatchTellsNoChangeFromDeletion(t *testing.T) {
	g := NewWithT(t)
	unchanged := serve(t, platform.Options{}, reply(204, nil, ""))
	_, revision, changed, err := unchanged.Watch(t.Context(), "k", 3, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeFalse())
	g.Expect(revision).To(BeEquivalentTo(3))
	deleted := serve(t, platform.Options{}, reply(404, nil, ""))
	_, revision, changed, err = deleted.Watch(t.Context(), "k", 3, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(revision).To(BeZero())
}

func TestLeasesLapse(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, platform.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			fmt.Fprint(w, `{"id":"l1"}`)
			return
		}
		w.WriteHeader(404)
	})
	id, err := client.CreateLease(t.Context(), time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(id).To(Equal("l1"))
	g.Expect(client.KeepAlive(t.Context(), id)).To(MatchError(platform.ErrLeaseExpired))
	g.Expect(client.RevokeLease(t.Context(), id)).To(MatchError(platform.ErrLeaseExpired))
}

func TestVMsReturnsTheList(t *testing.T) {
	g := NewWithT(t)
	client := serve(t, platform.Options{}, reply(200, nil, `{"revision":2,"vms":[{"id":"vm-1"}]}`))
	list, changed, err := client.VMs(context.Background(), 1, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(list.VMs).To(HaveLen(1))
}

func TestAValueThatIsKnownIsNotSent(t *testing.T) {
	g := NewWithT(t)
	value := []byte("v")
	client := serve(t, platform.Options{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRevision, "7")
		if r.Header.Get("If-None-Match") == platform.EntityTag(core.DigestOf(value)) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(value)
	})
	_, revision, changed, err := client.GetIfChanged(t.Context(), "k", core.DigestOf(value))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeFalse())
	g.Expect(revision).To(BeEquivalentTo(7))
	got, revision, changed, err := client.GetIfChanged(t.Context(), "k", core.DigestOf([]byte("former")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(got).To(Equal(value))
	g.Expect(revision).To(BeEquivalentTo(7))
}
