package main

import (
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/load"
	"github.com/zinniaseam/zinniaseam/settings"
)

// Bounds on settings.
const (
	maxRate     = 100_000
	maxDuration = time.Hour
	maxPercent  = 100
	maxTokens   = 65_536
)

// loadOptions holds the settings shared by the load and compare commands.
type loadOptions struct {
	rate       int
	duration   time.Duration
	model      string
	service    string
	path       string
	mix        string
	seed       int
	keyPrefix  string
	tokens     int
	prefixes   int
	prefixSize int
	deadline   time.Duration
	retries    int
	retryAll   bool
	inFlight   int
	gapPercent int
	expect     string
	out        string
}

func (o *loadOptions) register(set *settings.Set, defaultMix string) {
	set.Int(&o.rate, "rate", 50, 1, maxRate, "requests/s", "mean rate of arrivals")
	set.Duration(&o.duration, "duration", 10*time.Second, 100*time.Millisecond, maxDuration, "length of the run")
	set.Text(&o.model, "model", "assistant", "model that chats ask for", false)
	set.Text(&o.service, "service", "dispatch-desk", "service that plain calls go to", false)
	set.Text(&o.path, "path", "/orders", "path of plain calls below the service", true)
	set.Text(&o.mix, "mix", defaultMix, "shares of the load as kind:priority:team=weight, joined by commas; kinds are chat, order, lookup", true)
	set.Int(&o.seed, "seed", 1, 0, 1<<62, "", "seed of all chance")
	set.Text(&o.keyPrefix, "key-prefix", "load", "start of every idempotency key", true)
	set.Int(&o.tokens, "tokens", load.DefaultMaxTokens, 1, maxTokens, "tokens", "length of an answer")
	set.Int(&o.prefixes, "prefixes", 1, 1, 1_000_000, "prefixes", "prompt prefixes shared by chats")
	set.Int(&o.prefixSize, "prefix-size", 0, 0, 1<<19, "bytes", "size of a shared prefix")
	set.Duration(&o.deadline, "deadline", load.DefaultDeadline, time.Millisecond, 10*time.Minute, "time that a caller waits")
	set.Int(&o.retries, "retries", 0, 0, 100, "times", "how often a caller comes back after a refusal that was not run, at the time that it names")
	set.Bool(&o.retryAll, "retry-unknown", false, "callers also repeat orders of unknown fate, with the same key, through another entry")
	set.Int(&o.inFlight, "max-in-flight", load.DefaultMaxInFlight, 1, 100_000, "requests", "requests open at once")
	set.Int(&o.gapPercent, "gap", 95, 1, maxPercent, "percent", "answered share under which a second is a gap")
	set.Text(&o.expect, "expect", "", "whole digests of the versions that may answer, as version=digest joined by commas", false)
	set.Text(&o.out, "out", "", "file that takes the result as JSON", false)
}

func (o *loadOptions) config() (load.Config, error) {
	mix, err := load.ParseMix(o.mix)
	if err != nil {
		return load.Config{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	expect, err := parseExpect(o.expect)
	if err != nil {
		return load.Config{}, err
	}
	return load.Config{
		Rate: float64(o.rate), Duration: o.duration, Model: core.ModelID(o.model),
		Service: core.ServiceID(o.service), Path: o.path, Mix: mix, Seed: uint64(o.seed), KeyPrefix: o.keyPrefix,
		MaxTokens: o.tokens, Prefixes: o.prefixes, PrefixBytes: o.prefixSize, Deadline: o.deadline,
		Retries: o.retries, RetryUnknown: o.retryAll, MaxInFlight: o.inFlight, Expect: expect,
		GapShare: float64(o.gapPercent) / maxPercent,
	}, nil
}
