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
	// askInterval is the time between two questions about the fate of a call.
	askInterval = 200 * time.Millisecond
	// askLimit bounds how long an endpoint that does not answer is asked.
	askLimit = 5 * time.Second
)

// askFate finds out what became of a call that may not be repeated. The call
// itself is not sent again. A call that still runs is waited for until the
// caller's deadline, an endpoint that does not answer only for askLimit.
func (d *Dispatcher) askFate(ctx context.Context, call *Call, chosen choice, sink Sink) *core.Refusal {
	giveUp := time.Now().Add(askLimit)
	for ctx.Err() == nil && time.Now().Before(giveUp) {
		reply, err := d.ask(ctx, call, chosen)
		if err == nil {
			done, refusal := settle(reply, sink)
			if done {
				return refusal
			}
			if claims.Fate(reply.GetFate()) == claims.FateRunning {
				giveUp = time.Now().Add(askLimit)
			}
		}
		_ = kernel.Sleep(ctx, askInterval) // the loop looks at ctx itself
	}
	return core.Unknown(core.ReasonConnectionLost, 0, "the connection broke and the fate of the call is not known; ask with the same key")
}

func (d *Dispatcher) ask(ctx context.Context, call *Call, chosen choice) (*peerpb.AskReply, error) {
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

// settle turns a fate into an outcome; done is false while the call may still run.
func settle(reply *peerpb.AskReply, sink Sink) (done bool, refusal *core.Refusal) {
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
