package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/core"
)

// Limits on the answers of an engine.
const (
	// MaxEventBytes bounds one server-sent event.
	MaxEventBytes = 64 << 10
	// maxControlBytes bounds the body of an answer to a control call.
	maxControlBytes = 4 << 20
	// maxErrorBytes bounds the part of an error text that is read.
	maxErrorBytes = 256
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 16 << 10
	// maxIdleConns bounds the idle connections to the engine.
	maxIdleConns = 256
	// EndTimeout bounds the time from the last event of a stream to the end of the
	// answer. The connection is closed after it.
	EndTimeout = time.Second
	// ControlTimeout bounds each control call, except load orders and transfers of
	// staged chunks.
	ControlTimeout = 2 * time.Second
)

// Errors of the client, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrWrongVersion means that the engine does not serve the requested version.
	ErrWrongVersion = errors.New("engine: other version loaded")
	// ErrStaleFence means that the engine rejected an order with a stale fencing token.
	ErrStaleFence = errors.New("engine: stale fencing token")
	// ErrOrderExpired means that an order was not sent, since its NotAfter had passed.
	ErrOrderExpired = errors.New("engine: order not sent: its verification is too old")
	// ErrOrderRejected means that the engine did not accept an order.
	ErrOrderRejected = errors.New("engine: load order rejected")
	// ErrLoadUnconfirmed means that the engine accepted an order and the result of the
	// load is unknown.
	ErrLoadUnconfirmed = errors.New("engine: order accepted, load not confirmed")
	// ErrIncomplete means that the staged weights of the version are incomplete.
	ErrIncomplete = errors.New("engine: staged weights incomplete")
	// ErrNotStaged means that a chunk is not in the staging area.
	ErrNotStaged = errors.New("engine: chunk not staged")
	// ErrTruncated means that a stream ended before its last event.
	ErrTruncated = errors.New("engine: stream truncated")
)

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the engine at base, such as http://127.0.0.1:8000.
func NewClient(base string) *Client {
	transport := answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// dial wraps connection failures in ErrNotSent. Only they are certain to occur before a
// byte is sent.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: ControlTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// ChatBody sets the fields that the system controls in a caller's chat
// completion and leaves every other field as the caller wrote it.
func ChatBody(callerBody []byte, id core.RequestID, version core.VersionID, resumeFrom, priority int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(callerBody, &fields); err != nil {
		return nil, fmt.Errorf("engine: chat body: %w", err)
	}
	controlled := map[string]any{
		"stream": true, "id": id, "version": version, "resume_from": resumeFrom, "priority": priority,
	}
	for name, value := range controlled {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("engine: chat body: %w", err)
		}
		fields[name] = raw
	}
	return json.Marshal(fields)
}

// Chat starts a streamed completion with the body that ChatBody built. An error
// that wraps ErrNotSent or ErrWrongVersion means that the engine did not start it.
func (c *Client) Chat(ctx context.Context, body []byte) (*Stream, error) {
	// The stream has its own context, so that a caller who disconnects after the last
	// event does not abort the connection.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	response, err := c.do(own, http.MethodPost, "/v1/chat/completions", body)
	if err == nil {
		err = chatStatus(response)
	}
	if err != nil {
		detach()
		cancel()
		return nil, err
	}
	boot, _ := strconv.ParseUint(response.Header.Get(HeaderBoot), 10, 64)
	return newStream(boot, response.Body, detach, cancel), nil
}

// chatStatus returns nil if the stream started; otherwise it closes the answer and
// returns an error.
func chatStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		_, _ = drain(response)
		return ErrWrongVersion
	default:
		text, _ := drain(response)
		return fmt.Errorf("engine: status %d: %s", response.StatusCode, text)
	}
}

// Status returns the engine's status.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var status Status
	if err := c.control(ctx, http.MethodGet, "/control/status", nil, &status); err != nil {
		return nil, err
	}
	return &status, nil
}

// Load sends a load order and waits until the engine answers or ctx ends. The error is
// ErrStaleFence or ErrIncomplete if the engine rejects the order for that reason.
func (c *Client) Load(ctx context.Context, order *LoadOrder) (*LoadReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("engine: load order: %w", err)
	}
	response, err := c.do(ctx, http.MethodPost, "/control/load", body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		var reply LoadReply
		return &reply, decode(response, &reply)
	case http.StatusConflict:
		return nil, ErrStaleFence
	case http.StatusPreconditionFailed:
		return nil, ErrIncomplete
	default:
		return nil, fmt.Errorf("engine: load order for %s: status %d", order.Version, response.StatusCode)
	}
}

// Put stores one chunk in the engine's host memory.
func (c *Client) Put(ctx context.Context, version core.VersionID, index int, data []byte) error {
	response, err := c.do(ctx, http.MethodPut, chunkPath(version, index), data)
	if err != nil {
		return err
	}
	text, err := drain(response)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("engine: stage chunk %d of %s: status %d: %s", index, version, response.StatusCode, text)
	}
	if err != nil {
		return fmt.Errorf("engine: stage chunk %d of %s: %w", index, version, err)
	}
	return nil
}

// Get returns one staged chunk, or ErrNotStaged.
func (c *Client) Get(ctx context.Context, version core.VersionID, index int) ([]byte, error) {
	response, err := c.do(ctx, http.MethodGet, chunkPath(version, index), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrNotStaged
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("engine: read chunk %d of %s: status %d", index, version, response.StatusCode)
	}
	chunk, err := io.ReadAll(io.LimitReader(response.Body, core.MaxChunkBytes+1))
	if err != nil {
		return nil, fmt.Errorf("engine: read chunk %d of %s: %w", index, version, err)
	}
	if len(chunk) > core.MaxChunkBytes {
		return nil, fmt.Errorf("engine: read chunk %d of %s: larger than %d bytes", index, version, core.MaxChunkBytes)
	}
	return chunk, nil
}

// List returns the indexes of the staged chunks of version.
func (c *Client) List(ctx context.Context, version core.VersionID) ([]int, error) {
	var staged Staged
	if err := c.control(ctx, http.MethodGet, "/control/staging/"+string(version), nil, &staged); err != nil {
		return nil, err
	}
	return staged.Chunks, nil
}

// Drop frees the staged chunks of version.
func (c *Client) Drop(ctx context.Context, version core.VersionID) error {
	return c.control(ctx, http.MethodDelete, "/control/staging/"+string(version), nil, nil)
}

func chunkPath(version core.VersionID, index int) string {
	return fmt.Sprintf("/control/staging/%s/%d", version, index)
}

func (c *Client) control(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	response, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("engine: %s %s: status %d", method, path, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return decode(response, into)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("engine: %s %s: %w", method, path, err)
	}
	return response, nil
}

func decode(response *http.Response, into any) error {
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(into); err != nil {
		return fmt.Errorf("engine: invalid answer: %w", err)
	}
	return nil
}

// drain returns the beginning of an error text and closes the body. The error means that the
// answer was interrupted before that.
func drain(response *http.Response) (string, error) {
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		err = fmt.Errorf("answer truncated: %w", err)
	}
	return string(bytes.TrimSpace(text)), err
}
