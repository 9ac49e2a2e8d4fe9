package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// consumer sends requests over kept connections to one front machine.
type consumer struct {
	deployment *deployment
	machine    int
	client     *http.Client
}

// newConsumer returns a consumer of the gateway on a machine.
func (d *deployment) newConsumer(machine int) *consumer {
	dialer := &net.Dialer{Timeout: time.Second}
	return &consumer{deployment: d, machine: machine, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second,
	}}}
}

// newConsumers returns a consumer of each of the first gateways.
func (d *deployment) newConsumers(gateways int) []*consumer {
	var consumers []*consumer
	for machine := 1; machine <= gateways; machine++ {
		consumers = append(consumers, d.newConsumer(machine))
	}
	return consumers
}

// call is one request.
type call struct {
	method, path string
	body         []byte
	timeout      time.Duration
	// parts is the X-Prompt-Prefix of a model call, "" for other calls.
	parts string
	// key is the consumer's key, the first tenant's if it is empty.
	key string
}

// reply is what the consumer saw. err is set if the connection failed or the answer ended
// early.
type reply struct {
	id     string
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a call and reads its answer.
func (c *consumer) send(call call) reply {
	sent := time.Now()
	r := reply{id: newRequestID()}
	defer func() {
		r.took = time.Since(sent)
		c.deployment.record.printf("consumer: %s %s answered %d, %d bytes, %d ms, err=%v", r.id, call.path, r.status, len(r.body), r.took.Milliseconds(), r.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), call.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, fmt.Sprintf("http://%s:%d%s", c.deployment.ip(c.machine), frontPort, call.path), bytes.NewReader(call.body))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = host
	request.GetBody = nil // a request is never repeated under the same id
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(call.timeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+cmp.Or(call.key, apiKey))
	if call.parts != "" {
		request.Header.Set("X-Model", modelName)
		request.Header.Set(wire["tokens"], "973,126")
		request.Header.Set("X-Prompt-Prefix", call.parts)
	}
	c.deployment.record.printf("consumer: %s %s %s sent to machine %d, %d bytes, parts %s", r.id, call.method, call.path, c.machine, len(call.body), call.parts)
	c.deployment.noteSent(r.id, sent)
	response, err := c.client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	r.status, r.seal = response.StatusCode, response.Header.Get(wire["seal"])
	body, err := io.ReadAll(response.Body)
	r.body, r.err = string(body), err
	return r
}

func (d *deployment) noteSent(id string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[id] = at
}

// complete reports whether the answer is a success that ended as a complete one.
func (r reply) complete() bool { return r.err == nil && r.status/100 == 2 }
