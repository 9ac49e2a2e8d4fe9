package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
)

const (
	// writeTimeout bounds the write of one chunk to the engine on the same VM.
	writeTimeout = 2 * time.Second
	// writeSettle is how long the engine may take to carry out a write whose answer was
	// lost: it has received the chunk before the connection was closed.
	writeSettle = time.Second
	// writePoll is how often a verification that waits for writes checks them.
	writePoll = 5 * time.Millisecond
)

// errSuperseded means that another version is being staged.
var errSuperseded = errors.New("agent: another version is being staged")

// stagingGate is the only writer of the engine's staging area, which holds one unchecked
// copy of each model. It accepts chunks of the staged version alone, completes each write
// that it has begun, and is closed while the chunks are verified and until the engine has
// accepted the order to load them.
type stagingGate struct {
	Staging

	mu      sync.Mutex
	version core.VersionID
	closed  bool
	// opened is closed when the gate opens or former calls have settled.
	opened chan struct{}
	// settling is set while writes and orders of a former process may be carried out.
	settling bool
	// writes is the number of writes in progress. A write whose result was lost counts for
	// another writeSettle.
	writes int
}

// newStagingGate returns a gate that permits neither writes nor verifications before
// settle has passed.
func newStagingGate(staging Staging, settle time.Duration) *stagingGate {
	g := &stagingGate{Staging: staging, opened: make(chan struct{}), settling: settle > 0}
	if g.settling {
		time.AfterFunc(settle, g.settled)
	}
	return g
}

func (g *stagingGate) settled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settling = false
	g.wake()
}

// SetManifest implements Staging. Chunks of other versions are rejected from then on.
func (g *stagingGate) SetManifest(manifest *core.Manifest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = manifest.Version
	g.Staging.SetManifest(manifest)
}

// Put implements transfer.Staging. It waits while the gate is closed. A write that has begun
// is completed when ctx ends, since the engine might carry it out later.
func (g *stagingGate) Put(ctx context.Context, version core.VersionID, index int, data []byte) error {
	if err := g.beginWrite(ctx, version); err != nil {
		return err
	}
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	err := g.Staging.Put(writeCtx, version, index, data)
	g.endWrite(err)
	return err
}

func (g *stagingGate) beginWrite(ctx context.Context, version core.VersionID) error {
	for {
		g.mu.Lock()
		closed, opened := g.closed || g.settling, g.opened
		switch {
		case ctx.Err() != nil:
			g.mu.Unlock()
			return ctx.Err()
		case version != g.version:
			g.mu.Unlock()
			return errSuperseded
		case !closed:
			g.writes++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		select {
		case <-opened:
		case <-ctx.Done():
		}
	}
}

func (g *stagingGate) endWrite(err error) {
	if err != nil {
		// Timers stop while the VM, and with it the engine, is suspended.
		time.AfterFunc(writeSettle, func() { g.endWrite(nil) })
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writes--
}

// close makes writes wait from now on.
func (g *stagingGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// open permits writes.
func (g *stagingGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.closed = false
		g.wake()
	}
}

// wake makes waiting writes check the gate again. The caller must hold g.mu.
func (g *stagingGate) wake() {
	close(g.opened)
	g.opened = make(chan struct{})
}

// awaitWrites waits until no write can change the staging area.
func (g *stagingGate) awaitWrites(ctx context.Context) error {
	ticker := time.NewTicker(writePoll)
	defer ticker.Stop()
	for !g.quiet() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (g *stagingGate) quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.writes == 0 && !g.settling
}
