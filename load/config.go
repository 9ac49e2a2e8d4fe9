// Package load sends seeded open-loop load to entries, or directly to an engine or
// service, verifies every answer and reports outcomes and latencies.
package load

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

// Default settings and bounds.
const (
	DefaultDeadline    = 5 * time.Second
	DefaultMaxInFlight = 4096
	DefaultMaxTokens   = 16
	DefaultGapShare    = 0.95
	// answerGrace is how long the load tool waits for an answer after the request's
	// deadline.
	answerGrace = time.Second
	// MaxRequests bounds the requests of one run.
	MaxRequests = 10_000_000
)

// Config describes one run.
type Config struct {
	// Entries lists the IP numbers and ports that receive requests round-robin.
	Entries []string
	// Balance skips entries whose readiness check fails.
	Balance bool
	// Direct marks Entries as engines or services, which are called by their own paths.
	Direct bool
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	Model    core.ModelID
	Service  core.ServiceID
	// Path is the path of plain calls below the service.
	Path string
	Mix  []Class
	Seed uint64
	// KeyPrefix is the prefix of every Idempotency-Key.
	KeyPrefix string
	MaxTokens int
	// Prefixes is the number of distinct prompt prefixes, each of PrefixBytes, that
	// chats share.
	Prefixes    int
	PrefixBytes int
	// Deadline is how long a caller waits for its answer.
	Deadline time.Duration
	// Retries is the maximum number of retries after a rejection with outcome not_run.
	Retries int
	// RetryUnknown makes callers retry orders with an unknown outcome, with the same
	// key.
	RetryUnknown bool
	MaxInFlight  int
	// Expect maps each version that may answer to the digest of its complete weights.
	// If it is empty, token texts are verified without the digest.
	Expect map[core.VersionID]core.Digest
	// GapShare is the fraction of answered requests below which a second counts as a
	// gap.
	GapShare float64
	// OnRecord, if set, is called for every finished request, concurrently.
	OnRecord func(Record)
}

// FillDefaults sets the unset fields that have a default.
func (c *Config) FillDefaults() {
	core.SetDefault(&c.KeyPrefix, "load")
	core.SetDefault(&c.Path, "/orders")
	core.SetDefault(&c.MaxTokens, DefaultMaxTokens)
	core.SetDefault(&c.Prefixes, 1)
	core.SetDefault(&c.Deadline, DefaultDeadline)
	core.SetDefault(&c.MaxInFlight, DefaultMaxInFlight)
	core.SetDefault(&c.GapShare, DefaultGapShare)
}

// Check returns an error that lists every invalid field.
func (c *Config) Check() error {
	var failed []error
	if len(c.Entries) == 0 {
		failed = append(failed, errors.New("entries: want at least one IP number and port"))
	}
	for _, entry := range c.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			failed = append(failed, fmt.Errorf("entries: %q: want an IP number and port", entry))
		}
	}
	if c.Rate <= 0 || c.Rate*c.Duration.Seconds() > MaxRequests {
		failed = append(failed, fmt.Errorf("rate %g/s and duration %s: want more than 0 and at most %d requests", c.Rate, c.Duration, MaxRequests))
	}
	if len(c.Mix) == 0 {
		failed = append(failed, errors.New("mix: want at least one item"))
	}
	for _, class := range c.Mix {
		if class.Kind != KindChat && c.Service == "" {
			failed = append(failed, fmt.Errorf("mix item %s: needs a service", class.Name()))
		}
		if class.Kind == KindChat && c.Model == "" {
			failed = append(failed, fmt.Errorf("mix item %s: needs a model", class.Name()))
		}
	}
	return errors.Join(failed...)
}

// transport returns the HTTP transport of a run.
func (c *Config) transport() *http.Transport {
	return &http.Transport{
		MaxIdleConns: c.MaxInFlight, MaxIdleConnsPerHost: c.MaxInFlight, DisableCompression: true,
	}
}

// expected returns a copy of Expect, which the run reads without locks.
func (c *Config) expected() map[core.VersionID]core.Digest { return maps.Clone(c.Expect) }
