package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The knowledge of a prompt part that crashes runners: all processes of the system are killed at
// one moment after the part is known.
const (
	engineCount     = 8
	firstEngineHost = 21
	// soundEvery is the time between two sound requests, all gateways together.
	soundEvery = 40 * time.Millisecond
	// calm is how long only sound requests come at first, and learnt how long after the first
	// requests with the part the processes are killed.
	calm   = 6 * time.Second
	learnt = 6 * time.Second
	// poisonAtOnce is how many requests with the part come at one moment at first, poisonEvery
	// the time between two later ones, and judgedTime for how long they come.
	poisonAtOnce = 18
	poisonEvery  = 2 * time.Second
	judgedTime   = 36 * time.Second
	// restartDelay is the delay after which a killed process is started again.
	restartDelay = time.Second
	// crashesToAct and maxPoison are the figures of the rule.
	crashesToAct = 5
	maxPoison    = 3
)

var quarantineGateways = []int{1, 2, 3}

const poolConfig = `{"version":1,"routes":[{"name":"brief","host":"pool.example","prefix":"/brief/","kind":"streaming","timeout-ms":6000,
"goal-ms":400,"priority":1,"service":"pool","max-attempts":2,"anonymous":false,"sticky":true,"resumable":false,"gap-aim-ms":300,"allowed-regions":[]}],
"services":[{"name":"pool","health-path":"/healthz","max-conns":424,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":36.0,
"engine":{"capacity":8,"kv-cache-tokens":685000,"kv-token-bytes":327680,"link-mbps":400000.0,"stride":6,"models":[{"name":"m","pace":1.0,"load-s":4.0,"warm-s":0.3}],
"size-mb":297000.0,"adapter-slots":8,"loads-per-s":0.0,"step_ms":4.0,"per_seq_ms":0.0387,"context_per_k":0.0203,"read_per_s":31900.0,"pairs_per_m":0.733,
"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{"prompt":650,"answer":60},"layers":4,"layer_mb":4540.0,"act_bytes":16384,
"pipe_mbps":0.0,"chunks":48,"chunk-bytes":1024}},{"name":"weights","origin":"ORIGIN","zone":"yard","link-mbps":15.0,"max-conns":48}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"town","api-keys":["key1"],"priority":1,"allowed-regions":[]}]}`

func rawJSON(text string) json.RawMessage { return json.RawMessage(text) }

// reader sends requests for streams.
type reader struct {
	d      *deployment
	client *http.Client
	done   sync.WaitGroup

	mu       sync.Mutex
	number   int
	complete int
	// sent is the number of sound requests.
	sent int
}

func newReader(d *deployment) *reader {
	return &reader{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 6 * time.Second}}
}

// read sends one request to a gateway and records its answer.
func (c *reader) read(gateway int, bad bool) {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%08x%08x", gateway, c.number)
	if !bad {
		c.sent++
	}
	c.mu.Unlock()
	parts := []string{"5c1e07a2:400", fmt.Sprintf("91bd3f0%d:150", rand.IntN(3))}
	if bad {
		parts = append(parts, poison+":60")
	}
	parts = append(parts, fmt.Sprintf("%08x:40", rand.Uint32()))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.d.address(gateway, portFront)+"/brief/x", strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	request.Host = "pool.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Timeout-Ms": "6000", "Authorization": "Bearer key1", "X-Model": model, wire["tokens"]: "650,60",
		"X-Prompt-Prefix": strings.Join(parts, ","),
	} {
		request.Header.Set(name, value)
	}
	status, body := 0, []byte(nil)
	response, err := c.client.Do(request)
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	whole := err == nil && status == http.StatusOK && strings.Count(string(body), "id: ") == eventCount
	c.mu.Lock()
	if whole && !bad {
		c.complete++
	}
	c.mu.Unlock()
	if bad || !whole {
		c.d.note("%s (with the part: %v) at gateway %d: status %d, whole %v, error %v", id, bad, gateway, status, whole, err)
	}
}

// steady sends sound requests until stop is closed.
func (c *reader) steady(stop <-chan struct{}) {
	ticker := time.NewTicker(soundEvery)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		gateway := quarantineGateways[number%len(quarantineGateways)]
		c.done.Go(func() { c.read(gateway, false) })
	}
}

// startPool starts the runners, the agents and the gateways.
func (d *deployment) startPool() (*journal, error) {
	j := &journal{eventTime: eventTime, eventCount: eventCount}
	if err := d.serve(d.address(originHost, portOrigin), origin{}); err != nil {
		return nil, err
	}
	d.store.put("op/config", rawJSON(strings.Replace(gapConfig(poolConfig), "ORIGIN", d.address(originHost, portOrigin), 1)))
	d.store.put("op/version/"+model, map[string]any{"model": model, "version": weights})
	for i := range engineCount {
		if err := d.newEngine(firstEngineHost+i, j); err != nil {
			return nil, err
		}
		if err := d.startAgent(firstEngineHost + i); err != nil {
			return nil, err
		}
	}
	for _, gateway := range quarantineGateways {
		if err := d.startGateway(gateway); err != nil {
			return nil, err
		}
	}
	return j, d.awaitReady(quarantineGateways, 10*time.Second)
}

func playQuarantine(d *deployment) (broken bool, err error) {
	j, err := d.startPool()
	if err != nil {
		return false, err
	}
	c := newReader(d)
	stop := make(chan struct{})
	go c.steady(stop)
	time.Sleep(calm)
	for i := range poisonAtOnce {
		c.done.Go(func() { c.read(quarantineGateways[i%len(quarantineGateways)], true) })
	}
	time.Sleep(learnt)
	inTouch := time.Now()
	if d.trouble {
		d.killAll()
		d.note("all processes of the system have been killed")
		time.Sleep(restartDelay)
		for _, p := range d.processes {
			if err := d.launch(p); err != nil {
				return false, err
			}
		}
		inTouch = time.Now().Add(contactTime)
		if err := d.awaitReady(quarantineGateways, 10*time.Second); err != nil {
			return false, err
		}
		if late := time.Now(); late.After(inTouch.Add(-contactTime).Add(contactTime / 2)) {
			inTouch = late.Add(contactTime)
		}
		time.Sleep(time.Until(inTouch) + contactTime/2)
	}
	d.note("from %.3f on the gateways count as in touch", d.at(inTouch))
	for number, end := 0, time.Now().Add(judgedTime); time.Now().Before(end); number++ {
		gateway := quarantineGateways[number%len(quarantineGateways)]
		c.done.Go(func() { c.read(gateway, true) })
		time.Sleep(poisonEvery)
	}
	close(stop)
	c.done.Wait()
	return d.judgeQuarantine(c, j, inTouch)
}

func (d *deployment) judgeQuarantine(c *reader, j *journal, inTouch time.Time) (broken bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d.note("sound requests: %d sent, %d answered whole; %d crashes, which cut %d other requests", c.sent, c.complete, len(j.crashes), j.cut)
	if len(j.crashes) < crashesToAct {
		return false, fmt.Errorf("%d crashes, the rule begins with %d", len(j.crashes), crashesToAct)
	}
	from := j.crashes[crashesToAct-1].Add(contactTime)
	if inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, a := range j.poisons {
		if a.at.After(from) {
			d.note("LATE: %s reached %s at %.3f", a.id, a.runner, d.at(a.at))
			late++
		}
	}
	d.note("the fifth crash was at %.3f; %d requests with the part reached runners after %.3f, at most %d may", d.at(j.crashes[crashesToAct-1]), late, d.at(from), maxPoison)
	return late > maxPoison, nil
}
