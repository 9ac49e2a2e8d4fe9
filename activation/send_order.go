package activation

import (
	"context"
	"errors"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
)

// Loader is the subset of an engine client that orders need.
type Loader interface {
	Load(ctx context.Context, order *engine.LoadOrder) (*engine.LoadReply, error)
}

var _ Loader = (*engine.Client)(nil)

// SendOrder performs an Order and returns the event to report. Any error that does not
// state what the engine did yields OrderLost.
func SendOrder(ctx context.Context, loader Loader, o Order) OrderEnded {
	reply, err := loader.Load(ctx, &o.Order)
	ended := OrderEnded{Number: o.Order.Fence, Err: err}
	switch {
	case err == nil:
		ended.Result, ended.Boot = OrderDone, reply.Boot
	case errors.Is(err, engine.ErrOrderExpired):
		ended.Result = OrderNotSent
	case errors.Is(err, engine.ErrOrderRejected):
		ended.Result = OrderRejected
	case errors.Is(err, engine.ErrLoadUnconfirmed):
		ended.Result = OrderUnconfirmed
	case errors.Is(err, engine.ErrStaleFence):
		ended.Result = OrderOldNumber
	case errors.Is(err, engine.ErrIncomplete):
		ended.Result = OrderIncomplete
	default:
		ended.Result = OrderLost
	}
	return ended
}
