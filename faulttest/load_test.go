package faulttest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// loadReport collects the answers of background callers.
type loadReport struct {
	mu sync.Mutex
	// answered and all count requests by second since start.
	start    time.Time
	answered map[int]int
	all      map[int]int
	problems []string
	reasons  map[core.Reason]int
	versions map[core.VersionID]int
	slowest  time.Duration
}

func (r *loadReport) add(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Since(r.start).Seconds())
	r.all[second]++
	r.slowest = max(r.slowest, a.elapsed)
	switch {
	case a.complete:
		r.answered[second]++
		r.versions[a.version]++
	case a.problem != "":
		r.problems = append(r.problems, a.problem)
	default:
		r.reasons[a.reason]++
	}
}

// worstSecond returns the lowest share of answered requests in any second, and that
// second.
func (r *loadReport) worstSecond() (share float64, second int) {
	share = 1
	for s, all := range r.all {
		if got := float64(r.answered[s]) / float64(all); got < share {
			share, second = got, s
		}
	}
	return share, second
}

func (r *loadReport) String() string {
	share, second := r.worstSecond()
	total, answered := 0, 0
	for s := range r.all {
		total += r.all[s]
		answered += r.answered[s]
	}
	return fmt.Sprintf("%d of %d answered, worst second %d with %.3f, slowest %s, refusals %v, versions %v, problems %v",
		answered, total, second, share, r.slowest.Round(time.Millisecond), r.reasons, r.versions, r.problems)
}

// background runs callers that send requests in a closed loop, to the entries that
// pick returns, until stop is called.
func background(callers int, pick func(n int) *entryVM, request func(e *entryVM, n int) answer) (report *loadReport, stop func()) {
	report = &loadReport{start: time.Now(), answered: map[int]int{}, all: map[int]int{}, reasons: map[core.Reason]int{}, versions: map[core.VersionID]int{}}
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := i; ; n += callers {
				select {
				case <-done:
					return
				default:
				}
				report.add(request(pick(n), n))
			}
		}()
	}
	return report, func() {
		close(done)
		running.Wait()
	}
}

// shortChat sends one short streamed completion for a background caller.
func shortChat(e *entryVM, n int) answer {
	return chat(e, fmt.Sprintf("Summarise storm call %d.", n), 20)
}

// readStock makes one idempotent service call for a background caller.
func readStock(e *entryVM, n int) answer {
	return call(e, http.MethodGet, "desk", fmt.Sprintf("/stock/%d", n), "")
}

// requireNoBrokenAnswers fails the test if a caller received a broken answer.
func (r *loadReport) requireNoBrokenAnswers(t *testing.T) {
	t.Helper()
	t.Log(r)
	if len(r.problems) > 0 {
		t.Errorf("broken answers: %v", r.problems)
	}
}

// requireAnsweredShare fails the test if in any second the share of answered
// requests was below least.
func (r *loadReport) requireAnsweredShare(t *testing.T, least float64) {
	t.Helper()
	if share, second := r.worstSecond(); share < least {
		t.Errorf("share of answered requests in second %d = %.3f, want at least %.3f", second, share, least)
	}
}
