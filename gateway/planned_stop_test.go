package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
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

// askSlowly opens a connection and sends the head of a request. The returned function sends its
// body and returns the answer.
func askSlowly(g *WithT, address, id string) func() (*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 20000\r\nContent-Length: 4\r\n\r\n", id)
	g.Expect(err).NotTo(HaveOccurred())
	return func() (*http.Response, error) {
		defer conn.Close()
		if _, err := io.WriteString(conn, "body"); err != nil {
			return nil, err
		}
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}
}

// startLongCalls runs a gateway whose calls may last 20 s. Those with the header X-Long last
// until the gateway gives them up, the others for a time.
func startLongCalls(t *testing.T, work time.Duration) (b *backend, address string, stop func() <-chan struct{}) {
	b = newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Long") != "" {
			<-r.Context().Done()
			return
		}
		time.Sleep(work)
		echo(w, r)
	})
	s := newLiveStore()
	s.put("op/config", []byte(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"non_idempotent","timeout-ms":20000,"goal-ms":5000,
		"service":"s","max-attempts":1,"anonymous":true}],"services":[{"name":"s"}]}`))
	s.put("servers/b", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","capacity":64,"state":"ready","born":1}`, b.address))
	address, stop = startStoppable(t, s)
	return b, address, stop
}

// The gateway stops for 5 s.
func TestACallThatComesLateInAPlannedStopIsNotPassedOnToBeCut(t *testing.T) {
	g := NewWithT(t)
	b, address, stop := startLongCalls(t, time.Second)
	for i := range 4 {
		response, _, err := ask(g, address, fmt.Sprint("before", i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	early, late := askSlowly(g, address, "early"), askSlowly(g, address, "late")
	time.Sleep(50 * time.Millisecond) // both have been accepted
	stopped := stop()
	time.Sleep(500 * time.Millisecond)
	response, err := early()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), "there was time enough")
	time.Sleep(2800 * time.Millisecond) // 0.6 s before the end
	response, err = late()
	g.Expect(err).NotTo(HaveOccurred(), "cut with %d runs", b.runs("late"))
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(response.Close).To(BeTrue())
	g.Expect(b.runs("late")).To(BeZero())
	g.Eventually(stopped, 3*time.Second).Should(BeClosed())
}

func TestACallThatOutlastsAPlannedStopIsAnswered(t *testing.T) {
	g := NewWithT(t)
	b, address, stop := startLongCalls(t, 0)
	answered := make(chan int, 1)
	go func() {
		response, _, err := askWith(g, address, "long", map[string]string{"X-Long": "1", "X-Timeout-Ms": "20000"})
		answered <- status(response, err)
	}()
	g.Eventually(func() int { return b.runs("long") }).Should(Equal(1))
	stopped := stop()
	g.Eventually(stopped, 6*time.Second).Should(BeClosed())
	g.Eventually(answered).Should(Receive(Equal(http.StatusBadGateway)), "0 is a cut connection")
}
