package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

const callerKey = "jnbanfqasnmgkcuyj8pj"

// request is one consumer attempt.
type request struct {
	id string
	// parts is X-Prompt-Prefix.
	parts string
	task  task
	// timeout is X-Timeout-Ms.
	timeout time.Duration
	// prefix is that of the route, routePrefix if empty.
	prefix string
	// uplink is how many bytes of the body are sent in a second, 0 for no limit.
	uplink int64
}

// plain reports whether the request is for the service without weights.
func (r request) plain() bool { return r.prefix == deskPrefix }

// answer is what a consumer got.
type answer struct {
	request request
	gateway string
	sentAt  time.Time
	took    time.Duration
	status  int
	events  int
	// sealed is set if the answer bears a runner's seal, foreign if it belongs to another request
	// or one of its events is not the next one.
	sealed, foreign bool
	// complete is set if the answer looks complete, whole if it is the plain answer of the runner.
	complete, whole bool
	// kept is set if the channel had carried a request before.
	kept bool
	err  error
}

// served reports whether the whole answer of the runner arrived.
func (a answer) served() bool {
	if a.request.plain() {
		return a.status == http.StatusOK && a.complete && a.whole
	}
	return a.status == http.StatusOK && a.complete && a.events == a.request.task.Events && !a.foreign
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a consumer that keeps its channels open.
type caller struct{ client *http.Client }

func newCaller() *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one attempt to a gateway and reads its answer.
func (c *caller) send(gateway *machine, r request) answer {
	a := answer{request: r, gateway: gateway.name, sentAt: time.Now()}
	body, _ := json.Marshal(r.task)
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+500*time.Millisecond)
	defer cancel()
	prefix := routePrefix
	if r.prefix != "" {
		prefix = r.prefix
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }})
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.address()+prefix+"2f", &pacedBody{Reader: bytes.NewReader(body), perSecond: r.uplink})
	if err != nil {
		a.err = err
		return a
	}
	message.Host, message.ContentLength = hostName, int64(len(body))
	for name, value := range map[string]string{
		"X-Request-Id": r.id, "X-Model": modelName, wire["tokens"]: fmt.Sprintf("400,%d", 6*r.task.Events), "X-Prompt-Prefix": r.parts,
		"X-Timeout-Ms": fmt.Sprint(r.timeout.Milliseconds()), "Authorization": "Bearer " + callerKey,
	} {
		message.Header.Set(name, value)
	}
	response, err := c.client.Do(message)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer response.Body.Close()
	a.status, a.sealed = response.StatusCode, response.Header.Get(wire["seal"]) != ""
	data, err := io.ReadAll(response.Body)
	a.err, a.complete, a.took = err, err == nil, time.Since(a.sentAt)
	if a.status == http.StatusOK {
		a.foreign = response.Header.Get("X-Request-Id") != r.id
		if r.plain() {
			a.whole = string(data) == plainText(r.id)
		} else {
			a.readEvents(string(data))
		}
	}
	return a
}

// pacedBody is a body that is sent at a limited rate. It can't be sent twice.
type pacedBody struct {
	*bytes.Reader
	perSecond int64
	began     time.Time
	sent      int64
}

// pacedPart is the number of bytes that are sent at once.
const pacedPart = 16 << 10

// Read implements io.Reader.
func (b *pacedBody) Read(into []byte) (int, error) {
	if b.perSecond == 0 {
		return b.Reader.Read(into)
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	n, err := b.Reader.Read(into[:min(len(into), pacedPart)])
	b.sent += int64(n)
	// A wait up to a fixed time, so that late timers don't add up.
	time.Sleep(time.Until(b.began.Add(time.Duration(b.sent * int64(time.Second) / b.perSecond))))
	return n, err
}

// WriteTo hides the method of bytes.Reader, so that copies call Read.
func (b *pacedBody) WriteTo(to io.Writer) (int64, error) {
	return io.Copy(to, struct{ io.Reader }{b})
}

func (a *answer) readEvents(text string) {
	for _, event := range strings.Split(text, "\n\n") {
		if event == "" {
			continue
		}
		want := fmt.Sprintf("id: %d\ndata: %s", a.events+1, eventText(a.request.id, a.events+1))
		if event != want {
			a.foreign = a.foreign || !strings.HasPrefix(want, event)
			return
		}
		a.events++
	}
}

// describe returns the answer for the record.
func (a answer) describe() string {
	text := fmt.Sprintf("%s at %s: status %d, %d of %d events, complete %t, %d ms", a.request.id, a.gateway, a.status, a.events, a.request.task.Events, a.complete, a.took.Milliseconds())
	if a.err != nil {
		reason := a.err.Error()
		if errors.Is(a.err, io.ErrUnexpectedEOF) {
			reason = "channel ended early"
		}
		text += ", " + reason
	}
	return text
}

// answers collects answers. It is safe for concurrent use.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (l *answers) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *answers) all() []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]answer{}, l.list...)
}

// traffic sends requests at a rate until its context ends, to the gateways in turn, and waits for
// their answers.
func traffic(ctx context.Context, d *deployment, perSecond float64, next func(i int) request) *answers {
	list := &answers{}
	c := newCaller()
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return list
		case <-ticker.C:
		}
		r, gateway := next(i), d.gateways[i%len(d.gateways)]
		open.Go(func() { list.add(c.send(gateway, r)) })
	}
}

// sound returns an ordinary request: it shares its first part with others.
func sound(events int) request {
	id := newID()
	return request{id: id, parts: "5c1e07a2:40," + id[:8] + ":360", task: task{Events: events}, timeout: 6 * time.Second}
}
