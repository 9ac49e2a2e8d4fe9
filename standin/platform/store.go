package platform

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
)

var (
	errConflict   = errors.New("previous revision differs")
	errNoLease    = errors.New("lease is not known or has lapsed")
	errNoSnapshot = errors.New("no snapshot was taken")
	errNoKey      = errors.New("key is not known")
	errNoVM       = errors.New("VM is not known")
	errVMList     = errors.New("VM list is malformed")
)

type entry struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

type snapshot struct {
	entries  map[string]entry
	revision uint64
}

// store is the state of the key-value service. Each change closes and replaces
// changed.
type store struct {
	mu       sync.Mutex
	entries  map[string]entry
	leases   map[string]*lease
	revision uint64
	nextID   uint64
	saved    *snapshot
	changed  chan struct{}
}

func newStore() *store {
	return &store{entries: map[string]entry{}, leases: map[string]*lease{}, changed: make(chan struct{})}
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

func (s *store) newestRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// get returns the key's entry, the store's revision and a channel that is closed at
// the next change.
func (s *store) get(key string) (entry, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.revision, s.changed
}

// put writes the key if its revision equals previous. It returns the new revision, or
// the current one with errConflict.
func (s *store) put(key string, value []byte, previous uint64, leaseID string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entries[key].revision
	if current != previous {
		return current, errConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return current, errNoLease
	}
	s.revision++
	s.entries[key] = entry{value: value, revision: s.revision, lease: leaseID}
	s.notifyWatchers()
	return s.revision, nil
}

func (s *store) remove(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.entries[key]; !known {
		return errNoKey
	}
	delete(s.entries, key)
	s.revision++
	s.notifyWatchers()
	return nil
}

func (s *store) list(prefix string) ([]platform.KeyRevision, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []platform.KeyRevision{}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, platform.KeyRevision{Key: key, Revision: e.revision})
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Key < keys[j].Key })
	return keys, s.revision
}

// notifyWatchers wakes all waiting watches; s.mu must be held.
func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	s.leases[id] = &lease{
		ttl: ttl, expires: time.Now().Add(ttl),
		timer: time.AfterFunc(ttl, func() { s.expire(id) }),
	}
	return id
}

func (s *store) renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return errNoLease
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// expire drops the lease if its TTL has passed, and otherwise resets its timer: the lease
// may have been renewed after the timer fired.
func (s *store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	if left := time.Until(l.expires); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.dropLease(id)
}

func (s *store) end(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return errNoLease
	}
	s.dropLease(id)
	return nil
}

// dropLease removes the lease and its keys; s.mu must be held.
func (s *store) dropLease(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	removed := false
	for key, e := range s.entries {
		if e.lease == id {
			delete(s.entries, key)
			removed = true
		}
	}
	if removed {
		s.revision++
		s.notifyWatchers()
	}
}

func (s *store) snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = &snapshot{entries: copyEntries(s.entries), revision: s.revision}
}

// rollback restores the snapshot; leases are not rolled back.
func (s *store) rollback() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		return errNoSnapshot
	}
	s.entries = copyEntries(s.saved.entries)
	s.revision = s.saved.revision
	s.dropOrphans()
	s.notifyWatchers()
	return nil
}

// dropOrphans removes keys whose lease no longer exists; s.mu must be held.
func (s *store) dropOrphans() {
	for key, e := range s.entries {
		if e.lease != "" && s.leases[e.lease] == nil {
			delete(s.entries, key)
		}
	}
}

func copyEntries(entries map[string]entry) map[string]entry {
	copied := make(map[string]entry, len(entries))
	for key, e := range entries {
		copied[key] = e
	}
	return copied
}
