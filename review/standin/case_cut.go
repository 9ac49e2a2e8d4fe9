package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	gatewayCount   = 3
	streamGateways = 4
	streamEvents   = 21
	streamRunners  = 6
	bodyRunners    = 3
	bodyParts      = 16
	bodyPartBytes  = 2048
	shapedInterval = 20 * time.Millisecond
	streamInterval = 11 * time.Millisecond
)

// startGateways starts gateways on the first machines and waits until they are ready.
func (d *deployment) startGateways(count int) ([]*process, error) {
	var gateways []*process
	for machine := 1; machine <= count; machine++ {
		p, err := d.startGateway(machine)
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, p)
	}
	for machine := 1; machine <= count; machine++ {
		if err := d.awaitReady(machine, 10*time.Second); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// sendSteadily sends calls from several consumers, one per interval on average, until the end,
// and returns all replies.
func sendSteadily(consumers []*consumer, interval time.Duration, until time.Time, next func() call) []reply {
	var mu sync.Mutex
	var replies []reply
	var open sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		c := consumers[i%len(consumers)]
		open.Add(1)
		go func() {
			defer open.Done()
			r := c.send(next())
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		}()
		time.Sleep(interval/2 + rand.N(interval))
	}
	open.Wait()
	return replies
}

// cutStreams crashes one model runner while streams without a length or chunks are under way.
func cutStreams(d *deployment, trouble bool) (bool, error) {
	const service = "huvo11a"
	d.putConfig(7, []map[string]any{route("r-brief", "/lepu270/", "streaming", service, 6000, 400, 2, true)},
		[]map[string]any{engineService(service, 16, 36)})
	ids := []string{}
	for i := range streamRunners {
		machine := 11 + i
		id, err := d.startRunner(runnerConfig{machine: machine, service: service, slots: 16, engine: true, version: 1,
			args: []string{"-unframed", "-pieces", fmt.Sprint(streamEvents), "-gap", "35ms"}})
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
		if _, err := d.startAgent(machine, service); err != nil {
			return false, err
		}
	}
	if _, err := d.startGateways(streamGateways); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the agents lease call starts
	consumers := d.newConsumers(streamGateways)
	began := time.Now()
	if trouble {
		time.AfterFunc(8*time.Second, func() {
			d.record.printf("trouble: runner %s is killed", ids[0])
			d.runnerProcess(ids[0]).kill()
		})
	}
	replies := sendSteadily(consumers, streamInterval, began.Add(14*time.Second), func() call {
		own := newRequestID()[:8]
		return call{method: http.MethodPost, path: "/lepu270/2f", timeout: 6 * time.Second, body: []byte("prompt"), parts: "5c1e07a2:800," + own + ":173"}
	})
	return d.judgeStreams(replies)
}

// judgeStreams checks ORDER: a stream that ends as complete has all of its events, in order.
func (d *deployment) judgeStreams(replies []reply) (bool, error) {
	whole, short, failed := 0, 0, 0
	for _, r := range replies {
		if !r.complete() {
			failed++
			continue
		}
		events := strings.Count(r.body, "id: ")
		if events == streamEvents && strings.HasSuffix(r.body, "\n\n") {
			whole++
			continue
		}
		short++
		d.record.printf("ORDER: stream %s ended as complete after %d of %d events", r.id, events, streamEvents)
	}
	d.record.printf("result: %d streams whole, %d failed, %d complete before their last event", whole, failed, short)
	fmt.Printf("streams: %d whole, %d failed, %d complete before their last event\n", whole, failed, short)
	if whole < len(replies)/2 {
		return false, fmt.Errorf("only %d of %d streams were served", whole, len(replies))
	}
	return short > 0, nil
}

// cutBodies crashes one server while answers without a length are under way.
func cutBodies(d *deployment, trouble bool) (bool, error) {
	const service = "wuno96b"
	d.putConfig(7, []map[string]any{route("r-order", "/filo73/", "non_idempotent", service, 1000, 100, 1, false)},
		[]map[string]any{plainService(service, 100, 0, 0)})
	ids := []string{}
	for i := range bodyRunners {
		id, err := d.startRunner(runnerConfig{machine: 11 + i, service: service, slots: 16,
			args: []string{"-unframed", "-pieces", fmt.Sprint(bodyParts), "-piece-bytes", fmt.Sprint(bodyPartBytes), "-gap", "25ms"}})
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
	}
	if _, err := d.startGateways(gatewayCount); err != nil {
		return false, err
	}
	consumers := d.newConsumers(gatewayCount)
	began := time.Now()
	if trouble {
		time.AfterFunc(4*time.Second, func() {
			d.record.printf("trouble: server %s is killed", ids[0])
			d.runnerProcess(ids[0]).kill()
		})
	}
	replies := sendSteadily(consumers, shapedInterval, began.Add(8*time.Second), func() call {
		return call{method: http.MethodPost, path: "/filo73/de11/2f", timeout: time.Second, body: []byte(`{"order":1}`)}
	})
	return d.judgeBodies(replies)
}

// judgeBodies checks MIXED: a success has the whole body of its server.
func (d *deployment) judgeBodies(replies []reply) (bool, error) {
	whole, wrong, failed := 0, 0, 0
	for _, r := range replies {
		switch {
		case !r.complete():
			failed++
		case r.seal == seal(r.id) && r.body == bodyOf(r.id, bodyParts*bodyPartBytes):
			whole++
		default:
			wrong++
			d.record.printf("MIXED: %s was answered %d with %d of %d bytes, seal %q", r.id, r.status, len(r.body), bodyParts*bodyPartBytes, r.seal)
		}
	}
	d.record.printf("result: %d answers whole, %d failed, %d successes without the whole body", whole, failed, wrong)
	fmt.Printf("answers: %d whole, %d failed, %d successes without the whole body\n", whole, failed, wrong)
	if whole < len(replies)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", whole, len(replies))
	}
	return wrong > 0, nil
}
