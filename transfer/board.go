package transfer

import (
	"context"
	"errors"
	"sync"

	"github.com/zinniaseam/zinniaseam/core"
)

// board says which chunks of the wanted version are held and wakes those who
// wait for one. The event loop writes it, servers read it.
type board struct {
	mu       sync.Mutex
	manifest *core.Manifest
	held     []bool
	waiters  map[int]chan struct{}
	// changed is closed when another version becomes the wanted one.
	changed chan struct{}
	// originLost says that this machine can't read the origin, relays are those of
	// its region.
	originLost bool
	relays     map[core.VMID]bool
}

func newBoard() *board {
	return &board{waiters: map[int]chan struct{}{}, changed: make(chan struct{})}
}

// reset starts another version and wakes every waiter.
func (b *board) reset(manifest *core.Manifest, held []bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeAll()
	b.manifest = manifest
	b.held = append([]bool(nil), held...)
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *board) wakeAll() {
	for chunk, waiter := range b.waiters {
		close(waiter)
		delete(b.waiters, chunk)
	}
}

// setRelays replaces the relays of this machine's region.
func (b *board) setRelays(relays map[core.VMID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.relays = relays
}

// setOrigin notes whether this machine can read the origin.
func (b *board) setOrigin(lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.originLost = lost
	if lost {
		b.wakeAll()
	}
}

// passesOn reports whether a requester is sent away rather than let wait.
//
// Load pattern answered: one of the relays that draw from the origin is cut off
// from it alone. Another of its region may draw in its place, as soon as it knows.
func (b *board) passesOn(requester core.VMID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.originLost && b.relays[requester]
}

// set marks a chunk and wakes those who wait for it.
func (b *board) set(chunk int, held bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[chunk] = held
	if waiter, ok := b.waiters[chunk]; ok && held {
		close(waiter)
		delete(b.waiters, chunk)
	}
}

type chunkState uint8

const (
	// chunkExpected means that the chunk, or its version, may still come.
	chunkExpected chunkState = iota
	chunkHeld
	chunkUnknown
)

// look returns the state of a chunk and what to wait on while it is expected.
func (b *board) look(version core.VersionID, chunk int) (<-chan struct{}, chunkState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.manifest == nil || b.manifest.Version != version {
		return b.changed, chunkExpected
	}
	if chunk < 0 || chunk >= len(b.held) {
		return nil, chunkUnknown
	}
	if b.held[chunk] {
		return nil, chunkHeld
	}
	waiter, ok := b.waiters[chunk]
	if !ok {
		waiter = make(chan struct{})
		b.waiters[chunk] = waiter
	}
	return waiter, chunkExpected
}

// errNoChunk means that the wanted version has no such chunk.
var errNoChunk = errors.New("transfer: no such chunk")

// await waits until a chunk of a version is held. Before the version is the
// wanted one, it waits for that.
func (b *board) await(ctx context.Context, version core.VersionID, chunk int) error {
	for {
		wake, state := b.look(version, chunk)
		switch state {
		case chunkHeld:
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

// wanted returns the manifest of a version when it is the wanted one.
func (b *board) wanted(version core.VersionID) (*core.Manifest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.manifest == nil || b.manifest.Version != version {
		return nil, false
	}
	return b.manifest, true
}

// knownDigest returns the digest of a chunk of the wanted version.
func (b *board) knownDigest(version core.VersionID, chunk int) (core.Digest, bool) {
	manifest, ok := b.wanted(version)
	if !ok || chunk >= len(manifest.Chunks) {
		return core.Digest{}, false
	}
	return manifest.Chunks[chunk], true
}
