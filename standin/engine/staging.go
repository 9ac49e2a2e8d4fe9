package engine

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"

	"github.com/zinniaseam/zinniaseam/adapters/engine"
	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

var errStagingFull = errors.New("staging area is full")

// staging stores chunks in host memory, up to limit bytes.
type staging struct {
	limit int64

	mu       sync.Mutex
	used     int64
	versions map[core.VersionID]map[int][]byte
}

func newStaging(limit int64) *staging {
	return &staging{limit: limit, versions: map[core.VersionID]map[int][]byte{}}
}

func (s *staging) put(version core.VersionID, chunk int, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks := s.versions[version]
	if chunks == nil {
		chunks = map[int][]byte{}
		s.versions[version] = chunks
	}
	grown := int64(len(data) - len(chunks[chunk]))
	if s.used+grown > s.limit {
		return errStagingFull
	}
	s.used += grown
	chunks[chunk] = data
	return nil
}

func (s *staging) get(version core.VersionID, chunk int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.versions[version][chunk]
	return data, ok
}

func (s *staging) list(version core.VersionID) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks := make([]int, 0, len(s.versions[version]))
	for chunk := range s.versions[version] {
		chunks = append(chunks, chunk)
	}
	sort.Ints(chunks)
	return chunks
}

func (s *staging) free(version core.VersionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.versions[version] {
		s.used -= int64(len(data))
	}
	delete(s.versions, version)
}

func (s *staging) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = 0
	s.versions = map[core.VersionID]map[int][]byte{}
}

// assemble returns the digest of the staged bytes of a version in chunk order, and
// whether every chunk of the manifest is staged with the right size.
func (s *staging) assemble(manifest *core.Manifest) (core.Digest, bool) {
	hash := sha256.New()
	complete := true
	for i := range manifest.Chunks {
		data, ok := s.get(manifest.Version, i)
		_, length := manifest.ChunkRange(i)
		complete = complete && ok && int64(len(data)) == length
		hash.Write(data)
	}
	var digest core.Digest
	hash.Sum(digest[:0])
	return digest, complete
}

func chunkNumber(w http.ResponseWriter, r *http.Request) (int, bool) {
	chunk, err := strconv.Atoi(r.PathValue("chunk"))
	if err != nil || chunk < 0 || chunk >= core.MaxManifestChunks {
		http.Error(w, "chunk number is out of range", http.StatusBadRequest)
		return 0, false
	}
	return chunk, true
}

func (s *Server) putChunk(w http.ResponseWriter, r *http.Request) {
	chunk, ok := chunkNumber(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, core.MaxChunkBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.staging.put(core.VersionID(r.PathValue("version")), chunk, data); err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getChunk(w http.ResponseWriter, r *http.Request) {
	chunk, ok := chunkNumber(w, r)
	if !ok {
		return
	}
	data, staged := s.staging.get(core.VersionID(r.PathValue("version")), chunk)
	if !staged {
		http.Error(w, "chunk is not staged", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *Server) getStaged(w http.ResponseWriter, r *http.Request) {
	version := core.VersionID(r.PathValue("version"))
	standin.WriteJSON(w, http.StatusOK, engine.Staged{Version: version, Chunks: s.staging.list(version)})
}

func (s *Server) deleteStaged(w http.ResponseWriter, r *http.Request) {
	s.staging.free(core.VersionID(r.PathValue("version")))
	w.WriteHeader(http.StatusNoContent)
}
