package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/operatorapi"
)

const (
	// callTimeout bounds one call to one entry.
	callTimeout      = 20 * time.Second
	maxResponseBytes = 32 << 20
)

// client calls the operator API of the first entry that responds.
type client struct {
	entries []string
	key     string
	http    *http.Client
}

// newClient returns a client for a comma-separated list of entries, such as
// 127.0.0.1:9000,127.0.1.1:9000. If caFile is set, entries are called with TLS.
// Errors carry exit code exitUsage.
func newClient(entries, key, caFile string) (*client, error) {
	scheme, transport, err := newTransport(caFile)
	if err != nil {
		return nil, err
	}
	c := &client{key: key, http: &http.Client{Timeout: callTimeout, Transport: transport}}
	for _, entry := range strings.Split(entries, ",") {
		entry = strings.TrimSuffix(strings.TrimSpace(entry), "/")
		if entry == "" {
			continue
		}
		if !strings.Contains(entry, "://") {
			entry = scheme + "://" + entry
		}
		if u, err := url.Parse(entry); err != nil || u.Host == "" {
			return nil, usageError(fmt.Sprintf("entry %q: want an address such as 127.0.0.1:9000", entry))
		}
		c.entries = append(c.entries, entry)
	}
	if len(c.entries) == 0 {
		return nil, usageError("no entries: set -entries or ZINNIASEAM_ENTRIES")
	}
	if key == "" {
		return nil, usageError("no key: set ZINNIASEAM_OPERATOR_KEY")
	}
	return c, nil
}

// newTransport returns the URL scheme of the entries and the HTTP transport.
func newTransport(caFile string) (scheme string, transport *http.Transport, err error) {
	transport = http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if caFile == "" {
		return "http", transport, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return "", nil, usageError("-ca: " + err.Error())
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return "", nil, usageError("-ca: " + caFile + " has no certificate")
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS13}
	return "https", transport, nil
}

// response is the status and body of an entry's HTTP response.
type response struct {
	status int
	body   []byte
}

// call tries the entries in turn. It fails over to the next entry when one cannot
// be reached or cannot serve the request now. Every request of the operator API
// may be retried: a publish is identified by its base revision and its content.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) (response, error) {
	var last response
	var problems []error
	for _, entry := range c.entries {
		current, err := c.callEntry(ctx, entry, method, path, query, body)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		last = moreInformative(last, current)
		if !current.transient() {
			break
		}
	}
	if last.status != 0 && !last.transient() {
		return last, last.err()
	}
	if method != http.MethodGet && mayHaveArrived(problems) {
		return response{}, failed(exitUnknown, fmt.Errorf("an entry's answer was lost; ask again: %w", errors.Join(problems...)))
	}
	if last.status == 0 {
		return last, failed(exitUnreachable, errors.Join(problems...))
	}
	return last, last.err()
}

// transient reports whether another entry or a later attempt may succeed.
func (r response) transient() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout
}

// moreInformative returns the response to report after two attempts. An unknown
// outcome takes precedence over an entry that could not serve the request, because
// the first attempt may have taken effect.
func moreInformative(previous, current response) response {
	if previous.status == http.StatusGatewayTimeout && current.status == http.StatusServiceUnavailable {
		return previous
	}
	return current
}

// mayHaveArrived reports whether one of the failed requests may have reached its
// entry.
func mayHaveArrived(problems []error) bool {
	return slices.ContainsFunc(problems, func(problem error) bool { return !neverSent(problem) })
}

// neverSent reports whether the request failed before it was sent: the connection
// could not be opened, or the entry has no trusted certificate.
func neverSent(problem error) bool {
	var network *net.OpError
	var untrusted *tls.CertificateVerificationError
	switch {
	case errors.As(problem, &untrusted), errors.Is(problem, http.ErrSchemeMismatch):
		return true
	default:
		return errors.As(problem, &network) && network.Op == "dial"
	}
}

func (c *client) callEntry(ctx context.Context, entry, method, path string, query url.Values, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, entry+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("%s: %w", entry, err)
	}
	if len(data) > maxResponseBytes {
		return response{}, fmt.Errorf("%s: answer of more than %d bytes", entry, maxResponseBytes)
	}
	return response{status: httpResponse.StatusCode, body: data}, nil
}

// err returns the error with its exit code when the response is a typed error,
// and nil otherwise.
func (r response) err() error {
	var body operatorapi.ErrorBody
	if r.status < http.StatusBadRequest || json.Unmarshal(r.body, &body) != nil || body.Error == "" {
		return nil
	}
	err := fmt.Errorf("%s: %s", body.Error, body.Detail)
	if r.status == http.StatusServiceUnavailable {
		return failed(exitUnreachable, err)
	}
	return failed(exitRejected, err)
}

// decode unmarshals the JSON body of the response.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return failed(exitUnreachable, fmt.Errorf("status %d with an unreadable answer: %w", r.status, err))
	}
	return nil
}
