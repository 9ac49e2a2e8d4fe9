package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item or an event of the store.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store stands in for the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// waiting are the watches that are waiting. Each channel is closed to cut the watch.
	waiting map[chan struct{}]bool
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), waiting: map[chan struct{}]bool{}, revision: 1}
}

// put writes a key and returns when that was acknowledged.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if former, exists := s.items[key]; exists {
		created = former.Created
	}
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: created}
	s.items[key] = i
	s.append(i)
	return time.Now()
}

// remove deletes a key. The caller must hold s.mu.
func (s *store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeKey deletes a key and returns when that was acknowledged.
func (s *store) removeKey(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// cutAndRemove waits until so many watches are waiting, cuts the watches that are waiting during
// a period, and deletes a key at its end. It returns when that was acknowledged; ok is false if
// too few watches waited in time.
func (s *store) cutAndRemove(watches int, key string, period, within time.Duration) (at time.Time, ok bool) {
	for end := time.Now().Add(within); s.countWaiting() < watches; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return time.Time{}, false
		}
	}
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.cutWaiting()
	}
	return s.removeKey(key), true
}

func (s *store) countWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func (s *store) cutWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cut := range s.waiting {
		close(cut)
	}
	s.waiting = map[chan struct{}]bool{}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
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
	s.mu.Lock()
	items, revision := []item{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, wire["more"]: false, wire["revision"]: revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	cut := make(chan struct{})
	for {
		s.mu.Lock()
		events, revision, changed := s.since(r.URL.Query().Get("prefix"), after), s.revision, s.changed
		if len(events) == 0 && wait > 0 {
			s.waiting[cut] = true
		} else {
			delete(s.waiting, cut)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			s.answerWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler) // closes the channel without an answer
		case <-timeout.C:
			s.mu.Lock()
			delete(s.waiting, cut)
			events, revision = s.since(r.URL.Query().Get("prefix"), after), s.revision
			s.mu.Unlock()
			s.answerWatch(w, events, revision)
			return
		case <-r.Context().Done():
			s.mu.Lock()
			delete(s.waiting, cut)
			s.mu.Unlock()
			return
		}
	}
}

// since returns the events after a revision. The caller must hold s.mu.
func (s *store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

func (s *store) answerWatch(w http.ResponseWriter, events []item, revision uint64) {
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, wire["revision"]: revision})
}
