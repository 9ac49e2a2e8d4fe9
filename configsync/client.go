package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
)

// Client is the part of the platform that this package uses.
type Client interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	GetIfChanged(ctx context.Context, key string, known core.Digest) (value []byte, revision uint64, changed bool, err error)
	CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value []byte, revision uint64, changed bool, err error)
	VMs(ctx context.Context, after uint64, wait time.Duration) (list platform.VMListReply, changed bool, err error)
}

var _ Client = (*platform.Client)(nil)

// observe reads the store. A value that is no document is an Observed without one.
func observe(ctx context.Context, client Client) (Observed, error) {
	value, revision, err := client.Get(ctx, Key)
	if err != nil {
		return Observed{}, err
	}
	return observed(value, revision), nil
}

func observed(value []byte, revision uint64) Observed {
	if revision == 0 {
		return Observed{}
	}
	doc, err := Decode(value)
	if err != nil {
		counters.Add("documents_malformed", 1)
		return Observed{Stored: revision}
	}
	return Observed{Stored: revision, Doc: doc}
}

// mayHaveTakenEffect reports whether a write that failed with err may be, or
// yet come, into force.
func mayHaveTakenEffect(err error) bool { return !errors.Is(err, platform.ErrRateLimited) }

// waitFor sleeps unless ctx ends first.
func waitFor(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
