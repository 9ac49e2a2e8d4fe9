package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// firstRevision is the revision of the store before its first change.
	firstRevision = 100
	// pageItems is the number of items in one page of a range.
	pageItems = 500
	// silentBeats is the number of intervals after which a silent runner's entry is removed.
	silentBeats = 3
)

// item is a key of the store, or the event that it was deleted.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. Only the calls that read are served;
// the system under test writes nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// beats is when each runner was last heard of.
	beats map[string]time.Time
	// away makes the store close each channel without an answer.
	away bool
	era  int
}

func newStore() *store {
	return &store{revision: firstRevision, items: map[string]item{}, changed: make(chan struct{}), beats: map[string]time.Time{}, era: 1}
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

// write stores a value. The caller must hold s.mu.
func (s *store) write(key string, value []byte) {
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	written := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: created}
	s.items[key] = written
	s.record(written)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(event item) {
	s.history = append(s.history, event)
	s.wake()
}

// beat stores what a runner says of itself, if more than its sequence has changed.
func (s *store) beat(id string, entry map[string]any) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	key := "servers/" + id
	if known, ok := s.items[key]; ok && known.Value == base64.StdEncoding.EncodeToString(encoded) {
		return
	}
	s.write(key, encoded)
}

// expire removes the entries of silent runners.
func (s *store) expire(interval time.Duration) {
	s.mu.Lock()
	var silent []string
	for id, at := range s.beats {
		if time.Since(at) > silentBeats*interval {
			silent = append(silent, id)
			delete(s.beats, id)
		}
	}
	s.mu.Unlock()
	for _, id := range silent {
		s.remove("servers/" + id)
	}
}

func (s *store) reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case wire["range"]:
		s.serveRange(w, r)
	case wire["watch"]:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, known := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, known)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	s.reply(w, map[string]any{"items": items, wire["more"]: more, wire["revision"]: s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		changed, revision := s.changed, s.revision
		if len(events) > 0 {
			s.reply(w, map[string]any{"events": events, wire["revision"]: revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			s.reply(w, map[string]any{"events": events, wire["revision"]: revision})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// content is a copy of a store.
type content struct {
	revision uint64
	items    map[string]item
	history  []item
}

func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return content{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// leave makes the store close each channel without an answer.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore continues from a copy, in the next era.
func (s *store) restore(from content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.history = from.revision, from.items, from.history
	s.away = false
	s.era++
	s.wake()
}

// wake makes all watches look again. The caller must hold s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
