package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/singleflight"

	"github.com/zinniaseam/zinniaseam/boottime"
	"github.com/zinniaseam/zinniaseam/metastore"
)

const (
	// confirmTimeout bounds one confirmation of the declaration; a slow store takes 0.3 s.
	confirmTimeout = 400 * time.Millisecond
	// confirmBackoff is how long no confirmation is tried after one has failed.
	confirmBackoff = time.Second
)

// confirmer asks the store whether the declaration has changed. All calls that are to be
// denied by an old view share one confirmation.
type confirmer struct {
	follower *metastore.Follower
	now      boottime.Clock
	log      *log.Logger
	flights  singleflight.Group
	// failedAt is when a confirmation failed last, 0 if none has.
	failedAt atomic.Int64
}

// confirm reports whether the store has confirmed the view just now. It fails at once while
// the store is known to be unavailable.
func (c *confirmer) confirm() bool {
	if failed := boottime.Instant(c.failedAt.Load()); failed != 0 && c.now().Sub(failed) < confirmBackoff {
		return false
	}
	_, err, _ := c.flights.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		return nil, c.follower.Confirm(ctx)
	})
	if err != nil {
		c.failedAt.Store(int64(c.now()))
		c.log.Info("Confirming the declaration failed; calls are not denied for now.", "err", err)
	}
	return err == nil
}
