package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Callers use kept connections and open new ones until the process is gone. What it has
// accepted it answers.
func TestAPlannedStopUnderLoadCutsNoCallThatHasRun(t *testing.T) {
	const (
		callers = 24
		work    = 40 * time.Millisecond
	)
	g := NewWithT(t)
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		echo(w, r)
	})
	s := newLiveStore()
	s.put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"non_idempotent","timeout-ms":2000,"goal-ms":500,
		"service":"s","max-attempts":1,"anonymous":true}],"services":[{"name":"s"}]}`))
	s.put("servers/b", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":64,"state":"ready","born":1}`, b.address))
	address, stop := startStoppable(t, s)

	var answered, cut atomic.Int64
	var done sync.WaitGroup
	gone := make(chan struct{})
	for caller := range callers {
		done.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: caller%3 == 0}}
			defer client.CloseIdleConnections()
			for number := 0; ; number++ {
				select {
				case <-gone:
					return
				default:
				}
				id := fmt.Sprintf("stop%d-%d", caller, number)
				request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/x", strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				request.Host = "h"
				request.Header.Set("X-Request-Id", id)
				response, err := client.Do(request)
				if err == nil {
					_, err = io.ReadAll(response.Body)
					response.Body.Close()
				}
				switch {
				case err == nil:
					answered.Add(1)
				case b.runs(id) > 0:
					cut.Add(1)
					t.Logf("call %s has run and its answer was cut: %v", id, err)
				default:
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped := stop()
	g.Eventually(stopped, 10*time.Second).Should(BeClosed())
	close(gone)
	done.Wait()
	g.Expect(answered.Load()).To(BeNumerically(">", callers))
	g.Expect(cut.Load()).To(BeZero())
}

// The engine answers no gateway while it leaves: its agent hears of it first.
func TestAnEngineThatTellsItsAgentThatItIsLeavingGetsNoMoreCallsFromAnyGateway(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	c := newCallers(t, f)
	c.send(warmUp, false)
	f.engines[0].leaving.Store(true)
	time.Sleep(500 * time.Millisecond)
	from := time.Now()
	c.send(judgedTime, false)
	to := time.Now()
	g.Expect(answeredShare(g, c, from, to)).To(BeNumerically(">", 0.99))
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	g.Expect(f.record.arrivals[f.engines[0].name]).NotTo(BeEmpty())
	for _, arrival := range f.record.arrivals[f.engines[0].name] {
		g.Expect(arrival.at.Before(from)).To(BeTrue(), "call %s arrived %v after that", arrival.id, arrival.at.Sub(from))
	}
}
