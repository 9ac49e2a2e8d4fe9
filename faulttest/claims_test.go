package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Flags for long runs; CI uses the defaults.
var (
	claimRuns = flag.Int("claim-runs", 4, "number of fault runs of the at-most-once test")
	claimSeed = flag.Uint64("claim-seed", 1, "seed of the first fault run")
	ledgerID  = flag.String("ledger", "grouped", "claims ledger of the endpoint processes")
)

const (
	claimCallers   = 4
	claimRunTime   = 4 * time.Second
	claimAttempts  = 3
	claimDeadline  = "1200"
	settleTime     = 1500 * time.Millisecond
	parallelClaims = 4
)

// keyOutcomes counts the outcomes that callers received for one key.
type keyOutcomes struct {
	answered int
	notRun   int
	unknown  int
	// lastNotRun is set if the most recent outcome was that the call did not run.
	lastNotRun bool
	bodies     map[string]bool
}

// callerLog collects the outcomes by key.
type callerLog struct {
	mu      sync.Mutex
	keys    map[string]*keyOutcomes
	reasons map[string]int
}

func (l *callerLog) add(key string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.keys[key]
	if o == nil {
		o = &keyOutcomes{bodies: map[string]bool{}}
		l.keys[key] = o
	}
	o.lastNotRun = a.outcome == "not_run"
	switch {
	case a.complete:
		o.answered++
		o.bodies[a.body] = true
	case a.outcome == "not_run":
		o.notRun++
	default:
		o.unknown++
	}
	if !a.complete {
		l.reasons[a.outcome+" "+string(a.reason)]++
	}
}

// Guards against a call that runs twice, or whose outcome contradicts its execution,
// when processes die or freeze, connections drop data, zones are partitioned and the
// platform fails while callers retry through other entries.
func TestAtMostOnceUnderFaults(t *testing.T) {
	slots := make(chan struct{}, parallelClaims)
	for i := range *claimRuns {
		seed := *claimSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runClaimFaults(t, seed)
		})
	}
}

func runClaimFaults(t *testing.T, seed uint64) {
	c := newCluster(t)
	c.relayed = true
	c.addEntry("a")
	c.addEntry("b")
	for _, zone := range []core.ZoneID{"a", "b", "b"} {
		c.addService(zone, "desk", "-claims-ledger", *ledgerID)
	}
	c.deploy(c.addVersion("v1", 1<<20, 1), "a", "b")
	c.eventually(15*time.Second, "answer of the service", func() bool {
		for _, e := range c.entries {
			if !call(e, http.MethodPost, "desk", "/orders", fmt.Sprintf("warm-%d-%s", seed, e.vm.ID)).complete {
				return false
			}
		}
		return true
	})
	log := &callerLog{keys: map[string]*keyOutcomes{}, reasons: map[string]int{}}
	end := time.Now().Add(claimRunTime)
	var running sync.WaitGroup
	for i := range claimCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			placeOrders(c, log, rand.New(rand.NewPCG(seed, uint64(i))), fmt.Sprintf("%d-%d", seed, i), end)
		}()
	}
	injectFaults(c, rand.New(rand.NewPCG(seed, 99)), end)
	running.Wait()
	time.Sleep(settleTime)
	checkLedger(t, seed, log, c.ledger())
}

// placeOrders makes non-idempotent calls with an idempotency key and retries each
// through another entry.
func placeOrders(c *cluster, log *callerLog, random *rand.Rand, name string, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		key := fmt.Sprintf("key-%s-%d", name, n)
		first := random.IntN(len(c.entries))
		for attempt := range claimAttempts {
			e := c.entries[(first+attempt)%len(c.entries)]
			a := call(e, http.MethodPost, "desk", "/orders", key, "X-Deadline-Ms", claimDeadline)
			log.add(key, a)
			if a.complete && random.IntN(4) > 0 {
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// injectFaults injects random faults one after the other until end and reverts each.
func injectFaults(c *cluster, random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		pause := time.Duration(100+random.IntN(700)) * time.Millisecond
		service := c.services[random.IntN(len(c.services))]
		entry := c.entries[random.IntN(len(c.entries))]
		switch random.IntN(10) {
		case 0:
			service.proc.kill()
			time.Sleep(pause)
			service.proc.run()
		case 1, 2:
			service.proc.freeze()
			time.Sleep(2 * pause)
			service.proc.unfreeze()
		case 3:
			c.peerRelays[service.vm.ID].blackhole()
		case 4:
			c.setFaults(service.url, map[string]any{"dieAfterRate": 0.5, "seed": 7})
			time.Sleep(pause)
			c.setFaults(service.url, map[string]any{})
		case 5:
			c.setFaults(service.url, map[string]any{"dieBeforeRate": 0.5, "seed": 7})
			time.Sleep(pause)
			c.setFaults(service.url, map[string]any{})
		case 6:
			c.setFaults(c.platform, map[string]any{"outage": true})
			time.Sleep(pause)
			c.setFaults(c.platform, map[string]any{})
		case 7:
			c.setFaults(c.platform, map[string]any{"loseAnswerRate": 0.3, "seed": random.Uint64() >> 12})
			time.Sleep(2 * pause)
			c.setFaults(c.platform, map[string]any{})
		case 8:
			c.partition(c.vmZone(service.vm.ID))
			time.Sleep(pause)
			c.healPartitions()
		case 9:
			entry.proc.kill()
			time.Sleep(pause)
			entry.proc.run()
		}
		time.Sleep(pause)
	}
}

// checkLedger compares the outcomes that callers received with the executions of
// the services.
func checkLedger(t *testing.T, seed uint64, log *callerLog, executions map[string]int) {
	t.Helper()
	var answered, notRun, unknown, duplicates int
	for key, o := range log.keys {
		count := executions[key]
		if count > 1 {
			duplicates++
			t.Errorf("seed %d: key %s ran %d times", seed, key, count)
		}
		if o.answered > 0 && count == 0 {
			t.Errorf("seed %d: key %s was answered but never ran", seed, key)
		}
		if o.answered == 0 && o.unknown == 0 && count > 0 {
			t.Errorf("seed %d: all outcomes of key %s were not_run, but it ran", seed, key)
		}
		if o.lastNotRun && count > 0 {
			t.Errorf("seed %d: the last outcome of key %s was not_run, but it ran", seed, key)
		}
		if len(o.bodies) > 1 {
			t.Errorf("seed %d: key %s had %d different answers", seed, key, len(o.bodies))
		}
		answered += min(o.answered, 1)
		notRun += o.notRun
		unknown += o.unknown
	}
	t.Logf("seed %d: %d keys, %d answered, %d rejected as not run, %d unknown, %d duplicate executions, %v", seed, len(log.keys), answered, notRun, unknown, duplicates, log.reasons)
}
