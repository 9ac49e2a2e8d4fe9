package kernel

import (
	"context"
	"time"
)

// Sleep waits for the given time. If ctx is done first, it returns ctx.Err().
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
