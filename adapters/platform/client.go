package platform

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaseam/zinniaseam/adapters/retryafter"
	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/claims"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultCallsPerSecond = 50
	DefaultBurst          = 50
	DefaultConnections    = 8
)

// Limits on keys and answers, and times of connections.
const (
	// maxListBytes bounds a list of keys and the VM list.
	maxListBytes = 8 << 20
	// maxErrorBytes bounds the part of an error body that is read.
	maxErrorBytes = 4 << 10
	// maxKeyBytes bounds the length of a key.
	maxKeyBytes = 512
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 30 * time.Second
	// keepAliveInterval is the time between TCP keepalive probes.
	keepAliveInterval = 5 * time.Second
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 16 << 10
)

// calls counts calls by kind; failures counts failed calls by cause.
var (
	calls    = expvar.NewMap("platform_calls")
	failures = expvar.NewMap("platform_failures")
)

// Options configures a Client. Fields that are not positive are set to their defaults.
type Options struct {
	// Timeout bounds each call, in addition to the wait of a watch.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// CallsPerSecond is this process's share of the platform's rate limit.
	CallsPerSecond float64
	// Burst is the size of the token bucket that enforces CallsPerSecond.
	Burst int
	// Connections bounds the number of open connections.
	Connections int
}

func (o *Options) fillDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
}

var _ claims.Store = (*Client)(nil)

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	base          string
	options       Options
	http          *http.Client
	bucket        *rate.Limiter
	storeRevision atomic.Uint64
}

// New returns a client of the platform at baseURL, such as http://127.0.0.1:7000.
// Connections are opened on first use.
func New(baseURL string, options Options) *Client {
	options.fillDefaults()
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: keepAliveInterval}
	transport := answers.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        options.Connections,
		MaxIdleConnsPerHost:    options.Connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		options: options,
		http:    &http.Client{Transport: transport, CheckRedirect: rejectRedirect},
		bucket:  rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
	}
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// StoreRevision returns the newest revision of the store according to the last answer.
func (c *Client) StoreRevision() uint64 { return c.storeRevision.Load() }

// call describes one request to the platform.
type call struct {
	kind   string
	method string
	path   string
	query  url.Values
	body   []byte
	// noneMatch, if set, is the entity tag of a value that the platform need not send.
	noneMatch string
	// wait is how long the platform may delay the answer to a watch.
	wait time.Duration
	// limit bounds the body of the answer.
	limit int64
}

func (k call) writes() bool { return k.method != http.MethodGet }

// answer is the platform's answer to a call.
type answer struct {
	status   int
	revision uint64
	body     []byte
}

// do performs one call. It returns answers with status 200, 204, 304, 404 and 409, and a
// typed error for any other result.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	result, err := c.attempt(ctx, k)
	if err != nil {
		failures.Add(failureName(err), 1)
		return answer{}, fmt.Errorf("%s: %w", k.kind, err)
	}
	return result, nil
}

func (c *Client) attempt(ctx context.Context, k call) (answer, error) {
	if err := c.takeToken(ctx); err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, k.wait+c.options.Timeout)
	defer cancel()
	// connected is set by the transport's goroutine.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := c.base + (&url.URL{Path: k.path, RawQuery: k.query.Encode()}).String()
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, target, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrBadKey, err)
	}
	if k.noneMatch != "" {
		request.Header.Set("If-None-Match", k.noneMatch)
	}
	calls.Add(k.kind, 1)
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, c.callFailed(k, connected.Load(), err)
	}
	defer response.Body.Close()
	return c.read(k, response)
}

// takeToken waits at most Options.Timeout for a token of the client's token bucket.
func (c *Client) takeToken(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	if err := c.bucket.Wait(waitCtx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return &RateLimitedError{RetryAfter: retryafter.Default, Local: true}
	}
	return nil
}

// callFailed returns the typed error of a call without a complete answer. It closes the
// idle connections, because they may be dead as well.
func (c *Client) callFailed(k call, connected bool, cause error) error {
	c.http.CloseIdleConnections()
	if connected && k.writes() {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
	if errors.Is(cause, context.Canceled) {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrOutage, cause)
}

func (c *Client) read(k call, response *http.Response) (answer, error) {
	if revision, err := strconv.ParseUint(response.Header.Get(HeaderStoreRevision), 10, 64); err == nil {
		c.storeRevision.Store(revision)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotModified, http.StatusNotFound, http.StatusConflict:
	case http.StatusTooManyRequests:
		drain(response.Body)
		return answer{}, &RateLimitedError{RetryAfter: retryafter.Parse(response.Header)}
	case http.StatusServiceUnavailable:
		drain(response.Body)
		return answer{}, ErrOutage
	case http.StatusRequestEntityTooLarge:
		drain(response.Body)
		return answer{}, fmt.Errorf("%w: body of %d bytes", ErrTooLarge, len(k.body))
	default:
		drain(response.Body)
		return answer{}, c.unexpected(k, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, k.limit+1))
	if err != nil {
		return answer{}, c.callFailed(k, true, err)
	}
	if int64(len(body)) > k.limit {
		return answer{}, fmt.Errorf("%w: answer exceeds %d bytes", ErrTooLarge, k.limit)
	}
	result := answer{status: response.StatusCode, body: body}
	if text := response.Header.Get(HeaderRevision); text != "" {
		result.revision, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			return answer{}, fmt.Errorf("%w: header %s is %q", ErrProtocol, HeaderRevision, text)
		}
	}
	return result, nil
}

// unexpected returns the typed error for a status that the protocol does not define. After
// a server error, the outcome of a write is unknown.
func (c *Client) unexpected(k call, status int) error {
	if status >= http.StatusInternalServerError && k.writes() {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	if status >= http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrOutage, status)
	}
	return fmt.Errorf("%w: status %d", ErrProtocol, status)
}

func drain(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxErrorBytes) }

func failureName(err error) string {
	switch {
	case errors.Is(err, ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, ErrOutcomeUnknown):
		return "outcome_unknown"
	case errors.Is(err, ErrOutage):
		return "outage"
	case errors.Is(err, ErrTooLarge):
		return "too_large"
	default:
		return "other"
	}
}
