// Package service is an HTTP client of the plain service on an endpoint's VM.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/zinniaseam/zinniaseam/answers"
)

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 4 << 20

// maxHeaderBytes bounds the head of an answer.
const maxHeaderBytes = 64 << 10

// ErrNotSent means that no byte of the request reached the service.
var ErrNotSent = errors.New("service: request not sent")

// Header is one HTTP header value.
type Header struct{ Name, Value string }

// Request is a call to the service.
type Request struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// Answer is the complete answer to a call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client is a client of one plain service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at base, such as http://127.0.0.1:8000.
//
// Connections are not reused: net/http retries some requests by itself if a reused
// connection was closed, and a call must be sent only once.
func NewClient(base string) *Client {
	transport := answers.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes})
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: rejectRedirect}}
}

// dial wraps connection failures in ErrNotSent. Only they are certain to occur before a
// byte is sent.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends one call and reads the complete answer. An error that wraps ErrNotSent means
// that no byte was sent; after any other error the service may have executed the call.
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
		return nil, fmt.Errorf("service: %s %s: answer truncated: %w", call.Method, call.Path, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, fmt.Errorf("service: %s %s: answer exceeds %d bytes", call.Method, call.Path, MaxAnswerBytes)
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
