package claims

import (
	"context"

	"github.com/zinniaseam/zinniaseam/core"
)

func init() {
	Ledgers.Register("direct", func() Construct { return newDirect })
}

var _ Ledger = (*direct)(nil)

// direct executes every call without a claim. It is a baseline for comparison and may
// run a key twice.
type direct struct{}

func newDirect(Options) Ledger { return &direct{} }

func (*direct) Run(ctx context.Context, _ Call, execute Execute) (*Answer, *core.Refusal) {
	return execute(ctx)
}

func (*direct) Lookup(context.Context, core.ServiceID, string) (Fate, *Answer) {
	return FateUnknown, nil
}

func (*direct) Maintain(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (*direct) Close(context.Context) error { return nil }
