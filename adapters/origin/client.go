package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/retryafter"
	"github.com/zinniaseam/zinniaseam/answers"
	"github.com/zinniaseam/zinniaseam/core"
)

// Limits on the answers of the store and the origin, and on idle connections.
const (
	// maxManifestBytes bounds the JSON body of one manifest.
	maxManifestBytes = 96 << 20
	// readPartBytes is the maximum number of bytes read between two calls of a progress
	// function.
	readPartBytes = 64 << 10
	// maxIdleConns bounds the idle connections to each of the two, and idleConnTimeout is
	// how long one is kept.
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 16 << 10
)

// ErrNotFound means that the version does not exist.
var ErrNotFound = errors.New("origin: version not found")

// LimitedError means that the store or the origin rejected a call because of its rate limit.
type LimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("origin: rate limited, retry after %s", e.RetryAfter)
}

// Config configures a Client.
type Config struct {
	// StoreURL is the base URL of the weight store, such as http://127.0.0.1:7100.
	StoreURL string
	// OriginURL is the base URL of the origin; empty means StoreURL.
	OriginURL string
	// HTTP performs the requests; nil means a client without a proxy.
	HTTP *http.Client
}

// Client reads manifests from the weight store and byte ranges from the origin.
// It is safe for concurrent use.
type Client struct {
	store  string
	origin string
	http   *http.Client
}

// New returns a client.
func New(config Config) *Client {
	if config.OriginURL == "" {
		config.OriginURL = config.StoreURL
	}
	if config.HTTP == nil {
		config.HTTP = &http.Client{Transport: answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeaderBytes})}
	}
	return &Client{
		store:  strings.TrimSuffix(config.StoreURL, "/"),
		origin: strings.TrimSuffix(config.OriginURL, "/"),
		http:   config.HTTP,
	}
}

// Manifest reads and validates the manifest of a version.
func (c *Client) Manifest(ctx context.Context, version core.VersionID) (*core.Manifest, error) {
	target := c.store + "/store/versions/" + url.PathEscape(string(version))
	resp, err := c.get(ctx, target, "", http.StatusOK)
	if err != nil {
		return nil, fmt.Errorf("manifest %s: %w", version, err)
	}
	defer resp.Body.Close()
	var manifest core.Manifest
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxManifestBytes)).Decode(&manifest); err != nil {
		return nil, fmt.Errorf("manifest %s: %w", version, err)
	}
	if err := manifest.Validate(); err != nil {
		return nil, err
	}
	if manifest.Version != version {
		return nil, fmt.Errorf("manifest %s: the store answered with version %s", version, manifest.Version)
	}
	return &manifest, nil
}

// ReadRange fills buf with the weights from offset on. After each part that was read,
// progress is called with its length in bytes; an error from progress ends the read.
func (c *Client) ReadRange(ctx context.Context, version core.VersionID, offset int64, buf []byte, progress func(n int) error) error {
	target := c.origin + "/origin/" + url.PathEscape(string(version))
	span := fmt.Sprintf("bytes=%d-%d", offset, offset+int64(len(buf))-1)
	resp, err := c.get(ctx, target, span, http.StatusPartialContent)
	if err != nil {
		return fmt.Errorf("origin %s %s: %w", version, span, err)
	}
	defer resp.Body.Close()
	for filled := 0; filled < len(buf); {
		end := min(filled+readPartBytes, len(buf))
		n, err := io.ReadFull(resp.Body, buf[filled:end])
		if err != nil {
			return fmt.Errorf("origin %s %s: %w", version, span, err)
		}
		filled += n
		if err := progress(n); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) get(ctx context.Context, target, span string, want int) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	if span != "" {
		req.Header.Set("Range", span)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == want {
		return resp, nil
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusTooManyRequests:
		return nil, &LimitedError{RetryAfter: retryafter.Parse(resp.Header)}
	default:
		return nil, fmt.Errorf("status %d, want %d", resp.StatusCode, want)
	}
}
