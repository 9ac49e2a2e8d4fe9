package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaseam/zinniaseam/claims"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/kernel"
	"github.com/zinniaseam/zinniaseam/peerpb"
	"github.com/zinniaseam/zinniaseam/peers"
)

const (
	// fateInterval is the interval between queries for the fate of a call.
	fateInterval = 200 * time.Millisecond
	// fateTimeout is how long queries continue while the endpoint does not answer.
	fateTimeout = 5 * time.Second
)

// resolveFate determines the outcome of a non-idempotent call whose connection broke,
// without sending the call again. It waits for a running call until the caller's
// deadline, and for an endpoint that does not answer for fateTimeout.
func (d *Dispatcher) resolveFate(ctx context.Context, call *Call, chosen choice, sink Sink) *core.Refusal {
	expires := time.Now().Add(fateTimeout)
	for ctx.Err() == nil && time.Now().Before(expires) {
		reply, err := d.queryFate(ctx, call, chosen)
		if err == nil {
			done, refusal := fateOutcome(reply, sink)
			if done {
				return refusal
			}
			if claims.Fate(reply.GetFate()) == claims.FateRunning {
				expires = time.Now().Add(fateTimeout)
			}
		}
		_ = kernel.Sleep(ctx, fateInterval) // the loop condition checks ctx
	}
	return core.Unknown(core.ReasonConnectionLost, 0, "the connection broke and the fate of the call is not known; ask with the same key")
}

func (d *Dispatcher) queryFate(ctx context.Context, call *Call, chosen choice) (*peerpb.AskReply, error) {
	conn, err := d.node.Pool.Get(chosen.addr)
	if err != nil {
		return nil, err
	}
	askCtx, cancel := context.WithTimeout(ctx, peers.ProbeTimeout)
	defer cancel()
	askCtx, end := conn.Begin(askCtx)
	defer end()
	reply, err := conn.Endpoint().Ask(askCtx, &peerpb.AskRequest{Service: string(call.Service), IdempotencyKey: call.IdempotencyKey})
	if err != nil {
		d.node.Pool.RecordTimeout(conn)
		return nil, fmt.Errorf("ask %s: %w", chosen.id, err)
	}
	conn.RecordProgress()
	return reply, nil
}

// fateOutcome converts a fate to the outcome of the call. done is false while the call
// may still be running.
func fateOutcome(reply *peerpb.AskReply, sink Sink) (done bool, refusal *core.Refusal) {
	switch claims.Fate(reply.GetFate()) {
	case claims.FateAnswered:
		if err := deliver(reply, sink); err != nil {
			return true, core.Unknown(core.ReasonCanceledByCaller, 0, "the caller is gone")
		}
		return true, nil
	case claims.FateUnknown:
		return true, core.Unknown(core.ReasonConnectionLost, 0, "the call may have run")
	default:
		return false, nil
	}
}

func deliver(reply *peerpb.AskReply, sink Sink) error {
	if err := sink.Head(&peerpb.CallHead{Status: reply.GetStatus(), Headers: reply.GetHeaders()}); err != nil {
		return err
	}
	return sink.Data(&peerpb.CallData{Body: reply.GetBody()})
}
