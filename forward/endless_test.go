package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/zinniaseam/zinniaseam/fleet"
	"github.com/zinniaseam/zinniaseam/forward"
)

const (
	// maxFlooded bounds what a stand-in without end writes, so that a failing test does not
	// use up the memory of the machine. It exceeds the socket buffers of one connection.
	maxFlooded = 96 << 20
	// floodDeadline is the deadline of the call, promptly the time within which it must end.
	floodDeadline = 10 * time.Second
	promptly      = 2 * time.Second
)

// flood writes start and then repeats unit until the connection is closed.
func flood(conn net.Conn, start, unit string) {
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	block := []byte(strings.Repeat(unit, max(1, 64<<10/len(unit))))
	for written := 0; written < maxFlooded; written += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn) // holds the connection open until the caller closes it
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestAnAnswerWhoseHeadDoesNotEndIsAbandoned(t *testing.T) {
	for name, answer := range map[string]struct{ start, unit string }{
		"no answer":                {"", "x"},
		"line feeds":               {"", "\n"},
		"status line":              {"HTTP/1.1 200 ", "x"},
		"header line":              {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":             {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"continued header line":    {"HTTP/1.1 200 OK\r\nX: x\r\n", " x\r\n"},
		"informational answers":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"informational header":     {"HTTP/1.1 103 Early Hints\r\n", "X: x\r\n"},
		"header after information": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := serve(t, func(_ int, _ string, conn net.Conn) bool {
				flood(conn, answer.start, answer.unit)
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			start := time.Now()
			var err error
			bytes := allocated(func() { _, err = do(ctx, forward.NewPool(), e, "r", true) })
			t.Logf("%d bytes allocated in %v", bytes, time.Since(start))
			g.Expect(err).To(MatchError(forward.ErrNoAnswer))
			g.Expect(len(err.Error())).To(BeNumerically("<", 512), "the error repeats what was received")
			g.Expect(time.Since(start)).To(BeNumerically("<", promptly))
			g.Expect(bytes).To(BeNumerically("<", 1<<20))
		})
	}
}

// discard reads a body without keeping it.
func discard(ctx context.Context, e *endpoint) error {
	attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
	answer, err := forward.NewPool().Do(ctx, plain{}, attempt, true)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer)
	return err
}

func TestChunkLinesAndTrailersWithoutEndAreAbandoned(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]struct{ start, unit string }{
		"chunk size":      {head, "0"},
		"chunk extension": {head + "1;", "x"},
		"chunk lines":     {head, "1;" + strings.Repeat("x", 100) + "\r\na\r\n"},
		"trailer line":    {head + "1\r\na\r\n0\r\nX: ", "x"},
		"trailer lines":   {head + "1\r\na\r\n0\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := serve(t, func(_ int, _ string, conn net.Conn) bool {
				flood(conn, answer.start, answer.unit)
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			start := time.Now()
			var err error
			bytes := allocated(func() { err = discard(ctx, e) })
			t.Logf("%d bytes allocated in %v", bytes, time.Since(start))
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", promptly))
			g.Expect(bytes).To(BeNumerically("<", 1<<20))
		})
	}
}

// peakLiveHeap returns the most bytes that live objects took while f ran, beyond those before. It
// forces collections: the size of a heap with garbage follows the pace of the collector, which
// depends on the load of the machine.
func peakLiveHeap(f func()) uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	live := func() uint64 {
		runtime.GC()
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	before, peak := live(), uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak - min(before, peak)
		case <-time.After(time.Millisecond):
			peak = max(peak, live())
		}
	}
}

// A gateway has 284 MB for everything.
const maxHeapOfBodies = 128 << 20

func TestBodiesWithoutEndDoNotUseUpTheMemoryOfAGateway(t *testing.T) {
	const calls, maxBody = 100, 8 << 20
	for name, answer := range map[string]struct{ start, unit string }{
		"no length":     {"HTTP/1.1 200 OK\r\nId: r\r\n\r\n", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"a long length": {"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 8388608\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			begin := make(chan struct{})
			e := serve(t, func(_ int, _ string, conn net.Conn) bool {
				if _, err := io.WriteString(conn, answer.start); err != nil {
					return false
				}
				<-begin
				flood(conn, "", answer.unit)
				return false
			})
			pool := forward.NewPool()
			ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
			defer cancel()
			var answers []*forward.Answer
			for range calls {
				attempt := forward.Attempt{Call: &forward.Call{ID: "r"}, Endpoint: &fleet.Endpoint{Address: e.address}}
				answer, err := pool.Do(ctx, plain{}, attempt, true)
				g.Expect(err).NotTo(HaveOccurred())
				defer answer.Close()
				answers = append(answers, answer)
			}
			start := time.Now()
			var failed atomic.Int32
			peak := peakLiveHeap(func() {
				close(begin)
				var all sync.WaitGroup
				for _, answer := range answers {
					all.Go(func() {
						if _, err := answer.ReadAll(maxBody); err != nil {
							failed.Add(1)
						}
					})
				}
				all.Wait()
			})
			t.Logf("%d MiB of live heap, %d calls failed, %v", peak>>20, failed.Load(), time.Since(start))
			g.Expect(peak).To(BeNumerically("<", maxHeapOfBodies))
			g.Expect(time.Since(start)).To(BeNumerically("<", floodDeadline))
		})
	}
}

func TestABodyDeclaredTooLongIsNotRead(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 99999999\r\n\r\nx")
		return err == nil // and nothing follows
	})
	ctx, cancel := context.WithTimeout(context.Background(), floodDeadline)
	defer cancel()
	start := time.Now()
	_, err := do(ctx, forward.NewPool(), e, "r", true)
	g.Expect(err).To(MatchError(forward.ErrTruncated))
	g.Expect(time.Since(start)).To(BeNumerically("<", promptly))
}

func TestTheLengthInTheAnswerToAHeadRequestIsNotThatOfItsBody(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_ int, _ string, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 99999999\r\n\r\n")
		return err == nil
	})
	attempt := forward.Attempt{Call: &forward.Call{ID: "r", Method: http.MethodHead}, Endpoint: &fleet.Endpoint{Address: e.address}}
	answer, err := forward.NewPool().Do(context.Background(), withMethod{}, attempt, true)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := answer.ReadAll(1 << 20)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(BeEmpty())
}

// withMethod is plain with the method of the call.
type withMethod struct{ plain }

func (withMethod) Request(a forward.Attempt) *http.Request {
	request := plain{}.Request(a)
	request.Method = a.Call.Method
	return request
}

func TestAnEventWithoutEndIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	reader := forward.NewEventReader(io.MultiReader(strings.NewReader("id: 1\ndata: "), endless{}))
	bytes := allocated(func() {
		_, err := reader.Next()
		g.Expect(err).To(MatchError(forward.ErrTruncated))
	})
	t.Logf("%d bytes allocated", bytes)
	g.Expect(bytes).To(BeNumerically("<", 512<<10))
}

type endless struct{}

func (endless) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = 'x'
	}
	return len(into), nil
}
