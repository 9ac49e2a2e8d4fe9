package transfer

import (
	"context"
	"errors"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
)

// chunkTracker tracks which chunks of the target version are stored and wakes
// goroutines that wait for one. The event loop updates it, the goroutines that
// serve peers read it.
type chunkTracker struct {
	mu       sync.Mutex
	manifest *core.Manifest
	stored   []bool
	waiters  map[int]chan struct{}
	// targetChanged is closed when another version becomes the target version.
	targetChanged chan struct{}
	// originFailed is set while this machine cannot read from the origin. relays
	// are the relays of its region.
	originFailed bool
	relays       map[core.VMID]bool
}

func newChunkTracker() *chunkTracker {
	return &chunkTracker{waiters: map[int]chan struct{}{}, targetChanged: make(chan struct{})}
}

// reset switches to another version and wakes all waiters.
func (t *chunkTracker) reset(manifest *core.Manifest, stored []bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wakeAll()
	t.manifest = manifest
	t.stored = append([]bool(nil), stored...)
	close(t.targetChanged)
	t.targetChanged = make(chan struct{})
}

func (t *chunkTracker) wakeAll() {
	for chunk, waiter := range t.waiters {
		close(waiter)
		delete(t.waiters, chunk)
	}
}

// setRelays replaces the relays of this machine's region.
func (t *chunkTracker) setRelays(relays map[core.VMID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays = relays
}

// setOriginFailed sets whether this machine cannot read from the origin.
func (t *chunkTracker) setOriginFailed(failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.originFailed = failed
	if failed {
		t.wakeAll()
	}
}

// rejectsWaiters reports whether a request from requester is answered at once
// instead of waiting for the chunk.
//
// Load pattern: one of the relays that fetch from the origin loses its
// connection to the origin alone. If it held the requests of the other relays,
// none of them would fetch the chunk until the wait ended. It answers them at
// once, so that another relay fetches the chunk from the origin in its place.
func (t *chunkTracker) rejectsWaiters(requester core.VMID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.originFailed && t.relays[requester]
}

// set marks a chunk as stored or missing, and wakes the waiters of a stored
// one.
func (t *chunkTracker) set(chunk int, stored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored[chunk] = stored
	if waiter, ok := t.waiters[chunk]; ok && stored {
		close(waiter)
		delete(t.waiters, chunk)
	}
}

type chunkState uint8

const (
	// chunkExpected means that the chunk, or its version, may still arrive.
	chunkExpected chunkState = iota
	chunkStored
	chunkUnknown
)

// lookup returns the state of a chunk and, while it is expected, a channel that
// is closed when the state may have changed.
func (t *chunkTracker) lookup(version core.VersionID, chunk int) (<-chan struct{}, chunkState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.manifest == nil || t.manifest.Version != version {
		return t.targetChanged, chunkExpected
	}
	if chunk < 0 || chunk >= len(t.stored) {
		return nil, chunkUnknown
	}
	if t.stored[chunk] {
		return nil, chunkStored
	}
	waiter, ok := t.waiters[chunk]
	if !ok {
		waiter = make(chan struct{})
		t.waiters[chunk] = waiter
	}
	return waiter, chunkExpected
}

// errNoChunk means that the target version has no chunk with this index.
var errNoChunk = errors.New("transfer: no such chunk in the target version")

// await waits until a chunk of a version is stored. If the version is not the
// target version, it first waits until it is.
func (t *chunkTracker) await(ctx context.Context, version core.VersionID, chunk int) error {
	for {
		wake, state := t.lookup(version, chunk)
		switch state {
		case chunkStored:
			return nil
		case chunkUnknown:
			return errNoChunk
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// target returns the manifest of the target version; false when version is
// another one.
func (t *chunkTracker) target(version core.VersionID) (*core.Manifest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.manifest == nil || t.manifest.Version != version {
		return nil, false
	}
	return t.manifest, true
}

// targetDigest returns the digest of a chunk of the target version.
func (t *chunkTracker) targetDigest(version core.VersionID, chunk int) (core.Digest, bool) {
	manifest, ok := t.target(version)
	if !ok || chunk >= len(manifest.Chunks) {
		return core.Digest{}, false
	}
	return manifest.Chunks[chunk], true
}
