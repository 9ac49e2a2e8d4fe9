package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Ledgers.Register("per_request", func() Construct { return newPerRequest })
}

var _ Ledger = (*perRequest)(nil)

// perRequest creates one record per key in the platform. It is a baseline for
// comparison: it never expires keys, does not join repeated calls and stores no
// answers.
type perRequest struct {
	options Options
}

// keyRecord is the stored record of one key.
type keyRecord struct {
	Owner       core.VMID   `json:"owner"`
	Incarnation uint64      `json:"incarnation"`
	Request     string      `json:"request"`
	Fingerprint core.Digest `json:"fingerprint"`
}

// perRequestRetryAfter is the retry-after hint for calls rejected because the platform
// did not accept the claim.
const perRequestRetryAfter = time.Second

func newPerRequest(options Options) Ledger { return &perRequest{options: options} }

func (l *perRequest) key(service core.ServiceID, key string) string {
	return fmt.Sprintf("claims/%s/keys/%x", service, hashKey(key))
}

// Run implements Ledger. It executes the call only if the record is known to have been
// created. If the store's response is lost, the call is rejected.
func (l *perRequest) Run(ctx context.Context, call Call, execute Execute) (*Answer, *core.Refusal) {
	record := mustEncode(keyRecord{
		Owner: l.options.Self, Incarnation: l.options.Incarnation,
		Request: string(call.Request), Fingerprint: call.Fingerprint,
	})
	_, swapped, err := l.options.Store.CompareAndSwap(ctx, l.key(call.Service, call.Key), record, 0)
	switch {
	case err != nil:
		return nil, core.NotRun(core.ReasonPlatformDown, perRequestRetryAfter, "the platform did not take the claim")
	case !swapped:
		return nil, l.usedRefusal(ctx, call)
	default:
		return execute(ctx)
	}
}

func (l *perRequest) usedRefusal(ctx context.Context, call Call) *core.Refusal {
	value, _, err := l.options.Store.Get(ctx, l.key(call.Service, call.Key))
	var existing keyRecord
	if err == nil && json.Unmarshal(value, &existing) == nil && existing.Fingerprint != call.Fingerprint {
		return mismatchRefusal()
	}
	return core.Unknown(core.ReasonKeyUsed, 0, "the key was claimed before; the call may have run")
}

// Lookup implements Ledger.
func (l *perRequest) Lookup(ctx context.Context, service core.ServiceID, key string) (Fate, *Answer) {
	_, revision, err := l.options.Store.Get(ctx, l.key(service, key))
	if err == nil && revision == 0 {
		return FateNone, nil
	}
	return FateUnknown, nil
}

// Maintain implements Ledger.
func (l *perRequest) Maintain(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Close implements Ledger.
func (l *perRequest) Close(context.Context) error { return nil }

var _ Verifier = (*perRequest)(nil)

// Unclaimed implements Verifier.
func (l *perRequest) Unclaimed(ctx context.Context, service core.ServiceID, key string) bool {
	_, revision, err := l.options.Store.Get(ctx, l.key(service, key))
	return err == nil && revision == 0
}
