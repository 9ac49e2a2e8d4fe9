package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The departure of a runner: one of three runners leaves without reporting that it is draining,
// while the store cuts the watches that are waiting.
const (
	departureRounds = 3
	firstRunnerHost = 101
	deskRunners     = 3
	// settle is how long all runners have been registered before one leaves.
	settle = 4 * time.Second
	// quiet is how long no calls come before and after the departure: until callsAfter.
	quiet      = 300 * time.Millisecond
	callsAfter = drainTime + 50*time.Millisecond
	// calls come at each gateway at one moment, burstCount times.
	callsAtOnce = 12
	burstCount  = 2
	burstGap    = 100 * time.Millisecond
	// serveOn is how long a runner that leaves goes on serving beyond the drain time.
	serveOn = 2 * time.Second
	// cutPeriod is how long the store cuts watches that are waiting.
	cutPeriod = 60 * time.Millisecond
	// watchesWithin is how long the store waits until all gateways have a watch waiting.
	watchesWithin = 10 * time.Second
)

var departureGateways = []int{1, 2, 3}

const deskConfig = `{"version":1,"routes":[{"name":"order","host":"desk.example","prefix":"/orders/","kind":"non_idempotent",
"timeout-ms":1000,"goal-ms":100,"priority":1,"service":"desk","max-attempts":1,"anonymous":false,"resumable":false,"allowed-regions":[]}],
"services":[{"name":"desk","health-path":"/healthz","max-conns":100,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"town","api-keys":["key1"],"priority":1,"allowed-regions":[]}]}`

// consumer sends calls to gateways.
type consumer struct {
	d      *deployment
	client *http.Client
	done   sync.WaitGroup

	mu     sync.Mutex
	number int
	sent   map[string]time.Time
}

func newConsumer(d *deployment) *consumer {
	return &consumer{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 1100 * time.Millisecond}, sent: map[string]time.Time{}}
}

// order sends one order to a gateway and records its answer.
func (c *consumer) order(gateway int) {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%08x%08x", gateway, c.number)
	c.sent[id] = time.Now()
	c.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.d.address(gateway, portFront)+"/orders/new", strings.NewReader("salt"))
	if err != nil {
		panic(err)
	}
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", "1000")
	request.Header.Set("Authorization", "Bearer key1")
	c.d.note("%s sent to gateway %d", id, gateway)
	response, err := c.client.Do(request)
	if err != nil {
		c.d.note("%s no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	c.d.note("%s answered %d %q, read %v", id, response.StatusCode, strings.TrimSpace(string(body)), err)
}

// sentAt returns when an order was sent.
func (c *consumer) sentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// orders sends an order to each gateway now and then for some time.
func (c *consumer) orders(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, gateway := range departureGateways {
			c.done.Go(func() { c.order(gateway) })
		}
	}
	c.done.Wait()
}

// startDesk starts the runners of the plain service and the gateways.
func (d *deployment) startDesk() ([]*runner, error) {
	var runners []*runner
	for host := firstRunnerHost; host < firstRunnerHost+deskRunners; host++ {
		r, err := d.startRunner(fmt.Sprintf("i-%d", host), "desk", host)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	for _, gateway := range departureGateways {
		if err := d.startGateway(gateway); err != nil {
			return nil, err
		}
	}
	return runners, d.awaitReady(departureGateways, 10*time.Second)
}

func playDeparture(d *deployment) (broken bool, err error) {
	d.store.put("op/config", rawJSON(deskConfig))
	runners, err := d.startDesk()
	if err != nil {
		return false, err
	}
	host := firstRunnerHost + deskRunners
	c := newConsumer(d)
	for round := range departureRounds {
		c.orders(settle)
		time.Sleep(quiet)
		leaver := runners[0]
		late, err := d.depart(c, leaver)
		if err != nil {
			return broken, fmt.Errorf("round %d: %w", round+1, err)
		}
		broken = broken || late > 0
		next, err := d.startRunner(fmt.Sprintf("i-%d", host), "desk", host)
		if err != nil {
			return broken, err
		}
		runners = append(runners[1:], next)
		host++
	}
	return broken, nil
}

// depart has a runner leave and returns how many requests reached it too late.
func (d *deployment) depart(c *consumer, leaver *runner) (late int, err error) {
	leaver.leave()
	key := "servers/" + leaver.id
	var gone time.Time
	if d.trouble {
		var cut bool
		if gone, cut = d.store.cutAndRemove(len(departureGateways), key, cutPeriod, watchesWithin); !cut {
			return 0, fmt.Errorf("not all gateways had a watch waiting within %s", watchesWithin)
		}
		d.note("the store has cut the watches that were waiting")
	} else {
		gone = d.store.removeKey(key)
	}
	d.note("the store has acknowledged at %.3f that the entry of %s is removed", d.at(gone), leaver.id)
	time.Sleep(time.Until(gone.Add(callsAfter)))
	for range burstCount {
		for _, gateway := range departureGateways {
			for range callsAtOnce {
				c.done.Go(func() { c.order(gateway) })
			}
		}
		time.Sleep(burstGap)
	}
	time.Sleep(time.Until(gone.Add(drainTime + serveOn)))
	c.done.Wait()
	for _, a := range leaver.arrivedAfter(gone.Add(drainTime)) {
		d.note("LATE: %s reached %s at %.3f, %d ms after the acknowledgement", a.id, a.runner, d.at(a.at), a.at.Sub(gone).Milliseconds())
		late++
	}
	d.note("%d requests reached %s later than %s after the acknowledgement", late, leaver.id, drainTime)
	leaver.end()
	return late, nil
}
