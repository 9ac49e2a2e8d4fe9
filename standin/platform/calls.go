package platform

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/adapters/platform"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// Bounds on calls.
const (
	maxWaitMS  = 60_000
	maxLeaseMS = 3_600_000
	// vmPoll bounds the interval at which a waiting call checks the VM list.
	vmPoll = 100 * time.Millisecond
	// minCompressedBytes is the minimum size of a response body that is compressed.
	minCompressedBytes = 1 << 10
)

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	found, newest, _ := s.store.get(r.PathValue("key"))
	if found.revision > 0 && r.Header.Get("If-None-Match") == platform.EntityTag(core.DigestOf(found.value)) {
		w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(newest, 10))
		w.Header().Set(platform.HeaderRevision, strconv.FormatUint(found.revision, 10))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeEntry(w, r, found, newest)
}

func writeEntry(w http.ResponseWriter, r *http.Request, found entry, newest uint64) {
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(newest, 10))
	w.Header().Set(platform.HeaderRevision, strconv.FormatUint(found.revision, 10))
	if found.revision == 0 {
		http.Error(w, "key is not known", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, r, found.value)
}

// writeBody writes a response body, compressed if it is long enough and the caller
// accepts gzip.
func writeBody(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(body)
	_ = compressed.Close()
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	previous, err := parseUint(r.URL.Query().Get("previous"), "previous")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision, err := s.store.put(r.PathValue("key"), value, previous, r.URL.Query().Get("lease"))
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(s.store.newestRevision(), 10))
	switch {
	case errors.Is(err, errConflict):
		s.count(func() { s.stats.Conflicts++ })
		standin.WriteJSON(w, http.StatusConflict, platform.RevisionReply{Revision: revision})
	case errors.Is(err, errNoLease):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		standin.WriteJSON(w, http.StatusOK, platform.RevisionReply{Revision: revision})
	}
}

func (s *Server) watchKey(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := waitArguments(w, r)
	if !ok {
		return
	}
	s.count(func() { s.stats.Watches++; s.stats.Waiting++ })
	defer s.count(func() { s.stats.Waiting-- })
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		faults, outage := s.outageSignal()
		if outage {
			s.answerOutage(w)
			return
		}
		found, newest, changed := s.store.get(r.URL.Query().Get("key"))
		if found.revision != after {
			writeEntry(w, r, found, newest)
			return
		}
		select {
		case <-changed:
		case <-faults:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.answerUnchanged(w)
			return
		}
	}
}

func (s *Server) answerUnchanged(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(s.store.newestRevision(), 10))
	w.WriteHeader(http.StatusNoContent)
}

// outageSignal returns a channel that is closed when the faults change, and whether
// there is an outage now.
func (s *Server) outageSignal() (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultsChanged, s.faults.Outage
}

func waitArguments(w http.ResponseWriter, r *http.Request) (after uint64, wait time.Duration, ok bool) {
	query := r.URL.Query()
	after, afterErr := parseUint(query.Get("after"), "after")
	waitMS, waitErr := parseUint(query.Get("wait_ms"), "wait_ms")
	if err := errors.Join(afterErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return 0, 0, false
	}
	return after, standin.Milliseconds(int64(min(waitMS, maxWaitMS))), true
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
	keys, newest := s.store.list(r.URL.Query().Get("prefix"))
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(newest, 10))
	standin.WriteJSON(w, http.StatusOK, platform.ListReply{Keys: keys})
}

func (s *Server) createLease(w http.ResponseWriter, r *http.Request) {
	ttlMS, err := parseUint(r.URL.Query().Get("ttl_ms"), "ttl_ms")
	if err != nil || ttlMS == 0 || ttlMS > maxLeaseMS {
		http.Error(w, "ttl_ms: want 1 to 3600000", http.StatusBadRequest)
		return
	}
	id := s.store.grant(standin.Milliseconds(int64(ttlMS)))
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(s.store.newestRevision(), 10))
	standin.WriteJSON(w, http.StatusOK, platform.LeaseReply{ID: id})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	s.answerLease(w, r, s.store.renew)
}

func (s *Server) endLease(w http.ResponseWriter, r *http.Request) {
	s.answerLease(w, r, s.store.end)
}

func (s *Server) answerLease(w http.ResponseWriter, r *http.Request, act func(id string) error) {
	id := r.PathValue("id")
	err := act(id)
	w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(s.store.newestRevision(), 10))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, platform.LeaseReply{ID: id})
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := waitArguments(w, r)
	if !ok {
		return
	}
	s.count(func() { s.stats.Waiting++ })
	defer s.count(func() { s.stats.Waiting-- })
	deadline := time.Now().Add(wait)
	for {
		faults, outage := s.outageSignal()
		if outage {
			s.answerOutage(w)
			return
		}
		now := time.Now()
		view, _ := s.vms.visible(now)
		if view.revision != after || after == 0 && wait == 0 {
			w.Header().Set(platform.HeaderStoreRevision, strconv.FormatUint(s.store.newestRevision(), 10))
			writeVMs(w, r, platform.VMListReply{Revision: view.revision, VMs: view.vms})
			return
		}
		if !now.Before(deadline) {
			s.answerUnchanged(w)
			return
		}
		select {
		case <-faults:
		case <-r.Context().Done():
			return
		case <-time.After(min(vmPoll, deadline.Sub(now))):
		}
	}
}

func writeVMs(w http.ResponseWriter, r *http.Request, list platform.VMListReply) {
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, r, body)
}
