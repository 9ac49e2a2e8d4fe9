package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
)

// Client is the subset of the platform API that this package uses.
type Client interface {
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	GetIfChanged(ctx context.Context, key string, known core.Digest) (value []byte, revision uint64, changed bool, err error)
	CompareAndSwap(ctx context.Context, key string, value []byte, previous uint64) (revision uint64, swapped bool, err error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value []byte, revision uint64, changed bool, err error)
	VMs(ctx context.Context, after uint64, wait time.Duration) (list platform.VMListReply, changed bool, err error)
}

var _ Client = (*platform.Client)(nil)

// readStore reads the configuration key. If the value cannot be decoded, the
// returned Observed has no document.
func readStore(ctx context.Context, client Client) (Observed, error) {
	value, revision, err := client.Get(ctx, Key)
	if err != nil {
		return Observed{}, err
	}
	return parseObserved(value, revision), nil
}

// parseObserved decodes the value of the configuration key; revision 0 means
// that the key does not exist.
func parseObserved(value []byte, revision uint64) Observed {
	if revision == 0 {
		return Observed{}
	}
	doc, err := Decode(value)
	if err != nil {
		counters.Add("documents_malformed", 1)
		return Observed{ModRevision: revision}
	}
	return Observed{ModRevision: revision, Doc: doc}
}

// mayBeApplied reports whether a write that failed with err may have been
// applied by the store, or may still be.
func mayBeApplied(err error) bool { return !errors.Is(err, platform.ErrRateLimited) }

// sleep blocks for wait or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
