// Package service speaks HTTP to the plain service beside an endpoint process.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// MaxAnswerBytes bounds the body of one answer.
const MaxAnswerBytes = 4 << 20

// ErrNotSent means that no byte of the request reached the service.
var ErrNotSent = errors.New("service: request was not handed over")

// Header is one HTTP header value.
type Header struct{ Name, Value string }

// Request is one call.
type Request struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// Answer is the whole answer to a call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client talks to one plain service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at base, such as http://127.0.0.1:8000.
//
// Idle connections are not reused: net/http repeats some requests by itself
// when a reused connection turns out closed, and a call must be sent once.
func NewClient(base string) *Client {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// dial marks failures to connect, which are the only failures before a byte is sent.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends one call and reads the whole answer. An error that wraps
// ErrNotSent says that no byte was sent; after any other error the call
// may have run.
func (c *Client) Do(ctx context.Context, call *Request) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.GetBody = nil
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("service: %s %s: %w", call.Method, call.Path, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("service: %s %s: answer cut: %w", call.Method, call.Path, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, fmt.Errorf("service: %s %s: answer over %d bytes", call.Method, call.Path, MaxAnswerBytes)
	}
	return &Answer{Status: response.StatusCode, Headers: answerHeaders(response.Header), Body: body}, nil
}

func answerHeaders(header http.Header) []Header {
	var kept []Header
	for name, values := range header {
		if name == "Connection" || name == "Content-Length" || name == "Date" {
			continue
		}
		for _, value := range values {
			kept = append(kept, Header{Name: name, Value: value})
		}
	}
	return kept
}
