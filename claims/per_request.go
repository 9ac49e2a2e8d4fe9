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

// perRequest creates one record in the platform for each key. It is a baseline:
// it keeps every key for good and neither joins repeats nor stores answers.
type perRequest struct {
	options Options
}

// keyRecord is the record of one key.
type keyRecord struct {
	Owner       core.VMID   `json:"owner"`
	Incarnation uint64      `json:"incarnation"`
	Request     string      `json:"request"`
	Fingerprint core.Digest `json:"fingerprint"`
}

// perRequestRetryAfter is when a caller refused for the platform should come back.
const perRequestRetryAfter = time.Second

func newPerRequest(options Options) Ledger { return &perRequest{options: options} }

func (l *perRequest) key(service core.ServiceID, key string) string {
	return fmt.Sprintf("claims/%s/keys/%x", service, hashKey(key))
}

// Run implements Ledger. Only a create that is known to have taken effect
// precedes the execution; a lost answer gives the call up.
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
	var known keyRecord
	if err == nil && json.Unmarshal(value, &known) == nil && known.Fingerprint != call.Fingerprint {
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
